"""The provider's model beyond queueing: warm-up, crashes, choking, keys, cancelling, load reports, connections."""

from __future__ import annotations

import pytest

from limenotch.lab.model.chance import Seeds
from limenotch.lab.model.jobs import Job, JobEnd, JobFinished, LowerTierRequest
from limenotch.lab.model.keys import KeyGroup
from limenotch.lab.model.provider import Provider
from limenotch.lab.model.provider_spec import ProviderSpec, Stops


def make(spec: ProviderSpec, started: float = 0.0, group: KeyGroup | None = None, now: float = 0.0) -> Provider:
    return Provider("p", spec, Seeds(1).stream("p"), group or KeyGroup(), now, started)


def finish(provider: Provider, until_ms: float = 1e12) -> list[tuple[float, JobFinished | LowerTierRequest]]:
    ended = []
    while (next_event_ms := provider.next_event_ms()) <= until_ms:
        ended += [(next_event_ms, effect) for effect in provider.run(next_event_ms)]
    return ended


def only(ended: list[tuple[float, JobFinished | LowerTierRequest]]) -> float:
    assert len(ended) == 1
    return ended[0][0]


def test_a_provider_in_warm_up_is_slow_and_speeds_up_with_time() -> None:
    spec = ProviderSpec(cold_from=0.2, cold_ms=10_000.0)
    cold = make(spec, started=1000.0, now=1000.0)
    assert [cold.warmth(at) for at in (1000.0, 6000.0, 11_000.0)] == pytest.approx([0.2, 0.6, 1.0])
    cold = make(spec, started=1000.0, now=1000.0)
    assert cold.offer(1000.0, Job(1, [100.0]))
    # 0.2 t + 0.4 t^2 / 10,000 = 100 has t = 458 ms; its speed is updated every 100 ms.
    assert 1000 + 458 < only(finish(cold)) < 1000 + 480


def test_work_shortens_the_warm_up() -> None:
    spec = ProviderSpec(cold_from=0.5, cold_ms=100_000.0, warm_work_ms=100.0, fall_multiple=1e9)
    cold = make(spec, started=1.0, now=1.0)
    for job_id in range(4):
        cold.offer(1.0, Job(job_id, [25.0]))
    at = [time for time, _ in finish(cold)]
    assert at[0] == pytest.approx(51.0, rel=0.01) and cold.warmth(at[-1]) == 1.0
    assert at[3] - at[2] < at[1] - at[0]


@pytest.mark.parametrize(("times", "crashes"), [(3.9, False), (4.1, True)])
def test_a_provider_in_warm_up_crashes_under_too_much_work(times: float, crashes: bool) -> None:
    spec = ProviderSpec(cores=2, speed=1.0, cold_from=0.25, cold_ms=1e9, fall_multiple=4, fall_ms=3000)
    cold = make(spec, started=1.0, now=1.0)
    each, sent = 10.0, 0.0
    while sent < times * 2 * 0.25 * 3000 - each and not cold.crashed:
        cold.offer(1.0 + sent / 10, Job(int(sent), [each]))
        sent += each
    assert cold.crashed is crashes
    if crashes:
        assert (
            not cold.connect(5000.0)
            and not cold.offer(5000.0, Job(10**9, [1.0]))
            and cold.next_event_ms() == float("inf")
        )


def test_a_warm_provider_never_crashes() -> None:
    warm = make(ProviderSpec(queue=10))
    for job_id in range(1000):
        warm.offer(1.0, Job(job_id, [1000.0]))
    assert not warm.crashed and warm.ledger.turned_away == 1000 - 11


def test_a_provider_chokes_after_long_crowding_and_recovers_with_few_jobs() -> None:
    spec = ProviderSpec(
        cores=1,
        slots=10,
        choke_at=3,
        choke_over_ms=1000,
        choke_slower=2,
        choke_below=0.5,
        choke_rest_ms=500,
        choke_most_ms=1e9,
    )
    provider = make(spec)
    for job_id in range(5):
        provider.offer(0.0, Job(job_id, [1000.0]))
    finish(provider, 999.0)
    assert not provider.choked
    finish(provider, 1001.0)
    assert provider.choked
    last = [time for time, effect in finish(provider, 1e5) if isinstance(effect, JobFinished)][-1]
    assert last == pytest.approx(1000 + 4000 * 2) and not provider.choked  # recovery began with the end of the last job
    provider.offer(20_000.0, Job(9, [100.0]))
    assert only(finish(provider)) == pytest.approx(20_100.0)


def test_choking_ends_by_itself_at_last() -> None:
    spec = ProviderSpec(cores=1, slots=10, choke_at=1, choke_over_ms=10, choke_slower=4, choke_most_ms=100)
    provider = make(spec)
    for job_id in range(4):
        provider.offer(0.0, Job(job_id, [1e6]))
    finish(provider, 109.0)
    assert provider.choked
    finish(provider, 111.0)
    assert not provider.choked


def test_crowding_costs_speed() -> None:
    provider = make(ProviderSpec(cores=4, slots=4, crowd_at=2, crowd_loss=1.0))
    for job_id in range(4):
        provider.offer(0.0, Job(job_id, [100.0]))
    assert [round(time) for time, _ in finish(provider)] == [200] * 4  # 1 / (1 + (4 - 2) / 2)


@pytest.mark.parametrize(
    ("stops", "running", "queued"),
    [
        (Stops.ALL, True, True),
        (Stops.QUEUED, False, True),
        (Stops.NONE, False, False),
    ],
)
def test_which_cancelled_jobs_stop(stops: Stops, running: bool, queued: bool) -> None:
    provider = make(ProviderSpec(stops=stops))
    provider.offer(0.0, Job(1, [100.0]))
    provider.offer(0.0, Job(2, [100.0]))
    provider.cancel(40.0, 1)
    provider.cancel(40.0, 2)
    assert [not provider.has_job(1), not provider.has_job(2)] == [running, queued]
    finish(provider)
    done = 40.0 if running else 100.0 if queued else 200.0
    assert provider.ledger.wasted == pytest.approx(done) and provider.ledger.served == 0
    ledger = provider.ledger
    assert ledger.offered == pytest.approx(ledger.wasted + ledger.unspent)


def test_a_cancel_that_crosses_the_answer_changes_nothing() -> None:
    provider = make(ProviderSpec())
    provider.offer(0.0, Job(1, [100.0]))
    assert only(finish(provider)) == 100.0
    assert provider.cancel(100.0, 1) == [] and provider.ledger.served == 100.0 and provider.ledger.wasted == 0


def test_a_job_whose_deadline_passed_in_the_queue_never_runs() -> None:
    provider = make(ProviderSpec())
    provider.offer(0.0, Job(1, [100.0]))
    provider.offer(0.0, Job(2, [100.0], deadline_at_ms=99.0))
    ended = [effect for _, effect in finish(provider)]
    assert [effect.end for effect in ended if isinstance(effect, JobFinished)] == [JobEnd.SERVED, JobEnd.EXPIRED]
    assert provider.ledger.wasted == 0 and provider.ledger.unspent == 100.0


def test_a_job_keeps_its_slot_while_the_tier_below_works() -> None:
    provider = make(ProviderSpec())
    provider.offer(0.0, Job(1, [10.0, 10.0]))
    provider.offer(0.0, Job(2, [5.0]))
    ended = finish(provider)
    assert len(ended) == 1 and isinstance(ended[0][1], LowerTierRequest) and ended[0][0] == 10.0
    assert provider.queued == 1 and provider.running == 0
    provider.resume(100.0, 1, served=True)
    assert [time for time, _ in finish(provider)] == [110.0, 115.0]


def test_a_job_waiting_for_the_lower_tier_is_lost_with_its_process() -> None:
    provider = make(ProviderSpec())
    provider.offer(0.0, Job(1, [10.0, 10.0]))
    finish(provider)
    provider.stop(50.0)
    assert provider.job_ids == [] and provider.ledger.wasted == 10.0 and provider.ledger.unspent == 10.0
    assert provider.resume(60.0, 1, served=True) == [] and provider.next_event_ms() == float("inf")


def test_a_failed_lower_tier_request_fails_the_job() -> None:
    provider = make(ProviderSpec())
    provider.offer(0.0, Job(1, [10.0, 10.0]))
    finish(provider)
    (effect,) = provider.resume(50.0, 1, served=False)
    assert isinstance(effect, JobFinished) and effect.end is JobEnd.ERROR and provider.job_count == 0


def test_a_keyed_repeat_is_dropped_in_its_group_and_for_its_window() -> None:
    all_keys: dict[str, tuple[float, KeyGroup]] = {}
    here, there = KeyGroup(all_keys), KeyGroup(all_keys)
    one, same, other = (make(ProviderSpec(), group=group) for group in (here, here, there))
    one.offer(0.0, Job(1, [100.0], key="k", window_ms=1000))
    finish(one)
    same.offer(200.0, Job(2, [100.0], key="k", window_ms=1000))
    assert only(finish(same)) == pytest.approx(200.5) and same.ledger.repeats == 1
    other.offer(300.0, Job(3, [100.0], key="k", window_ms=1000))
    finish(other)
    assert other.ledger.double == 1  # the other group did not know the key
    same.offer(1200.0, Job(4, [100.0], key="k", window_ms=1000))
    assert only(finish(same)) == pytest.approx(1300.0) and same.ledger.repeats == 1  # forgotten by then


def test_reports_are_refreshed_and_late() -> None:
    provider = make(ProviderSpec(cores=2, slots=2, report_ms=100, report_delay_ms=30))
    provider.offer(0.0, Job(1, [1000.0]))
    first = next(at for at in range(1, 200) if provider.report(float(at)).util > 0)
    assert 30 <= first <= 131 and provider.report(400.0).util == pytest.approx(0.5)
    finish(provider)
    assert provider.report(1100.0).util > 0 and provider.report(1400.0).util == 0.0


def test_connections_cost_work_and_are_capped() -> None:
    provider = make(ProviderSpec(connections=2, handshake_ms=5.0, full_tax=0.5, probe_ms=1.0))
    provider.offer(0.0, Job(1, [100.0]))
    assert provider.connect(0.0) and provider.connect(0.0) and not provider.connect(0.0) and provider.probe(0.0)
    assert only(finish(provider)) == pytest.approx((100 + 5 + 5 + 1) * 2)
    assert provider.ledger.excess == 11.0
    provider.disconnect(500.0)
    assert provider.connect(500.0)


def test_faults_on_a_machine() -> None:
    provider = make(ProviderSpec())
    provider.offer(0.0, Job(1, [100.0]))
    provider.set_interference(50.0, slowdown=5.0)
    provider.set_interference(100.0, stalled=True)
    assert provider.next_event_ms() == float("inf")
    provider.set_interference(200.0, stalled=False, slowdown=1.0, neighbour_share=0.5)
    assert only(finish(provider)) == pytest.approx(200 + 40 * 2)
    provider.error_burst = 1.0
    provider.offer(500.0, Job(2, [1.0]))
    assert [e.end for _, e in finish(provider) if isinstance(e, JobFinished)] == [JobEnd.ERROR]

"""Queueing theory holds the provider's model to account: nobody here wrote it.

Each case runs one provider under Poisson arrivals and compares a long mean with the formula, within what the
batches of the run say of its error. Seeds are fixed, so a case gives one verdict.
"""

from __future__ import annotations

from math import factorial, inf, sqrt

import numpy as np
import pytest

from limenotch.lab.model.chance import Chance, Seeds
from limenotch.lab.model.clients import ClassSpec, draw_size
from limenotch.lab.model.jobs import Job, JobEnd, JobFinished
from limenotch.lab.model.keys import KeyGroup
from limenotch.lab.model.provider import Provider
from limenotch.lab.model.provider_spec import ProviderSpec

JOBS = 60_000


def simulate(
    spec: ProviderSpec, rate: float, mean: float, size: ClassSpec, jobs: int = JOBS, seed: int = 1
) -> tuple[list[float], int, Provider]:
    """Times in the system of served jobs, the number of rejected ones, and the provider after its last job."""
    seeds = Seeds(seed)
    gaps, sizes = seeds.stream("gaps"), seeds.stream("sizes")
    provider = Provider("p", spec, seeds.stream("p"), KeyGroup(), 0.0)
    now, took, lost = 0.0, [], 0

    def until(end: float) -> None:
        while (next_event_ms := provider.next_event_ms()) <= end:
            for effect in provider.run(next_event_ms):
                assert isinstance(effect, JobFinished) and effect.end is JobEnd.SERVED
                took.append(next_event_ms - effect.job.arrived_at_ms)
            if next_event_ms == inf:
                return

    for number in range(jobs):
        now += gaps.exponential() / rate
        until(now)
        lost += not provider.offer(now, Job(number, [mean * draw_size(size, sizes)]))
    while provider.job_count:
        until(provider.next_event_ms())
    return took, lost, provider


def close(values: list[float], expected: float) -> bool:
    """Within four standard errors, by means of batches (neighbours in a queue are alike)."""
    batches = [float(np.mean(b)) for b in np.array_split(np.array(values), 30)]
    error = float(np.std(batches, ddof=1)) / sqrt(len(batches))
    assert error < 0.06 * expected, "the run is too short to tell anything"
    return abs(float(np.mean(batches)) - expected) < 4 * error


def erlang_c(servers: int, offered: float) -> float:
    """Chance of having to wait in M/M/c (Erlang's second formula)."""
    last = offered**servers / factorial(servers) * servers / (servers - offered)
    return last / (sum(offered**k / factorial(k) for k in range(servers)) + last)


EXP = ClassSpec("e", 1, 1, dist="exp")


@pytest.mark.parametrize("load", [0.3, 0.6, 0.85])
def test_mm1(load: float) -> None:
    took, lost, _ = simulate(ProviderSpec(), load / 10, 10, EXP)
    assert lost == 0 and close(took, 10 / (1 - load))


@pytest.mark.parametrize(("servers", "load"), [(3, 0.5), (3, 0.8), (8, 0.7)])
def test_mmc(servers: int, load: float) -> None:
    took, _, _ = simulate(ProviderSpec(cores=servers, slots=servers, speed=2.0), 2 * servers * load / 10, 10, EXP)
    assert close(took, 5 + erlang_c(servers, servers * load) * 5 / (servers * (1 - load)))


@pytest.mark.parametrize(("dist", "cv"), [("fixed", 0.0), ("lognormal", 0.5), ("lognormal", 1.4)])
def test_mg1_by_pollaczek_and_khinchine(dist: str, cv: float) -> None:
    load = 0.6
    took, _, _ = simulate(ProviderSpec(), load / 10, 10, ClassSpec("g", 1, 1, dist=dist, cv=cv))
    assert close(took, 10 + load * 10 * (1 + cv * cv) / (2 * (1 - load)))


@pytest.mark.parametrize(("dist", "cv"), [("fixed", 0.0), ("lognormal", 1.4)])
def test_shared_cores_do_not_care_how_work_is_distributed(dist: str, cv: float) -> None:
    """M/G/1 with processor sharing: the mean time is that of M/M/1 for any distribution."""
    load = 0.6
    took, _, _ = simulate(ProviderSpec(slots=10**6), load / 10, 10, ClassSpec("g", 1, 1, dist=dist, cv=cv))
    assert close(took, 10 / (1 - load))


@pytest.mark.parametrize(("servers", "room", "load"), [(1, 4, 0.9), (3, 2, 1.3), (4, 0, 0.8)])
def test_mmck_loss(servers: int, room: int, load: float) -> None:
    offered, most = load * servers, servers + room
    weights = [offered**k / factorial(min(k, servers)) / servers ** max(k - servers, 0) for k in range(most + 1)]
    expected = weights[-1] / sum(weights)
    _, lost, _ = simulate(ProviderSpec(cores=servers, slots=servers, queue=room), offered / 10, 10, EXP)
    # Losses come in clusters: twice the binomial error, times four.
    assert abs(lost / JOBS - expected) < 8 * sqrt(expected * (1 - expected) / JOBS)


@pytest.mark.parametrize(
    "spec",
    [
        ProviderSpec(
            cores=2, slots=6, queue=3, crowd_at=3, crowd_loss=0.5, choke_at=2, choke_slower=2, choke_over_ms=50
        ),
        ProviderSpec(cores=3, slots=3, queue=2, error_rate=0.0, handshake_ms=1.0, report_ms=70),
    ],
    ids=["crowded", "small"],
)
def test_littles_law_and_the_books(spec: ProviderSpec) -> None:
    took, lost, provider = simulate(spec, 0.4, 10, EXP, jobs=8000)
    ledger = provider.ledger
    assert lost == ledger.turned_away > 0
    assert ledger.held_ms == pytest.approx(ledger.sojourn_ms) and ledger.sojourn_ms == pytest.approx(sum(took))
    assert ledger.offered == pytest.approx(ledger.served + ledger.refused)
    assert ledger.wasted == ledger.unspent == 0


def test_streams_are_the_same_by_name_and_independent_of_order() -> None:
    one, two = Seeds(5), Seeds(5)
    two.stream("other").uniform()
    assert [one.stream("a", 1).uniform() for _ in "xy"] == [two.stream("a", 1).uniform() for _ in "xy"]
    assert Seeds(6).stream("a", 1).uniform() != one.stream("a", 1).uniform() != one.stream("a", 2).uniform()
    draw: Chance = Seeds(1).stream("size")
    for spec in (EXP, ClassSpec("l", 1, 1, dist="lognormal", cv=1.4), ClassSpec("f", 1, 1, dist="fixed")):
        assert np.mean([draw_size(spec, draw) for _ in range(20_000)]) == pytest.approx(1.0, rel=0.05)

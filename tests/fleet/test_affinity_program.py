"""Affinity at one sidecar: when requests are bound, where bound requests go, what unbinds them. No sockets."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch import toml
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.settings import Bindings as BindingsSettings
from limenotch.fleet_adapters.affinity import composite_key
from limenotch.load_balancer_types import NEVER_RAN, AttemptEnding, DiscoveryStatus
from limenotch.net.request import Verdict
from limenotch.settings_file import parse as parse_settings

from .affinity_node import (
    CLASSES,
    FAR,
    NEAR,
    RESPONSE,
    SERVED,
    SETTINGS,
    SidecarHarness,
    config,
    discovered_endpoint,
    run,
)

# Keys


def test_a_key_is_bound_before_its_first_byte_and_repeats_stay_in_that_zone() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        zones = set()
        for number in range(12):
            key = b"%d" % number
            served_by = await sidecar.send_served(key=key)
            first, bound = sidecar.bindings_at_start[-1], sidecar.key_binding("keyed", "acme", key)
            assert first is not None and (first.endpoint, first.state, first.charged) == (
                served_by,
                State.OPENING,
                False,
            )
            assert bound is not None and (bound.endpoint, bound.state, bound.charged) == (served_by, State.OPEN, True)
            assert bound.zone == discovered_endpoint(served_by).zone
            zones.add(bound.zone)
            for _ in range(6):
                assert discovered_endpoint(await sidecar.send_served(key=key, is_retry=True)).zone == bound.zone
                assert sidecar.last_request.already_charged
        assert zones == {"east", "west"} and sidecar.count("repeats") == 72 and sidecar.count("keyed") == 84
        assert not sidecar.adapter._request_bindings and not sidecar.adapter._key_attempts

    run(run_case)


def test_keys_are_separate_by_tenant_and_class_and_only_deduplicated_classes_bind() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        await sidecar.send_served(key=b"k")
        assert sidecar.key_binding("keyed", "bolt", b"k") is None and sidecar.key_binding("other", "acme", b"k") is None
        for options in ({"tenant": "bolt"}, {"class_name": "other"}):
            await sidecar.send_served(key=b"k", **options)
            assert sidecar.last_request.placement_hint is None and not sidecar.last_request.already_charged
        for class_name in ("free", "once"):
            await sidecar.send_served(class_name=class_name, key=b"k")
            assert sidecar.key_binding(class_name, "acme", b"k") is None and sidecar.last_request.placement_hint is None
        await sidecar.send_served(class_name="keyed")  # without a key a repeat is not recognized
        assert sidecar.count("keyed") == 3
        assert composite_key(b"ab", b"c", b"") != composite_key(b"a", b"bc", b"") != composite_key(b"a", b"b", b"c")

    run(run_case)


def test_a_repeat_is_rejected_if_no_endpoint_can_deduplicate_it() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        served_by = await sidecar.send_served(key=b"k")
        zone = NEAR if served_by in NEAR else FAR
        sidecar.list(zone, DiscoveryStatus.TERMINATING)
        bound = sidecar.key_binding("keyed", "acme", b"k")
        assert bound is not None and bound.zone == discovered_endpoint(served_by).zone  # a key stays where it ran
        attempt_count = len(sidecar.attempts)
        assert (await sidecar.send(key=b"k", is_retry=True)).verdict is Verdict.REJECTED
        assert len(sidecar.attempts) == attempt_count
        sidecar.list(zone[:1], complete=False)
        assert await sidecar.send_served(key=b"k", is_retry=True) == zone[0]

    run(run_case)


def test_a_repeat_after_its_class_window_is_rejected_though_the_key_is_still_bound() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        await sidecar.send_served(class_name="other", key=b"k")
        sidecar.skew += 1900.0
        await sidecar.send_served(class_name="other", key=b"k")
        sidecar.skew += 200.0  # 2.1 s after the first request, 0.2 s after the latest
        attempt_count = len(sidecar.attempts)
        assert (await sidecar.send(class_name="other", key=b"k")).verdict is Verdict.REJECTED and len(
            sidecar.attempts
        ) == attempt_count

    run(run_case)


@pytest.mark.parametrize("ending", [each for each in AttemptEnding if each is not SERVED])
def test_only_an_attempt_that_never_ran_unbinds_the_key(ending: AttemptEnding) -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        sidecar.send(key=b"k")
        sidecar.request_manager.client_disconnected(sidecar.last_request)  # its attempt is still in flight
        assert sidecar.key_binding("keyed", "acme", b"k") is not None
        sidecar.end_attempt(ending)
        assert (sidecar.key_binding("keyed", "acme", b"k") is None) is (ending in NEVER_RAN)
        assert not sidecar.adapter._request_bindings and not sidecar.adapter._key_attempts
        assert sidecar.count("undone") == (ending in NEVER_RAN)

    run(run_case)


def test_a_rejected_key_is_bound_anew_where_its_next_attempt_goes() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        moved = 0
        for number in range(20):
            final = sidecar.send(key=b"%d" % number)
            first, attempt_count = sidecar.end_attempt(AttemptEnding.REJECTED), len(sidecar.attempts)
            second = sidecar.attempts[-1].endpoint_name
            bound = sidecar.key_binding("keyed", "acme", b"%d" % number)
            if final.done():
                assert final.result().verdict is Verdict.REJECTED and bound is None
                continue
            assert sidecar.attempts[-2].endpoint_name == first and bound is not None and bound.endpoint == second
            moved += discovered_endpoint(first).zone != discovered_endpoint(second).zone
            sidecar.end_attempt()
            assert (await final).verdict is Verdict.SERVED and len(sidecar.attempts) == attempt_count
        assert moved and sidecar.count("undone") == 20

    run(run_case)


def test_a_key_stays_bound_while_another_request_is_in_flight_may_have_run_or_bound_it() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        for other in (None, AttemptEnding.TIMED_OUT):
            key = b"%r" % other
            sidecar.send(key=key)
            first_attempt = sidecar.attempts[-1]
            sidecar.request_manager.client_disconnected(first_attempt.request)
            sidecar.send(key=key)
            second_attempt = sidecar.attempts[-1]
            sidecar.request_manager.client_disconnected(second_attempt.request)
            if other is not None:
                sidecar.request_manager.attempt_ended(second_attempt, other)
            sidecar.request_manager.attempt_ended(first_attempt, AttemptEnding.CONNECT_FAILED)
            assert sidecar.key_binding("keyed", "acme", key) is not None
            if other is None:
                # Now nothing can have run.
                sidecar.request_manager.attempt_ended(second_attempt, AttemptEnding.NOT_SENT)
                assert sidecar.key_binding("keyed", "acme", key) is None
        sidecar.send(key=b"before")
        sidecar.request_manager.client_disconnected(sidecar.last_request)
        sidecar.end_attempt(AttemptEnding.TIMED_OUT)
        sidecar.send(key=b"before")
        sidecar.request_manager.client_disconnected(sidecar.last_request)
        sidecar.end_attempt(AttemptEnding.CONNECT_FAILED)  # the first attempt may have run
        assert sidecar.key_binding("keyed", "acme", b"before") is not None
        assert not sidecar.adapter._request_bindings and not sidecar.adapter._key_attempts

    run(run_case)


def test_a_marked_repeat_of_an_unknown_key_is_rejected_while_the_table_is_incomplete() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(complete=False)
        assert sidecar.adapter.status()["state"] == "joining"
        final = await sidecar.send(key=b"k", is_retry=True)
        assert (final.verdict, final.quota_exhausted, sidecar.attempts, sidecar.count("unsure")) == (
            Verdict.REJECTED,
            False,
            [],
            1,
        )
        await sidecar.send_served(key=b"k")
        await sidecar.send_served(key=b"k", is_retry=True)  # the key is known by now
        await sidecar.send_served(class_name="free", is_retry=True)
        assert not sidecar.adapter._request_bindings and not sidecar.adapter._key_attempts

    run(run_case)


def test_a_full_table_rejects_no_request() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(most=16, most_opening=1.0))
        for number in range(20):
            await sidecar.send_served(key=b"%d" % number)
        assert sidecar.count("unbound") >= 4 and sidecar.adapter.status()["held"] == 16
        assert (
            sidecar.key_binding("keyed", "acme", b"0") is not None
            and sidecar.key_binding("keyed", "acme", b"19") is None
        )

    run(run_case)


def test_keys_are_not_bound_if_disabled() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(keys=False), complete=False)
        await sidecar.send_served(key=b"k", is_retry=True)
        assert sidecar.adapter.status()["held"] == 0 and sidecar.count("keyed") == 0

    run(run_case)


def test_bindings_and_settings_from_before_the_start_are_retained() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(session="x-session"), started=False)
        served_by = await sidecar.send_served(key=b"k", fields={"x-session": "s"})
        sidecar.send(key=b"free")
        sidecar.request_manager.client_disconnected(sidecar.last_request)
        sidecar.end_attempt(AttemptEnding.CONNECT_FAILED)
        sidecar.start_component()
        bound = sidecar.key_binding("keyed", "acme", b"k")
        assert bound is not None and (bound.endpoint, bound.zone, bound.charged) == (
            served_by,
            discovered_endpoint(served_by).zone,
            True,
        )
        assert sidecar.key_binding("keyed", "acme", b"free") is None and sidecar.session_binding(b"s") is not None
        sidecar.skew += 8000.0  # the class's window of 9 s applies, not the 2 s that the settings have for opening
        assert sidecar.key_binding("keyed", "acme", b"k") is not None

    run(run_case)


def test_windows_follow_the_configured_classes() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness()
        longer = {**SETTINGS, "classes": [*CLASSES[:1], {**CLASSES[1], "window_ms": 30_000.0}, *CLASSES[3:]]}
        sidecar.adapter.configuration_applied(config(longer))
        sidecar.request_manager.execute(sidecar.load_balancer.apply_settings(config(longer).settings))
        await sidecar.send_served(key=b"k")
        sidecar.skew += 20_000.0
        assert sidecar.key_binding("keyed", "acme", b"k") is not None
        await sidecar.send_served(class_name="free")
        sidecar.skew += 13_000.0  # includes the allowance for clock drift
        assert sidecar.key_binding("keyed", "acme", b"k") is None

    run(run_case)


# Sessions and connections


def test_a_session_stays_until_its_endpoint_is_unavailable_then_moves_once() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(session="X-Session"))
        for reason in ("drains", "leaves", "banned"):
            name = {"x-session": reason}
            served_by = await sidecar.send_served(class_name="free", fields=name)
            assert {await sidecar.send_served(class_name="free", fields=name) for _ in range(15)} == {served_by}
            others = {await sidecar.send_served(class_name="free", tenant="bolt", fields=name) for _ in range(15)}
            assert len(others) == 1  # another tenant's session of the same name is a different session
            if reason == "banned":
                sidecar.adapter.ejection_changed(served_by, True, 0.0)
                sidecar.request_manager.execute(sidecar.load_balancer.set_ejected(served_by, True))
            else:
                sidecar.list(
                    [served_by], DiscoveryStatus.TERMINATING if reason == "drains" else DiscoveryStatus.TERMINATED
                )
            assert sidecar.session_binding(reason.encode()) is None  # at once
            next_endpoint = await sidecar.send_served(class_name="free", fields=name)
            assert next_endpoint != served_by and {
                await sidecar.send_served(class_name="free", fields=name) for _ in range(15)
            } == {next_endpoint}
            if reason == "banned":
                sidecar.adapter.ejection_changed(served_by, False, 1.0)
                sidecar.request_manager.execute(sidecar.load_balancer.set_ejected(served_by, False, 1.0))
            else:
                sidecar.list([served_by])
            # The first endpoint is back: the session does not move again.
            assert await sidecar.send_served(class_name="free", fields=name) == next_endpoint

    run(run_case)


def test_a_connection_stays_with_its_endpoint_and_closes_with_its_end() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(connections=True))
        served_by = await sidecar.send_served(class_name="free", connection="1.2.3.4:5")
        assert {await sidecar.send_served(class_name="free", connection="1.2.3.4:5") for _ in range(15)} == {served_by}
        key = sidecar.adapter._connections["1.2.3.4:5"].key
        sidecar.adapter.connection_closed("1.2.3.4:5")
        bound = sidecar.adapter._table.find(sidecar.now(), Kind.CONN, key)
        assert bound is not None and bound.state is State.CLOSING and not sidecar.adapter._connections
        seen = {await sidecar.send_served(class_name="free", connection=f"1.2.3.4:{port}") for port in range(5, 25)}
        assert len(seen) > 1  # the first of them is a new connection from the same address
        sidecar.adapter.connection_closed("unknown")

    run(run_case)


def test_key_precedes_session_and_session_precedes_connection() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(session="x-session", connections=True))
        first_endpoint = await sidecar.send_served(class_name="free", connection="o", fields={"x-session": "s"})
        other_endpoint = next(
            name for name in NEAR + FAR if discovered_endpoint(name).zone != discovered_endpoint(first_endpoint).zone
        )
        table, now = sidecar.adapter._table, sidecar.now()
        table.record_use(now, Kind.KEY, composite_key(b"keyed", b"acme", b"k"), other_endpoint, State.OPEN)
        served_by = await sidecar.send_served(key=b"k", connection="o", fields={"x-session": "s"})
        assert discovered_endpoint(served_by).zone == discovered_endpoint(other_endpoint).zone
        # The session was not moved.
        assert await sidecar.send_served(class_name="free", connection="o", fields={"x-session": "s"}) == first_endpoint
        assert await sidecar.send_served(key=b"new", connection="o", fields={"x-session": "s"}) == first_endpoint
        table.record_use(now, Kind.SESSION, composite_key(b"acme", b"", b"t"), other_endpoint, State.OPEN)
        assert await sidecar.send_served(class_name="free", connection="o", fields={"x-session": "t"}) == other_endpoint
        assert await sidecar.send_served(class_name="free", connection="o") == first_endpoint

    run(run_case)


def test_a_streamed_response_binds_while_its_attempt_continues() -> None:
    async def run_case() -> None:
        sidecar = SidecarHarness(BindingsSettings(session="x-session"))
        final = sidecar.send(key=b"k", fields={"x-session": "s"})
        attempt = sidecar.attempts[-1]
        assert sidecar.request_manager.response_started(attempt, RESPONSE)
        assert (await final).verdict is Verdict.SERVED
        bound, session = sidecar.key_binding("keyed", "acme", b"k"), sidecar.session_binding(b"s")
        assert bound is not None and bound.charged and session is not None and session.endpoint == attempt.endpoint_name
        sidecar.request_manager.stream_ended(sidecar.last_request, "answered")
        sidecar.request_manager.attempt_ended(attempt, AttemptEnding.RESET)
        assert not sidecar.adapter._request_bindings and not sidecar.adapter._key_attempts
        assert sidecar.key_binding("keyed", "acme", b"k") is not None

    run(run_case)


# Settings


def test_the_example_has_every_key_at_its_default(tmp_path: Path) -> None:
    example = (Path(__file__).parent.parent.parent / "deploy" / "fleet.toml").read_text()
    (tmp_path / "key").write_text("sixteen bytes ok")
    text = example.replace("/etc/limenotch/fleet.key", str(tmp_path / "key"))
    assert parse_settings(text, "x").fleet.bindings == BindingsSettings()
    section = text[text.index("[fleet.bindings]") :]
    keys = {line.split(" ")[0] for line in section.splitlines() if " = " in line.split("#")[0]}
    tables = {line.split("]")[0].rpartition(".")[2] for line in section.splitlines() if line.startswith("[")}
    assert keys | tables >= set(BindingsSettings.__struct_fields__) | {
        "opening",
        "open",
        "closing",
        "lingering",
        "longest",
    }
    for setting, message in (
        (' session = "x y"', "fleet.bindings.session: expected the name of a header field"),
        ('sesion = "x"', "fleet.bindings.sesion: unknown key"),
        ("most = 1", "fleet.bindings.most"),
    ):
        bad = text[: text.index("[fleet.bindings]")] + f"[fleet.bindings]\n{setting}\n"
        with pytest.raises(toml.FaultError, match=message):
            parse_settings(bad, "f.toml")

"""Bindings at one sidecar: which calls are bound when, where a bound one goes, what frees it. No sockets."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch import toml
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.settings import Bindings as Table
from limenotch.fleet_adapters.affinity import composite_key
from limenotch.load_balancer_types import NEVER_RAN, AttemptEnding, DiscoveryStatus
from limenotch.net.request import Verdict
from limenotch.settings_file import parse as parse_settings

from .affinity_node import ANSWER, CLASSES, FAR, NEAR, SERVED, SETTINGS, House, config, endpoint, run

# Keys


def test_a_key_is_bound_before_its_first_byte_and_its_repeats_stay_in_that_zone() -> None:
    async def case() -> None:
        house = House()
        zones = set()
        for number in range(12):
            key = b"%d" % number
            by = await house.served(key=key)
            first, bound = house.bound_when_made[-1], house.bound("keyed", "acme", key)
            assert first is not None and (first.endpoint, first.state, first.charged) == (by, State.OPENING, False)
            assert bound is not None and (bound.endpoint, bound.state, bound.charged) == (by, State.OPEN, True)
            assert bound.zone == endpoint(by).zone
            zones.add(bound.zone)
            for _ in range(6):
                assert endpoint(await house.served(key=key, resent=True)).zone == bound.zone
                assert house.last.already_charged
        assert zones == {"east", "west"} and house.count("repeats") == 72 and house.count("keyed") == 84
        assert not house.layer._request_bindings and not house.layer._key_attempts

    run(case)


def test_keys_of_another_tenant_or_class_and_calls_of_other_effects_are_others() -> None:
    async def case() -> None:
        house = House()
        await house.served(key=b"k")
        assert house.bound("keyed", "bolt", b"k") is None and house.bound("other", "acme", b"k") is None
        for about in ({"tenant": "bolt"}, {"kind": "other"}):
            await house.served(key=b"k", **about)
            assert house.last.placement_hint is None and not house.last.already_charged
        for kind in ("free", "once"):
            await house.served(kind=kind, key=b"k")
            assert house.bound(kind, "acme", b"k") is None and house.last.placement_hint is None
        await house.served(kind="keyed")  # without a key nobody would know its repeat
        assert house.count("keyed") == 3
        assert composite_key(b"ab", b"c", b"") != composite_key(b"a", b"bc", b"") != composite_key(b"a", b"b", b"c")

    run(case)


def test_where_nobody_is_left_who_drops_it_a_repeat_is_rejected_and_never_sent() -> None:
    async def case() -> None:
        house = House()
        by = await house.served(key=b"k")
        zone = NEAR if by in NEAR else FAR
        house.list(zone, DiscoveryStatus.TERMINATING)
        bound = house.bound("keyed", "acme", b"k")
        assert bound is not None and bound.zone == endpoint(by).zone  # a key stays where it ran
        made = len(house.made)
        assert (await house.take(key=b"k", resent=True)).verdict is Verdict.REJECTED
        assert len(house.made) == made
        house.list(zone[:1], whole=False)
        assert await house.served(key=b"k", resent=True) == zone[0]

    run(case)


def test_after_its_class_s_window_a_repeat_is_not_sent_though_its_binding_lives_for_the_longest() -> None:
    async def case() -> None:
        house = House()
        await house.served(kind="other", key=b"k")
        house.skew += 1900.0
        await house.served(kind="other", key=b"k")
        house.skew += 200.0  # 2.1 s after the first of them, 0.2 s after the latest
        made = len(house.made)
        assert (await house.take(kind="other", key=b"k")).verdict is Verdict.REJECTED and len(house.made) == made

    run(case)


@pytest.mark.parametrize("ending", [each for each in AttemptEnding if each is not SERVED])
def test_only_what_surely_never_ran_frees_the_key(ending: AttemptEnding) -> None:
    async def case() -> None:
        house = House()
        house.take(key=b"k")
        house.calls.client_disconnected(house.last)  # its attempt is still out
        assert house.bound("keyed", "acme", b"k") is not None
        house.end(ending)
        assert (house.bound("keyed", "acme", b"k") is None) is (ending in NEVER_RAN)
        assert not house.layer._request_bindings and not house.layer._key_attempts
        assert house.count("undone") == (ending in NEVER_RAN)

    run(case)


def test_a_key_that_was_turned_away_is_bound_anew_where_its_next_attempt_goes() -> None:
    async def case() -> None:
        house = House()
        moved = 0
        for number in range(20):
            final = house.take(key=b"%d" % number)
            first, made = house.end(AttemptEnding.REJECTED), len(house.made)
            second = house.made[-1].endpoint_name
            bound = house.bound("keyed", "acme", b"%d" % number)
            if final.done():
                assert final.result().verdict is Verdict.REJECTED and bound is None
                continue
            assert house.made[-2].endpoint_name == first and bound is not None and bound.endpoint == second
            moved += endpoint(first).zone != endpoint(second).zone
            house.end()
            assert (await final).verdict is Verdict.SERVED and len(house.made) == made
        assert moved and house.count("undone") == 20

    run(case)


def test_a_key_is_not_freed_while_another_call_of_it_is_out_or_may_have_run_or_bound_it() -> None:
    async def case() -> None:
        house = House()
        for other in (None, AttemptEnding.TIMED_OUT):
            key = b"%r" % other
            house.take(key=key)
            one = house.made[-1]
            house.calls.client_disconnected(one.request)
            house.take(key=key)
            two = house.made[-1]
            house.calls.client_disconnected(two.request)
            if other is not None:
                house.calls.attempt_ended(two, other)
            house.calls.attempt_ended(one, AttemptEnding.CONNECT_FAILED)
            assert house.bound("keyed", "acme", key) is not None
            if other is None:
                house.calls.attempt_ended(two, AttemptEnding.NOT_SENT)  # now nothing can have run
                assert house.bound("keyed", "acme", key) is None
        house.take(key=b"before")
        house.calls.client_disconnected(house.last)
        house.end(AttemptEnding.TIMED_OUT)
        house.take(key=b"before")
        house.calls.client_disconnected(house.last)
        house.end(AttemptEnding.CONNECT_FAILED)  # not what the first was
        assert house.bound("keyed", "acme", b"before") is not None
        assert not house.layer._request_bindings and not house.layer._key_attempts

    run(case)


def test_while_the_table_is_not_whole_a_marked_repeat_of_an_unknown_key_is_rejected() -> None:
    async def case() -> None:
        house = House(whole=False)
        assert house.layer.status()["state"] == "joining"
        final = await house.take(key=b"k", resent=True)
        assert (final.verdict, final.quota_exhausted, house.made, house.count("unsure")) == (
            Verdict.REJECTED,
            False,
            [],
            1,
        )
        await house.served(key=b"k")
        await house.served(key=b"k", resent=True)  # known by now
        await house.served(kind="free", resent=True)
        assert not house.layer._request_bindings and not house.layer._key_attempts

    run(case)


def test_a_full_table_refuses_no_call() -> None:
    async def case() -> None:
        house = House(Table(most=16, most_opening=1.0))
        for number in range(20):
            await house.served(key=b"%d" % number)
        assert house.count("unbound") >= 4 and house.layer.status()["held"] == 16
        assert house.bound("keyed", "acme", b"0") is not None and house.bound("keyed", "acme", b"19") is None

    run(case)


def test_without_keys_none_are_bound() -> None:
    async def case() -> None:
        house = House(Table(keys=False), whole=False)
        await house.served(key=b"k", resent=True)
        assert house.layer.status()["held"] == 0 and house.count("keyed") == 0

    run(case)


def test_what_was_bound_before_the_part_began_is_kept_and_so_is_what_it_is_to_know() -> None:
    async def case() -> None:
        house = House(Table(session="x-session"), begun=False)
        by = await house.served(key=b"k", fields={"x-session": "s"})
        house.take(key=b"free")
        house.calls.client_disconnected(house.last)
        house.end(AttemptEnding.CONNECT_FAILED)
        house.begin()
        bound = house.bound("keyed", "acme", b"k")
        assert bound is not None and (bound.endpoint, bound.zone, bound.charged) == (by, endpoint(by).zone, True)
        assert house.bound("keyed", "acme", b"free") is None and house.session(b"s") is not None
        house.skew += 8000.0  # the window is told too: its class's, 9 s, not the settings' 2 s of what is opening
        assert house.bound("keyed", "acme", b"k") is not None

    run(case)


def test_windows_follow_the_classes_in_force() -> None:
    async def case() -> None:
        house = House()
        longer = {**SETTINGS, "classes": [*CLASSES[:1], {**CLASSES[1], "window_ms": 30_000.0}, *CLASSES[3:]]}
        house.layer.configuration_applied(config(longer))
        house.calls.execute(house.facade.apply_settings(config(longer).settings))
        await house.served(key=b"k")
        house.skew += 20_000.0
        assert house.bound("keyed", "acme", b"k") is not None
        await house.served(kind="free")
        house.skew += 13_000.0  # with what clocks may differ by
        assert house.bound("keyed", "acme", b"k") is None

    run(case)


# Sessions and connections


def test_a_session_stays_until_its_provider_may_take_no_work_then_moves_once() -> None:
    async def case() -> None:
        house = House(Table(session="X-Session"))
        for go in ("drains", "leaves", "banned"):
            name = {"x-session": go}
            by = await house.served(kind="free", fields=name)
            assert {await house.served(kind="free", fields=name) for _ in range(15)} == {by}
            others = {await house.served(kind="free", tenant="bolt", fields=name) for _ in range(15)}
            assert len(others) == 1  # the same name of another tenant is another session
            if go == "banned":
                house.layer.ejection_changed(by, True, 0.0)
                house.calls.execute(house.facade.set_ejected(by, True))
            else:
                house.list([by], DiscoveryStatus.TERMINATING if go == "drains" else DiscoveryStatus.TERMINATED)
            assert house.session(go.encode()) is None  # at once
            then = await house.served(kind="free", fields=name)
            assert then != by and {await house.served(kind="free", fields=name) for _ in range(15)} == {then}
            if go == "banned":
                house.layer.ejection_changed(by, False, 1.0)
                house.calls.execute(house.facade.set_ejected(by, False, 1.0))
            else:
                house.list([by])
            assert await house.served(kind="free", fields=name) == then  # the other one is back: it does not move again

    run(case)


def test_a_connection_stays_with_its_provider_and_closes_with_its_end() -> None:
    async def case() -> None:
        house = House(Table(connections=True))
        by = await house.served(kind="free", origin="1.2.3.4:5")
        assert {await house.served(kind="free", origin="1.2.3.4:5") for _ in range(15)} == {by}
        key = house.layer._connections["1.2.3.4:5"].key
        house.layer.connection_closed("1.2.3.4:5")
        bound = house.layer._table.find(house.now(), Kind.CONN, key)
        assert bound is not None and bound.state is State.CLOSING and not house.layer._connections
        seen = {await house.served(kind="free", origin=f"1.2.3.4:{port}") for port in range(5, 25)}
        assert len(seen) > 1  # the first of them is another connection from the same place
        house.layer.connection_closed("unknown")

    run(case)


def test_of_key_session_and_connection_the_first_that_is_bound_counts() -> None:
    async def case() -> None:
        house = House(Table(session="x-session", connections=True))
        home = await house.served(kind="free", origin="o", fields={"x-session": "s"})
        away = next(name for name in NEAR + FAR if endpoint(name).zone != endpoint(home).zone)
        table, now = house.layer._table, house.now()
        table.record_use(now, Kind.KEY, composite_key(b"keyed", b"acme", b"k"), away, State.OPEN)
        by = await house.served(key=b"k", origin="o", fields={"x-session": "s"})
        assert endpoint(by).zone == endpoint(away).zone
        assert await house.served(kind="free", origin="o", fields={"x-session": "s"}) == home  # not moved
        assert await house.served(key=b"new", origin="o", fields={"x-session": "s"}) == home
        table.record_use(now, Kind.SESSION, composite_key(b"acme", b"", b"t"), away, State.OPEN)
        assert await house.served(kind="free", origin="o", fields={"x-session": "t"}) == away
        assert await house.served(kind="free", origin="o") == home

    run(case)


def test_what_a_long_answer_began_with_is_seen_though_its_attempt_goes_on() -> None:
    async def case() -> None:
        house = House(Table(session="x-session"))
        final = house.take(key=b"k", fields={"x-session": "s"})
        invoker_call = house.made[-1]
        assert house.calls.response_started(invoker_call, ANSWER)
        assert (await final).verdict is Verdict.SERVED
        bound, session = house.bound("keyed", "acme", b"k"), house.session(b"s")
        assert (
            bound is not None
            and bound.charged
            and session is not None
            and session.endpoint == invoker_call.endpoint_name
        )
        house.calls.stream_ended(house.last, "answered")
        house.calls.attempt_ended(invoker_call, AttemptEnding.RESET)
        assert not house.layer._request_bindings and not house.layer._key_attempts
        assert house.bound("keyed", "acme", b"k") is not None

    run(case)


# Settings


def test_the_example_has_every_key_at_its_default(tmp_path: Path) -> None:
    example = (Path(__file__).parent.parent.parent / "deploy" / "fleet.toml").read_text()
    (tmp_path / "key").write_text("sixteen bytes ok")
    text = example.replace("/etc/limenotch/fleet.key", str(tmp_path / "key"))
    assert parse_settings(text, "x").fleet.bindings == Table()
    part = text[text.index("[fleet.bindings]") :]
    keys = {line.split(" ")[0] for line in part.splitlines() if " = " in line.split("#")[0]}
    tables = {line.split("]")[0].rpartition(".")[2] for line in part.splitlines() if line.startswith("[")}
    assert keys | tables >= set(Table.__struct_fields__) | {"opening", "open", "closing", "lingering", "longest"}
    for more, says in (
        (' session = "x y"', "fleet.bindings.session: expected the name of a header field"),
        ('sesion = "x"', "fleet.bindings.sesion: unknown key"),
        ("most = 1", "fleet.bindings.most"),
    ):
        bad = text[: text.index("[fleet.bindings]")] + f"[fleet.bindings]\n{more}\n"
        with pytest.raises(toml.FaultError, match=says):
            parse_settings(bad, "f.toml")

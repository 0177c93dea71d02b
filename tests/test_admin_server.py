"""The operators' address on loopback, bans and their file, figures."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from limenotch import operator_ejections as bans_module
from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import (
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
)
from limenotch.balancing.types import (
    BalancerSettings,
    Effect,
    Endpoint,
    SlowStart,
    TrafficClass,
)
from limenotch.metrics import Metrics
from limenotch.net import http1
from limenotch.net.sockets import MAX_OPERATOR_CONNECTIONS as MOST
from limenotch.operator_ejections import FILE_SUFFIX, LOCK_SUFFIX, OperatorEjections, decode, encode

from .helpers.http_peers import DELIVER, GET_HEALTH, LOOK, fetch, reply, replying, with_new_id
from .helpers.processes import free_port, run, with_sidecar

GET_STATS = b"GET /stats HTTP/1.1\r\nHost: o\r\n\r\n"


def post(name: str, action: str) -> bytes:
    return b"POST /endpoints/%b/%b HTTP/1.1\r\nContent-Length: 0\r\n\r\n" % (name.encode(), action.encode())


def figures_of(answer: http1.Message) -> dict[str, tuple[float, str]]:
    lines = answer.body.decode().splitlines()
    pairs = [(line.partition(":")[0], line.partition(":")[2].partition("|")) for line in lines]
    assert len({name for name, _ in pairs}) == len(pairs), "a figure stands twice"
    return {name: (float(value), kind) for name, (value, _, kind) in pairs}


def file_of(folder: Path, port: int) -> Path:
    return folder / f"limenotch-127.0.0.1-{port}{FILE_SUFFIX}"


async def conserved(admin: int) -> dict[str, tuple[float, str]]:
    """The figures, which must add up at every step."""
    figures = figures_of(await fetch(admin, GET_STATS))
    ends = sum(v for n, (v, _) in figures.items() if n.endswith((".answered", ".deferred", ".errored", ".departed")))
    assert figures["lb.taken"][0] == ends + figures["lb.current"][0]
    return figures


Use = Callable[[int, int], Coroutine[Any, Any, None]]


def play(answers: list[bytes], use: Use, folder: Path | None = None, port: int = 0) -> list[http1.Message]:
    handler, seen = replying(*answers)
    admin = free_port()
    environ = {"TMPDIR": str(folder)} if folder is not None else {}
    port = port or free_port()

    async def both(port: int) -> None:
        await use(port, admin)

    run(with_sidecar(handler, both, extra={"admin_addr": f"127.0.0.1:{admin}"}, port=port, environ=environ))
    return seen


def test_calls_of_operators_and_their_faults() -> None:
    async def use(port: int, admin: int) -> None:
        for wire, status in [
            (GET_HEALTH, 200),
            (GET_STATS, 200),
            (GET_HEALTH.replace(b"check", b""), 404),
            (post("zz", "maint"), 404),
            (post("zz", "ready"), 404),
            (post("a", "away"), 404),
            (b"nonsense\r\n\r\n", 400),
            (post("", "maint"), 404),
            (GET_HEALTH.replace(b"GET", b"HTTP"), 405),
        ]:
            answer = await fetch(admin, wire)
            assert (answer.status, answer.keep_alive) == (status, False), wire
        for wire, allow in [
            (GET_STATS.replace(b"GET", b"POST"), b"GET"),
            (post("a", "maint").replace(b"POST", b"GET"), b"POST"),
        ]:
            answer = await fetch(admin, wire)
            assert (answer.status, answer.fields[b"allow"]) == (405, allow)
        assert (await fetch(port, GET_STATS)).status == 400  # consumers get none of this

    play([reply(200)], use)


def test_silent_callers_keep_nobody_out() -> None:
    # Guards the 1 s in which an answer is owed beside callers that hold their connections and say nothing.
    async def use(port: int, admin: int) -> None:
        silent = [await asyncio.open_connection("127.0.0.1", admin) for _ in range(MOST * 2)]
        for _, writer in silent:
            writer.write(b"GET /hea")
        for _ in range(3):
            assert (await fetch(admin, GET_HEALTH)).status == 200
        assert [await reader.read() for reader, _ in silent[:MOST]] == [b""] * MOST
        for _, writer in silent:
            writer.close()

    play([reply(200)], use)


def test_a_slow_caller_is_told_so(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("limenotch.net.admin.server.REQUEST_TIMEOUT_S", 0.1)

    async def use(port: int, admin: int) -> None:
        assert (await fetch(admin, b"GET /healthch")).status == 408

    play([reply(200)], use)


def test_figures_say_what_peers_saw() -> None:
    async def use(port: int, admin: int) -> None:
        assert (await fetch(port, LOOK)).status == 200
        assert (await fetch(port, with_new_id(DELIVER))).status == 502  # tried twice
        assert (await fetch(port, with_new_id(LOOK))).status == 503  # likewise, and harmless to repeat
        figures = await conserved(admin)
        for name, value in {
            "look.answered": 1,
            "look.deferred": 1,
            "look.errored": 0,
            "deliver.errored": 1,
            "deliver.sends": 2,
            "look.sends": 3,
        }.items():
            assert figures["lb.transactions." + name] == (value, "c"), name
        for name, value in {"current": 0, "cluster_size": 2, "cluster_unhealthy": 0}.items():
            assert figures["lb." + name] == (value, "g"), name
        assert figures["lb.sends"] == (5, "c")

    play([reply(200), reply(500)], use)


def test_a_call_under_way_is_current_and_one_whose_consumer_goes_departs() -> None:
    async def case() -> None:
        arrived = asyncio.Event()

        async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            arrived.set()
            await reader.read()
            writer.close()

        admin = free_port()

        async def use(port: int) -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(LOOK)
            await arrived.wait()
            figures = await conserved(admin)
            assert figures["lb.current"] == (1, "g") and figures["lb.transactions.look.sends"] == (1, "c")
            writer.close()
            while (await conserved(admin))["lb.transactions.look.departed"][0] < 1:
                pass

        await with_sidecar(handler, use, extra={"admin_addr": f"127.0.0.1:{admin}"})

    run(case())


def test_names_of_classes_cannot_break_a_line() -> None:
    figures = Metrics()
    figures.count_ended("a.b:1|c\nx", "answered")
    (line,) = [n for n in figures.render({}).split(b"\n") if n.endswith(b"answered:1|c")]
    assert line == b"lb.transactions.a_b_1_c_x.answered:1|c"


def test_banned_providers_get_nothing_and_serve_again(tmp_path: Path) -> None:
    async def use(port: int, admin: int) -> None:
        for _ in range(2):  # repeated calls change nothing
            assert (await fetch(admin, post("a", "maint"))).status == 200
        assert (await fetch(admin, post("b", "maint"))).status == 200  # all of them
        assert (await conserved(admin))["lb.cluster_unhealthy"] == (2, "g")
        budget = LOOK.replace(b"20000m", b"100m")
        assert (await fetch(port, budget)).status in (502, 503, 504)
        assert decode(file_of(tmp_path, port).read_bytes())[0] == {"a", "b"}
        assert (await fetch(admin, post("a", "ready"))).status == 200
        assert (await conserved(admin))["lb.cluster_unhealthy"] == (1, "g")
        assert (await fetch(port, LOOK)).status == 200

    assert len(play([reply(200)], use, tmp_path)) == 1


def test_bans_outlive_the_process_and_a_full_folder_refuses_none(tmp_path: Path) -> None:
    own = free_port()
    file_of(tmp_path, own).write_bytes(encode({"a", "b", "gone"}, {"c": 5.0}))

    async def use(port: int, admin: int) -> None:
        assert (await conserved(admin))["lb.cluster_unhealthy"] == (2, "g")
        file_of(tmp_path, port).unlink()
        tmp_path.rename(tmp_path.with_name("elsewhere"))  # nothing can be written from now on
        answer = await fetch(admin, post("gone", "ready"))  # not listed, but out
        assert answer.status == 200 and b"not kept" in answer.body
        assert (await fetch(admin, post("a", "ready"))).status == 200
        assert (await conserved(admin))["lb.cluster_unhealthy"] == (1, "g")

    play([reply(200)], use, tmp_path, own)


Told = tuple[str, bool, float]


def kept(folder: Path) -> tuple[OperatorEjections, list[Told]]:
    told: list[Told] = []
    return OperatorEjections(str(folder / "n"), lambda *change: told.append(change)), told


def test_two_processes_see_each_others_bans(tmp_path: Path) -> None:
    async def case() -> None:
        (one, told_one), (two, told_two) = kept(tmp_path), kept(tmp_path)
        assert await one.set_ejected("a", True, 1.0)
        two.reload_if_changed()
        assert told_two == [("a", True, 0.0)]
        assert await two.set_ejected("b", True, 2.0) and await two.set_ejected("a", False, 3.0)
        one.reload_if_changed()
        assert one.ejected == two.ejected == {"b"} and one.readmitted == {"a": 3.0}
        assert sorted(told_one) == [("a", False, 3.0), ("a", True, 0.0), ("b", True, 0.0)]
        # Both at once, each with what the other has not seen yet: neither ban is lost.
        await asyncio.gather(one.set_ejected("c", True, 4.0), two.set_ejected("d", True, 4.0))
        one.reload_if_changed()
        two.reload_if_changed()
        assert one.ejected == two.ejected == {"b", "c", "d"}

    run(case())


def test_a_lock_that_is_never_given_back_delays_a_ban_only(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bans_module, "LOCK_RETRY_INTERVAL_S", 0.0)

    async def case() -> None:
        held = os.open(tmp_path / ("n" + LOCK_SUFFIX), os.O_RDWR | os.O_CREAT)
        fcntl.flock(held, fcntl.LOCK_EX)
        one, told = kept(tmp_path)
        assert not await one.set_ejected("a", True, 1.0)  # in force, and said not to be sure to last
        assert told == [("a", True, 0.0)]
        os.close(held)

    run(case())


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"limenotch_bans": 2}',
        b'{"limenotch_bans": 1, "out": "a", "back": {}}',
        b'{"limenotch_bans": 1, "out": [], "back": {"a": NaN}}',
        b'{"limenotch_bans": 1, "out": [1], "back": {}}',
        b"\xff\xfe",
        encode({"a"}, {})[:-3],
    ],
)
def test_a_foreign_or_torn_file_counts_as_none(tmp_path: Path, raw: bytes) -> None:
    (tmp_path / ("n" + FILE_SUFFIX)).write_bytes(raw)
    bans, told = kept(tmp_path)
    bans.load()
    assert not told and not bans.ejected


def test_what_is_written_is_read() -> None:
    assert decode(encode({"a", "ä"}, {"b": 1.5})) == ({"a", "ä"}, {"b": 1.5})
    assert json.loads(encode(set(), {}))["out"] == []


# The module

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400, 900),)
COLD = SlowStart(0.1, 20_000.0, 4.0, 3000.0)


def balancer_of(*names: str) -> Balancer:
    balancer = Balancer(BalancerSettings(classes=CLASSES, slow_start=COLD), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(n) for n in names)))
    return balancer


def sent(balancer: Balancer, now: float, call: str) -> list[str]:
    return [a.endpoint for a in balancer.handle(now, RequestArrived(call, 0, 900)) if isinstance(a, SendAttempt)]

"""The operators' HTTP address, operator ejections and their file, and metrics."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from limenotch import operator_ejections
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
from limenotch.net.sockets import MAX_OPERATOR_CONNECTIONS
from limenotch.operator_ejections import FILE_SUFFIX, LOCK_SUFFIX, OperatorEjections, decode, encode

from .helpers.http_peers import DELIVER, GET_HEALTH, LOOK, fetch, reply, replying, with_new_id
from .helpers.processes import free_port, run, with_sidecar

GET_STATS = b"GET /stats HTTP/1.1\r\nHost: o\r\n\r\n"


def post(name: str, action: str) -> bytes:
    return b"POST /endpoints/%b/%b HTTP/1.1\r\nContent-Length: 0\r\n\r\n" % (name.encode(), action.encode())


def metrics_of(response: http1.Message) -> dict[str, tuple[float, str]]:
    lines = response.body.decode().splitlines()
    pairs = [(line.partition(":")[0], line.partition(":")[2].partition("|")) for line in lines]
    assert len({name for name, _ in pairs}) == len(pairs), "a metric is written twice"
    return {name: (float(value), kind) for name, (value, _, kind) in pairs}


def ejections_file(folder: Path, port: int) -> Path:
    return folder / f"limenotch-127.0.0.1-{port}{FILE_SUFFIX}"


async def consistent_metrics(admin: int) -> dict[str, tuple[float, str]]:
    """Reads the metrics and checks that accepted requests equal those ended plus those open."""
    metrics = metrics_of(await fetch(admin, GET_STATS))
    ended = sum(v for n, (v, _) in metrics.items() if n.endswith((".answered", ".deferred", ".errored", ".departed")))
    assert metrics["lb.taken"][0] == ended + metrics["lb.current"][0]
    return metrics


Use = Callable[[int, int], Coroutine[Any, Any, None]]


def play(responses: list[bytes], use: Use, folder: Path | None = None, port: int = 0) -> list[http1.Message]:
    handler, requests = replying(*responses)
    admin = free_port()
    environ = {"TMPDIR": str(folder)} if folder is not None else {}
    port = port or free_port()

    async def use_both(port: int) -> None:
        await use(port, admin)

    run(with_sidecar(handler, use_both, extra={"admin_addr": f"127.0.0.1:{admin}"}, port=port, environ=environ))
    return requests


def test_operator_requests_and_their_errors() -> None:
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
            response = await fetch(admin, wire)
            assert (response.status, response.keep_alive) == (status, False), wire
        for wire, allow in [
            (GET_STATS.replace(b"GET", b"POST"), b"GET"),
            (post("a", "maint").replace(b"POST", b"GET"), b"POST"),
        ]:
            response = await fetch(admin, wire)
            assert (response.status, response.fields[b"allow"]) == (405, allow)
        assert (await fetch(port, GET_STATS)).status == 400  # clients don't reach this address

    play([reply(200)], use)


def test_idle_operator_connections_block_no_other() -> None:
    # Guards the 1 s in which operators get a response while other connections stay open and send nothing.
    async def use(port: int, admin: int) -> None:
        idle_connections = [
            await asyncio.open_connection("127.0.0.1", admin) for _ in range(MAX_OPERATOR_CONNECTIONS * 2)
        ]
        for _, writer in idle_connections:
            writer.write(b"GET /hea")
        for _ in range(3):
            assert (await fetch(admin, GET_HEALTH)).status == 200
        assert [await reader.read() for reader, _ in idle_connections[:MAX_OPERATOR_CONNECTIONS]] == [
            b""
        ] * MAX_OPERATOR_CONNECTIONS
        for _, writer in idle_connections:
            writer.close()

    play([reply(200)], use)


def test_a_slow_operator_request_times_out_with_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("limenotch.net.admin.server.REQUEST_TIMEOUT_S", 0.1)

    async def use(port: int, admin: int) -> None:
        assert (await fetch(admin, b"GET /healthch")).status == 408

    play([reply(200)], use)


def test_metrics_match_what_peers_observed() -> None:
    async def use(port: int, admin: int) -> None:
        assert (await fetch(port, LOOK)).status == 200
        assert (await fetch(port, with_new_id(DELIVER))).status == 502  # two attempts
        assert (
            await fetch(port, with_new_id(LOOK))
        ).status == 503  # two attempts too; a repeat is harmless, so the request counts as rejected
        metrics = await consistent_metrics(admin)
        for name, value in {
            "look.answered": 1,
            "look.deferred": 1,
            "look.errored": 0,
            "deliver.errored": 1,
            "deliver.sends": 2,
            "look.sends": 3,
        }.items():
            assert metrics["lb.transactions." + name] == (value, "c"), name
        for name, value in {"current": 0, "cluster_size": 2, "cluster_unhealthy": 0}.items():
            assert metrics["lb." + name] == (value, "g"), name
        assert metrics["lb.sends"] == (5, "c")

    play([reply(200), reply(500)], use)


def test_a_request_in_flight_is_current_and_departs_with_its_client() -> None:
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
            metrics = await consistent_metrics(admin)
            assert metrics["lb.current"] == (1, "g") and metrics["lb.transactions.look.sends"] == (1, "c")
            writer.close()
            while (await consistent_metrics(admin))["lb.transactions.look.departed"][0] < 1:
                pass

        await with_sidecar(handler, use, extra={"admin_addr": f"127.0.0.1:{admin}"})

    run(case())


def test_class_names_cannot_break_a_metrics_line() -> None:
    metrics = Metrics()
    metrics.count_ended("a.b:1|c\nx", "answered")
    (line,) = [n for n in metrics.render({}).split(b"\n") if n.endswith(b"answered:1|c")]
    assert line == b"lb.transactions.a_b_1_c_x.answered:1|c"


def test_ejected_endpoints_get_no_requests_until_readmitted(tmp_path: Path) -> None:
    async def use(port: int, admin: int) -> None:
        for _ in range(2):  # repeated requests change nothing
            assert (await fetch(admin, post("a", "maint"))).status == 200
        assert (await fetch(admin, post("b", "maint"))).status == 200  # all endpoints are ejected
        assert (await consistent_metrics(admin))["lb.cluster_unhealthy"] == (2, "g")
        short_deadline = LOOK.replace(b"20000m", b"100m")
        assert (await fetch(port, short_deadline)).status in (502, 503, 504)
        assert decode(ejections_file(tmp_path, port).read_bytes())[0] == {"a", "b"}
        assert (await fetch(admin, post("a", "ready"))).status == 200
        assert (await consistent_metrics(admin))["lb.cluster_unhealthy"] == (1, "g")
        assert (await fetch(port, LOOK)).status == 200

    assert len(play([reply(200)], use, tmp_path)) == 1


def test_ejections_outlive_the_process_and_a_failed_write_rejects_none(tmp_path: Path) -> None:
    listen_port = free_port()
    ejections_file(tmp_path, listen_port).write_bytes(encode({"a", "b", "gone"}, {"c": 5.0}))

    async def use(port: int, admin: int) -> None:
        assert (await consistent_metrics(admin))["lb.cluster_unhealthy"] == (2, "g")
        ejections_file(tmp_path, port).unlink()
        tmp_path.rename(tmp_path.with_name("elsewhere"))  # writes fail from now on
        response = await fetch(admin, post("gone", "ready"))  # not listed, but ejected
        assert response.status == 200 and b"not kept" in response.body
        assert (await fetch(admin, post("a", "ready"))).status == 200
        assert (await consistent_metrics(admin))["lb.cluster_unhealthy"] == (1, "g")

    play([reply(200)], use, tmp_path, listen_port)


Change = tuple[str, bool, float]


def load_ejections(folder: Path) -> tuple[OperatorEjections, list[Change]]:
    reported: list[Change] = []
    return OperatorEjections(str(folder / "n"), lambda *change: reported.append(change)), reported


def test_two_processes_share_their_ejections(tmp_path: Path) -> None:
    async def case() -> None:
        (first, reported_first), (second, reported_second) = load_ejections(tmp_path), load_ejections(tmp_path)
        assert await first.set_ejected("a", True, 1.0)
        second.reload_if_changed()
        assert reported_second == [("a", True, 0.0)]
        assert await second.set_ejected("b", True, 2.0) and await second.set_ejected("a", False, 3.0)
        first.reload_if_changed()
        assert first.ejected == second.ejected == {"b"} and first.readmitted == {"a": 3.0}
        assert sorted(reported_first) == [("a", False, 3.0), ("a", True, 0.0), ("b", True, 0.0)]
        # Concurrent changes that the other process has not read yet: neither ejection is lost.
        await asyncio.gather(first.set_ejected("c", True, 4.0), second.set_ejected("d", True, 4.0))
        first.reload_if_changed()
        second.reload_if_changed()
        assert first.ejected == second.ejected == {"b", "c", "d"}

    run(case())


def test_a_lock_that_is_never_released_only_delays_an_ejection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_ejections, "LOCK_RETRY_INTERVAL_S", 0.0)

    async def case() -> None:
        lock_descriptor = os.open(tmp_path / ("n" + LOCK_SUFFIX), os.O_RDWR | os.O_CREAT)
        fcntl.flock(lock_descriptor, fcntl.LOCK_EX)
        first, reported = load_ejections(tmp_path)
        assert not await first.set_ejected("a", True, 1.0)  # in force, but reported as not stored
        assert reported == [("a", True, 0.0)]
        os.close(lock_descriptor)

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
def test_a_foreign_or_truncated_file_counts_as_empty(tmp_path: Path, raw: bytes) -> None:
    (tmp_path / ("n" + FILE_SUFFIX)).write_bytes(raw)
    ejections, reported = load_ejections(tmp_path)
    ejections.load()
    assert not reported and not ejections.ejected


def test_encoded_ejections_are_decoded() -> None:
    assert decode(encode({"a", "ä"}, {"b": 1.5})) == ({"a", "ä"}, {"b": 1.5})
    assert json.loads(encode(set(), {}))["out"] == []


# The module

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400, 900),)
SLOW_START = SlowStart(0.1, 20_000.0, 4.0, 3000.0)


def balancer_with(*names: str) -> Balancer:
    balancer = Balancer(BalancerSettings(classes=CLASSES, slow_start=SLOW_START), seed=3)
    balancer.handle(0.0, MembershipUpdate(MembershipKind.COMPLETE, tuple(Endpoint(n) for n in names)))
    return balancer


def attempted_endpoints(balancer: Balancer, now: float, request_id: str) -> list[str]:
    return [a.endpoint for a in balancer.handle(now, RequestArrived(request_id, 0, 900)) if isinstance(a, SendAttempt)]

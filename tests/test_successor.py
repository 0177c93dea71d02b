"""One process of a sidecar takes over from another: within one event loop, and with processes that end at any step."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from limenotch.balancing import Balancer
from limenotch.balancing.actions import SendAttempt
from limenotch.balancing.events import (
    AttemptFinished,
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
    SettingsChanged,
)
from limenotch.balancing.learned_state import export_state, import_state
from limenotch.balancing.settings import read_settings
from limenotch.balancing.types import BalancerSettings, Effect, Endpoint, Outcome, SlowStart, TrafficClass
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import DiscoveredEndpoint, DiscoveryStatus
from limenotch.net import http1, successor
from limenotch.net.client_listener import BACKLOG
from limenotch.net.successor import Successor

from .helpers.http_peers import LOOK, SETTINGS, Reader, Writer, fetch, read_response, reply
from .helpers.processes import Processes, free_port, run
from .test_admin_server import GET_STATS, metrics_of, post

AT = ("127.0.0.1", 1)


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    sock.setblocking(False)
    return sock


def make_successor(
    path_prefix: Path, address: tuple[str, int], counts: list[int], state: dict[str, Any] | None = None
) -> Successor:
    """One side of the hand-over, with the state that it hands over; `counts` gets the numbers of processes."""
    return Successor(str(path_prefix), address, lambda: state or {}, counts.append)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


@pytest.mark.parametrize("long", [False, True], ids=["short path", "longer than an address holds"])
def test_listener_and_state_are_handed_over_and_both_processes_count_each_other(tmp_path: Path, long: bool) -> None:
    folder = tmp_path / ("d" * 120 if long else "d")
    folder.mkdir()

    async def case() -> None:
        sock = listener()
        at = sock.getsockname()
        counts_before: list[int] = []
        counts_after: list[int] = []
        before = make_successor(folder / "n", at, counts_before, {"list": [1]})
        before.offer_listener(sock)
        after = make_successor(folder / "n", at, counts_after)
        inherited = await after.request_handover()
        assert inherited is not None and inherited.state == {"version": 1, "list": [1]}
        assert inherited.listener.getsockname() == at and inherited.listener.fileno() != sock.fileno()
        assert counts_before == [2] and after.process_count == 2 and not before.successor_serves
        await after.confirm_serving()
        assert before.successor_serves  # known on return: the old process may be ended from now on
        after.offer_listener(inherited.listener)
        third = make_successor(folder / "n", at, [])
        assert (await third.request_handover()) is not None and after.process_count == 3
        after.close()
        third.close()
        await until(lambda: before.process_count == 1)
        assert counts_before[-1] == 1 and not before.successor_serves
        # The process that ended had replaced the Unix socket, which has to be restored for the next process.
        assert (await make_successor(folder / "n", at, []).request_handover()) is not None
        before.close()

    run(case())


async def silent(reader: Reader, writer: Writer) -> None:
    await reader.read()


def responds(*lines: bytes) -> Callable[[Reader, Writer], Awaitable[None]]:
    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readline()
        writer.writelines(lines)
        writer.close()

    return handle


@pytest.mark.parametrize(
    "predecessor",
    [silent, responds(b""), responds(b"L", b"{}\n"), responds(b"\xff" * 99)],
    ids=["silent", "hangs up", "no listener", "noise"],
)
def test_a_process_starts_without_a_predecessor_that_does_not_hand_over(
    tmp_path: Path, predecessor: Callable[[Reader, Writer], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(successor, "HANDOVER_TIMEOUT_S", 0.2)

    async def case() -> None:
        await asyncio.start_unix_server(predecessor, tmp_path / "n.sock")
        after = make_successor(tmp_path / "n", AT, [])
        assert await after.request_handover() is None and after.process_count == 1
        await after.confirm_serving()

    run(case())


def test_stale_missing_and_unwritable_paths_do_not_prevent_the_start(tmp_path: Path) -> None:
    async def case() -> None:
        assert await make_successor(tmp_path / "n", AT, []).request_handover() is None
        with socket.socket(socket.AF_UNIX) as stale:
            stale.bind(str(tmp_path / "n.sock"))
        assert await make_successor(tmp_path / "n", AT, []).request_handover() is None
        nowhere = make_successor(tmp_path / "not there" / "n", AT, [])
        assert await nowhere.request_handover() is None
        nowhere.offer_listener(listener())
        assert await Successor(None, AT, dict, lambda _: None).request_handover() is None

    run(case())


def test_a_listener_of_another_address_is_not_taken_over(tmp_path: Path) -> None:
    async def case() -> None:
        before = make_successor(tmp_path / "n", AT, [])
        before.offer_listener(listener())
        assert await make_successor(tmp_path / "n", AT, []).request_handover() is None
        before.close()

    run(case())


# Processes


class Sidecars:
    """Processes of one sidecar, an endpoint, and the statuses of the responses that clients received."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder, free_port()
        self.statuses: list[int] = []
        self.announced_ends = 0  # responses that announced the end of their connection
        self._ids = itertools.count()
        self._processes = Processes(folder)

    async def start_endpoint(self) -> None:
        async def handler(reader: Reader, writer: Writer) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(reply(200))

        self.server = await asyncio.start_server(handler, "127.0.0.1", 0)
        self.provider = self.server.sockets[0].getsockname()[1]

    async def start(self, known: bool = False, kept: bool = True) -> tuple[asyncio.subprocess.Process, int]:
        """A process that is ready, and its port for operators; `known`: with endpoints, `kept`: with the folder."""
        endpoints = [{"name": n, "address": f"127.0.0.1:{self.provider}", "status": "in_service"} for n in "ab"]
        raw = {
            "name": "n",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{free_port()}",
            "settings": SETTINGS,
        }
        if known:
            raw["known"] = {"index": 3, "snapshot": True, "endpoints": endpoints}
        return await self._processes.serve(raw, kept)

    def next_request(self) -> bytes:
        return LOOK.replace(b"Id: 1", b"Id: %d" % next(self._ids))

    async def new_connections(self, stop: asyncio.Event) -> None:
        """Sends one request on each connection, one after another."""
        while not stop.is_set():
            self.statuses.append((await fetch(self.port, self.next_request())).status)

    async def kept_connection(self, stop: asyncio.Event) -> None:
        """Sends requests on one connection; opens another one only if the sidecar announces its end."""
        writer: Writer | None = None
        while not stop.is_set():
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                parser = http1.ResponseParser()
            writer.write(self.next_request())
            answer = await read_response(reader, parser)
            self.statuses.append(answer.status)
            if not answer.keep_alive:
                self.announced_ends += 1
                writer = None

    async def end(self) -> None:
        await self._processes.kill_all()


def run_case(folder: Path, case: Callable[[Sidecars], Awaitable[None]]) -> None:
    async def run_and_clean_up() -> None:
        sidecars = Sidecars(folder)
        await sidecars.start_endpoint()
        try:
            await case(sidecars)
        finally:
            await sidecars.end()

    run(run_and_clean_up())


@pytest.mark.parametrize("twice", [False, True], ids=["once", "a second one before the first has ended"])
def test_no_request_is_lost_while_one_process_takes_over_from_another(tmp_path: Path, twice: bool) -> None:
    async def case(sidecars: Sidecars) -> None:
        old, admin = await sidecars.start(known=True)
        assert (await fetch(admin, post("b", "maint"))).status == 200
        stop = asyncio.Event()
        load = [asyncio.create_task(sidecars.new_connections(stop)) for _ in range(4)]
        load += [asyncio.create_task(sidecars.kept_connection(stop))]
        new, new_admin = await sidecars.start()  # list and ejection come from the old process, as discovery is down
        metrics = metrics_of(await fetch(new_admin, GET_STATS))
        assert metrics["lb.cluster_size"][0] == 2 and metrics["lb.cluster_unhealthy"][0] == 1
        # While both processes run, each applies the ejections of the other one.
        assert (await fetch(new_admin, post("b", "ready"))).status == 200
        while metrics_of(await fetch(admin, GET_STATS))["lb.cluster_unhealthy"][0]:
            await asyncio.sleep(0.01)
        last = new
        if twice:
            last, _ = await sidecars.start()
            new.send_signal(signal.SIGTERM)
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        assert not twice or await new.wait() == 0
        served = len(sidecars.statuses)
        await until_more(sidecars, served + 20, load)
        stop.set()
        await asyncio.gather(*load)
        assert set(sidecars.statuses) == {200} and sidecars.announced_ends >= 1
        assert last.returncode is None

    run_case(tmp_path, case)


async def until_more(sidecars: Sidecars, count: int, load: list[asyncio.Task[None]]) -> None:
    while len(sidecars.statuses) < count:
        for task in load:
            assert not task.done() or task.exception() is None, task.exception()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("kept", [True, False], ids=["handed over", "nothing in common but the address"])
@pytest.mark.parametrize("killed", ["old", "new"])
def test_if_either_process_is_killed_the_other_one_serves(tmp_path: Path, kept: bool, killed: str) -> None:
    async def case(sidecars: Sidecars) -> None:
        old, _ = await sidecars.start(known=True, kept=kept)
        new, _ = await sidecars.start(known=True, kept=kept)
        dead, alive = (old, new) if killed == "old" else (new, old)
        dead.kill()
        await dead.wait()
        for _ in range(10):
            assert (await fetch(sidecars.port, LOOK)).status == 200
        assert alive.returncode is None
        # A further process can take over from either.
        await sidecars.start(known=True, kept=kept)
        alive.send_signal(signal.SIGTERM)
        assert await alive.wait() == 0
        assert (await fetch(sidecars.port, LOOK)).status == 200

    run_case(tmp_path, case)


# Learned state

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400, 900),)
SLOW_START = SlowStart(0.1, 20_000.0, 4.0, 3000.0)


def balancer_with_learned_state() -> Balancer:
    balancer = Balancer(BalancerSettings(classes=CLASSES, slow_start=SLOW_START), seed=3)
    rows = (Endpoint("a", kind=1), Endpoint("b", started_ms=5.0), Endpoint("c", started_ms=7.0))
    balancer.handle(10.0, MembershipUpdate(MembershipKind.COMPLETE, rows))
    now = 10.0
    for number in range(60):
        now += 40.0
        for action in balancer.handle(now, RequestArrived(str(number), 0, 900)):
            if isinstance(action, SendAttempt):
                finished = AttemptFinished(str(number), action.endpoint, 0, 30.0, Outcome.OK, True, 0.5, 20.0 + number)
                balancer.handle(now + 30.0, finished)
    return balancer


def test_learned_state_is_imported_except_that_of_an_endpoint_that_restarted() -> None:
    old = balancer_with_learned_state()
    exported = json.loads(json.dumps(export_state(old)))
    new = Balancer(BalancerSettings(classes=CLASSES, slow_start=SLOW_START), seed=4)
    rows = (Endpoint("a", kind=1), Endpoint("b", started_ms=5.0), Endpoint("c", started_ms=2500.0))
    new.handle(2500.0, MembershipUpdate(MembershipKind.COMPLETE, rows))
    import_state(new, exported)
    again = export_state(new)
    assert (
        again["usual"] == exported["usual"]
        and again["kinds"] == exported["kinds"]
        and again["scalars"] == exported["scalars"]
    )
    assert again["servers"]["a"] == exported["servers"]["a"] and again["servers"]["b"] == exported["servers"]["b"]
    assert again["servers"]["c"] != exported["servers"]["c"]
    # The old process's credit for endpoints in slow start is not granted a second time.
    assert all(server.slow_start_credit == 0.0 for server in new.registry.endpoints.values())


@pytest.mark.parametrize("path", ["version", "scalars", "entry", "usual.look", "tier", "kinds.1", "servers.a"])
@pytest.mark.parametrize("value", [None, "x", [], [1, "x"], [float("nan")] * 9, [[]], {"a": 1}, -1, True], ids=str)
def test_invalid_learned_state_is_rejected_completely(path: str, value: object) -> None:
    exported = json.loads(json.dumps(export_state(balancer_with_learned_state())))
    parent: Any = exported
    *outer_keys, last_key = path.split(".")
    for key in outer_keys:
        parent = parent[int(key) if key.isdigit() and isinstance(parent, list) else key]
    parent[int(last_key) if isinstance(parent, list) else last_key] = value
    new = balancer_with_learned_state()
    before = export_state(new)
    with pytest.raises(ValueError, match="learned state"):
        import_state(new, exported)
    assert export_state(new) == before


def test_learned_state_of_endpoint_kinds_is_imported_by_their_names() -> None:
    def make_load_balancer(kinds: list[str]) -> LoadBalancer:
        load_balancer = LoadBalancer(read_settings(SETTINGS), 1, ["z"], kinds, clock=lambda: 1000.0)
        load_balancer.endpoints_listed([DiscoveredEndpoint("a", AT, DiscoveryStatus.IN_SERVICE, "z", "fast")], True)
        return load_balancer

    old, new = make_load_balancer(["fast", "slow"]), make_load_balancer(["slow", "fast"])
    old._balancer.registry.profiles[0].recent = 3.0
    new.import_state(json.loads(json.dumps(old.export_state())))
    assert new._balancer.registry.profiles[1].recent == 3.0
    invalid_states: list[Any] = [None, [], {}, {"kinds": 3}, {"kinds": {}, "module": None}]
    for exported in invalid_states:
        with pytest.raises(ValueError, match="learned state"):
            new.import_state(exported)


def test_two_processes_share_the_slow_start_rate_of_one() -> None:
    balancer = balancer_with_learned_state()
    full_rate = balancer.slow_start_rate
    balancer.handle(5000.0, SettingsChanged(BalancerSettings(classes=CLASSES, slow_start=SLOW_START, processes=2)))
    shared_rate = balancer.slow_start_rate
    balancer.handle(5000.0, SettingsChanged(BalancerSettings(classes=CLASSES, slow_start=SLOW_START)))
    assert shared_rate == pytest.approx(balancer.slow_start_rate / 2) and full_rate > 0


def test_both_processes_can_reload_twice_during_a_hand_over(tmp_path: Path) -> None:
    async def case(sidecars: Sidecars) -> None:
        old, old_admin = await sidecars.start(known=True)
        stop = asyncio.Event()
        load = [asyncio.create_task(sidecars.new_connections(stop)) for _ in range(2)]
        new, new_admin = await sidecars.start()
        for process, admin in ((old, old_admin), (new, new_admin)):
            path = sidecars.folder / f"{admin}.json"
            raw = json.loads(path.read_text())
            raw["settings"]["permissions"]["max_attempts"] = 1
            path.write_text(json.dumps(raw))
            for count in (1, 2):
                process.send_signal(signal.SIGHUP)
                while metrics_of(await fetch(admin, GET_STATS))["lb.conf_loaded"][0] < count:
                    await asyncio.sleep(0.01)
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        await until_more(sidecars, len(sidecars.statuses) + 10, load)
        stop.set()
        await asyncio.gather(*load)
        assert set(sidecars.statuses) == {200}

    run_case(tmp_path, case)


def test_sigterm_before_the_first_list_ends_in_order(tmp_path: Path) -> None:
    async def case(sidecars: Sidecars) -> None:
        starting = asyncio.create_task(sidecars.start())  # it receives no list, so it is never ready
        while True:
            await asyncio.sleep(0.01)
            with contextlib.suppress(OSError):
                if (await fetch(sidecars.port, b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n")).status == 503:
                    break
        (process,) = sidecars._processes.all
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        starting.cancel()

    run_case(tmp_path, case)

"""One process of a sidecar takes over from another: in one loop, and as processes that are ended at any step."""

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


def member(kept: Path, at: tuple[str, int], counts: list[int], told: dict[str, Any] | None = None) -> Successor:
    return Successor(str(kept), at, lambda: told or {}, counts.append)


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0)


@pytest.mark.parametrize("long", [False, True], ids=["short path", "longer than an address holds"])
def test_listener_and_knowledge_go_over_and_each_knows_of_the_other(tmp_path: Path, long: bool) -> None:
    folder = tmp_path / ("d" * 120 if long else "d")
    folder.mkdir()

    async def case() -> None:
        sock = listener()
        at = sock.getsockname()
        ours: list[int] = []
        theirs: list[int] = []
        before = member(folder / "n", at, ours, {"list": [1]})
        before.offer_listener(sock)
        after = member(folder / "n", at, theirs)
        got = await after.request_handover()
        assert got is not None and got.state == {"version": 1, "list": [1]}
        assert got.listener.getsockname() == at and got.listener.fileno() != sock.fileno()
        assert ours == [2] and after.process_count == 2 and not before.successor_serves
        await after.confirm_serving()
        assert before.successor_serves  # known before `serving` returns: the old one may be ended from then on
        after.offer_listener(got.listener)
        third = member(folder / "n", at, [])
        assert (await third.request_handover()) is not None and after.process_count == 3
        after.close()
        third.close()
        await until(lambda: before.process_count == 1)
        assert ours[-1] == 1 and not before.successor_serves
        # The one that died had put its door in place of ours: the next still finds us.
        assert (await member(folder / "n", at, []).request_handover()) is not None
        before.close()

    run(case())


async def silent(reader: Reader, writer: Writer) -> None:
    await reader.read()


def says(*words: bytes) -> Callable[[Reader, Writer], Awaitable[None]]:
    async def handle(reader: Reader, writer: Writer) -> None:
        await reader.readline()
        writer.writelines(words)
        writer.close()

    return handle


@pytest.mark.parametrize(
    "door",
    [silent, says(b""), says(b"L", b"{}\n"), says(b"\xff" * 99)],
    ids=["silent", "hangs up", "no listener", "noise"],
)
def test_a_door_that_is_no_sidecars_is_given_up(
    tmp_path: Path, door: Callable[[Reader, Writer], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(successor, "HANDOVER_TIMEOUT_S", 0.2)

    async def case() -> None:
        await asyncio.start_unix_server(door, tmp_path / "n.sock")
        after = member(tmp_path / "n", AT, [])
        assert await after.request_handover() is None and after.process_count == 1
        await after.confirm_serving()

    run(case())


def test_stale_missing_and_unwritable_paths_stop_no_start(tmp_path: Path) -> None:
    async def case() -> None:
        assert await member(tmp_path / "n", AT, []).request_handover() is None
        with socket.socket(socket.AF_UNIX) as stale:
            stale.bind(str(tmp_path / "n.sock"))
        assert await member(tmp_path / "n", AT, []).request_handover() is None
        nowhere = member(tmp_path / "not there" / "n", AT, [])
        assert await nowhere.request_handover() is None
        nowhere.offer_listener(listener())
        assert await Successor(None, AT, dict, lambda _: None).request_handover() is None

    run(case())


def test_a_listener_of_another_address_is_not_taken(tmp_path: Path) -> None:
    async def case() -> None:
        before = member(tmp_path / "n", AT, [])
        before.offer_listener(listener())
        assert await member(tmp_path / "n", AT, []).request_handover() is None
        before.close()

    run(case())


# Processes


class Sidecars:
    """Processes of one sidecar, a provider, and what consumers got."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder, free_port()
        self.statuses: list[int] = []
        self.closing = 0
        self._ids = itertools.count()
        self._processes = Processes(folder)

    async def provide(self) -> None:
        async def handler(reader: Reader, writer: Writer) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(reply(200))

        self.server = await asyncio.start_server(handler, "127.0.0.1", 0)
        self.provider = self.server.sockets[0].getsockname()[1]

    async def start(self, known: bool = False, kept: bool = True) -> tuple[asyncio.subprocess.Process, int]:
        """A process and its second address; returns when it is ready."""
        listed = [{"name": n, "address": f"127.0.0.1:{self.provider}", "status": "in_service"} for n in "ab"]
        raw = {
            "name": "n",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{free_port()}",
            "settings": SETTINGS,
        }
        if known:
            raw["known"] = {"index": 3, "snapshot": True, "endpoints": listed}
        return await self._processes.serve(raw, kept)

    def call(self) -> bytes:
        return LOOK.replace(b"Id: 1", b"Id: %d" % next(self._ids))

    async def new_connections(self, stop: asyncio.Event) -> None:
        """One call to a connection, one after another."""
        while not stop.is_set():
            self.statuses.append((await fetch(self.port, self.call())).status)

    async def kept_connection(self, stop: asyncio.Event) -> None:
        """Calls on one connection; another one is opened only when the sidecar says that it closes."""
        writer: Writer | None = None
        while not stop.is_set():
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                parser = http1.ResponseParser()
            writer.write(self.call())
            answer = await read_response(reader, parser)
            self.statuses.append(answer.status)
            if not answer.keep_alive:
                self.closing += 1
                writer = None

    async def end(self) -> None:
        await self._processes.kill_all()


def play(folder: Path, case: Callable[[Sidecars], Awaitable[None]]) -> None:
    async def whole_case() -> None:
        sidecars = Sidecars(folder)
        await sidecars.provide()
        try:
            await case(sidecars)
        finally:
            await sidecars.end()

    run(whole_case())


@pytest.mark.parametrize("twice", [False, True], ids=["once", "a second one before the first has ended"])
def test_no_call_is_lost_while_one_process_takes_over_from_another(tmp_path: Path, twice: bool) -> None:
    async def case(sidecars: Sidecars) -> None:
        old, admin = await sidecars.start(known=True)
        assert (await fetch(admin, post("b", "maint"))).status == 200
        stop = asyncio.Event()
        load = [asyncio.create_task(sidecars.new_connections(stop)) for _ in range(4)]
        load += [asyncio.create_task(sidecars.kept_connection(stop))]
        new, new_admin = await sidecars.start()  # its list and its ban come from the old one: no directory answers
        figures = metrics_of(await fetch(new_admin, GET_STATS))
        assert figures["lb.cluster_size"][0] == 2 and figures["lb.cluster_unhealthy"][0] == 1
        # While both live either sees the other's bans.
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
        assert set(sidecars.statuses) == {200} and sidecars.closing >= 1
        assert last.returncode is None

    play(tmp_path, case)


async def until_more(sidecars: Sidecars, count: int, load: list[asyncio.Task[None]]) -> None:
    while len(sidecars.statuses) < count:
        for task in load:
            assert not task.done() or task.exception() is None, task.exception()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("kept", [True, False], ids=["handed over", "nothing in common but the address"])
@pytest.mark.parametrize("killed", ["old", "new"])
def test_the_death_of_either_leaves_the_other_serving(tmp_path: Path, kept: bool, killed: str) -> None:
    async def case(sidecars: Sidecars) -> None:
        old, _ = await sidecars.start(known=True, kept=kept)
        new, _ = await sidecars.start(known=True, kept=kept)
        dead, alive = (old, new) if killed == "old" else (new, old)
        dead.kill()
        await dead.wait()
        for _ in range(10):
            assert (await fetch(sidecars.port, LOOK)).status == 200
        assert alive.returncode is None
        # The next one is at home at either.
        await sidecars.start(known=True, kept=kept)
        alive.send_signal(signal.SIGTERM)
        assert await alive.wait() == 0
        assert (await fetch(sidecars.port, LOOK)).status == 200

    play(tmp_path, case)


# What goes over

CLASSES = (TrafficClass("look", Effect.IDEMPOTENT, 400, 900),)
COLD = SlowStart(0.1, 20_000.0, 4.0, 3000.0)


def balancer_that_knows() -> Balancer:
    balancer = Balancer(BalancerSettings(classes=CLASSES, slow_start=COLD), seed=3)
    rows = (Endpoint("a", kind=1), Endpoint("b", started_ms=5.0), Endpoint("c", started_ms=7.0))
    balancer.handle(10.0, MembershipUpdate(MembershipKind.COMPLETE, rows))
    now = 10.0
    for number in range(60):
        now += 40.0
        for act in balancer.handle(now, RequestArrived(str(number), 0, 900)):
            if isinstance(act, SendAttempt):
                ended = AttemptFinished(str(number), act.endpoint, 0, 30.0, Outcome.OK, True, 0.5, 20.0 + number)
                balancer.handle(now + 30.0, ended)
    return balancer


def test_knowledge_goes_over_but_not_to_a_provider_that_restarted() -> None:
    old = balancer_that_knows()
    told = json.loads(json.dumps(export_state(old)))
    new = Balancer(BalancerSettings(classes=CLASSES, slow_start=COLD), seed=4)
    rows = (Endpoint("a", kind=1), Endpoint("b", started_ms=5.0), Endpoint("c", started_ms=2500.0))
    new.handle(2500.0, MembershipUpdate(MembershipKind.COMPLETE, rows))
    import_state(new, told)
    again = export_state(new)
    assert again["usual"] == told["usual"] and again["kinds"] == told["kinds"] and again["scalars"] == told["scalars"]
    assert again["servers"]["a"] == told["servers"]["a"] and again["servers"]["b"] == told["servers"]["b"]
    assert again["servers"]["c"] != told["servers"]["c"]
    # What the old one may still spend on cold ones is not there a second time.
    assert all(server.slow_start_credit == 0.0 for server in new.registry.endpoints.values())


@pytest.mark.parametrize("path", ["version", "scalars", "entry", "usual.look", "tier", "kinds.1", "servers.a"])
@pytest.mark.parametrize("value", [None, "x", [], [1, "x"], [float("nan")] * 9, [[]], {"a": 1}, -1, True], ids=str)
def test_unsound_knowledge_is_refused_whole(path: str, value: object) -> None:
    told = json.loads(json.dumps(export_state(balancer_that_knows())))
    at: Any = told
    *outer, last = path.split(".")
    for name in outer:
        at = at[int(name) if name.isdigit() and isinstance(at, list) else name]
    at[int(last) if isinstance(at, list) else last] = value
    new = balancer_that_knows()
    before = export_state(new)
    with pytest.raises(ValueError, match="learned state"):
        import_state(new, told)
    assert export_state(new) == before


def test_kinds_go_over_by_name() -> None:
    def facade(kinds: list[str]) -> LoadBalancer:
        made = LoadBalancer(read_settings(SETTINGS), 1, ["z"], kinds, clock=lambda: 1000.0)
        made.endpoints_listed([DiscoveredEndpoint("a", AT, DiscoveryStatus.IN_SERVICE, "z", "fast")], True)
        return made

    old, new = facade(["fast", "slow"]), facade(["slow", "fast"])
    old._balancer.registry.profiles[0].recent = 3.0
    new.import_state(json.loads(json.dumps(old.export_state())))
    assert new._balancer.registry.profiles[1].recent == 3.0
    unsound: list[Any] = [None, [], {}, {"kinds": 3}, {"kinds": {}, "module": None}]
    for told in unsound:
        with pytest.raises(ValueError, match="learned state"):
            new.import_state(told)


def test_two_processes_share_what_one_may_do() -> None:
    balancer = balancer_that_knows()
    whole_room = balancer.slow_start_rate
    balancer.handle(5000.0, SettingsChanged(BalancerSettings(classes=CLASSES, slow_start=COLD, processes=2)))
    two = balancer.slow_start_rate
    balancer.handle(5000.0, SettingsChanged(BalancerSettings(classes=CLASSES, slow_start=COLD)))
    assert two == pytest.approx(balancer.slow_start_rate / 2) and whole_room > 0


def test_reloads_twice_in_a_row_while_one_takes_over_from_another(tmp_path: Path) -> None:
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

    play(tmp_path, case)


def test_sigterm_before_the_first_list_ends_in_order(tmp_path: Path) -> None:
    async def case(sidecars: Sidecars) -> None:
        starting = asyncio.create_task(sidecars.start())  # no list comes, so it is never ready
        while True:
            await asyncio.sleep(0.01)
            with contextlib.suppress(OSError):
                if (await fetch(sidecars.port, b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n")).status == 503:
                    break
        (process,) = sidecars._processes.all
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        starting.cancel()

    play(tmp_path, case)

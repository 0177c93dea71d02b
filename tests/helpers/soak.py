"""Real processes under drawn faults of discovery and series of signals; what peers saw is checked, not what is logged.

A run is drawn from its seed: endpoints, processes, deadlines, moves of discovery in a row, drains, calls that hang,
watches that fall silent or end in place of telling, load reports of idle endpoints, lists that are empty, all draining,
of weight 0 or with names twice for a second, and at the end a process that is told to leave and killed at the
earliest moment allowed, while clients go on sending on their open connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

from limenotch.net import http1

from .discovery_service import Address, DiscoveryService, Entries
from .http_peers import Reader, Writer, ask
from .processes import Processes, free_port

GRACE_S = 0.3  # of a drain, on real sockets
TOLD_S = 6.0  # after which a change counts as told, whether or not it arrived
LATE_S = 0.5  # after its time in which an answer earns nothing, but is no loss
CROSSING_S = 0.05  # in which a close may cross a request that nobody has read
KILL_S = 0.7  # from SIGTERM to SIGKILL, beside the longest deadline
RUN_S = 9.0
CALL_GAP_S = 0.02
CROWD = 60
DISGUISE_S = 1.0
# Load reports, of which each answer carries one.
REPORTS = {
    "none": (b"",),
    "idle": (b"TEXT util=0.00, qps=10, latency_ms=1",),
    "mixed": (
        b"",
        b"TEXT util=0.00, qps=10",
        b"TEXT util=0.30, qps=0",
        b"TEXT util=0.50",
        b"TEXT qps=20",
        b"TEXT util=0.40, qps=30",
    ),
}
# What whole lists may say of the endpoints for a while.
DISGUISES: dict[str, Callable[[Entries], Entries]] = {
    "empty": lambda entries: [],
    "draining": lambda entries: [{**entry, "status": "terminating"} for entry in entries],
    "weight 0": lambda entries: [{**entry, "weight": 0.0} for entry in entries],
    "names twice": lambda entries: [*({**entry, "since_ms": 1.0} for entry in entries), *entries],
}


@dataclass
class Plan:
    """What is drawn of a run before it begins."""

    processes: int
    endpoints: int
    deadline_s: float
    list_s: float
    crowd: bool
    moves: list[float]
    drains: list[float]
    silent: list[float]
    hang: list[float]
    ends: bool  # a watch ends in place of telling
    reports: str  # load reports that answers carry, by name
    cross_zone_cost: float
    disguises: list[tuple[float, str]]  # times from which whole lists are unusual for DISGUISE_S, and how


def drawn(seed: int) -> Plan:
    random = Random(seed)
    moves, at = list[float](), random.uniform(0.5, 1.5)
    for _ in range(random.randint(0, 5)):
        moves.append(at)
        at += random.uniform(0.1, 1.2)
    return Plan(
        processes=random.randint(1, 3),
        endpoints=random.choice((6, 40, 400)),
        deadline_s=random.uniform(0.5, 3.0),
        list_s=random.choice((0.0, 0.05, 0.3)),
        crowd=random.random() < 0.3,
        moves=moves,
        drains=sorted(random.uniform(0.5, 3.0) for _ in range(random.randint(1, 3))),
        silent=[random.uniform(0.5, 2.0)] if random.random() < 0.4 else [],
        hang=[random.uniform(0.5, 2.0)] if random.random() < 0.4 else [],
        ends=random.random() < 0.4,
        reports=random.choice(tuple(REPORTS)),
        cross_zone_cost=random.choice((0.0, 0.05)),
        disguises=[(at, random.choice(tuple(DISGUISES))) for at in (2.0, 4.0, 6.0) if random.random() < 0.5],
    )


@dataclass
class Seen:
    """What the peers saw."""

    arrivals: Counter[str] = field(default_factory=Counter)  # by request id, of the class that runs once
    late: list[str] = field(default_factory=list)  # sends to endpoints that drain, after the change counts as told
    lost: list[str] = field(default_factory=list)
    answered: int = 0
    sent: int = 0
    cut: int = 0  # connections whose end crossed a request


def settings(plan: Plan) -> dict[str, Any]:
    hard = 1000.0 * plan.deadline_s
    return {
        "classes": [
            {"name": "look", "effect": "idempotent", "target_ms": hard / 2, "hard_limit_ms": hard},
            {"name": "once", "effect": "at_most_once", "target_ms": hard / 2, "hard_limit_ms": hard},
        ],
        "permissions": {"cancel": True, "parallel_tries": True, "max_attempts": 3, "connect_timeout_ms": 1000.0},
        "registry_mode": "ask",
        "weights": "nominal",
        "zones": ["a", "b"],
        "costs": {"cross_zone": plan.cross_zone_cost},
    }


class Endpoints:
    """Servers behind the names of the list; each knows since when its names drain."""

    def __init__(self, seen: Seen, random: Random, reports: tuple[bytes, ...]) -> None:
        self._reports = reports
        self.entries: list[dict[str, Any]] = []
        self._seen, self._random = seen, random
        self._servers: list[asyncio.Server] = []
        self._drained = dict[int, float]()

    async def begin(self, count: int, names: int) -> None:
        for number in range(count):

            async def handle(reader: Reader, writer: Writer, number: int = number) -> None:
                with contextlib.suppress(OSError, asyncio.CancelledError, http1.MalformedError):
                    await self._serve(number, reader, writer)

            self._servers.append(await asyncio.start_server(handle, "127.0.0.1", 0))
        for number in range(names):
            host, port = self._servers[number % count].sockets[0].getsockname()
            self.entries.append(
                {
                    "name": f"s-{number:04x}",
                    "address": f"{host}:{port}",
                    "zone": "ab"[number % 2],
                    "status": "in_service",
                }
            )

    def drain(self, number: int) -> list[str]:
        """The names that begin to drain now."""
        self._drained[number] = monotonic()
        return [entry["name"] for entry in self.entries[number :: len(self._servers)]]

    async def _serve(self, number: int, reader: Reader, writer: Writer) -> None:
        parser = http1.RequestParser()
        while data := await reader.read(65536):
            parser.feed(data)
            while (request := parser.take()) is not None:
                name = request.fields[b"x-call-id"].decode()
                drained = self._drained.get(number)
                if drained is not None and monotonic() > drained + TOLD_S + GRACE_S:
                    self._seen.late.append(f"{name} {monotonic() - drained:.2f} s after the drain")
                if request.fields[b"x-call-class"] == b"once":
                    self._seen.arrivals[name] += 1
                await asyncio.sleep(self._random.choice((0.002, 0.01, 0.05)))
                report = self._random.choice(self._reports)
                headers = [(b"X-Load-Report", report)] if report else []
                writer.write(http1.write_response(200, headers, name.encode()))
        writer.close()

    def close(self) -> None:
        for server in self._servers:
            server.close()


class Client:
    """One connection at a time to one process, a request at a time; opens another one when it is closed."""

    def __init__(self, name: str, port: int, deadline_s: float, seen: Seen) -> None:
        self.opens = True  # once its process is told to leave it sends on what is open only
        self._name, self._port, self._deadline_s, self._seen = name, port, deadline_s, seen

    async def run(self, until: asyncio.Event) -> None:
        count, streams = 0, None
        while not until.is_set():
            if streams is None:
                if not self.opens:
                    return
                with contextlib.suppress(OSError):
                    streams = await asyncio.open_connection("127.0.0.1", self._port)
            if streams is not None:
                count += 1
                streams = await self._call(f"{self._name}-{count}", *streams)
            await asyncio.sleep(CALL_GAP_S)

    async def _call(self, name: str, reader: Reader, writer: Writer) -> tuple[Reader, Writer] | None:
        kind = b"once" if int(name.rpartition("-")[2]) % 3 == 0 else b"look"
        method = b"POST" if kind == b"once" else b"GET"
        headers = [
            (b"Host", b"s"),
            (b"X-Call-Id", name.encode()),
            (b"X-Call-Class", kind),
            (b"X-Caller", b"acme"),
            (b"X-Budget", b"%dm" % int(1000 * self._deadline_s)),
        ]
        self._seen.sent += 1
        began, parser = monotonic(), http1.ResponseParser()
        try:
            writer.write(http1.write_request(method, b"/api", headers))
            async with asyncio.timeout(self._deadline_s + LATE_S):
                while (answer := parser.take()) is None:
                    data = await reader.read(65536)
                    if not data:
                        raise ConnectionResetError
                    parser.feed(data)
        except TimeoutError:
            self._seen.lost.append(f"{name}: no answer in time")
            return None
        except OSError:
            if monotonic() - began > CROSSING_S:
                self._seen.lost.append(f"{name}: closed after {monotonic() - began:.2f} s")
            self._seen.cut += 1
            return None
        if answer.status == 200 and answer.body != name.encode():
            self._seen.lost.append(f"{name}: served with what was made for {answer.body!r}")
        if answer.body == b"internal fault\n":
            self._seen.lost.append(f"{name}: an internal error")
        self._seen.answered += 1
        if not answer.keep_alive:
            writer.close()
            return None
        return reader, writer


class Run:
    """One seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.plan, self.seen = drawn(seed), Seen()
        self._random = Random(seed + 1)
        self._folder, self._processes = folder, Processes(folder)
        self._endpoints = Endpoints(self.seen, self._random, REPORTS[self.plan.reports])
        self._started: list[tuple[asyncio.subprocess.Process, Path, dict[str, Any]]] = []
        self._at: Address
        self._service: DiscoveryService
        self._tasks: list[asyncio.Task[Any]] = []

    async def play(self) -> Seen:
        plan, done = self.plan, asyncio.Event()
        await self._endpoints.begin(6, plan.endpoints)
        self._service = DiscoveryService(self._endpoints.entries, plan.list_s, ends=plan.ends)
        self._at = await self._service.listen()
        try:
            clients = await self._begin(done)
            jobs: list[tuple[float, Callable[[], None]]] = [
                *((at, self._move) for at in plan.moves),
                *((at, self._drain) for at in plan.drains),
                *((at, self._service.silence) for at in plan.silent),
                *((at, self._service.hang_next) for at in plan.hang),
                *((at, partial(self._service.disguise, DISGUISES[name])) for at, name in plan.disguises),
                *((at + DISGUISE_S, self._service.disguise) for at, _ in plan.disguises),
            ]
            began = monotonic()
            for at, job in sorted(jobs, key=lambda one: one[0]):
                await asyncio.sleep(max(began + at - monotonic(), 0.0))
                job()
            await asyncio.sleep(max(began + RUN_S - monotonic(), 0.0))
            await self._check_internal_errors()
            await self._leave(clients)
            done.set()
            await asyncio.gather(*self._tasks)
        finally:
            for task in self._tasks:
                task.cancel()
            await self._processes.end()
            self._service.close()
            self._endpoints.close()
        return self.seen

    async def _begin(self, done: asyncio.Event) -> list[Client]:
        clients = list[Client]()
        for number in range(self.plan.processes):
            port = free_port()
            raw = {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{port}",
                "discovery": self._at.name,
                "seed": f"{number + 1:x}",
                "settings": settings(self.plan),
                "limits": {"sockets": 256},
                "known": {"index": 1, "snapshot": True, "endpoints": self._endpoints.entries},
            }
            process, admin = await self._processes.serve(raw, kept=False)
            self._started.append((process, self._folder / f"{admin}.json", raw))
            for one in range(4):
                clients.append(Client(f"n{number}-c{one}", port, self.plan.deadline_s, self.seen))
                self._tasks.append(asyncio.create_task(clients[-1].run(done)))
            if self.plan.crowd:
                for _ in range(CROWD):
                    await asyncio.open_connection("127.0.0.1", port)
        return clients

    async def _check_internal_errors(self) -> None:
        for process, path, _ in self._started:
            if process.returncode is None:
                stats = await ask(int(path.stem), b"GET /stats HTTP/1.1\r\nHost: o\r\n\r\n")
                if b"lb.internal_errors:0|c" not in stats.body:
                    self.seen.lost.append("a process had internal errors")

    def _move(self) -> None:
        self._tasks.append(asyncio.create_task(self._moved()))

    async def _moved(self) -> None:
        old, self._at = self._at, await self._service.listen()
        for process, path, raw in self._started:
            if process.returncode is not None:
                continue
            admin = f"127.0.0.1:{path.stem}"
            path.write_text(json.dumps({**raw, "discovery": self._at.name, "admin_addr": admin}))
            process.send_signal(signal.SIGHUP)
        await self._service.retire(old)

    def _drain(self) -> None:
        number = self._random.randrange(3)  # the other three stay
        self._service.change(*self._endpoints.drain(number))

    async def _leave(self, clients: list[Client]) -> None:
        """The first process is told to leave, twice or once, and killed at the earliest moment."""
        process = self._started[0][0]
        for client in clients[:4]:
            client.opens = False
        for number, (one, _, _) in enumerate(self._started):
            if one.returncode is not None:
                self.seen.lost.append(f"process {number} ended with {one.returncode} before it was told to")
        if process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        if self._random.random() < 0.5:
            await asyncio.sleep(0.05)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        kill_at = monotonic() + min(self.plan.deadline_s, 3.0) + KILL_S
        while monotonic() < kill_at and process.returncode is None:
            await asyncio.sleep(0.01)
        if process.returncode is None:
            process.kill()
        elif process.returncode:
            self.seen.lost.append(f"the process ended with {process.returncode}")


def faults(seen: Seen) -> list[str]:
    """What broke a rule; nothing, if all is well."""
    twice = [f"{name}: ran {count} times" for name, count in seen.arrivals.items() if count > 1]
    return [*(f"late: {one}" for one in seen.late), *(f"lost: {one}" for one in seen.lost), *twice]

"""Plays a drawing on processes: sidecars as nodes, directory, providers, consumers and the relay, all in one run.

Nodes are the entry sidecars, in the order of the drawing's columns. Providers answer and consumers call throughout; at
the end there are two verdicts of the same run: the drawing as a partial order with its window (`compare`), and the four
rules for calls (`Trial`). A drawing's time 0 is when every node that is there from the start is ready, and whatever
`settled` waits for holds.

What a fault means here, by its first word: `kill` is kill -9, `wipe` that with the disk removed, `pause` SIGSTOP,
`wake` SIGCONT, `leave` SIGTERM, `start` the same node at its own addresses; `disk` and `clock` go into the file that
`limenotch.lab.fleet.node` looks at; `ask` is the caller's. All of them, and what is left (the network's), are told to
the weather, whose fates the relay carries out.

Consumers don't call a node that is not there; one that is paused they do call, as nobody tells them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from ..emulate.host import Rehearsal
from ..emulate.load import SLACK_MS
from ..emulate.sidecars import free_port
from ..emulate.wire import Pool
from ..model.clients import Request
from ..model.rules import Limits, Violation
from ..planning import Plan, settings_of
from . import relay as network
from .faulty import NAME, Wish, ask_for
from .node import FAULTS
from .processes import NodeProcess, Processes, fleet_table
from .trial import Trial

Seen = tuple[float, str, str]  # ms of the drawing's time, node, text
Fleet = Callable[["Stage", NodeProcess], str]  # the settings file's text of a node that is to start
Asked = Callable[[NodeProcess, str], Awaitable[None]]  # the node, the words of `ask`
Settled = Callable[[Processes], Awaitable[None]]  # waits for what holds before a drawing begins


class Drawing(Protocol):
    """What is needed of `drawing.Scenario`. A fault is written by `str`, in the words of `faults`."""

    @property
    def nodes(self) -> tuple[str, ...]: ...

    @property
    def later(self) -> tuple[str, ...]: ...

    @property
    def faults(self) -> Sequence[tuple[int, Any]]: ...

    @property
    def ends(self) -> int: ...


class Weather(network.Plan, Protocol):
    """`weather.Weather` is one."""

    def apply(self, fault: Any) -> None: ...


Compare = Callable[[list[Seen], list[float]], str | None]  # what was seen, when the faults came: None, or what differs


@dataclass(frozen=True)
class Outcome:
    difference: str | None  # None: the drawing came out, or nothing was to be compared
    violations: tuple[Violation, ...]  # of the rules for calls
    counts: dict[str, int]  # of those, by rule
    excused: int  # calls without an answer as their sidecar was stopped by a fault
    crashed: tuple[str, ...]  # nodes that ended and were not meant to
    calls: dict[str, int]  # by outcome
    seen: tuple[Seen, ...]
    happened: tuple[float, ...]  # when each fault came
    ran_s: float  # of consumers
    late_ms: float  # the most that the host's own timers were late by: what the machine did to the run
    passed: dict[tuple[str, str], network.Passed]

    @property
    def well(self) -> bool:
        return self.difference is None and not self.violations and not self.crashed

    def check(self) -> Outcome:
        """Itself. AssertionError where the drawing did not come out, a rule was broken or a node crashed."""
        wrong = [self.difference] if self.difference is not None else []
        wrong += [f"{v.rule}: {v.text}\n  " + "\n  ".join(v.history) for v in self.violations]
        wrong += [f"node {name} ended by itself" for name in self.crashed]
        if wrong:
            raise AssertionError("\n\n".join(wrong))
        return self


class Stage(Rehearsal):
    """Owns all of a run: `perform` once, then `close`, whatever happened."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        drawing: Drawing,
        weather: Weather,
        *,
        fleet: Fleet | None = None,
        compare: Compare | None = None,
        ask: Asked | None = None,
        spoils: bool = False,
        names: Mapping[str, str] | None = None,
        clock_back_s: float = 0.0,
    ) -> None:
        """`fleet`: None: plain sidecars. `spoils`: nodes run as `limenotch.lab.fleet.node`, where disks can fail.

        `names`: of nodes whose process runs under another's name. `clock_back_s`: set back before each further start
        of a node, which needs `spoils`.

        Raises ValueError where the plan has another number of entry sidecars than the drawing has nodes, where it asks
        and `ask` is not given, or spoils a disk or a clock without `spoils`.
        """
        super().__init__(plan, folder)
        if plan.scenario.sidecars.count != len(drawing.nodes):
            raise ValueError(f"{plan.scenario.sidecars.count} entry sidecars for {len(drawing.nodes)} nodes")
        for _, fault in drawing.faults:
            word = str(fault).split()[0]
            if word == "ask" and ask is None:
                raise ValueError(f"{str(fault)!r}: nobody answers `ask` here")
            if word in ("disk", "clock") and not spoils:
                raise ValueError(f"{str(fault)!r}: its nodes have no disk that fails")
        self.drawing, self.weather = drawing, weather
        self._names, self._clock_back_s = dict(names or {}), clock_back_s
        self._fleet_text, self._compare, self._ask, self._spoils = fleet, compare, ask, spoils
        self.trial = Trial(Limits(plan.scenario.rules.drain_grace_ms, SLACK_MS))
        self.trial.lag_ms = self._lag.now_ms
        self.rules = self.providers.rules = self.trial
        self.processes = Processes()
        self.keys_of = {name: (0, rank) for rank, name in enumerate(drawing.nodes)}
        self.ports = {name: free_port() for name in drawing.nodes}
        self.relay: network.Relay | None = None
        self.begun = [0.0] * len(drawing.faults)  # when each fault was applied; 0 while it has not been
        self.happened = [0.0] * len(drawing.faults)  # when each took effect: a start when its nodes are ready
        self._last_pools: list[Pool] = []  # of nodes that are gone: their calls still hear of it
        self._wishes: dict[str, Wish] = {}
        self._playing = False
        self._spawning: set[asyncio.Future[None]] = set()

    # Set up

    async def start(self, said: Callable[[str], None] = lambda text: None) -> None:
        if self._fleet_text is not None:
            members = {name: ("127.0.0.1", port) for name, port in self.ports.items()}
            self.relay = network.Relay(members, self.weather)  # its own clock: the run's begins anew
            await self.relay.open()
        await super().start(said)

    async def _start_sidecar(self, key: tuple[int, int], zone: int, rank: int, balancers: int) -> None:
        if key[0] != 0:
            await super()._start_sidecar(key, zone, rank, balancers)
            return
        name = self.drawing.nodes[rank]
        directory = await self.directories.watcher(key)
        settings = settings_of(self.plan, 0, rank, balancers, zone)
        module = "limenotch.lab.fleet.node" if self._spoils else "limenotch"
        node = NodeProcess(name, self.folder, settings, directory, self.fleet.sidecar_seed(key), {}, self._toml, module)
        node.environ[FAULTS] = str(self._faults_of(node))
        node.called(self._names.get(name, name))
        self.processes.add(node)
        self.sidecars[key] = node
        if name not in self.drawing.later:
            await self._begin(node)

    def _toml(self, node: NodeProcess) -> str:
        return "" if self._fleet_text is None else self._fleet_text(self, node)

    async def _begin(self, node: NodeProcess) -> None:
        key = self.keys_of[node.name]
        if node.starts and self._clock_back_s:
            self._wish(node.name, clock_s=self._wishes.get(node.name, Wish()).clock_s - self._clock_back_s)
        self.trial.sidecar_stopped(key)
        entries = tuple(self.fleet.directories[0].entries.values())
        node.know({"index": 0, "snapshot": True, "endpoints": self._lines(key, entries)})
        spawning = asyncio.get_running_loop().run_in_executor(None, node.spawn)  # a fork holds the loop up
        self._spawning.add(spawning)
        spawning.add_done_callback(self._spawning.discard)
        await asyncio.shield(spawning)  # who is cancelled here leaves a process behind that `close` has to know
        await node.ready()
        if node.alive:
            self._drop_pool(key)
            self._pools[key] = Pool("127.0.0.1", node.port)

    def _drop_pool(self, key: tuple[int, int]) -> None:
        """No more calls go there; those under way hear from their connections that it is gone."""
        pool = self._pools.pop(key, None)
        if pool is not None:
            self._last_pools.append(pool)

    @staticmethod
    def _faults_of(node: NodeProcess) -> Path:
        """Beside its data: the disk that is removed with `wipe` is another one afterwards, and fails as it did."""
        return node.data.parent / NAME

    # The run

    async def perform(self, settled: Settled | None = None) -> Outcome:
        """From the start of all to the last answer; the drawing's time 0 is when `settled`, if given, has ended.

        Raises SidecarError, TooLargeError, RelayError, and what `settled` raises.
        """
        await self.start()
        if settled is not None:
            await settled(self.processes)
        playing = asyncio.get_running_loop().create_task(self._play())
        try:
            record = await self.run()
            await playing
            await asyncio.gather(*self._tasks, return_exceptions=True)
        finally:
            playing.cancel()
        self.trial.run_ended(self.clock())
        begun = self._began * 1000.0
        seen = [(each.at_ms - begun, each.node, each.text) for each in self.processes.seen()]
        difference = self._compare(seen, self.happened) if self._compare is not None else None
        doors = self.relay.doors if self.relay is not None else {}
        return Outcome(
            difference,
            tuple(self.trial.violations),
            dict(self.trial.counts),
            self.trial.excused,
            tuple(self.crashed),
            dict(record.finals),
            tuple(seen),
            tuple(self.happened),
            self.drawing.ends / 1000.0,
            max(self._lag.values_us, default=0) / 1000.0,
            {pair: door.passed for pair, door in doors.items()},
        )

    @property
    def began_ms(self) -> float | None:
        """Time 0 of the drawing, as notes are timed; None while it has not come."""
        return self._began * 1000.0 if self._playing else None

    async def _play(self) -> None:
        self._playing = True
        for number, (at, fault) in enumerate(self.drawing.faults):
            wait = at - self.clock()
            if wait > 0:
                await asyncio.sleep(wait / 1000.0)
            self.begun[number] = self.clock()
            await self._happen(fault)
            self.happened[number] = self.clock()
            if str(fault).startswith("start"):
                self._run_in_background(self._started(number, str(fault).split()[1:]))

    async def _started(self, number: int, names: list[str]) -> None:
        """A start has come when the nodes are ready: how long an interpreter takes to begin is the machine's."""
        await asyncio.gather(*(self._begin(self.processes.nodes[name]) for name in names))
        self.happened[number] = self.clock()

    async def _happen(self, fault: Any) -> None:
        word, *rest = str(fault).split()
        self.record.event(self.clock(), word, " ".join(rest))
        self.weather.apply(fault)
        if self.relay is not None:
            self.relay.changed()
        if word in ("pause", "wake", "kill", "wipe", "leave"):
            await asyncio.gather(*(self._do(word, self.processes.nodes[name]) for name in rest))
        elif word == "disk":
            self._wish(rest[0], state=rest[1], slow_ms=float(rest[2]) if rest[2:] else 0.0)
        elif word == "clock":
            step = float(rest[1].removesuffix("ms")) / 1000.0 if rest[1].endswith("ms") else float(rest[1][:-1])
            self._wish(rest[0], clock_s=self._wishes.get(rest[0], Wish()).clock_s + step)
        elif word == "ask" and self._ask is not None:
            await self._ask(self.processes.nodes[rest[0]], " ".join(rest[1:]))

    async def _do(self, word: str, node: NodeProcess) -> None:
        key, loop = self.keys_of[node.name], asyncio.get_running_loop()
        if word == "pause":
            node.pause()
            self.trial.paused(self.clock(), key)
        elif word == "wake":
            node.wake()
            self.trial.woke(self.clock(), key)
        elif word == "leave":
            node.terminate()
            self._run_in_background(self._left(node))
        else:
            await loop.run_in_executor(None, node.wipe if word == "wipe" else node.kill)
            self._drop_pool(key)
            self.trial.died(key)

    async def _left(self, node: NodeProcess) -> None:
        """Consumers stay until it has ended: what it has taken it finishes, and new connections it refuses."""
        await asyncio.get_running_loop().run_in_executor(None, node.end)
        self._drop_pool(self.keys_of[node.name])
        self.trial.died(self.keys_of[node.name])

    def _wish(self, name: str, **changes: Any) -> None:
        self._wishes[name] = self._wishes.get(name, Wish())._replace(**changes)
        ask_for(self._faults_of(self.processes.nodes[name]), self._wishes[name])

    def _choose_pool(self, request: Request) -> Pool | None:
        """The zone's own entry sidecar, or the next that is there."""
        first, count = self.fleet.entry_rank(request.zone), len(self.drawing.nodes)
        for step in range(count):
            key = (0, (first + step) % count)
            if key in self._pools:
                self.trial.next_goes_to(key)
                return self._pools[key]
        return None

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._spawning, return_exceptions=True)
        try:
            await super().close()
        finally:
            for pool in self._last_pools:
                pool.close()
            if self.relay is not None:
                self.relay.close()


def together(
    names: Sequence[str],
    key_file: Path,
    voters: Sequence[str] = (),
    *,
    seeds: Sequence[str] | None = None,
    twins: Mapping[str, str] | None = None,
    **tables: dict[str, Any],
) -> Fleet:
    """Settings that make the stage's nodes one fleet, each finding the others through the relay.

    `seeds`: names, all if not said. `twins`: nodes under another's name: others find only that other by it, and they
    themselves are where they listen. `tables`: of the parts, `membership={"period_ms": 300.0}`.
    """
    twin = dict(twins or {})

    def text(stage: Stage, node: NodeProcess) -> str:
        assert stage.relay is not None
        doors = stage.relay.addresses(node.name)
        own = twin.get(node.name)
        addresses = {name: at for name, at in doors.items() if name not in twin and name != own}
        more: dict[str, Any] = {
            "group": "stage",
            "key_file": str(key_file),
            "voters": list(voters),
            "seeds": [doors[name] for name in (names if seeds is None else seeds) if name in doors],
            "folder": str(node.data),
            **tables,
        }
        return fleet_table(f"127.0.0.1:{stage.ports[node.name]}", addresses, more)

    return text

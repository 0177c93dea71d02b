"""Runs an expected timeline on processes: sidecars as nodes, a directory, endpoints, clients and the relay.

The nodes are the entry sidecars, in the order of the timeline's nodes. Clients send requests to the endpoints during
the whole run. Two checks apply to the same run: the log lines against the timeline, as a partial order with its window
(`compare`), and the four rules for requests (`RulesUnderFaults`). Time 0 of a timeline is when all nodes that run from
the beginning are ready and `wait_until_ready` has returned.

The first word of a fault decides its effect: `kill` is SIGKILL, `wipe` also removes the disk, `pause` is SIGSTOP,
`wake` SIGCONT, `leave` SIGTERM, `start` starts the node again at its own addresses; `disk` and `clock` are written to
the file that `limenotch.lab.fleet.node` reads; `ask` is passed to the caller. All faults, also those of the network,
are applied to the network conditions, which the relay carries out.

Clients send no requests to a node whose process does not run. They do send them to a paused node, as they receive no
notice of a pause.
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
from .faulty import FAULTS_FILE_NAME, ProcessFaults, write_process_faults
from .node import FAULTS_VARIABLE
from .processes import NodeProcess, Processes, fleet_table
from .trial import RulesUnderFaults

ObservedLine = tuple[float, str, str]  # ms of the timeline, node, text
SettingsText = Callable[["Stage", NodeProcess], str]  # returns the settings file's text for the start of a node
RequestHandler = Callable[[NodeProcess, str], Awaitable[None]]  # the node, the words of `ask`
ReadyCheck = Callable[[Processes], Awaitable[None]]  # waits for the condition before time 0


class Timeline(Protocol):
    """The part of `drawing.ExpectedTimeline` that a run needs. `str` formats a fault in the words of `faults`."""

    @property
    def nodes(self) -> tuple[str, ...]: ...

    @property
    def started_later(self) -> tuple[str, ...]: ...

    @property
    def faults(self) -> Sequence[tuple[int, Any]]: ...

    @property
    def end_ms(self) -> int: ...


class Conditions(network.FaultPlan, Protocol):
    """The faults in force; implemented by `weather.NetworkConditions`."""

    def apply(self, fault: Any) -> None: ...


Compare = Callable[[list[ObservedLine], list[float]], str | None]  # lines, fault times: the difference or None


@dataclass(frozen=True)
class Outcome:
    """The result of a run."""

    difference: str | None  # None: the run matches the timeline, or was not compared
    violations: tuple[Violation, ...]  # of the rules for requests
    counts: dict[str, int]  # violations by rule
    excused: int  # requests without a response whose sidecar was paused by a fault
    crashed: tuple[str, ...]  # nodes whose process ended unexpectedly
    calls: dict[str, int]  # requests by outcome
    observed_lines: tuple[ObservedLine, ...]
    fault_times_ms: tuple[float, ...]  # times at which the faults took effect
    duration_s: float  # how long clients sent requests
    max_timer_delay_ms: float  # maximum delay of the host's own timers: the influence of the machine on the run
    door_counts: dict[tuple[str, str], network.DoorCounts]

    @property
    def succeeded(self) -> bool:
        """Whether the run matches its timeline without violations and crashes."""
        return self.difference is None and not self.violations and not self.crashed

    def check(self) -> Outcome:
        """Returns itself. Raises AssertionError on a difference, a violated rule or a crashed node."""
        failures = [self.difference] if self.difference is not None else []
        failures += [f"{v.rule}: {v.text}\n  " + "\n  ".join(v.history) for v in self.violations]
        failures += [f"node {name} ended unexpectedly" for name in self.crashed]
        if failures:
            raise AssertionError("\n\n".join(failures))
        return self


class Stage(Rehearsal):
    """Owns all resources of a run: call `run_timeline` once, then always `close`."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        timeline: Timeline,
        conditions: Conditions,
        *,
        fleet_settings: SettingsText | None = None,
        compare: Compare | None = None,
        handle_request: RequestHandler | None = None,
        faulty_disks: bool = False,
        process_names: Mapping[str, str] | None = None,
        clock_back_s: float = 0.0,
    ) -> None:
        """`fleet_settings` None: no fleet. `faulty_disks`: nodes run as `lab.fleet.node`, for disk and clock faults.

        `process_names`: of nodes that run under another node's name. `clock_back_s`: how far the clock of a node is set
        back before each restart, which needs `faulty_disks`.

        Raises ValueError if the plan's number of entry sidecars is not the number of nodes, if the timeline has `ask`
        without `handle_request`, or a disk or clock fault without `faulty_disks`.
        """
        super().__init__(plan, folder)
        if plan.scenario.sidecars.count != len(timeline.nodes):
            raise ValueError(f"{plan.scenario.sidecars.count} entry sidecars for {len(timeline.nodes)} nodes")
        for _, fault in timeline.faults:
            word = str(fault).split()[0]
            if word == "ask" and handle_request is None:
                raise ValueError(f"{str(fault)!r}: no handler for `ask`")
            if word in ("disk", "clock") and not faulty_disks:
                raise ValueError(f"{str(fault)!r}: the nodes run without faulty disks")
        self.timeline, self.conditions = timeline, conditions
        self._process_names, self._clock_back_s = dict(process_names or {}), clock_back_s
        self._fleet_settings, self._compare, self._handle_request, self._faulty_disks = (
            fleet_settings,
            compare,
            handle_request,
            faulty_disks,
        )
        self.call_rules = RulesUnderFaults(Limits(plan.scenario.rules.drain_grace_ms, SLACK_MS))
        self.call_rules.lag_ms = self._lag.now_ms
        self.rules = self.providers.rules = self.call_rules
        self.processes = Processes()
        self.keys_of = {name: (0, rank) for rank, name in enumerate(timeline.nodes)}
        self.ports = {name: free_port() for name in timeline.nodes}
        self.relay: network.Relay | None = None
        self.applied_ms = [0.0] * len(timeline.faults)  # when each fault was applied; 0 before
        self.fault_times_ms = [0.0] * len(timeline.faults)  # when each took effect; a start: when ready
        self._closed_pools: list[Pool] = []  # of ended processes, whose requests still receive the error
        self._process_faults: dict[str, ProcessFaults] = {}
        self._time_zero_reached = False
        self._spawning: set[asyncio.Future[None]] = set()

    # Setup

    async def start(self, report: Callable[[str], None] = lambda text: None) -> None:
        if self._fleet_settings is not None:
            members = {name: ("127.0.0.1", port) for name, port in self.ports.items()}
            self.relay = network.Relay(members, self.conditions)  # has a clock of its own: that of the run is reset
            await self.relay.open()
        await super().start(report)

    async def _start_sidecar(self, key: tuple[int, int], zone: int, rank: int, balancers: int) -> None:
        if key[0] != 0:
            await super()._start_sidecar(key, zone, rank, balancers)
            return
        name = self.timeline.nodes[rank]
        directory = await self.directories.watcher(key)
        settings = settings_of(self.plan, 0, rank, balancers, zone)
        module = "limenotch.lab.fleet.node" if self._faulty_disks else "limenotch"
        node = NodeProcess(
            name, self.folder, settings, directory, self.fleet.sidecar_seed(key), {}, self._settings_text, module
        )
        node.environ[FAULTS_VARIABLE] = str(self._faults_path(node))
        node.set_process_name(self._process_names.get(name, name))
        self.processes.add(node)
        self.sidecars[key] = node
        if name not in self.timeline.started_later:
            await self._start_node(node)

    def _settings_text(self, node: NodeProcess) -> str:
        return "" if self._fleet_settings is None else self._fleet_settings(self, node)

    async def _start_node(self, node: NodeProcess) -> None:
        key = self.keys_of[node.name]
        if node.starts and self._clock_back_s:
            self._set_process_faults(
                node.name,
                clock_offset_s=self._process_faults.get(node.name, ProcessFaults()).clock_offset_s - self._clock_back_s,
            )
        self.call_rules.sidecar_stopped(key)
        entries = tuple(self.fleet.directories[0].entries.values())
        node.set_known_endpoints({"index": 0, "snapshot": True, "endpoints": self._lines(key, entries)})
        spawning = asyncio.get_running_loop().run_in_executor(None, node.spawn)  # a fork blocks the event loop
        self._spawning.add(spawning)
        spawning.add_done_callback(self._spawning.discard)
        await asyncio.shield(spawning)  # after a cancellation, `close` still has to end the process
        await node.ready()
        if node.alive:
            self._drop_pool(key)
            self._pools[key] = Pool("127.0.0.1", node.port)

    def _drop_pool(self, key: tuple[int, int]) -> None:
        """Sends no further requests to a node; those in flight fail when their connections end."""
        pool = self._pools.pop(key, None)
        if pool is not None:
            self._closed_pools.append(pool)

    @staticmethod
    def _faults_path(node: NodeProcess) -> Path:
        """The path is beside the data, so that `wipe`, which removes the disk, does not end a disk fault."""
        return node.data.parent / FAULTS_FILE_NAME

    # The run

    async def run_timeline(self, wait_until_ready: ReadyCheck | None = None) -> Outcome:
        """Runs from the start of all processes to the last response; time 0 is when `wait_until_ready` returns.

        Raises SidecarError, TooLargeError, RelayError, and the errors of `wait_until_ready`.
        """
        await self.start()
        if wait_until_ready is not None:
            await wait_until_ready(self.processes)
        applying = asyncio.get_running_loop().create_task(self._apply_faults())
        try:
            record = await self.run()
            await applying
            await asyncio.gather(*self._tasks, return_exceptions=True)
        finally:
            applying.cancel()
        self.call_rules.run_ended(self.clock())
        began_ms = self._began * 1000.0
        observed_lines = [(line.at_ms - began_ms, line.node, line.text) for line in self.processes.observed_lines()]
        difference = self._compare(observed_lines, self.fault_times_ms) if self._compare is not None else None
        doors = self.relay.doors if self.relay is not None else {}
        return Outcome(
            difference,
            tuple(self.call_rules.violations),
            dict(self.call_rules.counts),
            self.call_rules.excused,
            tuple(self.crashed),
            dict(record.finals),
            tuple(observed_lines),
            tuple(self.fault_times_ms),
            self.timeline.end_ms / 1000.0,
            max(self._lag.values_us, default=0) / 1000.0,
            {pair: door.counts for pair, door in doors.items()},
        )

    @property
    def timeline_start_ms(self) -> float | None:
        """Time 0 of the timeline on the clock of the log lines; None before that time."""
        return self._began * 1000.0 if self._time_zero_reached else None

    async def _apply_faults(self) -> None:
        self._time_zero_reached = True
        for number, (at_ms, fault) in enumerate(self.timeline.faults):
            wait = at_ms - self.clock()
            if wait > 0:
                await asyncio.sleep(wait / 1000.0)
            self.applied_ms[number] = self.clock()
            await self._inject_fault(fault)
            self.fault_times_ms[number] = self.clock()
            if str(fault).startswith("start"):
                self._run_in_background(self._start_nodes(number, str(fault).split()[1:]))

    async def _start_nodes(self, number: int, names: list[str]) -> None:
        """Starts nodes. The start takes effect when they are ready: the start-up time of an interpreter varies."""
        await asyncio.gather(*(self._start_node(self.processes.nodes[name]) for name in names))
        self.fault_times_ms[number] = self.clock()

    async def _inject_fault(self, fault: Any) -> None:
        word, *rest = str(fault).split()
        self.record.event(self.clock(), word, " ".join(rest))
        self.conditions.apply(fault)
        if self.relay is not None:
            self.relay.plan_changed()
        if word in ("pause", "wake", "kill", "wipe", "leave"):
            await asyncio.gather(*(self._apply_node_action(word, self.processes.nodes[name]) for name in rest))
        elif word == "disk":
            self._set_process_faults(rest[0], state=rest[1], slow_ms=float(rest[2]) if rest[2:] else 0.0)
        elif word == "clock":
            step = float(rest[1].removesuffix("ms")) / 1000.0 if rest[1].endswith("ms") else float(rest[1][:-1])
            self._set_process_faults(
                rest[0], clock_offset_s=self._process_faults.get(rest[0], ProcessFaults()).clock_offset_s + step
            )
        elif word == "ask" and self._handle_request is not None:
            await self._handle_request(self.processes.nodes[rest[0]], " ".join(rest[1:]))

    async def _apply_node_action(self, word: str, node: NodeProcess) -> None:
        key, loop = self.keys_of[node.name], asyncio.get_running_loop()
        if word == "pause":
            node.pause()
            self.call_rules.sidecar_paused(self.clock(), key)
        elif word == "wake":
            node.wake()
            self.call_rules.sidecar_resumed(self.clock(), key)
        elif word == "leave":
            node.terminate()
            self._run_in_background(self._wait_for_exit(node))
        else:
            await loop.run_in_executor(None, node.wipe if word == "wipe" else node.kill)
            self._drop_pool(key)
            self.call_rules.sidecar_ended(key)

    async def _wait_for_exit(self, node: NodeProcess) -> None:
        """Clients may use the node until its end: it completes accepted requests and refuses new connections."""
        await asyncio.get_running_loop().run_in_executor(None, node.end)
        self._drop_pool(self.keys_of[node.name])
        self.call_rules.sidecar_ended(self.keys_of[node.name])

    def _set_process_faults(self, name: str, **changes: Any) -> None:
        self._process_faults[name] = self._process_faults.get(name, ProcessFaults())._replace(**changes)
        write_process_faults(self._faults_path(self.processes.nodes[name]), self._process_faults[name])

    def _choose_pool(self, request: Request) -> Pool | None:
        """Returns the pool of the zone's entry sidecar, or of the next one that runs."""
        first, count = self.fleet.entry_rank(request.zone), len(self.timeline.nodes)
        for step in range(count):
            key = (0, (first + step) % count)
            if key in self._pools:
                self.call_rules.assign_next_request(key)
                return self._pools[key]
        return None

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._spawning, return_exceptions=True)
        try:
            await super().close()
        finally:
            for pool in self._closed_pools:
                pool.close()
            if self.relay is not None:
                self.relay.close()


def relayed_fleet_settings(
    node_names: Sequence[str],
    key_file: Path,
    voters: Sequence[str] = (),
    *,
    seeds: Sequence[str] | None = None,
    twins: Mapping[str, str] | None = None,
    **tables: dict[str, Any],
) -> SettingsText:
    """Returns settings that make the nodes one fleet, in which each reaches its peers through the relay.

    `seeds`: names, by default all. `twins`: nodes that run under another node's name: peers reach only that other node
    by the name, and a twin listens at its own address. `tables`: settings of components, such as
    `membership={"period_ms": 300.0}`.
    """
    twin_names = dict(twins or {})

    def text(stage: Stage, node: NodeProcess) -> str:
        assert stage.relay is not None
        doors = stage.relay.addresses(node.name)
        own_name = twin_names.get(node.name)
        addresses = {name: door for name, door in doors.items() if name not in twin_names and name != own_name}
        settings: dict[str, Any] = {
            "group": "stage",
            "key_file": str(key_file),
            "voters": list(voters),
            "seeds": [doors[name] for name in (node_names if seeds is None else seeds) if name in doors],
            "folder": str(node.data),
            **tables,
        }
        return fleet_table(f"127.0.0.1:{stage.ports[node.name]}", addresses, settings)

    return text

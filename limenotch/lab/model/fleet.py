"""The providers: machines and their processes, the idempotency keys of groups, and a directory for each tier.

Fault actions are applied here. The changes that are returned state what a host must do about connections.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

from .chance import Seeds
from .clients import Clients, draw_size
from .directory import Directory, Entry
from .faults import FaultAction
from .jobs import Job
from .keys import KeyGroup
from .network import Network
from .provider import Provider

if TYPE_CHECKING:
    from ..planning import Machine, Plan


class Site:
    """The present state of one machine: its process and its faults."""

    def __init__(self, machine: Machine, name: str) -> None:
        self.machine, self.tier_name = machine, name
        self.generation = -1
        self.process: Provider | None = None
        self.draining = False
        self.silent = False  # no message arrives from it or at it
        self.slowdown, self.neighbour_share, self.stalled, self.error_chance, self.corrupt_chance = (
            1.0,
            0.0,
            False,
            0.0,
            0.0,
        )

    @property
    def name(self) -> str:
        """The name of the present process."""
        return f"{self.tier_name}-{self.machine.index}-{self.generation}"

    @property
    def is_running(self) -> bool:
        """Whether a process runs on the machine."""
        return self.process is not None and not (self.process.stopped or self.process.crashed)


class FleetChange(NamedTuple):
    """A change that a host must handle: a process has `started` or `stopped` (connections are reset, the jobs in
    `job_ids` are lost), it `drains`, or a machine has become silent (`hushed`) or reachable again (`back`)."""

    kind: str
    site: Site
    job_ids: tuple[int, ...] = ()


class Fleet:
    """All machines of all tiers."""

    def __init__(self, plan: Plan, seeds: Seeds, network: Network, clients: Clients) -> None:
        self.plan, self._seeds, self.network, self.clients = plan, seeds, network, clients
        self.sites = [[Site(m, tier.name) for m in tier.machines] for tier in plan.tiers]
        self.directories = [
            Directory(plan.directory, seeds.stream("directory", number)) for number in range(len(plan.tiers))
        ]
        self.hot_shares: dict[int, float] = {}  # by entry sidecar: the share of all traffic that it gets
        self._all_keys: dict[str, tuple[float, KeyGroup]] = {}
        self._groups: dict[tuple[int, str, int], KeyGroup] = {}
        self.all_processes: list[list[Provider]] = [[] for _ in plan.tiers]  # by tier, stopped processes included
        self._entry_choice = seeds.stream("front")
        self._work = [seeds.stream("work", tier) for tier in range(len(plan.tiers))]
        self._scope = next((c.scope for c in plan.classes if c.effect == "deduplicated"), "all")
        for tier, sites in enumerate(self.sites):
            for site in sites:
                self._start_process(0.0, site, 0.0)
                self.directories[tier].add_initial(self.entry(site))

    def entry_rank(self, zone: int) -> int:
        """Draws the entry sidecar for an attempt of a client in this zone: a hot one, or one of the zone."""
        draw = self._entry_choice.uniform()
        for rank, share in self.hot_shares.items():
            draw -= share
            if draw < 0:
                return rank
        count = self.plan.scenario.sidecars.count
        ranks = range(zone, count, len(self.plan.network.zones)) or range(count)
        return ranks[self._entry_choice.index(len(ranks))]

    def sidecar_seed(self, key: tuple[int, int]) -> int:
        """The seed of the sidecar that sends to tier `key[0]`; an inner sidecar gets a new seed with each process."""
        tier, number = key
        generation = 0 if tier == 0 else self.sites[tier - 1][number].generation
        return int(self._seeds.stream("sidecar", tier, number, generation).uniform() * 2**53)

    def group_of(self, machine: Machine) -> int:
        """The number of the group whose providers deduplicate requests together."""
        if self._scope == "zone":
            return machine.zone
        return machine.cell if self._scope == "cell" else 0

    def entry(self, site: Site, stage: str = "ready") -> Entry:
        """The directory entry of the present process."""
        m = site.machine
        started = site.process.started_ms if site.process is not None else 0.0
        return Entry(site.name, stage, m.zone, m.kind, m.cell, m.weight, started)

    def _start_process(self, now: float, site: Site, started_ms: float) -> None:
        site.generation += 1
        site.draining = False
        m = site.machine
        group = self._groups.setdefault((m.tier, self._scope, self.group_of(m)), KeyGroup(self._all_keys))
        chance = self._seeds.stream("provider", m.tier, m.index, site.generation)
        site.process = Provider(site.name, m.spec, chance, group, now, started_ms)
        self.all_processes[m.tier].append(site.process)
        site.process.error_burst = site.error_chance
        site.process.set_interference(now, site.slowdown, site.neighbour_share, site.stalled)

    def job(self, tier: int, job_id: int, cls: int, size: float, key: str, deadline_at_ms: float) -> Job:
        """The job of an attempt at a provider of this tier; requests to the tier below cut its work into segments."""
        spec, chance = self.plan.classes[cls], self._work[tier]
        noise = spec.attempt_noise
        noise_factor = exp(noise * chance.normal() - noise * noise / 2) if noise else 1.0
        work = spec.work_ms * self.plan.tiers[tier].work * size * noise_factor
        lower_requests = self.plan.tiers[tier].calls
        count = int(lower_requests) + (1 if chance.uniform() < lower_requests - int(lower_requests) else 0)
        return Job(job_id, [work / (count + 1)] * (count + 1), deadline_at_ms, key, spec.window_ms, cls, size)

    def lower_budget_ms(self, now: float, job: Job) -> float:
        """How long a job waits for a response of the tier below, in ms."""
        deadline_ms = self.plan.classes[job.cls].deadline_ms
        return (
            min(max(job.deadline_at_ms - now, 1.0), deadline_ms)
            if self.plan.scenario.sidecars.passes_deadline
            else deadline_ms
        )

    def lower_request_size(self, job: Job, tier: int) -> float:
        """The size of a lower-tier request of a job of this tier."""
        spec = self.plan.classes[job.cls]
        return job.size if spec.carried else draw_size(spec, self._work[tier])

    def lower_request_key(self, cls: int, number: int) -> str:
        """The idempotency key of a lower-tier request, which is a request of its own."""
        return f"b{number}" if self.plan.classes[cls].effect == "deduplicated" else ""

    def corrupts_response(self, site: Site) -> bool:
        """Draws whether the present response of the process arrives corrupted."""
        return site.corrupt_chance > 0 and self._work[site.machine.tier].occurs(site.corrupt_chance)

    def crash(self, now: float, site: Site) -> list[FleetChange]:
        """A process has crashed under load: it stops, and the directory notices it as any other death."""
        return self._stop_process(now, site, "stopped")

    def _stop_process(self, now: float, site: Site, kind: str) -> list[FleetChange]:
        process = site.process
        if process is None or process.stopped:
            return []
        job_ids = tuple(process.job_ids)
        process.stop(now)
        self.directories[site.machine.tier].schedule_change(now, self.entry(site, "gone"), silent=site.silent)
        return [FleetChange(kind, site, job_ids)]

    def apply(self, now: float, action: FaultAction) -> list[FleetChange]:
        """Applies a fault action. Raises ValueError for an unknown kind."""
        if action.kind in ("directory", "surge", "hot", "cut"):
            self._apply_to_fleet(now, action)
            return []
        site = self.sites[action.tier][action.target]
        process, directory = site.process, self.directories[action.tier]
        if action.kind == "drain":
            if site.is_running and not site.draining:
                site.draining = True
                directory.schedule_change(now, self.entry(site, "draining"))
                return [FleetChange("drains", site)]
        elif action.kind in ("stop", "kill"):
            return self._stop_process(now, site, "stopped")
        elif action.kind == "start":
            if process is None or process.stopped:
                self._start_process(now, site, max(now, 1e-3))
                directory.schedule_change(now, self.entry(site))
                return [FleetChange("started", site)]
        elif action.kind == "silent":
            site.silent = action.value > 0
            if site.silent and site.is_running:
                directory.schedule_change(now, self.entry(site, "gone"), silent=True)
            elif site.is_running:
                directory.schedule_change(now, self.entry(site))
            return [FleetChange("hushed" if site.silent else "back", site)]
        elif action.kind == "forget":
            directory.forget_endpoint(now, site.name, action.value)
        else:
            self._apply_to_machine(now, site, action)
        return []

    def _apply_to_machine(self, now: float, site: Site, action: FaultAction) -> None:
        if action.kind == "slow":
            site.slowdown = action.value
        elif action.kind == "neighbour":
            site.neighbour_share = action.value
        elif action.kind == "stall":
            site.stalled = action.value > 0
        elif action.kind == "errors":
            site.error_chance = action.value
        elif action.kind == "spoil":
            site.corrupt_chance = action.value
        else:
            raise ValueError(f"unknown kind of fault action: {action.kind}")
        if site.process is not None and not site.process.stopped:
            site.process.error_burst = site.error_chance
            site.process.set_interference(now, site.slowdown, site.neighbour_share, site.stalled)

    def _apply_to_fleet(self, now: float, action: FaultAction) -> None:
        if action.kind == "directory":
            for directory in self.directories:
                directory.set_down(now, action.value > 0)
        elif action.kind == "surge":
            self.clients.surge_factors[action.target] = action.value
        elif action.kind == "hot":
            if action.value > 0:
                self.hot_shares[action.target] = action.value
            else:
                self.hot_shares.pop(action.target, None)
        else:
            self.network.set_link_cut(action.target, action.second_zone, action.value > 0)

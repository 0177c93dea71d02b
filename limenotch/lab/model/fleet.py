"""The fleet: machines and the processes on them, what groups know of keys, and a directory for each tier.

It carries out the deeds of the script. What a host has to do about connections it reads from the changes.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

from .chance import Seeds
from .clients import Clients, draw_size
from .directory import Directory, Entry
from .faults import Deed
from .jobs import Job
from .keys import Group
from .network import Network
from .provider import Provider

if TYPE_CHECKING:
    from ..planning import Machine, Plan


class Site:
    """One machine now: its process, and what the machine itself suffers."""

    def __init__(self, machine: Machine, name: str) -> None:
        self.machine, self.tier_name = machine, name
        self.generation = -1
        self.process: Provider | None = None
        self.draining = False
        self.silent = False  # nothing it sends arrives, nor does anything reach it
        self.slow, self.taken, self.stalled, self.errors, self.spoil = 1.0, 0.0, False, 0.0, 0.0

    @property
    def name(self) -> str:
        """Of its present process."""
        return f"{self.tier_name}-{self.machine.index}-{self.generation}"

    @property
    def serves(self) -> bool:
        return self.process is not None and not (self.process.stopped or self.process.fallen)


class Changed(NamedTuple):
    """What a host must see to: `started` a process, `stopped` one (connections are reset, the jobs are lost),
    `drains`: it takes no new connections' work from now on, `hushed` or `back`: a silent machine."""

    what: str
    site: Site
    tickets: tuple[int, ...] = ()


class Fleet:
    def __init__(self, plan: Plan, seeds: Seeds, network: Network, clients: Clients) -> None:
        self.plan, self._seeds, self.network, self.clients = plan, seeds, network, clients
        self.sites = [[Site(m, tier.name) for m in tier.machines] for tier in plan.tiers]
        self.directories = [
            Directory(plan.directory, seeds.stream("directory", number)) for number in range(len(plan.tiers))
        ]
        self.hot: dict[int, float] = {}  # entry sidecars, and the part of all traffic each is given
        self._everyone: dict[str, tuple[float, Group]] = {}
        self._groups: dict[tuple[int, str, int], Group] = {}
        self.every: list[list[Provider]] = [[] for _ in plan.tiers]  # processes, those gone included
        self._front = seeds.stream("front")
        self._work = [seeds.stream("work", tier) for tier in range(len(plan.tiers))]
        self._scope = next((c.scope for c in plan.classes if c.effect == "deduplicated"), "all")
        for tier, sites in enumerate(self.sites):
            for site in sites:
                self._start(0.0, site, 0.0)
                self.directories[tier].known(self.entry(site))

    def entry_rank(self, zone: int) -> int:
        """The entry sidecar that the front gives a try of this zone to: a hot one, or one of the zone."""
        draw = self._front.uniform()
        for rank, part in self.hot.items():
            draw -= part
            if draw < 0:
                return rank
        count = self.plan.scenario.sidecars.count
        ranks = range(zone, count, len(self.plan.network.zones)) or range(count)
        return ranks[self._front.index(len(ranks))]

    def sidecar_seed(self, key: tuple[int, int]) -> int:
        """Of the sidecar that sends to tier `key[0]`; an inner one's is new with each process of its machine."""
        tier, number = key
        generation = 0 if tier == 0 else self.sites[tier - 1][number].generation
        return int(self._seeds.stream("sidecar", tier, number, generation).uniform() * 2**53)

    def group_of(self, machine: Machine) -> int:
        """The number of the group that drops the repeats of one another."""
        if self._scope == "zone":
            return machine.zone
        return machine.cell if self._scope == "cell" else 0

    def entry(self, site: Site, stage: str = "ready") -> Entry:
        m = site.machine
        started = site.process.started_ms if site.process is not None else 0.0
        return Entry(site.name, stage, m.zone, m.kind, m.cell, m.weight, started)

    def _start(self, now: float, site: Site, started_ms: float) -> None:
        site.generation += 1
        site.draining = False
        m = site.machine
        group = self._groups.setdefault((m.tier, self._scope, self.group_of(m)), Group(self._everyone))
        chance = self._seeds.stream("provider", m.tier, m.index, site.generation)
        site.process = Provider(site.name, m.spec, chance, group, now, started_ms)
        self.every[m.tier].append(site.process)
        site.process.error_burst = site.errors
        site.process.strain(now, site.slow, site.taken, site.stalled)

    def job(self, tier: int, ticket: int, cls: int, size: float, key: str, end: float) -> Job:
        """What an attempt at a call brings to a provider of this tier: its work, cut by the calls it makes below."""
        spec, chance = self.plan.classes[cls], self._work[tier]
        noise = spec.attempt_noise
        factor = exp(noise * chance.normal() - noise * noise / 2) if noise else 1.0
        work = spec.work_ms * self.plan.tiers[tier].work * size * factor
        calls = self.plan.tiers[tier].calls
        count = int(calls) + (1 if chance.uniform() < calls - int(calls) else 0)
        return Job(ticket, [work / (count + 1)] * (count + 1), end, key, spec.window_ms, cls, size)

    def budget_below(self, now: float, job: Job) -> float:
        """How long a job waits for an answer of the tier below, ms."""
        whole = self.plan.classes[job.cls].deadline_ms
        return min(max(job.end - now, 1.0), whole) if self.plan.scenario.sidecars.passes_deadline else whole

    def size_below(self, job: Job, tier: int) -> float:
        """Of a lower call of a job of this tier."""
        spec = self.plan.classes[job.cls]
        return job.size if spec.carried else draw_size(spec, self._work[tier])

    def key_below(self, cls: int, number: int) -> str:
        """A lower call is a call of its own, and so is its key."""
        return f"b{number}" if self.plan.classes[cls].effect == "deduplicated" else ""

    def spoils(self, site: Site) -> bool:
        """Whether the answer that its process gives now arrives spoilt."""
        return site.spoil > 0 and self._work[site.machine.tier].happens(site.spoil)

    def fall(self, now: float, site: Site) -> list[Changed]:
        """A process was pushed over: it is down, and the directory learns of it as of any death."""
        return self._end(now, site, "stopped")

    def _end(self, now: float, site: Site, what: str) -> list[Changed]:
        process = site.process
        if process is None or process.stopped:
            return []
        tickets = tuple(process.tickets)
        process.stop(now)
        self.directories[site.machine.tier].happens(now, self.entry(site, "gone"), silent=site.silent)
        return [Changed(what, site, tickets)]

    def carry_out(self, now: float, deed: Deed) -> list[Changed]:
        if deed.kind in ("directory", "surge", "hot", "cut"):
            self._whole(now, deed)
            return []
        site = self.sites[deed.tier][deed.target]
        process, directory = site.process, self.directories[deed.tier]
        if deed.kind == "drain":
            if site.serves and not site.draining:
                site.draining = True
                directory.happens(now, self.entry(site, "draining"))
                return [Changed("drains", site)]
        elif deed.kind in ("stop", "kill"):
            return self._end(now, site, "stopped")
        elif deed.kind == "start":
            if process is None or process.stopped:
                self._start(now, site, max(now, 1e-3))
                directory.happens(now, self.entry(site))
                return [Changed("started", site)]
        elif deed.kind == "silent":
            site.silent = deed.value > 0
            if site.silent and site.serves:
                directory.happens(now, self.entry(site, "gone"), silent=True)
            elif site.serves:
                directory.happens(now, self.entry(site))
            return [Changed("hushed" if site.silent else "back", site)]
        elif deed.kind == "forget":
            directory.forget(now, site.name, deed.value)
        else:
            self._strain(now, site, deed)
        return []

    def _strain(self, now: float, site: Site, deed: Deed) -> None:
        if deed.kind == "slow":
            site.slow = deed.value
        elif deed.kind == "neighbour":
            site.taken = deed.value
        elif deed.kind == "stall":
            site.stalled = deed.value > 0
        elif deed.kind == "errors":
            site.errors = deed.value
        elif deed.kind == "spoil":
            site.spoil = deed.value
        else:
            raise ValueError(f"no such deed: {deed.kind}")
        if site.process is not None and not site.process.stopped:
            site.process.error_burst = site.errors
            site.process.strain(now, site.slow, site.taken, site.stalled)

    def _whole(self, now: float, deed: Deed) -> None:
        if deed.kind == "directory":
            for directory in self.directories:
                directory.go_down(now, deed.value > 0)
        elif deed.kind == "surge":
            self.clients.surge[deed.target] = deed.value
        elif deed.kind == "hot":
            if deed.value > 0:
                self.hot[deed.target] = deed.value
            else:
                self.hot.pop(deed.target, None)
        else:
            self.network.cut_link(deed.target, deed.other, deed.value > 0)

"""The world in simulated time: it carries messages between clients, sidecars, providers and directories.

All behaviour is in the model; here is only the order of things: who is told what, after which delay.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ..model.chance import Seeds
from ..model.clients import Clients, Request
from ..model.faults import Deed, Script
from ..model.fleet import Changed, Fleet, Site
from ..model.jobs import Below, Done, Effect, End, Job
from ..model.network import Network
from ..model.provider import Provider
from ..model.rules import Limits, Rules
from ..planning import Plan, settings_of
from ..policy import Policy
from ..record import Record
from ..scenario import BY_HAND
from . import by_hand
from .calls import Attempt, Call
from .directory_queries import DirectoryQueries
from .kernel import Kernel
from .sidecar import Sidecar

SAMPLE_MS = 1000.0
MOST_OPEN = 500_000  # tries under way: a scenario that holds more is cut, and says so


class World:
    def __init__(self, plan: Plan, policy: Policy, clock: Callable[[], float] | None = None) -> None:
        """`clock` (seconds) measures the time that decisions take; it changes nothing in the run."""
        self.plan, self.policy, self.clock = plan, policy, clock
        self.deciding = 0.0
        self.kernel = Kernel()
        seeds = Seeds(plan.seed)
        self.network = Network(plan.network, seeds)
        zones = len(plan.network.zones)
        self.clients = Clients(plan.clients, plan.classes, plan.accounts, zones, plan.quota_per_s, seeds, plan.trace)
        self.fleet = Fleet(plan, seeds, self.network, self.clients)
        self.script = Script(plan, seeds)
        self.rules = Rules(Limits(grace_ms=plan.scenario.rules.drain_grace_ms))
        self.record = Record(plan, self.script.bands)
        self._count = 0
        self._names: dict[str, tuple[Site, Provider]] = {}
        self._attempts: dict[int, tuple[Sidecar, Attempt]] = {}  # by ticket: those that a provider holds
        self._below: dict[int, tuple[Sidecar, Call]] = {}  # by ticket: the lower call of a job
        self._due: dict[Site, float] = {}
        self.directories = DirectoryQueries(self)
        self.sidecars: dict[tuple[int, int], Sidecar] = {}
        self.leaving: list[Sidecar] = []  # processes that another has taken the place of
        self.banned: set[tuple[int, str]] = set()  # tier and name of providers that are out by hand
        self._open = 0
        self.cut_short = False
        self._over = False

    # A run

    def run(self) -> Record:
        kernel, plan = self.kernel, self.plan
        for sites in self.fleet.sites:
            for site in sites:
                assert site.process is not None
                self._names[site.name] = (site, site.process)
        for rank in range(plan.scenario.sidecars.count):
            self._start_sidecar((0, rank), rank % len(plan.network.zones), 0, rank, plan.scenario.sidecars.count)
        for tier, sites in enumerate(self.fleet.sites[:-1]):
            for site in sites:
                self._start_inner(tier, site)
        for deed in self.script.deeds:
            kernel.at(deed.at_ms, self._deed, deed)
        kernel.at(0.0, self._sample)
        self._next_request()
        longest = max(cls.deadline_ms for cls in plan.classes)
        # After the last arrival all is answered: retries, and the wait before each.
        tail = (longest + max(plan.clients.backoff_ms[1], plan.scenario.sidecars.max_retry_after_ms) * 4) * (
            1 + plan.clients.retries
        ) + 1000.0
        kernel.run(plan.length_ms + tail)
        self._over = True
        self.rules.quiet(kernel.now)
        self.record.end(kernel.now, self)
        return self.record

    # Clients

    def _next_request(self) -> None:
        request = self.clients.next(self.kernel.now)
        if request is None or request.born_ms >= self.plan.length_ms:
            return
        self.kernel.at(request.born_ms, self._born, request)

    def _born(self, request: Request) -> None:
        self.record.asked(request)
        if self._open < MOST_OPEN:
            self._try(request)
        else:
            self.cut_short = True
            self.record.outcome(self.kernel.now, request, "unmade", 0.0)
        self._next_request()

    def _try(self, request: Request) -> None:
        now = self.kernel.now
        request.tries += 1
        self._open += 1
        self.record.tried(now, request)
        sidecar = self._entry(request.zone)
        state: list[Call | None] = [None]  # the call while this try waits; emptied by its end
        ended = [False]

        def over(outcome: str, retry_after_ms: float) -> None:
            if ended[0]:
                return
            ended[0] = True
            self._open -= 1
            self._answered(request, outcome, retry_after_ms)

        def answer(verdict: str, retry_after_ms: float) -> None:
            self.kernel.at(self.kernel.now + self.network.client_delay_ms(), over, verdict, retry_after_ms)

        def arrive() -> None:
            if not sidecar.alive:
                over("failed", 0.0)
                return
            state[0] = sidecar.take(
                self.next_number(),
                request.cls,
                request.account,
                request.size,
                request.key,
                request.budget_ms,
                now + request.budget_ms,
                answer,
                request.tries > 1,
            )

        def give_up() -> None:
            if not ended[0]:
                if state[0] is not None:
                    sidecar.depart(state[0])
                over("timed out", 0.0)

        self.kernel.at(now + self.network.client_delay_ms(), arrive)
        self.kernel.late(now + request.budget_ms, give_up)

    def _answered(self, request: Request, outcome: str, retry_after_ms: float) -> None:
        now = self.kernel.now
        self.record.outcome(now, request, outcome, retry_after_ms)
        if outcome == "served":
            return
        wait = self.clients.comes_back(request, outcome, retry_after_ms)
        if wait is not None:
            self.kernel.at(now + wait, self._try, request)

    def _entry(self, zone: int) -> Sidecar:
        return self.sidecars[(0, self.fleet.entry_rank(zone))]

    # Sidecars

    def next_number(self) -> int:
        self._count += 1
        return self._count

    def _start_sidecar(self, key: tuple[int, int], zone: int, tier: int, rank: int, balancers: int) -> None:
        settings = settings_of(self.plan, tier, rank, balancers, zone)
        sidecar = self.sidecars[key] = Sidecar(self, key, zone, tier, settings, self.fleet.sidecar_seed(key))
        sidecar.start()
        for banned_tier, name in sorted(self.banned):
            if banned_tier == tier:
                sidecar.ban(name, True)

    def _start_inner(self, tier: int, site: Site) -> None:
        """The sidecar of a provider, for its calls of the tier below."""
        machine = site.machine
        self._start_sidecar(
            (tier + 1, machine.index), machine.zone, tier + 1, machine.index, len(self.fleet.sites[tier])
        )

    def find(self, tier: int, name: str) -> tuple[Site | None, Provider | None]:
        return self._names.get(name, (None, None))

    def one_way(self, zone: int, site: Site | None) -> float:
        return self.network.delay_ms(zone, site.machine.zone if site is not None else zone)

    def reaches(self, zone: int, site: Site) -> bool:
        return not site.silent and self.network.reaches(zone, site.machine.zone)

    # Attempts

    def carry(self, sidecar: Sidecar, attempt: Attempt) -> None:
        """The whole request is on its way."""
        site = attempt.site
        assert site is not None
        self.record.sent(self.kernel.now, sidecar.tier, attempt.number, sidecar.zone != site.machine.zone)
        if not self.reaches(sidecar.zone, site):
            attempt.hushed = True
            return
        self.kernel.at(self.kernel.now + self.one_way(sidecar.zone, site), self._arrive, sidecar, attempt)

    def _arrive(self, sidecar: Sidecar, attempt: Attempt) -> None:
        now, process, site, call = self.kernel.now, attempt.process, attempt.site, attempt.call
        assert process is not None and site is not None
        if attempt.over:  # its connection was closed behind it: the provider reads a request and then the end
            return
        if process.stopped:
            self._back(sidecar, attempt, "reset")
            return
        job = self.fleet.job(site.machine.tier, self.next_number(), call.cls, call.size, call.key, attempt.end)
        attempt.ticket = job.ticket
        taken = process.offer(now, job)
        if process.fallen:
            self._fell(site)
            self._back(sidecar, attempt, "reset")
        elif taken:
            self._attempts[job.ticket] = (sidecar, attempt)
            self.wake(site)
        else:
            self._back(sidecar, attempt, "refused")

    def _fell(self, site: Site) -> None:
        self.rules.fell(self.kernel.now, site.name)
        self.record.event(self.kernel.now, "fell", site.name)
        self._see_to(self.fleet.fall(self.kernel.now, site))

    def abandon(self, sidecar: Sidecar, attempt: Attempt) -> None:
        """The sidecar closes the attempt's connection; the provider learns of it."""
        site = attempt.site
        if attempt.ticket and site is not None and attempt.ticket in self._attempts:
            del self._attempts[attempt.ticket]
            if self.reaches(sidecar.zone, site):
                self.kernel.at(
                    self.kernel.now + self.one_way(sidecar.zone, site),
                    self._drop,
                    site,
                    attempt.process,
                    attempt.ticket,
                )

    def _drop(self, site: Site, process: Provider, ticket: int) -> None:
        if process.stopped:
            return
        self._effects(site, process.drop(self.kernel.now, ticket))
        if not process.holds(ticket):
            self._leave_below(ticket)
        self.wake(site)

    def _leave_below(self, ticket: int) -> None:
        """The job is gone: so is the consumer of its lower call."""
        below = self._below.pop(ticket, None)
        if below is not None:
            below[0].depart(below[1])

    def _back(self, sidecar: Sidecar, attempt: Attempt, how: str) -> None:
        """An answer, or the connection's reset, on its way to the sidecar."""
        site, process = attempt.site, attempt.process
        assert site is not None and process is not None
        if not self.reaches(sidecar.zone, site):
            attempt.hushed = True
            return
        report: tuple[float, float] | None = None
        if how != "reset" and not process.stopped:
            shown = process.report(self.kernel.now)
            report = (shown.util, shown.qps) if process.spec.reports else None
            if how in ("served", "error") and self.fleet.spoils(site):
                how, report = "reset", None  # an answer that can't be read: the sidecar closes the connection
        self.kernel.at(self.kernel.now + self.one_way(sidecar.zone, site), sidecar.ended, attempt, how, report)

    # Providers

    def wake(self, site: Site) -> None:
        """See to it that the process runs when it is due."""
        process = site.process
        if process is None:
            return
        due = process.due()
        if due < self._due.get(site, inf):
            self._due[site] = due
            self.kernel.at(due, self._run, site, due)

    def _run(self, site: Site, due: float) -> None:
        if self._due.get(site) != due:
            return  # an earlier wake has taken its place
        del self._due[site]
        process = site.process
        if process is not None and not process.stopped:
            if process.due() <= self.kernel.now:
                self._effects(site, process.run(self.kernel.now))
            self.wake(site)

    def _effects(self, site: Site, effects: list[Effect]) -> None:
        for effect in effects:
            job = effect.job
            if isinstance(effect, Done):
                held = self._attempts.pop(job.ticket, None)
                if held is not None:
                    how = {End.SERVED: "served", End.ERROR: "error", End.EXPIRED: "refused"}[effect.end]
                    self._back(held[0], held[1], how)
            elif isinstance(effect, Below):
                self._call_below(site, job)

    def _call_below(self, site: Site, job: Job) -> None:
        machine = site.machine
        sidecar = self.sidecars[(machine.tier + 1, machine.index)]
        now = self.kernel.now
        budget = self.fleet.budget_below(now, job)
        number = self.next_number()
        process = site.process
        ticket = job.ticket

        def answer(verdict: str, retry_after_ms: float) -> None:
            self._below.pop(ticket, None)
            self.kernel.at(self.kernel.now, self._resume, site, process, ticket, verdict)

        key = self.fleet.key_below(job.cls, number)
        size = self.fleet.size_below(job, machine.tier)
        lower = sidecar.take(number, job.cls, 0, size, key, budget, now + budget, answer)
        if not lower.closed:
            self._below[ticket] = (sidecar, lower)
            self.kernel.late(now + budget, self._give_up_below, site, process, ticket, lower)

    def _give_up_below(self, site: Site, process: Provider, ticket: int, lower: Call) -> None:
        held = self._below.get(ticket)
        if held is not None and held[1] is lower:
            del self._below[ticket]
            held[0].depart(lower)
            self._resume(site, process, ticket, "timed out")

    def _resume(self, site: Site, process: Provider | None, ticket: int, verdict: str) -> None:
        if process is not None and not process.stopped:
            self._effects(site, process.resume(self.kernel.now, ticket, verdict == "served"))
            self.wake(site)

    # Faults and the directory

    def _deed(self, deed: Deed) -> None:
        if deed.kind in BY_HAND:
            by_hand.carry_out(self, deed)
            return
        self._see_to(self.fleet.carry_out(self.kernel.now, deed))
        if deed.kind not in ("directory", "surge", "hot", "cut"):
            site = self.fleet.sites[deed.tier][deed.target]
            self.wake(site)
        self.directories.look(range(len(self.plan.tiers)))

    def _see_to(self, changes: list[Changed]) -> None:
        now = self.kernel.now
        for changed in changes:
            site = changed.site
            tier = site.machine.tier
            self.record.event(now, changed.what, site.name)
            if changed.what == "stopped":
                for ticket in changed.tickets:
                    held = self._attempts.pop(ticket, None)
                    if held is not None:
                        self._back(held[0], held[1], "reset")
                    self._below.pop(ticket, None)
                inner = self.sidecars.get((tier + 1, site.machine.index)) if tier + 1 < len(self.plan.tiers) else None
                if inner is not None:
                    inner.die()
                    self.fleet.directories[tier + 1].leave(inner.key)
            elif changed.what == "started":
                assert site.process is not None
                self._names[site.name] = (site, site.process)
                if tier + 1 < len(self.plan.tiers):
                    self._start_inner(tier, site)
            elif changed.what == "back":
                # Connections that stood open through the silence are reset now.
                for sidecar in self.sidecars.values():
                    if sidecar.tier == tier:
                        for call in list(sidecar.calls.values()):
                            for attempt in call.attempts:
                                if attempt.hushed and attempt.site is site and not attempt.over:
                                    self._back(sidecar, attempt, "reset")
            self.directories.look([tier])

    def ask(self, sidecar: Sidecar) -> None:
        """A sidecar queries its tier's directory."""
        self.directories.ask(sidecar)

    # Samples

    def _sample(self) -> None:
        if self._over or self.kernel.now > self.plan.length_ms:
            return
        self.record.sample(self.kernel.now, self.fleet)
        self.kernel.at(self.kernel.now + SAMPLE_MS, self._sample)

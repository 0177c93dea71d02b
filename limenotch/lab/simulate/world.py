"""The simulated deployment: carries messages between clients, sidecars, providers and directories.

All behaviour is in `lab/model`. This module decides only which party receives what, and after which delay.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ..model.chance import Seeds
from ..model.clients import Clients, Request
from ..model.faults import FaultAction, FaultSchedule
from ..model.fleet import Fleet, FleetChange, Site
from ..model.jobs import Effect, Job, JobEnd, JobFinished, LowerTierRequest
from ..model.network import Network
from ..model.provider import Provider
from ..model.rules import Limits, RuleChecker
from ..planning import Plan, settings_of
from ..policy import Policy
from ..record import Record
from ..scenario import OPERATOR_FAULTS
from . import by_hand
from .calls import Attempt, SidecarRequest
from .directory_queries import DirectoryQueries
from .kernel import Kernel
from .sidecar import Sidecar

SAMPLE_MS = 1000.0
MAX_OPEN_ATTEMPTS = 500_000  # of clients at once; a run that would have more drops new requests and sets `cut_short`


class World:
    """One run of a plan in simulated time."""

    def __init__(self, plan: Plan, policy: Policy, clock: Callable[[], float] | None = None) -> None:
        """`clock` (seconds), if given, measures the time spent in the decision modules; it does not affect the run."""
        self.plan, self.policy, self.clock = plan, policy, clock
        self.decision_time_s = 0.0
        self.kernel = Kernel()
        seeds = Seeds(plan.seed)
        self.network = Network(plan.network, seeds)
        zones = len(plan.network.zones)
        self.clients = Clients(plan.clients, plan.classes, plan.accounts, zones, plan.quota_per_s, seeds, plan.trace)
        self.fleet = Fleet(plan, seeds, self.network, self.clients)
        self.schedule = FaultSchedule(plan, seeds)
        self.rules = RuleChecker(Limits(grace_ms=plan.scenario.rules.drain_grace_ms))
        self.record = Record(plan, self.schedule.intervals)
        self._last_id = 0
        self._names: dict[str, tuple[Site, Provider]] = {}
        self._attempts: dict[int, tuple[Sidecar, Attempt]] = {}  # by job id: attempts in work or queued at a provider
        self._lower_requests: dict[
            int, tuple[Sidecar, SidecarRequest]
        ] = {}  # by job id: the job's request to the tier below
        self._next_run_ms: dict[Site, float] = {}
        self.directories = DirectoryQueries(self)
        self.sidecars: dict[tuple[int, int], Sidecar] = {}
        self.replaced_sidecars: list[Sidecar] = []  # old processes during an upgrade
        self.ejected: set[tuple[int, str]] = set()  # tier and name of providers ejected by an operator
        self._open_attempts = 0
        self.cut_short = False
        self._ended = False

    # A run

    def run(self) -> Record:
        """Runs the plan to its end and returns the record."""
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
        for action in self.schedule.actions:
            kernel.schedule(action.at_ms, self._apply_fault, action)
        kernel.schedule(0.0, self._sample)
        self._next_request()
        max_deadline_ms = max(cls.deadline_ms for cls in plan.classes)
        # After the last arrival, time for all retries and the waits before them.
        tail_ms = (max_deadline_ms + max(plan.clients.backoff_ms[1], plan.scenario.sidecars.max_retry_after_ms) * 4) * (
            1 + plan.clients.retries
        ) + 1000.0
        kernel.run(plan.length_ms + tail_ms)
        self._ended = True
        self.rules.run_ended(kernel.now)
        self.record.end(kernel.now, self)
        return self.record

    # Clients

    def _next_request(self) -> None:
        request = self.clients.next(self.kernel.now)
        if request is None or request.created_at_ms >= self.plan.length_ms:
            return
        self.kernel.schedule(request.created_at_ms, self._on_request_created, request)

    def _on_request_created(self, request: Request) -> None:
        self.record.request_created(request)
        if self._open_attempts < MAX_OPEN_ATTEMPTS:
            self._start_attempt(request)
        else:
            self.cut_short = True
            self.record.attempt_ended(self.kernel.now, request, "unmade", 0.0)
        self._next_request()

    def _start_attempt(self, request: Request) -> None:
        now = self.kernel.now
        request.attempts += 1
        self._open_attempts += 1
        self.record.attempt_started(now, request)
        sidecar = self._entry_sidecar(request.zone)
        pending_request: list[SidecarRequest | None] = [None]  # the sidecar's request once it has arrived there
        is_finished = [False]

        def finish(outcome: str, retry_after_ms: float) -> None:
            if is_finished[0]:
                return
            is_finished[0] = True
            self._open_attempts -= 1
            self._on_attempt_ended(request, outcome, retry_after_ms)

        def answer(verdict: str, retry_after_ms: float) -> None:
            self.kernel.schedule(self.kernel.now + self.network.client_delay_ms(), finish, verdict, retry_after_ms)

        def arrive() -> None:
            if not sidecar.alive:
                finish("failed", 0.0)
                return
            pending_request[0] = sidecar.accept_request(
                self.next_id(),
                request.cls,
                request.account,
                request.size,
                request.key,
                request.budget_ms,
                now + request.budget_ms,
                answer,
                request.attempts > 1,
            )

        def give_up() -> None:
            if not is_finished[0]:
                if pending_request[0] is not None:
                    sidecar.on_client_disconnected(pending_request[0])
                finish("timed out", 0.0)

        self.kernel.schedule(now + self.network.client_delay_ms(), arrive)
        self.kernel.schedule_last(now + request.budget_ms, give_up)

    def _on_attempt_ended(self, request: Request, outcome: str, retry_after_ms: float) -> None:
        now = self.kernel.now
        self.record.attempt_ended(now, request, outcome, retry_after_ms)
        if outcome == "served":
            return
        wait = self.clients.retry_delay_ms(request, outcome, retry_after_ms)
        if wait is not None:
            self.kernel.schedule(now + wait, self._start_attempt, request)

    def _entry_sidecar(self, zone: int) -> Sidecar:
        return self.sidecars[(0, self.fleet.entry_rank(zone))]

    # Sidecars

    def next_id(self) -> int:
        """A number that is unique in this run, for a request or a job."""
        self._last_id += 1
        return self._last_id

    def _start_sidecar(self, key: tuple[int, int], zone: int, tier: int, rank: int, balancers: int) -> None:
        settings = settings_of(self.plan, tier, rank, balancers, zone)
        sidecar = self.sidecars[key] = Sidecar(self, key, zone, tier, settings, self.fleet.sidecar_seed(key))
        sidecar.start()
        for ejected_tier, name in sorted(self.ejected):
            if ejected_tier == tier:
                sidecar.set_ejected(name, True)

    def _start_inner(self, tier: int, site: Site) -> None:
        """Starts the sidecar beside a provider, which carries its requests to the tier below."""
        machine = site.machine
        self._start_sidecar(
            (tier + 1, machine.index), machine.zone, tier + 1, machine.index, len(self.fleet.sites[tier])
        )

    def find(self, tier: int, name: str) -> tuple[Site | None, Provider | None]:
        """The site and the process of this name, stopped or not; None if no process ever had it."""
        return self._names.get(name, (None, None))

    def delay_ms(self, zone: int, site: Site | None) -> float:
        """The delay of one message from a zone to a site, in ms."""
        return self.network.delay_ms(zone, site.machine.zone if site is not None else zone)

    def is_reachable(self, zone: int, site: Site) -> bool:
        """Whether messages from a zone arrive at a site."""
        return not site.silent and self.network.is_reachable(zone, site.machine.zone)

    # Attempts

    def transmit(self, sidecar: Sidecar, attempt: Attempt) -> None:
        """Sends the complete request of an attempt to its provider."""
        site = attempt.site
        assert site is not None
        self.record.attempt_sent(self.kernel.now, sidecar.tier, attempt.number, sidecar.zone != site.machine.zone)
        if not self.is_reachable(sidecar.zone, site):
            attempt.lost_in_network = True
            return
        self.kernel.schedule(self.kernel.now + self.delay_ms(sidecar.zone, site), self._arrive, sidecar, attempt)

    def _arrive(self, sidecar: Sidecar, attempt: Attempt) -> None:
        now, process, site, request = self.kernel.now, attempt.process, attempt.site, attempt.request
        assert process is not None and site is not None
        if attempt.finished:  # closed already: the provider reads a request and then the end of the stream
            return
        if process.stopped:
            self._send_response(sidecar, attempt, "reset")
            return
        job = self.fleet.job(
            site.machine.tier, self.next_id(), request.cls, request.size, request.key, attempt.deadline_at_ms
        )
        attempt.job_id = job.job_id
        taken = process.offer(now, job)
        if process.crashed:
            self._on_crash(site)
            self._send_response(sidecar, attempt, "reset")
        elif taken:
            self._attempts[job.job_id] = (sidecar, attempt)
            self.schedule_run(site)
        else:
            self._send_response(sidecar, attempt, "refused")

    def _on_crash(self, site: Site) -> None:
        self.rules.provider_crashed(self.kernel.now, site.name)
        self.record.event(self.kernel.now, "fell", site.name)
        self._handle_changes(self.fleet.crash(self.kernel.now, site))

    def cancel_attempt(self, sidecar: Sidecar, attempt: Attempt) -> None:
        """Closes the attempt's connection; the provider learns of it after the network delay."""
        site = attempt.site
        if attempt.job_id and site is not None and attempt.job_id in self._attempts:
            del self._attempts[attempt.job_id]
            if self.is_reachable(sidecar.zone, site):
                self.kernel.schedule(
                    self.kernel.now + self.delay_ms(sidecar.zone, site),
                    self._cancel_job,
                    site,
                    attempt.process,
                    attempt.job_id,
                )

    def _cancel_job(self, site: Site, process: Provider, job_id: int) -> None:
        if process.stopped:
            return
        self._apply_effects(site, process.cancel(self.kernel.now, job_id))
        if not process.has_job(job_id):
            self._cancel_lower_request(job_id)
        self.schedule_run(site)

    def _cancel_lower_request(self, job_id: int) -> None:
        """Disconnects the client of a job's lower-tier request, since the job has ended."""
        lower_entry = self._lower_requests.pop(job_id, None)
        if lower_entry is not None:
            lower_entry[0].on_client_disconnected(lower_entry[1])

    def _send_response(self, sidecar: Sidecar, attempt: Attempt, result: str) -> None:
        """Sends a response, or the reset of the connection, to the sidecar."""
        site, process = attempt.site, attempt.process
        assert site is not None and process is not None
        if not self.is_reachable(sidecar.zone, site):
            attempt.lost_in_network = True
            return
        report: tuple[float, float] | None = None
        if result != "reset" and not process.stopped:
            shown = process.report(self.kernel.now)
            report = (shown.util, shown.qps) if process.spec.reports else None
            if result in ("served", "error") and self.fleet.corrupts_response(site):
                result, report = "reset", None  # an unreadable response: the sidecar closes the connection
        self.kernel.schedule(
            self.kernel.now + self.delay_ms(sidecar.zone, site), sidecar.on_response, attempt, result, report
        )

    # Providers

    def schedule_run(self, site: Site) -> None:
        """Schedules a run of the process at its next event."""
        process = site.process
        if process is None:
            return
        next_event_ms = process.next_event_ms()
        if next_event_ms < self._next_run_ms.get(site, inf):
            self._next_run_ms[site] = next_event_ms
            self.kernel.schedule(next_event_ms, self._run_process, site, next_event_ms)

    def _run_process(self, site: Site, next_event_ms: float) -> None:
        if self._next_run_ms.get(site) != next_event_ms:
            return  # superseded by an earlier run
        del self._next_run_ms[site]
        process = site.process
        if process is not None and not process.stopped:
            if process.next_event_ms() <= self.kernel.now:
                self._apply_effects(site, process.run(self.kernel.now))
            self.schedule_run(site)

    def _apply_effects(self, site: Site, effects: list[Effect]) -> None:
        for effect in effects:
            job = effect.job
            if isinstance(effect, JobFinished):
                entry = self._attempts.pop(job.job_id, None)
                if entry is not None:
                    result = {JobEnd.SERVED: "served", JobEnd.ERROR: "error", JobEnd.EXPIRED: "refused"}[effect.end]
                    self._send_response(entry[0], entry[1], result)
            elif isinstance(effect, LowerTierRequest):
                self._send_lower_request(site, job)

    def _send_lower_request(self, site: Site, job: Job) -> None:
        machine = site.machine
        sidecar = self.sidecars[(machine.tier + 1, machine.index)]
        now = self.kernel.now
        budget = self.fleet.lower_budget_ms(now, job)
        number = self.next_id()
        process = site.process
        job_id = job.job_id

        def answer(verdict: str, retry_after_ms: float) -> None:
            self._lower_requests.pop(job_id, None)
            self.kernel.schedule(self.kernel.now, self._resume_job, site, process, job_id, verdict)

        key = self.fleet.lower_request_key(job.cls, number)
        size = self.fleet.lower_request_size(job, machine.tier)
        lower_request = sidecar.accept_request(number, job.cls, 0, size, key, budget, now + budget, answer)
        if not lower_request.closed:
            self._lower_requests[job_id] = (sidecar, lower_request)
            self.kernel.schedule_last(now + budget, self._lower_request_timed_out, site, process, job_id, lower_request)

    def _lower_request_timed_out(self, site: Site, process: Provider, job_id: int, lower: SidecarRequest) -> None:
        entry = self._lower_requests.get(job_id)
        if entry is not None and entry[1] is lower:
            del self._lower_requests[job_id]
            entry[0].on_client_disconnected(lower)
            self._resume_job(site, process, job_id, "timed out")

    def _resume_job(self, site: Site, process: Provider | None, job_id: int, verdict: str) -> None:
        if process is not None and not process.stopped:
            self._apply_effects(site, process.resume(self.kernel.now, job_id, verdict == "served"))
            self.schedule_run(site)

    # Faults and the directories

    def _apply_fault(self, action: FaultAction) -> None:
        if action.kind in OPERATOR_FAULTS:
            by_hand.apply_operator_action(self, action)
            return
        self._handle_changes(self.fleet.apply(self.kernel.now, action))
        if action.kind not in ("directory", "surge", "hot", "cut"):
            site = self.fleet.sites[action.tier][action.target]
            self.schedule_run(site)
        self.directories.reschedule(range(len(self.plan.tiers)))

    def _handle_changes(self, changes: list[FleetChange]) -> None:
        now = self.kernel.now
        for changed in changes:
            site = changed.site
            tier = site.machine.tier
            self.record.event(now, changed.kind, site.name)
            if changed.kind == "stopped":
                for job_id in changed.job_ids:
                    entry = self._attempts.pop(job_id, None)
                    if entry is not None:
                        self._send_response(entry[0], entry[1], "reset")
                    self._lower_requests.pop(job_id, None)
                inner = self.sidecars.get((tier + 1, site.machine.index)) if tier + 1 < len(self.plan.tiers) else None
                if inner is not None:
                    inner.stop()
                    self.fleet.directories[tier + 1].remove_watcher(inner.key)
            elif changed.kind == "started":
                assert site.process is not None
                self._names[site.name] = (site, site.process)
                if tier + 1 < len(self.plan.tiers):
                    self._start_inner(tier, site)
            elif changed.kind == "back":
                # Connections that stayed open while the machine was silent are reset now.
                for sidecar in self.sidecars.values():
                    if sidecar.tier == tier:
                        for request in list(sidecar.requests.values()):
                            for attempt in request.attempts:
                                if attempt.lost_in_network and attempt.site is site and not attempt.finished:
                                    self._send_response(sidecar, attempt, "reset")
            self.directories.reschedule([tier])

    def query_directory(self, sidecar: Sidecar) -> None:
        """Queries the directory of the sidecar's tier."""
        self.directories.query(sidecar)

    def _sample(self) -> None:
        if self._ended or self.kernel.now > self.plan.length_ms:
            return
        self.record.sample(self.kernel.now, self.fleet)
        self.kernel.schedule(self.kernel.now + SAMPLE_MS, self._sample)

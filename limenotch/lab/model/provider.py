"""A provider: cores, slots and a queue; what slows it down, and what crashes it.

Theory. Running jobs share the cores evenly (egalitarian processor sharing): with n jobs running, each advances at
`min(1, cores / n)` of one core. A virtual clock (`_virtual_ms`) counts the service that a job running since the
beginning would have received. A job that needs w more ends when the virtual clock has advanced by w. So a change of
speed costs O(1), and a start or an end O(log n), for any number of jobs. With as many slots as cores no core is
shared, and the provider is a first-come-first-served M/G/c/K queue, with whose theory the tests compare it.

A job is a sequence of segments of work with a request to the tier below between each two; it keeps its slot meanwhile.

Speed, relative to the reference machine, is the product of:

- `speed` of the kind;
- warm-up: `cold_from` at the start, rising linearly to 1 over `cold_ms`, or earlier by work done (`warm_work_ms`);
- crowding: beyond `crowd_at` jobs in slots, 1 / (1 + crowd_loss * (jobs - crowd_at) / crowd_at);
- choking: 1 / `choke_slower`, from the time when more than `choke_at` jobs per core have been runnable for
  `choke_over_ms` until fewer than `choke_below` per core were for `choke_rest_ms`, or `choke_most_ms` have passed;
- open connections: 1 - full_tax * connections / cap;
- faults: a slow machine, a neighbour on the machine, a stall.

A provider in warm-up crashes, and stays down, if it was sent more work within any `fall_ms` than `fall_multiple`
times its capacity.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from math import inf

from .chance import Chance
from .choking import Choking
from .jobs import EPSILON, Effect, Job, JobEnd, JobFinished, JobState, Ledger, LowerTierRequest, Report
from .keys import KeyGroup
from .provider_spec import ProviderSpec, Stops

WARMUP_UPDATE_MS = 100.0  # interval of the updates of the speed during warm-up, without other events


class Provider:
    """One process on one machine. Times are in ms and must not decrease."""

    def __init__(
        self, name: str, spec: ProviderSpec, chance: Chance, group: KeyGroup, now: float, started_ms: float = 0.0
    ) -> None:
        """`started_ms` 0: the process finished its warm-up long ago."""
        self.name, self.spec, self.group, self._chance = name, spec, group, chance
        self.started_ms = started_ms
        self.ledger = Ledger()
        self.connections = 0
        self.job_count = 0  # in any state
        self.running = 0
        self.queue: deque[Job] = deque()
        self.queued = 0
        self.crashed = self.stopped = False
        self.slowdown, self.neighbour_share, self.stalled = 1.0, 0.0, False  # by faults
        self.error_burst = 0.0  # by faults: probability of an error, added to `error_rate`
        self._busy_slots = 0
        self._heap: list[tuple[float, int, Job]] = []
        self._jobs: dict[int, Job] = {}
        self._virtual_ms, self._virtual_rate, self._updated_at_ms, self._heap_entries = 0.0, 0.0, now, 0
        self._warming_up = started_ms > 0 and (spec.cold_ms > 0 or spec.warm_work_ms > 0)
        self._completed_work_ms = 0.0
        self._recent_work: deque[tuple[float, float]] = deque()
        self._recent_work_ms = 0.0
        self.max_cold_load_ratio = 0.0  # during warm-up: the maximum load, relative to the load that crashes it
        self._choking = Choking(spec)
        self._report = self._sent_report = Report(0.0, 0.0, 0.0)
        self._report_made_at_ms, self._next_report_ms = -inf, now + spec.report_ms * chance.uniform()
        self._report_window = (now, 0.0, 0, 0.0)  # start, busy_ms, jobs, service_ms: of the next report
        self._served_jobs = 0
        self._served_work_ms = 0.0
        self._update_speed(now)

    # Present state

    def warmth(self, now: float) -> float:
        """The present share of the full capacity, below 1 during warm-up."""
        if not self._warming_up:
            return 1.0
        spec = self.spec
        ratio = (now - self.started_ms) / spec.cold_ms if spec.cold_ms > 0 else 0.0
        if spec.warm_work_ms > 0:
            ratio = max(ratio, self._completed_work_ms / spec.warm_work_ms)
        if ratio >= 1.0:
            self._warming_up = False
            self._recent_work.clear()
            return 1.0
        return spec.cold_from + (1.0 - spec.cold_from) * max(ratio, 0.0)

    @property
    def choked(self) -> bool:
        """Whether the process is slowed down by choking."""
        return self._choking.choked

    @property
    def runnable(self) -> int:
        return self.running + self.queued

    @property
    def job_ids(self) -> list[int]:
        """The ids of all present jobs."""
        return list(self._jobs)

    def has_job(self, job_id: int) -> bool:
        """Whether the job is present, in any state."""
        return job_id in self._jobs

    def sojourn_ms(self, now: float) -> float:
        """Time spent here by all jobs, including present ones; by Little's law it equals `held_ms`."""
        return self.ledger.sojourn_ms + sum(now - job.arrived_at_ms for job in self._jobs.values())

    @property
    def held_work(self) -> float:
        """The work of all present jobs, including the part that is done already."""
        return sum(job.work_ms for job in self._jobs.values())

    def report(self, now: float) -> Report:
        """The load report that a response carries now: delayed and noisy."""
        self._advance(now)
        if now - self._report_made_at_ms >= self.spec.report_delay_ms:
            self._sent_report = self._report
        return self._sent_report

    def next_event_ms(self) -> float:
        """The time of the next call of `run`; inf if nothing is in work. Valid until the next call of any method."""
        if self.crashed or self.stopped:
            return inf
        at_ms = inf
        self._discard_stale_entries()
        if self._heap and self._virtual_rate > 0:
            at_ms = self._updated_at_ms + max(self._heap[0][0] - self._virtual_ms, 0.0) / self._virtual_rate
            if self._warming_up:
                at_ms = min(at_ms, self._updated_at_ms + WARMUP_UPDATE_MS)
        return min(at_ms, self._choking.next_event_ms())

    # Events from the host

    def connect(self, now: float) -> bool:
        """Accepts a connection; False if all connections are in use or the process does not run."""
        if self.crashed or self.stopped or self.connections >= self.spec.connections:
            return False
        self._advance(now)
        self.connections += 1
        self._add_extra_work(self.spec.handshake_ms)
        self._update_speed(now)
        return True

    def disconnect(self, now: float) -> None:
        """Closes a connection."""
        self._advance(now)
        self.connections = max(self.connections - 1, 0)
        self._update_speed(now)

    def probe(self, now: float) -> bool:
        """Answers a probe outside the queue, which costs work; False if the process does not run."""
        if self.crashed or self.stopped:
            return False
        self._advance(now)
        self._add_extra_work(self.spec.probe_ms)
        self._update_speed(now)
        return True

    def offer(self, now: float, job: Job) -> bool:
        """Accepts a complete job; False: it is rejected and never runs here. Check `crashed` afterwards."""
        self._advance(now)
        ledger = self.ledger
        job.arrived_at_ms, job.work_ms = now, sum(job.segments)
        job.left_ms = job.work_ms
        ledger.offered += job.work_ms
        ledger.jobs += 1
        if self._warming_up and self._overloads_cold_process(now, job.work_ms):
            self.crashed = True
        full = self._busy_slots >= self.spec.slots and self.queued >= self.spec.queue
        if self.crashed or self.stopped or full:
            ledger.refused += job.work_ms
            ledger.turned_away += 1
            return False
        if job.key and self.group.contains(now, job.key):
            job.is_repeat = True
            ledger.repeats += 1
            ledger.unspent += job.work_ms - self.spec.repeat_ms
            job.segments, job.work_ms, job.left_ms = [self.spec.repeat_ms], self.spec.repeat_ms, self.spec.repeat_ms
        else:
            job.will_fail = self._chance.occurs(self.spec.error_rate + self.error_burst)
        self._jobs[job.job_id] = job
        self.job_count += 1
        if self._busy_slots < self.spec.slots:
            self._start_job(job)
        else:
            self.queue.append(job)
            self.queued += 1
        self._update_speed(now)
        return True

    def cancel(self, now: float, job_id: int) -> list[Effect]:
        """The client of a job has disconnected; `spec.stops` decides whether the job stops."""
        job = self._jobs.get(job_id)
        if job is None or self.crashed or self.stopped:
            return []
        self._advance(now)
        job.abandoned = True
        stops = self.spec.stops
        effects: list[Effect] = []
        if stops is Stops.ALL or (stops is Stops.QUEUED and job.state is JobState.QUEUED):
            self._remove_job(now, job, is_wasted=True)
            self._start_queued_jobs(now, effects)
        self._update_speed(now)
        return effects

    def resume(self, now: float, job_id: int, served: bool) -> list[Effect]:
        """The lower-tier request of a job has ended; `served`: with a response."""
        job = self._jobs.get(job_id)
        if job is None or job.state is not JobState.WAITING_FOR_LOWER_TIER or self.crashed or self.stopped:
            return []
        self._advance(now)
        effects: list[Effect] = []
        if served:
            self._run_segment(job)
        else:
            self._finish_job(now, job, JobEnd.ERROR, effects)
            self._start_queued_jobs(now, effects)
        self._update_speed(now)
        return effects

    def run(self, now: float) -> list[Effect]:
        """Handles all events up to `now`."""
        effects: list[Effect] = []
        if self.crashed or self.stopped:
            return effects
        self._advance(now)
        heap = self._heap
        while heap and heap[0][0] <= self._virtual_ms + EPSILON:
            job = heappop(heap)[2]
            if job.state is not JobState.RUNNING:
                continue
            self.running -= 1
            job.state = JobState.WAITING_FOR_LOWER_TIER  # in a slot and not running, also if it ends now
            job.left_ms -= job.segments.pop(0)
            if job.segments:
                effects.append(LowerTierRequest(job))
            else:
                self._finish_job(now, job, JobEnd.ERROR if job.will_fail else JobEnd.SERVED, effects)
        self._start_queued_jobs(now, effects)
        self._update_speed(now)
        return effects

    def set_interference(
        self,
        now: float,
        slowdown: float | None = None,
        neighbour_share: float | None = None,
        stalled: bool | None = None,
    ) -> None:
        """A fault begins or ends: slower by a factor, a share taken by a neighbour, or a stall; None: unchanged."""
        self._advance(now)
        self.slowdown = self.slowdown if slowdown is None else slowdown
        self.neighbour_share = self.neighbour_share if neighbour_share is None else neighbour_share
        self.stalled = self.stalled if stalled is None else stalled
        self._update_speed(now)

    def stop(self, now: float) -> None:
        """Stops the process: its jobs and connections are lost."""
        if not self.stopped:
            self._advance(now)
            for job in list(self._jobs.values()):
                self._remove_job(now, job, is_wasted=True)
            self.stopped, self.connections = True, 0

    # Internals

    def _add_extra_work(self, work_ms: float) -> None:
        """Adds work outside the jobs, which delays all of them, spread over the cores."""
        if work_ms > 0:
            self.ledger.excess += work_ms
            if self.running:
                self._virtual_ms -= work_ms / max(self.running, self.spec.cores)

    def _overloads_cold_process(self, now: float, work: float) -> bool:
        spec = self.spec
        capacity = spec.cores * spec.speed * self.warmth(now)
        if not self._warming_up:
            return False
        self._recent_work.append((now, work))
        self._recent_work_ms += work
        while self._recent_work[0][0] <= now - spec.fall_ms:
            self._recent_work_ms -= self._recent_work.popleft()[1]
        ratio = self._recent_work_ms / (spec.fall_multiple * capacity * spec.fall_ms)
        self.max_cold_load_ratio = max(self.max_cold_load_ratio, ratio)
        return ratio > 1.0

    def _start_job(self, job: Job) -> None:
        self._busy_slots += 1
        self._run_segment(job)

    def _run_segment(self, job: Job) -> None:
        job.state = JobState.RUNNING
        job.finish_virtual_ms = self._virtual_ms + job.segments[0]
        self._heap_entries += 1
        self.running += 1
        heappush(self._heap, (job.finish_virtual_ms, self._heap_entries, job))

    def _start_queued_jobs(self, now: float, effects: list[Effect]) -> None:
        while self.queue and self._busy_slots < self.spec.slots:
            job = self.queue.popleft()
            if job.state is not JobState.QUEUED:
                continue
            self.queued -= 1
            if self.spec.drops_expired and job.deadline_at_ms <= now:
                self._remove_job(now, job, is_wasted=False, already_dequeued=True)
                effects.append(JobFinished(job, JobEnd.EXPIRED))
                continue
            self._start_job(job)

    def _finish_job(self, now: float, job: Job, end: JobEnd, effects: list[Effect]) -> None:
        """Ends a job in a slot that was not cancelled."""
        served = end is JobEnd.SERVED and not job.abandoned
        first_run = end is JobEnd.SERVED and job.key and not job.is_repeat
        if first_run and not self.group.commit(now, job.key, job.window_ms):
            self.ledger.double += 1
        self._remove_job(now, job, is_wasted=not served)
        if served:
            self._served_jobs += 1
            self._served_work_ms += job.work_ms / (self.spec.speed or 1.0)
        effects.append(JobFinished(job, end))

    def _remove_job(self, now: float, job: Job, is_wasted: bool, already_dequeued: bool = False) -> None:
        """Removes a job and frees its slot or its place in the queue. Every job ends here."""
        if job.state is JobState.RUNNING:
            self.running -= 1
            self._busy_slots -= 1
            job.left_ms = (
                job.left_ms - job.segments[0] + min(max(job.finish_virtual_ms - self._virtual_ms, 0.0), job.segments[0])
            )
        elif job.state is JobState.QUEUED:
            self.queued -= 0 if already_dequeued else 1
        else:  # in a slot, but not running
            self._busy_slots -= 1
        job.state = JobState.FINISHED
        spent_ms, ledger = job.work_ms - job.left_ms, self.ledger
        if is_wasted:
            ledger.wasted += spent_ms
        else:
            ledger.served += spent_ms
        ledger.unspent += job.left_ms
        ledger.sojourn_ms += now - job.arrived_at_ms
        self._completed_work_ms += spent_ms
        self.job_count -= 1
        del self._jobs[job.job_id]

    def _discard_stale_entries(self) -> None:
        while self._heap and self._heap[0][2].state is not JobState.RUNNING:
            heappop(self._heap)

    def _advance(self, now: float) -> None:
        """Accounts for the work done up to `now`; the speed has not changed since the last call."""
        span = now - self._updated_at_ms
        if span <= 0:
            return
        while self._next_report_ms <= now:
            self._update_report(self._next_report_ms)
        self._virtual_ms += self._virtual_rate * span
        self.ledger.busy_ms += min(self.running, self.spec.cores) * span
        self.ledger.held_ms += self.job_count * span
        self._updated_at_ms = now

    def _update_report(self, at_ms: float) -> None:
        spec = self.spec
        busy = self.ledger.busy_ms + min(self.running, spec.cores) * (at_ms - self._updated_at_ms)
        since, busy_then, served_then, service_then = self._report_window
        span, served = max(at_ms - since, 1e-9), self._served_jobs - served_then
        latency = (self._served_work_ms - service_then) / served if served else self._report.latency_ms
        # The load of the machine includes that of the neighbour.
        util = min((busy - busy_then) / span / spec.cores + self.neighbour_share, 1.0)
        noise = 1.0 + spec.report_noise * self._chance.normal() if spec.report_noise else 1.0
        self._sent_report, self._report = self._report, Report(max(util * noise, 0.0), served * 1000.0 / span, latency)
        self._report_made_at_ms = at_ms
        self._report_window = (at_ms, busy, self._served_jobs, self._served_work_ms)
        self._next_report_ms = at_ms + spec.report_ms

    def _update_speed(self, now: float) -> None:
        """Computes the speed after a change."""
        spec = self.spec
        if spec.choke_slower > 1.0:
            self._choking.update(now, self.runnable)
        if not self.running or self.stalled:
            self._virtual_rate = 0.0
            return
        speed = spec.speed / self.slowdown * (1.0 - self.neighbour_share)
        if self._warming_up:
            speed *= self.warmth(now)
        if self._choking.choked:
            speed /= spec.choke_slower
        if self._busy_slots > spec.crowd_at:
            speed /= 1.0 + spec.crowd_loss * (self._busy_slots - spec.crowd_at) / spec.crowd_at
        if spec.full_tax:
            speed *= 1.0 - spec.full_tax * min(self.connections / spec.connections, 1.0)
        self._virtual_rate = speed * min(1.0, spec.cores / self.running)

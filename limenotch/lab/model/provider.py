"""A provider: cores, slots and a waiting room; what makes it slow, and what makes it fall.

Theory. Jobs in work share the cores evenly (egalitarian processor sharing): with n jobs running, each advances at
`min(1, cores / n)` of one core. One figure, the service that a job running since ever would have got (`_virtual`),
serves them all: a job that needs w more ends when `_virtual` has grown by w. So a change of speed costs O(1) and
a start or an end O(log n), whatever the number of jobs. With as many slots as cores nothing is ever shared, and the
same machine is a first-come-first-served queue M/G/c/K, which is what the tests hold it against.

A job is a row of pieces of work with a call of the tier below between two of them; it keeps its slot meanwhile.

Speed, relative to the yardstick machine, is the product of:

- `speed` of the kind;
- warmth: `cold_from` at the start, growing evenly to 1 over `cold_ms`, or sooner by the work done (`warm_work_ms`);
- crowding: beyond `crowd_at` jobs held, 1 / (1 + crowd_loss * (held - crowd_at) / crowd_at);
- choking: 1 / `choke_slower` from the moment when more than `choke_at` jobs a core have been runnable for
  `choke_over_ms`, until fewer than `choke_below` a core were for `choke_rest_ms`, or `choke_most_ms` have passed;
- the connections held: 1 - full_tax * connections / cap;
- what faults take: a slow machine, a neighbour, a stall.

A cold provider that was sent more work within any `fall_ms` than `fall_multiple` times what it could do falls over
and stays down.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from math import inf

from .chance import Chance
from .choking import Choking
from .jobs import EPSILON, Effect, Job, JobEnd, JobFinished, JobState, Ledger, LowerTierRequest, Report
from .keys import DeduplicationGroup
from .provider_spec import ProviderSpec, Stops

WARMUP_UPDATE_MS = 100.0  # how often the speed of a warming provider is brought up to date while nothing else happens


class Provider:
    """One process on one machine. Told of times that never run back."""

    def __init__(
        self,
        name: str,
        spec: ProviderSpec,
        chance: Chance,
        group: DeduplicationGroup,
        now: float,
        started_ms: float = 0.0,
    ) -> None:
        """`started_ms` 0: it has been warm for long."""
        self.name, self.spec, self.group, self._chance = name, spec, group, chance
        self.started_ms = started_ms
        self.ledger = Ledger()
        self.connections = 0
        self.job_count = 0  # jobs here, in any state
        self.running = 0
        self.queue: deque[Job] = deque()
        self.queued = 0
        self.crashed = self.stopped = False
        self.slowdown, self.neighbour_share, self.stalled = 1.0, 0.0, False  # by faults
        self.error_burst = 0.0  # by faults: chance of an error beside the kind's
        self._busy_slots = 0
        self._heap: list[tuple[float, int, Job]] = []
        self._jobs: dict[int, Job] = {}
        self._virtual_ms, self._virtual_rate, self._updated_at_ms, self._heap_entries = 0.0, 0.0, now, 0
        self._warming_up = started_ms > 0 and (spec.cold_ms > 0 or spec.warm_work_ms > 0)
        self._completed_work_ms = 0.0
        self._recent_work: deque[tuple[float, float]] = deque()
        self._recent_work_ms = 0.0
        self.max_cold_load_ratio = 0.0  # while cold: the most it was sent, as a part of what makes it fall
        self._choking = Choking(spec)
        self._current_report = self._visible_report = Report(0.0, 0.0, 0.0)
        self._report_made_at_ms, self._next_report_ms = -inf, now + spec.report_ms * chance.uniform()
        self._report_window = (now, 0.0, 0, 0.0)  # since, busy_ms, jobs, service_ms: of the report under way
        self._served_jobs = 0
        self._served_work_ms = 0.0
        self._update_speed(now)

    # What it is like now

    def warmth(self, now: float) -> float:
        """Part of its capacity that it has now."""
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
        return self._choking.choked

    @property
    def runnable(self) -> int:
        return self.running + self.queued

    @property
    def job_ids(self) -> list[int]:
        """Of the jobs held."""
        return list(self._jobs)

    def has_job(self, job_id: int) -> bool:
        return job_id in self._jobs

    def sojourn_ms(self, now: float) -> float:
        """Time spent here by all jobs, those still here included: Little's law has it equal `held_ms`."""
        return self.ledger.sojourn_ms + sum(now - job.arrived_at_ms for job in self._jobs.values())

    @property
    def held_work(self) -> float:
        """Work of the jobs held that is neither done nor given up; done work of theirs included."""
        return sum(job.work_ms for job in self._jobs.values())

    def report(self, now: float) -> Report:
        """The load report that an answer given now carries: made some time ago, and a little noisy."""
        self._advance(now)
        if now - self._report_made_at_ms >= self.spec.report_delay_ms:
            self._visible_report = self._current_report
        return self._visible_report

    def next_event_ms(self) -> float:
        """When `run` must be called next; inf if nothing is under way. Holds until anything is told."""
        if self.crashed or self.stopped:
            return inf
        at_ms = inf
        self._discard_stale_entries()
        if self._heap and self._virtual_rate > 0:
            at_ms = self._updated_at_ms + max(self._heap[0][0] - self._virtual_ms, 0.0) / self._virtual_rate
            if self._warming_up:
                at_ms = min(at_ms, self._updated_at_ms + WARMUP_UPDATE_MS)
        return min(at_ms, self._choking.next_event_ms())

    # What it is told

    def connect(self, now: float) -> bool:
        """A connection comes in; False if it holds as many as it can, or does not run."""
        if self.crashed or self.stopped or self.connections >= self.spec.connections:
            return False
        self._advance(now)
        self.connections += 1
        self._add_extra_work(self.spec.handshake_ms)
        self._update_speed(now)
        return True

    def disconnect(self, now: float) -> None:
        self._advance(now)
        self.connections = max(self.connections - 1, 0)
        self._update_speed(now)

    def probe(self, now: float) -> bool:
        """A probe is answered beside the queue and costs work; False if the process is not there."""
        if self.crashed or self.stopped:
            return False
        self._advance(now)
        self._add_extra_work(self.spec.probe_ms)
        self._update_speed(now)
        return True

    def offer(self, now: float, job: Job) -> bool:
        """A job came in, whole. False: turned away unseen, it never runs here. Look at `fallen` afterwards."""
        self._advance(now)
        ledger = self.ledger
        job.arrived_at_ms, job.work_ms = now, sum(job.segments)
        job.remaining_ms = job.work_ms
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
            job.segments, job.work_ms, job.remaining_ms = (
                [self.spec.repeat_ms],
                self.spec.repeat_ms,
                self.spec.repeat_ms,
            )
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
        """The caller of a job is gone. Whether it stops is a matter of the site."""
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
        """The tier below has answered a job's call, or not."""
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
        """Do what is due."""
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
            job.state = JobState.WAITING_FOR_LOWER_TIER  # in a slot and not at work, also if it ends now
            job.remaining_ms -= job.segments.pop(0)
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
        """A fault begins or ends: `slow` times slower, a neighbour takes a part, nothing moves at all."""
        self._advance(now)
        self.slowdown = self.slowdown if slowdown is None else slowdown
        self.neighbour_share = self.neighbour_share if neighbour_share is None else neighbour_share
        self.stalled = self.stalled if stalled is None else stalled
        self._update_speed(now)

    def stop(self, now: float) -> None:
        """The process is gone: what it held is lost, with the connections."""
        if not self.stopped:
            self._advance(now)
            for job in list(self._jobs.values()):
                self._remove_job(now, job, is_wasted=True)
            self.stopped, self.connections = True, 0

    # Inside

    def _add_extra_work(self, work_ms: float) -> None:
        """Work beside the jobs: it puts all of them back, shared over the cores."""
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
        """A job that held a slot ends by itself."""
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
        """The one place where a job goes; its slot or its place in the waiting room is free again."""
        if job.state is JobState.RUNNING:
            self.running -= 1
            self._busy_slots -= 1
            job.remaining_ms = (
                job.remaining_ms
                - job.segments[0]
                + min(max(job.finish_virtual_ms - self._virtual_ms, 0.0), job.segments[0])
            )
        elif job.state is JobState.QUEUED:
            self.queued -= 0 if already_dequeued else 1
        else:  # in a slot, but not at work
            self._busy_slots -= 1
        job.state = JobState.FINISHED
        spent_ms, ledger = job.work_ms - job.remaining_ms, self.ledger
        if is_wasted:
            ledger.wasted += spent_ms
        else:
            ledger.served += spent_ms
        ledger.unspent += job.remaining_ms
        ledger.sojourn_ms += now - job.arrived_at_ms
        self._completed_work_ms += spent_ms
        self.job_count -= 1
        del self._jobs[job.job_id]

    def _discard_stale_entries(self) -> None:
        while self._heap and self._heap[0][2].state is not JobState.RUNNING:
            heappop(self._heap)

    def _advance(self, now: float) -> None:
        """Bring the work done up to `now`; nothing has changed since the last time."""
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
        latency = (self._served_work_ms - service_then) / served if served else self._current_report.latency_ms
        # A machine shared with a neighbour is as busy as both make it.
        util = min((busy - busy_then) / span / spec.cores + self.neighbour_share, 1.0)
        noise = 1.0 + spec.report_noise * self._chance.normal() if spec.report_noise else 1.0
        self._visible_report, self._current_report = (
            self._current_report,
            Report(max(util * noise, 0.0), served * 1000.0 / span, latency),
        )
        self._report_made_at_ms = at_ms
        self._report_window = (at_ms, busy, self._served_jobs, self._served_work_ms)
        self._next_report_ms = at_ms + spec.report_ms

    def _update_speed(self, now: float) -> None:
        """The speed anew, after any change."""
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

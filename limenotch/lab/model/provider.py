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
from .jobs import EPSILON, Below, Done, Effect, End, Job, Ledger, Report, State
from .keys import Group
from .provider_spec import ProviderSpec, Stops

COLD_STEP_MS = 100.0  # how often the speed of a warming provider is brought up to date while nothing else happens


class Provider:
    """One process on one machine. Told of times that never run back."""

    def __init__(
        self, name: str, spec: ProviderSpec, chance: Chance, group: Group, now: float, started_ms: float = 0.0
    ) -> None:
        """`started_ms` 0: it has been warm for long."""
        self.name, self.spec, self.group, self._chance = name, spec, group, chance
        self.started_ms = started_ms
        self.ledger = Ledger()
        self.connections = 0
        self.held = 0  # jobs here, in any state
        self.running = 0
        self.queue: deque[Job] = deque()
        self.queued = 0
        self.fallen = self.stopped = False
        self.slow, self.taken, self.stalled = 1.0, 0.0, False  # by faults
        self.error_burst = 0.0  # by faults: chance of an error beside the kind's
        self._busy_slots = 0
        self._heap: list[tuple[float, int, Job]] = []
        self._jobs: dict[int, Job] = {}
        self._virtual, self._rate, self._last, self._count = 0.0, 0.0, now, 0
        self._cold = started_ms > 0 and (spec.cold_ms > 0 or spec.warm_work_ms > 0)
        self._worked = 0.0
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_work = 0.0
        self.pushed = 0.0  # while cold: the most it was sent, as a part of what makes it fall
        self._choking = Choking(spec)
        self._report = self._shown = Report(0.0, 0.0, 0.0)
        self._shown_at, self._report_due = -inf, now + spec.report_ms * chance.uniform()
        self._window = (now, 0.0, 0, 0.0)  # since, busy_ms, jobs, service_ms: of the report under way
        self._served = 0
        self._service = 0.0
        self._renew(now)

    # What it is like now

    def warmth(self, now: float) -> float:
        """Part of its capacity that it has now."""
        if not self._cold:
            return 1.0
        spec = self.spec
        part = (now - self.started_ms) / spec.cold_ms if spec.cold_ms > 0 else 0.0
        if spec.warm_work_ms > 0:
            part = max(part, self._worked / spec.warm_work_ms)
        if part >= 1.0:
            self._cold = False
            self._sent.clear()
            return 1.0
        return spec.cold_from + (1.0 - spec.cold_from) * max(part, 0.0)

    @property
    def choked(self) -> bool:
        return self._choking.choked

    @property
    def runnable(self) -> int:
        return self.running + self.queued

    @property
    def tickets(self) -> list[int]:
        """Of the jobs held."""
        return list(self._jobs)

    def holds(self, ticket: int) -> bool:
        return ticket in self._jobs

    def sojourn_ms(self, now: float) -> float:
        """Time spent here by all jobs, those still here included: Little's law has it equal `held_ms`."""
        return self.ledger.sojourn_ms + sum(now - job.came for job in self._jobs.values())

    @property
    def held_work(self) -> float:
        """Work of the jobs held that is neither done nor given up; done work of theirs included."""
        return sum(job.whole for job in self._jobs.values())

    def report(self, now: float) -> Report:
        """The load report that an answer given now carries: made some time ago, and a little noisy."""
        self._advance(now)
        if now - self._shown_at >= self.spec.report_delay_ms:
            self._shown = self._report
        return self._shown

    def due(self) -> float:
        """When `run` must be called next; inf if nothing is under way. Holds until anything is told."""
        if self.fallen or self.stopped:
            return inf
        at = inf
        self._skip()
        if self._heap and self._rate > 0:
            at = self._last + max(self._heap[0][0] - self._virtual, 0.0) / self._rate
            if self._cold:
                at = min(at, self._last + COLD_STEP_MS)
        return min(at, self._choking.due())

    # What it is told

    def connect(self, now: float) -> bool:
        """A connection comes in; False if it holds as many as it can, or does not run."""
        if self.fallen or self.stopped or self.connections >= self.spec.connections:
            return False
        self._advance(now)
        self.connections += 1
        self._extra(self.spec.handshake_ms)
        self._renew(now)
        return True

    def disconnect(self, now: float) -> None:
        self._advance(now)
        self.connections = max(self.connections - 1, 0)
        self._renew(now)

    def probe(self, now: float) -> bool:
        """A probe is answered beside the queue and costs work; False if the process is not there."""
        if self.fallen or self.stopped:
            return False
        self._advance(now)
        self._extra(self.spec.probe_ms)
        self._renew(now)
        return True

    def offer(self, now: float, job: Job) -> bool:
        """A job came in, whole. False: turned away unseen, it never runs here. Look at `fallen` afterwards."""
        self._advance(now)
        ledger = self.ledger
        job.came, job.whole = now, sum(job.pieces)
        job.left = job.whole
        ledger.offered += job.whole
        ledger.jobs += 1
        if self._cold and self._pushed_over(now, job.whole):
            self.fallen = True
        full = self._busy_slots >= self.spec.slots and self.queued >= self.spec.queue
        if self.fallen or self.stopped or full:
            ledger.refused += job.whole
            ledger.turned_away += 1
            return False
        if job.key and self.group.knows(now, job.key):
            job.repeat = True
            ledger.repeats += 1
            ledger.unspent += job.whole - self.spec.repeat_ms
            job.pieces, job.whole, job.left = [self.spec.repeat_ms], self.spec.repeat_ms, self.spec.repeat_ms
        else:
            job.fails = self._chance.happens(self.spec.error_rate + self.error_burst)
        self._jobs[job.ticket] = job
        self.held += 1
        if self._busy_slots < self.spec.slots:
            self._start(job)
        else:
            self.queue.append(job)
            self.queued += 1
        self._renew(now)
        return True

    def drop(self, now: float, ticket: int) -> list[Effect]:
        """The caller of a job is gone. Whether it stops is a matter of the site."""
        job = self._jobs.get(ticket)
        if job is None or self.fallen or self.stopped:
            return []
        self._advance(now)
        job.dropped = True
        stops = self.spec.stops
        effects: list[Effect] = []
        if stops is Stops.ALL or (stops is Stops.QUEUED and job.state is State.QUEUED):
            self._leave(now, job, wasted=True)
            self._fill(now, effects)
        self._renew(now)
        return effects

    def resume(self, now: float, ticket: int, served: bool) -> list[Effect]:
        """The tier below has answered a job's call, or not."""
        job = self._jobs.get(ticket)
        if job is None or job.state is not State.BELOW or self.fallen or self.stopped:
            return []
        self._advance(now)
        effects: list[Effect] = []
        if served:
            self._run(job)
        else:
            self._finish(now, job, End.ERROR, effects)
            self._fill(now, effects)
        self._renew(now)
        return effects

    def run(self, now: float) -> list[Effect]:
        """Do what is due."""
        effects: list[Effect] = []
        if self.fallen or self.stopped:
            return effects
        self._advance(now)
        heap = self._heap
        while heap and heap[0][0] <= self._virtual + EPSILON:
            job = heappop(heap)[2]
            if job.state is not State.RUNNING:
                continue
            self.running -= 1
            job.state = State.BELOW  # in a slot and not at work, also if it ends now
            job.left -= job.pieces.pop(0)
            if job.pieces:
                effects.append(Below(job))
            else:
                self._finish(now, job, End.ERROR if job.fails else End.SERVED, effects)
        self._fill(now, effects)
        self._renew(now)
        return effects

    def strain(
        self, now: float, slow: float | None = None, taken: float | None = None, stalled: bool | None = None
    ) -> None:
        """A fault begins or ends: `slow` times slower, a neighbour takes a part, nothing moves at all."""
        self._advance(now)
        self.slow = self.slow if slow is None else slow
        self.taken = self.taken if taken is None else taken
        self.stalled = self.stalled if stalled is None else stalled
        self._renew(now)

    def stop(self, now: float) -> None:
        """The process is gone: what it held is lost, with the connections."""
        if not self.stopped:
            self._advance(now)
            for job in list(self._jobs.values()):
                self._leave(now, job, wasted=True)
            self.stopped, self.connections = True, 0

    # Inside

    def _extra(self, work_ms: float) -> None:
        """Work beside the jobs: it puts all of them back, shared over the cores."""
        if work_ms > 0:
            self.ledger.excess += work_ms
            if self.running:
                self._virtual -= work_ms / max(self.running, self.spec.cores)

    def _pushed_over(self, now: float, work: float) -> bool:
        spec = self.spec
        able = spec.cores * spec.speed * self.warmth(now)
        if not self._cold:
            return False
        self._sent.append((now, work))
        self._sent_work += work
        while self._sent[0][0] <= now - spec.fall_ms:
            self._sent_work -= self._sent.popleft()[1]
        part = self._sent_work / (spec.fall_multiple * able * spec.fall_ms)
        self.pushed = max(self.pushed, part)
        return part > 1.0

    def _start(self, job: Job) -> None:
        self._busy_slots += 1
        self._run(job)

    def _run(self, job: Job) -> None:
        job.state = State.RUNNING
        job.finish = self._virtual + job.pieces[0]
        self._count += 1
        self.running += 1
        heappush(self._heap, (job.finish, self._count, job))

    def _fill(self, now: float, effects: list[Effect]) -> None:
        while self.queue and self._busy_slots < self.spec.slots:
            job = self.queue.popleft()
            if job.state is not State.QUEUED:
                continue
            self.queued -= 1
            if self.spec.drops_expired and job.end <= now:
                self._leave(now, job, wasted=False, counted=True)
                effects.append(Done(job, End.EXPIRED))
                continue
            self._start(job)

    def _finish(self, now: float, job: Job, end: End, effects: list[Effect]) -> None:
        """A job that held a slot ends by itself."""
        served = end is End.SERVED and not job.dropped
        first_run = end is End.SERVED and job.key and not job.repeat
        if first_run and not self.group.commit(now, job.key, job.window_ms):
            self.ledger.double += 1
        self._leave(now, job, wasted=not served)
        if served:
            self._served += 1
            self._service += job.whole / (self.spec.speed or 1.0)
        effects.append(Done(job, end))

    def _leave(self, now: float, job: Job, wasted: bool, counted: bool = False) -> None:
        """The one place where a job goes; its slot or its place in the waiting room is free again."""
        if job.state is State.RUNNING:
            self.running -= 1
            self._busy_slots -= 1
            job.left = job.left - job.pieces[0] + min(max(job.finish - self._virtual, 0.0), job.pieces[0])
        elif job.state is State.QUEUED:
            self.queued -= 0 if counted else 1
        else:  # in a slot, but not at work
            self._busy_slots -= 1
        job.state = State.OVER
        spent, ledger = job.whole - job.left, self.ledger
        if wasted:
            ledger.wasted += spent
        else:
            ledger.served += spent
        ledger.unspent += job.left
        ledger.sojourn_ms += now - job.came
        self._worked += spent
        self.held -= 1
        del self._jobs[job.ticket]

    def _skip(self) -> None:
        while self._heap and self._heap[0][2].state is not State.RUNNING:
            heappop(self._heap)

    def _advance(self, now: float) -> None:
        """Bring the work done up to `now`; nothing has changed since the last time."""
        span = now - self._last
        if span <= 0:
            return
        while self._report_due <= now:
            self._renew_report(self._report_due)
        self._virtual += self._rate * span
        self.ledger.busy_ms += min(self.running, self.spec.cores) * span
        self.ledger.held_ms += self.held * span
        self._last = now

    def _renew_report(self, at: float) -> None:
        spec = self.spec
        busy = self.ledger.busy_ms + min(self.running, spec.cores) * (at - self._last)
        since, busy_then, served_then, service_then = self._window
        span, served = max(at - since, 1e-9), self._served - served_then
        latency = (self._service - service_then) / served if served else self._report.latency_ms
        # A machine shared with a neighbour is as busy as both make it.
        util = min((busy - busy_then) / span / spec.cores + self.taken, 1.0)
        noise = 1.0 + spec.report_noise * self._chance.normal() if spec.report_noise else 1.0
        self._shown, self._report = self._report, Report(max(util * noise, 0.0), served * 1000.0 / span, latency)
        self._shown_at = at
        self._window = (at, busy, self._served, self._service)
        self._report_due = at + spec.report_ms

    def _renew(self, now: float) -> None:
        """The speed anew, after any change."""
        spec = self.spec
        if spec.choke_slower > 1.0:
            self._choking.look(now, self.runnable)
        if not self.running or self.stalled:
            self._rate = 0.0
            return
        speed = spec.speed / self.slow * (1.0 - self.taken)
        if self._cold:
            speed *= self.warmth(now)
        if self._choking.choked:
            speed /= spec.choke_slower
        if self._busy_slots > spec.crowd_at:
            speed /= 1.0 + spec.crowd_loss * (self._busy_slots - spec.crowd_at) / spec.crowd_at
        if spec.full_tax:
            speed *= 1.0 - spec.full_tax * min(self.connections / spec.connections, 1.0)
        self._rate = speed * min(1.0, spec.cores / self.running)

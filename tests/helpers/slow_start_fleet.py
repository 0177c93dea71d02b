"""Seeded runs of many balancers over one tier with cold endpoints, without sockets: what each cold endpoint is sent.

The checker is independent of the decisions: it knows each endpoint's true rate and start, and counts every attempt
in mean work. Times in ms, rates a ms.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate
from math import exp, sqrt
from random import Random

from limenotch.balancing import Balancer, types
from limenotch.balancing.actions import CancelAttempt, RejectRequest, SendAttempt, SetTimer
from limenotch.balancing.events import (
    AttemptFinished,
    Event,
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from limenotch.balancing.types import BalancerSettings, Outcome, SlowStart

from .slow_start_circumstances import COLD_AT, REPORT_MS, TIER, Circumstance


class Endpoint:
    """A queue that works off its backlog at its present rate, and what came to it since it started."""

    def __init__(self, at: types.Endpoint, rate: float, reports: bool) -> None:
        self.at, self.rate, self.reports = at, rate, reports
        self.started = 0.0
        self.free_at = self.came_at = self.told_at = 0.0
        self.came = 0.0  # requests a ms, and work a ms, fading over a second
        self.work = 0.0
        self.report: tuple[float | None, float | None] = (None, None)
        self.got: list[tuple[float, float, bool]] = []  # since its start: when, work, from one that was told

    def capacity(self, now: float, cold: SlowStart) -> float:
        age = now - self.started
        if not self.started or age >= cold.warmup_ms:
            return 1.0
        return cold.initial_capacity + (1 - cold.initial_capacity) * age / cold.warmup_ms

    def start(self, now: float) -> None:
        self.started, self.free_at, self.came, self.work, self.got = now, now, 0.0, 0.0, []
        self.at = self.at._replace(started_ms=now)

    def take(self, now: float, work: float, cold: SlowStart) -> float | None:
        """When it has answered, or None if it is full."""
        rate = self.rate * self.capacity(now, cold)
        fade = exp((self.came_at - now) / 1000)
        self.came, self.work, self.came_at = self.came * fade + 0.001, self.work * fade + work / 1000, now
        if self.free_at - now > 2000.0:
            return None
        self.free_at = max(self.free_at, now) + work / rate
        return max(self.free_at, now + 0.8 * work / rate)

    def tell(self, now: float, cold: SlowStart, noise: float) -> tuple[float | None, float | None]:
        if self.reports and now - self.told_at > REPORT_MS:
            fade, rate = exp((self.came_at - now) / 1000), self.rate * self.capacity(now, cold)
            use = self.work * fade / rate
            self.told_at = now
            self.report = min(use, 1.0) * noise, self.came * fade / max(use, 1.0) * 1000
        return self.report

    def pressed(self, cold: SlowStart) -> float:
        """The most that any span held since its start, as a part of what fells it, if those told sent most of it."""
        worst, sums = 0.0, list(accumulate((work for _, work, _ in self.got), initial=0.0))
        told = list(accumulate((work * knew for _, work, knew in self.got), initial=0.0))
        times = [at for at, _, _ in self.got]
        for end, now in enumerate(times):
            if now - self.started < cold.warmup_ms:
                begin = bisect_left(times, now - cold.overload_window_ms)
                count, known = sums[end + 1] - sums[begin], told[end + 1] - told[begin]
                allowed = cold.overload_multiple * self.capacity(now, cold) * self.rate * cold.overload_window_ms
                if known > count * 2 / 3:
                    worst = max(worst, count / (allowed + 2 * sqrt(allowed) + 2))
        return worst


@dataclass(eq=False)
class Sidecar:
    rank: int
    zone: int
    weight: float
    balancer: Balancer
    told: dict[str, float] = field(default_factory=dict)  # the start that it knows of each endpoint


@dataclass(eq=False)
class Request:
    sidecar: Sidecar
    kind: int
    work: float
    born: float
    ended: bool = False
    attempts: list[bool] = field(default_factory=list)  # those that are open


@dataclass
class Result:
    worst: float  # the most pressed cold endpoint, as a part of what fells it
    served: float  # part of the calls after COLD_AT that were answered within their aim


class Run:
    """One tier, its sidecars and their clients."""

    def __init__(self, case: Circumstance, seed: int) -> None:
        self.case, self.random, self.end = case, Random(f"{case.name}/{seed}"), COLD_AT + case.after_ms
        draw = self.random.uniform
        self.cold = SlowStart(draw(0.05, 0.3), draw(8000.0, 24_000.0), draw(1.5, 4.0), draw(1000.0, 4000.0))
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.now, self.count, self.born, self.served = 0.0, 0, 0, 0
        self.worst = 0.0
        self.requests: dict[str, Request] = {}
        number = self.random.randint(*case.endpoints)
        rate = draw(*TIER) / number
        self.endpoints = {str(n): self._endpoint(n, rate) for n in range(number)}
        self.rate = self.random.uniform(*case.load) * sum(e.rate for e in self.endpoints.values())
        total = self.random.randint(*case.sidecars)
        self.settings = BalancerSettings(
            classes=tuple(cls for cls, _, _ in case.classes),
            balancers=total,
            slow_start=self.cold,
            weights_listed=case.weights,
            cross_zone_cost=case.crossing,
            may_hedge=case.copies,
            max_attempts=4,
            tier_index=1,
        )
        mean = sum(part * work for _, part, work in case.classes)
        self.works = [work / mean for _, _, work in case.classes]
        self.rate_of_calls = self.rate
        begin = COLD_AT - 50.0 if case.fresh else 0.0
        self.sidecars = [self._sidecar(rank) for rank in range(total)]
        for sidecar in self.sidecars:
            self.at(begin, self._list, sidecar)
        self._next(begin)
        self._schedule()

    # The world as it is set up

    def _endpoint(self, number: int, rate: float) -> Endpoint:
        kind, case = number % len(self.case.speeds), self.case
        speed = case.speeds[kind]
        at = types.Endpoint(
            f"{number}", weight=speed if case.weights else 1.0, kind=kind, zone=number % case.zones, cell=number // 4
        )
        reports = case.reports in ("all", "use") or (case.reports == "half" and number % 2 == 0)
        return Endpoint(at, rate * speed * self.random.uniform(0.9, 1.1), reports)

    def _settings(self, sidecar: Sidecar) -> BalancerSettings:
        return replace(self.settings, balancer_index=sidecar.rank, zone=sidecar.zone)

    def _sidecar(self, rank: int) -> Sidecar:
        zone = self.random.randrange(self.case.zones)
        given = replace(self.settings, balancer_index=rank, zone=zone)
        weight = self.random.lognormvariate(0.0, 1.0)
        return Sidecar(rank, zone, weight, Balancer(given, 5 if self.case.one_seed else self.random.getrandbits(32)))

    def _schedule(self) -> None:
        case, names = self.case, list(self.endpoints)
        if case.zone_back:
            cold = [name for name in names if self.endpoints[name].at.zone == 0]
        else:
            cold = self.random.sample(names, round(case.cold * len(names)))
        for name in cold:
            self.at(COLD_AT + self.random.uniform(0.0, 200.0), self._start, name)
            if case.again_ms:
                self.at(COLD_AT + case.again_ms + self.random.uniform(0.0, 200.0), self._start, name)
        for number in range(round(case.join * len(names))):
            at = COLD_AT + self.random.uniform(0.0, 2000.0)
            self.at(at, self._join, len(names) + number)
        if case.burst != 1.0:
            for step in range(1, 5):  # within a second
                self.at(COLD_AT + case.burst_ms + 200.0 * step, self._pace, 1 + (case.burst - 1) * step / 4)
            self.at(COLD_AT + case.burst_ms + 4000.0, self._pace, 1.0)
        for rank in self.random.sample(range(len(self.sidecars)), round(case.restarts * len(self.sidecars))):
            self.at(COLD_AT + self.random.uniform(1000.0, 3000.0), self._restart, self.sidecars[rank])
        if case.pairs:
            self.at(COLD_AT + 1000.0, self._pair)
        if case.retune:
            self.at(COLD_AT + 2000.0, self._retune)

    # What happens

    def at(self, time: float, act: Callable[..., None], *given: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, act, given))

    def play(self) -> Result:
        while self.heap:
            self.now, _, act, given = heapq.heappop(self.heap)
            if self.now > self.end:
                break
            act(*given)
        for endpoint in self.endpoints.values():
            self._judge(endpoint)
        return Result(self.worst, self.served / max(self.born, 1))

    def _judge(self, endpoint: Endpoint) -> None:
        if endpoint.started:
            self.worst = max(self.worst, endpoint.pressed(self.cold))

    def _start(self, name: str) -> None:
        self._judge(self.endpoints[name])
        self.endpoints[name].start(self.now)
        self._announce()

    def _join(self, number: int) -> None:
        base = self.endpoints["0"].rate / self.case.speeds[0]
        new = self.endpoints[str(number)] = self._endpoint(number, base)
        new.start(self.now)
        self._announce()

    def _announce(self) -> None:
        for sidecar in self.sidecars:
            self.at(self.now + self.random.uniform(0.0, self.case.late_ms), self._list, sidecar)

    def _list(self, sidecar: Sidecar) -> None:
        rows = tuple(endpoint.at for endpoint in self.endpoints.values())
        sidecar.told = {row.name: row.started_ms for row in rows}
        self._tell(sidecar, MembershipUpdate(MembershipKind.COMPLETE, rows))

    def _restart(self, sidecar: Sidecar) -> None:
        """Its calls are lost; the new process has no memory of what was sent."""
        sidecar.balancer = Balancer(self._settings(sidecar), self.random.getrandbits(32))
        for request in self.requests.values():
            request.ended = request.ended or request.sidecar is sidecar
        self._list(sidecar)

    def _pair(self) -> None:
        self.settings = replace(self.settings, processes=2)
        first = list(self.sidecars)
        for sidecar in first:
            second = Sidecar(
                sidecar.rank,
                sidecar.zone,
                sidecar.weight,
                Balancer(self._settings(sidecar), self.random.getrandbits(32)),
            )
            self.sidecars.append(second)
            self._list(second)
            self._tell(sidecar, SettingsChanged(self._settings(sidecar)))

    def _retune(self) -> None:
        """From now on endpoints count as colder for longer: by true ramp too, so that the limit is the new one."""
        self.cold = replace(
            self.cold, warmup_ms=self.cold.warmup_ms * 1.5, initial_capacity=self.cold.initial_capacity * 0.8
        )
        self.settings = replace(self.settings, slow_start=self.cold, balancers=len(self.sidecars) + 4)
        for sidecar in self.sidecars:
            self._tell(sidecar, SettingsChanged(self._settings(sidecar)))

    # Clients

    def _pace(self, factor: float) -> None:
        self.rate_of_calls = self.rate * factor

    def _next(self, now: float) -> None:
        self.at(now + self.random.expovariate(self.rate_of_calls), self._arrive)

    def _arrive(self) -> None:
        self._next(self.now)
        sidecar = self.random.choices(self.sidecars, [s.weight for s in self.sidecars])[0]
        kind = self.random.choices(range(len(self.works)), [part for _, part, _ in self.case.classes])[0]
        work = self.works[kind] * (self.random.expovariate(1.0) if self.case.spread else 1.0)
        self.born += self.now >= COLD_AT
        self._ask(Request(sidecar, kind, work, self.now))

    def _ask(self, request: Request) -> None:
        if request.sidecar not in self.sidecars:
            return
        self.count += 1
        name, cls = f"c{self.count}", self.settings.classes[request.kind]
        left = request.born + cls.deadline_ms - self.now
        if left > 0:
            self.requests[name] = request
            self._tell(request.sidecar, RequestArrived(name, request.kind, left))

    # Between sidecars and endpoints

    def _tell(self, sidecar: Sidecar, event: Event, to: Balancer | None = None) -> None:
        if to is not None and to is not sidecar.balancer:
            return  # that process has ended
        for action in sidecar.balancer.handle(self.now, event):
            if isinstance(action, SendAttempt):
                self._send(sidecar, action)
            elif isinstance(action, SetTimer):
                self.at(action.at_ms, self._tell, sidecar, TimerFired(action.token), sidecar.balancer)
            elif isinstance(action, CancelAttempt):
                self.at(self.now + 0.1, self._answer, action.request, action.attempt, "", Outcome.CANCELLED, self.now)
            elif isinstance(action, RejectRequest):
                self._refused(action.request)

    def _refused(self, name: str) -> None:
        """Half of the clients come again."""
        request = self.requests.pop(name)
        if self.random.random() < 0.5:
            again = Request(request.sidecar, request.kind, request.work, request.born)
            self.at(self.now + 300.0, self._ask, again)

    def _send(self, sidecar: Sidecar, send: SendAttempt) -> None:
        request, endpoint = self.requests[send.request], self.endpoints[send.endpoint]
        request.attempts.append(True)
        number, cold = len(request.attempts) - 1, self.cold
        endpoint.got.append((self.now, request.work, sidecar.told[send.endpoint] == endpoint.started))
        done = endpoint.take(self.now, request.work, cold)
        if done is None:
            at, outcome = self.now + 1.0, Outcome.REJECTED
        elif done - self.now > send.timeout_ms:
            at, outcome = self.now + send.timeout_ms, Outcome.TIMEOUT
        else:
            at, outcome = done, Outcome.OK if self.random.random() >= self.case.errors else Outcome.ERROR
        self.at(at, self._answer, send.request, number, send.endpoint, outcome, self.now)

    def _answer(self, name: str, number: int, upstream: str, outcome: Outcome, sent: float) -> None:
        request = self.requests.get(name)
        if request is None or not request.attempts[number] or (request.ended and outcome is not Outcome.CANCELLED):
            return
        request.attempts[number] = False
        use: float | None = None
        rate: float | None = None
        if outcome is Outcome.OK:
            use, rate = self.endpoints[upstream].tell(self.now, self.cold, self.random.uniform(0.9, 1.1))
            aim = self.settings.classes[request.kind].latency_objective_ms
            self.served += request.born >= COLD_AT and self.now - request.born <= aim and not request.ended
            request.ended = True
        done = AttemptFinished(
            name, upstream, number, self.now - sent, outcome, False, use, None if self.case.reports == "use" else rate
        )
        self._tell(request.sidecar, done, request.sidecar.balancer)


def play(case: Circumstance, seed: int) -> Result:
    return Run(case, seed).play()

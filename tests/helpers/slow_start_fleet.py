"""Simulates many balancers and one tier, without sockets, and measures what each endpoint is sent in slow start.

The measurement does not depend on the decisions: it knows the true rate and start of each endpoint, and counts each
attempt by its work relative to the mean. Times are in ms, rates per ms.
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

from .slow_start_circumstances import REPORT_INTERVAL_MS, RESTARTS_AT_MS, TIER_CAPACITY_RANGE, Circumstance


class Endpoint:
    """A queue served at the endpoint's present rate, and the requests received since the endpoint started."""

    def __init__(self, entry: types.Endpoint, rate: float, reports: bool) -> None:
        self.entry, self.rate, self.reports = entry, rate, reports
        self.started = 0.0
        self.idle_at = self.rates_updated_at = self.reported_at = 0.0
        self.arrival_rate = 0.0  # requests per ms, decaying with a time constant of 1 s
        self.work_rate = 0.0  # work per ms, likewise
        self.report: tuple[float | None, float | None] = (None, None)
        self.received: list[tuple[float, float, bool]] = []  # since its start: time, work, whether the sender knew it

    def capacity(self, now: float, slow_start: SlowStart) -> float:
        age = now - self.started
        if not self.started or age >= slow_start.warmup_ms:
            return 1.0
        return slow_start.initial_capacity + (1 - slow_start.initial_capacity) * age / slow_start.warmup_ms

    def start(self, now: float) -> None:
        self.started, self.idle_at, self.arrival_rate, self.work_rate, self.received = now, now, 0.0, 0.0, []
        self.entry = self.entry._replace(started_ms=now)

    def accept(self, now: float, work: float, slow_start: SlowStart) -> float | None:
        """Accept a request; return the time of its response, or None if the queue is full."""
        rate = self.rate * self.capacity(now, slow_start)
        fade = exp((self.rates_updated_at - now) / 1000)
        self.arrival_rate, self.work_rate, self.rates_updated_at = (
            self.arrival_rate * fade + 0.001,
            self.work_rate * fade + work / 1000,
            now,
        )
        if self.idle_at - now > 2000.0:
            return None
        self.idle_at = max(self.idle_at, now) + work / rate
        return max(self.idle_at, now + 0.8 * work / rate)

    def load_report(self, now: float, slow_start: SlowStart, noise: float) -> tuple[float | None, float | None]:
        if self.reports and now - self.reported_at > REPORT_INTERVAL_MS:
            fade, rate = exp((self.rates_updated_at - now) / 1000), self.rate * self.capacity(now, slow_start)
            utilisation = self.work_rate * fade / rate
            self.reported_at = now
            self.report = min(utilisation, 1.0) * noise, self.arrival_rate * fade / max(utilisation, 1.0) * 1000
        return self.report

    def worst_load(self, slow_start: SlowStart) -> float:
        """The highest load in any window since its start, relative to the load that overloads it.

        Only windows count in which most of the load came from sidecars that knew of the start.
        """
        worst, sums = 0.0, list(accumulate((work for _, work, _ in self.received), initial=0.0))
        known_sums = list(accumulate((work * was_known for _, work, was_known in self.received), initial=0.0))
        times = [time for time, _, _ in self.received]
        for end, now in enumerate(times):
            if now - self.started < slow_start.warmup_ms:
                begin = bisect_left(times, now - slow_start.overload_window_ms)
                total, known = sums[end + 1] - sums[begin], known_sums[end + 1] - known_sums[begin]
                allowed = (
                    slow_start.overload_multiple
                    * self.capacity(now, slow_start)
                    * self.rate
                    * slow_start.overload_window_ms
                )
                if known > total * 2 / 3:
                    worst = max(worst, total / (allowed + 2 * sqrt(allowed) + 2))
        return worst


@dataclass(eq=False)
class Sidecar:
    index: int
    zone: int
    weight: float
    balancer: Balancer
    known_starts: dict[str, float] = field(default_factory=dict)  # by endpoint, the start that it was told of


@dataclass(eq=False)
class Request:
    sidecar: Sidecar
    class_index: int
    work: float
    created_at: float
    ended: bool = False
    open_attempts: list[bool] = field(default_factory=list)  # by number, whether it is open


@dataclass
class Result:
    worst: float  # highest load of an endpoint in slow start, relative to the overload limit
    served: float  # fraction of the requests after RESTARTS_AT_MS that were answered within their objective


class FleetSimulation:
    """One simulation of a tier, its sidecars and their clients."""

    def __init__(self, case: Circumstance, seed: int) -> None:
        self.case, self.random, self.end_ms = case, Random(f"{case.name}/{seed}"), RESTARTS_AT_MS + case.duration_ms
        draw = self.random.uniform
        self.slow_start = SlowStart(draw(0.05, 0.3), draw(8000.0, 24_000.0), draw(1.5, 4.0), draw(1000.0, 4000.0))
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.now, self.event_count, self.arrivals, self.served_in_time = 0.0, 0, 0, 0
        self.worst = 0.0
        self.requests: dict[str, Request] = {}
        number = self.random.randint(*case.endpoint_range)
        rate = draw(*TIER_CAPACITY_RANGE) / number
        self.endpoints = {str(n): self._endpoint(n, rate) for n in range(number)}
        self.base_rate = self.random.uniform(*case.load_range) * sum(e.rate for e in self.endpoints.values())
        total = self.random.randint(*case.sidecar_range)
        self.settings = BalancerSettings(
            classes=tuple(cls for cls, _, _ in case.classes),
            balancers=total,
            slow_start=self.slow_start,
            weights_listed=case.weights_listed,
            cross_zone_cost=case.cross_zone_cost,
            may_hedge=case.may_hedge,
            max_attempts=4,
            tier_index=1,
        )
        mean = sum(share * work for _, share, work in case.classes)
        self.class_work = [work / mean for _, _, work in case.classes]
        self.arrival_rate = self.base_rate
        begin = RESTARTS_AT_MS - 50.0 if case.sidecars_restart_first else 0.0
        self.sidecars = [self._sidecar(index) for index in range(total)]
        for sidecar in self.sidecars:
            self.schedule(begin, self._send_list, sidecar)
        self._schedule_arrival(begin)
        self._schedule_changes()

    # Setup

    def _endpoint(self, number: int, rate: float) -> Endpoint:
        kind, case = number % len(self.case.speeds), self.case
        speed = case.speeds[kind]
        entry = types.Endpoint(
            f"{number}",
            weight=speed if case.weights_listed else 1.0,
            kind=kind,
            zone=number % case.zones,
            cell=number // 4,
        )
        reports = case.reports in ("all", "use") or (case.reports == "half" and number % 2 == 0)
        return Endpoint(entry, rate * speed * self.random.uniform(0.9, 1.1), reports)

    def _settings(self, sidecar: Sidecar) -> BalancerSettings:
        return replace(self.settings, balancer_index=sidecar.index, zone=sidecar.zone)

    def _sidecar(self, index: int) -> Sidecar:
        zone = self.random.randrange(self.case.zones)
        settings = replace(self.settings, balancer_index=index, zone=zone)
        weight = self.random.lognormvariate(0.0, 1.0)
        return Sidecar(
            index, zone, weight, Balancer(settings, 5 if self.case.same_seed else self.random.getrandbits(32))
        )

    def _schedule_changes(self) -> None:
        case, names = self.case, list(self.endpoints)
        if case.zone_restarts:
            restarted = [name for name in names if self.endpoints[name].entry.zone == 0]
        else:
            restarted = self.random.sample(names, round(case.restarted_share * len(names)))
        for name in restarted:
            self.schedule(RESTARTS_AT_MS + self.random.uniform(0.0, 200.0), self._restart_endpoint, name)
            if case.second_restart_ms:
                self.schedule(
                    RESTARTS_AT_MS + case.second_restart_ms + self.random.uniform(0.0, 200.0),
                    self._restart_endpoint,
                    name,
                )
        for number in range(round(case.joining_share * len(names))):
            join_at_ms = RESTARTS_AT_MS + self.random.uniform(0.0, 2000.0)
            self.schedule(join_at_ms, self._add_endpoint, len(names) + number)
        if case.burst_factor != 1.0:
            for step in range(1, 5):  # the rate rises within a second
                self.schedule(
                    RESTARTS_AT_MS + case.burst_at_ms + 200.0 * step,
                    self._set_rate_factor,
                    1 + (case.burst_factor - 1) * step / 4,
                )
            self.schedule(RESTARTS_AT_MS + case.burst_at_ms + 4000.0, self._set_rate_factor, 1.0)
        for index in self.random.sample(
            range(len(self.sidecars)), round(case.sidecar_restart_share * len(self.sidecars))
        ):
            self.schedule(
                RESTARTS_AT_MS + self.random.uniform(1000.0, 3000.0), self._restart_sidecar, self.sidecars[index]
            )
        if case.second_processes:
            self.schedule(RESTARTS_AT_MS + 1000.0, self._start_second_processes)
        if case.settings_change:
            self.schedule(RESTARTS_AT_MS + 2000.0, self._change_settings)

    # Events

    def schedule(self, time: float, callback: Callable[..., None], *arguments: object) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, callback, arguments))

    def run(self) -> Result:
        while self.events:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            if self.now > self.end_ms:
                break
            callback(*arguments)
        for endpoint in self.endpoints.values():
            self._update_worst_load(endpoint)
        return Result(self.worst, self.served_in_time / max(self.arrivals, 1))

    def _update_worst_load(self, endpoint: Endpoint) -> None:
        if endpoint.started:
            self.worst = max(self.worst, endpoint.worst_load(self.slow_start))

    def _restart_endpoint(self, name: str) -> None:
        self._update_worst_load(self.endpoints[name])
        self.endpoints[name].start(self.now)
        self._schedule_lists()

    def _add_endpoint(self, number: int) -> None:
        base = self.endpoints["0"].rate / self.case.speeds[0]
        new = self.endpoints[str(number)] = self._endpoint(number, base)
        new.start(self.now)
        self._schedule_lists()

    def _schedule_lists(self) -> None:
        for sidecar in self.sidecars:
            self.schedule(self.now + self.random.uniform(0.0, self.case.max_list_delay_ms), self._send_list, sidecar)

    def _send_list(self, sidecar: Sidecar) -> None:
        rows = tuple(endpoint.entry for endpoint in self.endpoints.values())
        sidecar.known_starts = {row.name: row.started_ms for row in rows}
        self._handle_event(sidecar, MembershipUpdate(MembershipKind.COMPLETE, rows))

    def _restart_sidecar(self, sidecar: Sidecar) -> None:
        """Restart a sidecar. Its requests are lost, and the new process does not know what was sent."""
        sidecar.balancer = Balancer(self._settings(sidecar), self.random.getrandbits(32))
        for request in self.requests.values():
            request.ended = request.ended or request.sidecar is sidecar
        self._send_list(sidecar)

    def _start_second_processes(self) -> None:
        self.settings = replace(self.settings, processes=2)
        first = list(self.sidecars)
        for sidecar in first:
            second = Sidecar(
                sidecar.index,
                sidecar.zone,
                sidecar.weight,
                Balancer(self._settings(sidecar), self.random.getrandbits(32)),
            )
            self.sidecars.append(second)
            self._send_list(second)
            self._handle_event(sidecar, SettingsChanged(self._settings(sidecar)))

    def _change_settings(self) -> None:
        """Make slow start lower and longer, for the sidecars and for the endpoints' true capacity alike."""
        self.slow_start = replace(
            self.slow_start,
            warmup_ms=self.slow_start.warmup_ms * 1.5,
            initial_capacity=self.slow_start.initial_capacity * 0.8,
        )
        self.settings = replace(self.settings, slow_start=self.slow_start, balancers=len(self.sidecars) + 4)
        for sidecar in self.sidecars:
            self._handle_event(sidecar, SettingsChanged(self._settings(sidecar)))

    # Clients

    def _set_rate_factor(self, factor: float) -> None:
        self.arrival_rate = self.base_rate * factor

    def _schedule_arrival(self, now: float) -> None:
        self.schedule(now + self.random.expovariate(self.arrival_rate), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival(self.now)
        sidecar = self.random.choices(self.sidecars, [s.weight for s in self.sidecars])[0]
        class_index = self.random.choices(range(len(self.class_work)), [share for _, share, _ in self.case.classes])[0]
        work = self.class_work[class_index] * (self.random.expovariate(1.0) if self.case.random_work else 1.0)
        self.arrivals += self.now >= RESTARTS_AT_MS
        self._send_request(Request(sidecar, class_index, work, self.now))

    def _send_request(self, request: Request) -> None:
        if request.sidecar not in self.sidecars:
            return
        self.event_count += 1
        name, cls = f"c{self.event_count}", self.settings.classes[request.class_index]
        time_left_ms = request.created_at + cls.deadline_ms - self.now
        if time_left_ms > 0:
            self.requests[name] = request
            self._handle_event(request.sidecar, RequestArrived(name, request.class_index, time_left_ms))

    # Between sidecars and endpoints

    def _handle_event(self, sidecar: Sidecar, event: Event, process: Balancer | None = None) -> None:
        if process is not None and process is not sidecar.balancer:
            return  # the process that the event was meant for has ended
        for action in sidecar.balancer.handle(self.now, event):
            if isinstance(action, SendAttempt):
                self._send_attempt(sidecar, action)
            elif isinstance(action, SetTimer):
                self.schedule(action.at_ms, self._handle_event, sidecar, TimerFired(action.token), sidecar.balancer)
            elif isinstance(action, CancelAttempt):
                self.schedule(
                    self.now + 0.1, self._end_attempt, action.request, action.attempt, "", Outcome.CANCELLED, self.now
                )
            elif isinstance(action, RejectRequest):
                self._handle_rejection(action.request)

    def _handle_rejection(self, name: str) -> None:
        """After a rejection, half of the clients retry."""
        request = self.requests.pop(name)
        if self.random.random() < 0.5:
            retry = Request(request.sidecar, request.class_index, request.work, request.created_at)
            self.schedule(self.now + 300.0, self._send_request, retry)

    def _send_attempt(self, sidecar: Sidecar, send: SendAttempt) -> None:
        request, endpoint = self.requests[send.request], self.endpoints[send.endpoint]
        request.open_attempts.append(True)
        number, slow_start = len(request.open_attempts) - 1, self.slow_start
        endpoint.received.append((self.now, request.work, sidecar.known_starts[send.endpoint] == endpoint.started))
        finished = endpoint.accept(self.now, request.work, slow_start)
        if finished is None:
            end_at_ms, outcome = self.now + 1.0, Outcome.REJECTED
        elif finished - self.now > send.timeout_ms:
            end_at_ms, outcome = self.now + send.timeout_ms, Outcome.TIMEOUT
        else:
            end_at_ms, outcome = finished, Outcome.OK if self.random.random() >= self.case.error_rate else Outcome.ERROR
        self.schedule(end_at_ms, self._end_attempt, send.request, number, send.endpoint, outcome, self.now)

    def _end_attempt(self, name: str, number: int, endpoint_name: str, outcome: Outcome, sent: float) -> None:
        request = self.requests.get(name)
        if request is None or not request.open_attempts[number] or (request.ended and outcome is not Outcome.CANCELLED):
            return
        request.open_attempts[number] = False
        utilisation: float | None = None
        rate: float | None = None
        if outcome is Outcome.OK:
            utilisation, rate = self.endpoints[endpoint_name].load_report(
                self.now, self.slow_start, self.random.uniform(0.9, 1.1)
            )
            objective_ms = self.settings.classes[request.class_index].latency_objective_ms
            self.served_in_time += (
                request.created_at >= RESTARTS_AT_MS
                and self.now - request.created_at <= objective_ms
                and not request.ended
            )
            request.ended = True
        finished = AttemptFinished(
            name,
            endpoint_name,
            number,
            self.now - sent,
            outcome,
            False,
            utilisation,
            None if self.case.reports == "use" else rate,
        )
        self._handle_event(request.sidecar, finished, request.sidecar.balancer)


def simulate(case: Circumstance, seed: int) -> Result:
    return FleetSimulation(case, seed).run()

"""What one balancer keeps: its settings, the list, its calls and timers, and sums of what was sent and answered.

Nothing is weighed or chosen here. The files that deploy/balancer.toml names under `policy` read these books and
decide; here things are counted, added up, faded and stored. Times in ms, rates of calls a second.
"""

from __future__ import annotations

from collections.abc import Hashable
from itertools import accumulate
from math import inf, sqrt
from random import Random

from .actions import Action, SendAttempt, SetTimer
from .admission import AdmissionControl
from .available_endpoints import AvailableEndpoints
from .endpoint_registry import EndpointRegistry, RegistryChanges
from .endpoint_statistics import Attempt, ClassLatency, EndpointStatistics, LatencyProfile, Request
from .events import AttemptFinished, OperatorEjection, RequestArrived, SettingsChanged, UploadFinished
from .types import NEVER_RAN, BalancerSettings, DedupScope, Outcome, Tenant

MEMORY = 4.0  # evidence on an upstream fades over this many of the longest aims: troubles last a few aims
WINDOW = 0.5  # shares and means are renewed after this part of the mean aim: answers still matter by then
SPAN = 30  # windows over which the lowest mean stands for an idle tier
ENOUGH = 8  # samples before a window's mean counts: fewer make the lowest mean sit too low
REPORTS = 1.2  # reports fade over this many of the longest aims: a jam shows within two or three of them
CLIP = 4.0  # one answer counts at most this many times the usual: a costly call is not a slow upstream
NEAR = 0.75  # of what all may send a cold upstream, for the balancers of its zone: others seldom cross
TURN = (sqrt(5) - 1) / 2  # ranks by multiples of it lie evenly on a circle, however many there are
BURST = 10.0  # copies and retries that may be saved up, and calls of a tenant

HEARD = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET)  # its machine is there
FORGET = 10.0  # times the memory without a word of an upstream, after which what it has shown is forgotten
SelectionTable = tuple[
    list[EndpointStatistics], list[float]
]  # upstreams, and sums of their shares up to each


def selection_table(servers: list[EndpointStatistics]) -> SelectionTable:
    return servers, list(accumulate(s.selection_weight for s in servers))


class BalancerState:
    """Written by events as they come; every decision reads them."""

    def __init__(self, settings: BalancerSettings, seed: int) -> None:
        self.random = Random(seed)
        self.registry = EndpointRegistry(self.random)
        self.available = AvailableEndpoints(settings)
        self.observed: dict[
            EndpointStatistics, None
        ] = {}  # those that have been sent to and may have shown something, in order
        self.warming: list[
            EndpointStatistics
        ] = []  # those that have room for cold starts, by the latest shares
        self.weights_at, self.weights_stale = (
            -inf,
            False,
        )  # when shares were taken last; whether the list has changed since
        self.candidates, self.local_candidates = (
            selection_table([]),
            selection_table([]),
        )  # those drawn from, and of them the own zone's
        self.dedup_candidates: dict[tuple[DedupScope, Hashable], SelectionTable] = {}
        self.tier_profile = LatencyProfile()
        self.requests: dict[str, Request] = {}
        self.timers: dict[int, Request | None] = {}
        self.token, self.discovery_failures, self.now, self.window_start, self.window_end = (
            0,
            0,
            -inf,
            -1.0,
            -inf,
        )  # window's ends
        self.retry_budget, self.in_flight, self.mean_in_flight, self.window_arrivals = BURST, 0, 0.0, 0
        self.total_successes = self.total_failures = self.slow_start_rate = self.demand = 0.0
        self.shown_rate = 0.0  # answers a second and weight that warm upstreams give us
        self.rate_proved = False  # whether a warm one has answered
        self.hedgeable = self.hedged = self.arrivals = 0.0
        self.mean_success_rate = self.best_success_rate = self.live_fraction = 1.0
        self.typical_latency_ms = 0.0  # mean latency over all classes
        self.unresponsive: set[EndpointStatistics] = set()
        self.admission = AdmissionControl()
        self.class_latencies: dict[str, ClassLatency] = {}  # of each class
        self.quota_buckets: dict[str, tuple[float, float]] = {}  # of each tenant: calls saved up, and when
        self.apply_settings(settings)

    def apply_settings(self, settings: BalancerSettings) -> None:
        """Rules for the calls to come. What was learnt stays with the names that stay."""
        self.settings, aims = settings, [c.latency_objective_ms for c in settings.classes]
        self.registry.phase = settings.balancer_index * TURN % 1
        self.evidence_memory_ms, self.window_ms = MEMORY * max(aims), WINDOW * sum(aims) / len(aims)
        self.report_memory_ms = REPORTS * max(aims)
        self.class_latencies = {
            c.name: self.class_latencies.get(c.name) or ClassLatency() for c in settings.classes
        }
        self.quota_buckets = {t.name: self.quota_buckets.get(t.name, (BURST, 0.0)) for t in settings.tenants}

    # The list, and the time

    def apply_operator_event(self, now: float, event: OperatorEjection | SettingsChanged) -> None:
        """Operators have changed who may be sent to, or the rules."""
        if isinstance(event, OperatorEjection):
            self.apply_registry_changes(now, self.registry.apply_ejection(now, event))
            return
        self.apply_settings(event.settings)
        self.available = AvailableEndpoints(event.settings)
        self.apply_registry_changes(now, RegistryChanges(list(self.registry.endpoints.values()), []))

    def apply_registry_changes(self, now: float, changes: RegistryChanges) -> None:
        """Who may be sent to has changed. The cost follows what changed: a list may hold thousands."""
        for server in changes.removed:
            server.available = False
            self.unresponsive.discard(server)
            self.observed.pop(server, None)
        for server in changes.changed:
            server.available = self.registry.accepts_requests(server)
        ready = [server for server in changes.changed if server.available]
        self.available.update(
            now, ready, [*changes.removed, *(s for s in changes.changed if not s.available)]
        )

    @property
    def by_locality(self) -> tuple[list[EndpointStatistics], list[EndpointStatistics]]:
        """Those ready: own zone, others."""
        return self.available.by_locality

    def locality_factor(self, server: EndpointStatistics) -> float:
        """How much more than an equal part is ours where calls stay in their zone: most goes to the balancers there.

        With balancers spread evenly over zones the parts add up to one; with all in one zone to more.
        """
        near, far = self.by_locality
        if not near or not far:
            return 1.0
        zones = self.available.zone_count
        return (
            zones * NEAR if server.endpoint.zone == self.settings.zone else zones * (1 - NEAR) / (zones - 1)
        )

    def excluded_count(self) -> int:
        """How many of those listed are sent nothing, or one call at a time to see whether they are back."""
        return (
            len(self.registry.endpoints) - len(self.available) + sum(s.available for s in self.unresponsive)
        )

    def prune_observed(self, now: float) -> list[EndpointStatistics]:
        """Those of `known` that may be sent to; what was shown too long ago is forgotten."""
        for server in [s for s in self.observed if self._forgotten(now, s)]:
            server.reset_evidence()
            del self.observed[server]
        self.unresponsive = {
            s for s in self.unresponsive if self.registry.endpoints.get(s.endpoint.name) is s
        }
        return [server for server in self.observed if server.available]

    def _forgotten(self, now: float, server: EndpointStatistics) -> bool:
        latest = max(server.updated_at, server.last_report_at, server.last_heard_at)
        return (
            not (server.in_flight or server.unresponsive or server.ejected_until)
            and now - latest > FORGET * self.evidence_memory_ms
        )

    def advance_clock(self, now: float) -> bool:
        """The time of the event that comes; whether a window ends with it. Raises ValueError if it runs backwards."""
        if now < self.now:
            raise ValueError(f"now_ms: {now} runs backwards, expected {self.now} or later")
        self.now = now
        return now >= self.window_end

    def end_window(self, now: float) -> bool:
        """Sums fade and means are taken, of the window that ends; False if none had begun."""
        begun, span = self.window_start >= 0, now - self.window_start
        self.window_start, self.window_end = now, now + self.window_ms
        if not begun:
            return False
        self.demand += (self.window_arrivals / span * 1000 - self.demand) * (0.2 if self.demand else 1.0)
        self._pace(span)
        self.admission.end_window(span, self.total_successes, self.total_failures)
        self.total_successes, self.total_failures, self.window_arrivals = (
            self.total_successes * 0.9,
            self.total_failures * 0.9,
            0,
        )
        self.hedgeable, self.hedged, self.arrivals = (
            self.hedgeable * 0.9,
            self.hedged * 0.9,
            self.arrivals * 0.9,
        )
        for mean in (self.tier_profile, *self.registry.profiles.values()):
            mean.end_window(ENOUGH, SPAN)
        usual = self.class_latencies.values()
        self.typical_latency_ms = sum(u.mean_ms * u.samples for u in usual) / max(
            sum(u.samples for u in usual), 1
        )
        return True

    def _pace(self, span: float) -> None:
        """What warm upstreams show that they can do, for where nothing is reported; with none yet, what is asked for.

        All balancers' figures add up to what the tier did answer, as each divides by the weight of all that are warm.
        It falls only as far as what is asked for does: a jam is not a lesser tier. With no warm one it stands.
        """
        self.available.warm_up(self.now)
        asked = self.window_arrivals / span * 1000 / max(self.available.total_weight, 1e-9)
        answers = sum(s.window_answers for s in self.observed if self.available.is_warm(s))
        seen, warm = answers / span * 1000 / max(self.available.warm_weight, 1e-9), self.available.warm_count
        if seen and not self.rate_proved:
            self.shown_rate, self.rate_proved = seen, True
        elif self.rate_proved and warm:
            self.shown_rate += (max(seen, min(self.shown_rate, asked)) - self.shown_rate) * 0.2
        elif not self.rate_proved and not warm:
            self.shown_rate += (asked - self.shown_rate) * (0.2 if self.shown_rate else 1.0)
        for s in self.observed:
            s.window_answers = 0

    def schedule_timer(self, at: float, call: Request | None, acts: list[Action]) -> None:
        """A timer for a call, or for the list."""
        self.token += 1
        self.timers[self.token] = call
        acts.append(SetTimer(at, self.token))

    def find_available(self, name: str) -> EndpointStatistics | None:
        """One that may be sent to, whether or not this balancer draws from it."""
        server = self.registry.endpoints.get(name)
        return server if server and server.available else None

    # Calls and attempts

    def record_arrival(self, now: float, event: RequestArrived) -> Request:
        """A record for a call that came. Raises ValueError if its class is none of the settings."""
        if not 0 <= event.traffic_class < len(self.settings.classes):
            raise ValueError(f"traffic_class: {event.traffic_class} is no class of the settings")
        cls = self.settings.classes[event.traffic_class].for_request(event.has_idempotency_key)
        useful = min(event.budget_ms, cls.latency_objective_ms) if cls.late_weight <= 0 else event.budget_ms
        usual, most, aim = (
            self.class_latencies[cls.name],
            self.settings.max_attempts,
            now + cls.latency_objective_ms,
        )
        call = Request(
            event.request,
            cls,
            usual,
            most,
            now + useful,
            aim,
            single_use_body=event.single_use_body,
            preferred_endpoint=event.preferred_endpoint,
            prior_execution=event.prior_execution,
        )
        self.requests[call.name] = call
        self.arrivals, self.window_arrivals = self.arrivals + 1, self.window_arrivals + 1
        # With each call and not with answers: a shut door has none, and would not see that nothing is out.
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) / 20
        return call

    def request_weight(self, now: float, call: Request, event: RequestArrived) -> float:
        """What an answer to it earns, by its class and by what its tenant has used of its quota."""
        if event.tenant >= len(self.settings.tenants):
            return call.traffic_class.priority_weight
        over = self.over_quota(now, self.settings.tenants[event.tenant])
        return call.traffic_class.priority_weight * (self.settings.over_quota_weight if over else 1.0)

    def over_quota(self, now: float, tenant: Tenant) -> bool:
        """One call more of this tenant: whether it is above what its quota has saved up."""
        rate = tenant.quota_per_s / self.settings.instances / 1000
        saved, since = self.quota_buckets[tenant.name]
        saved = min(saved + (now - since) * rate, max(BURST, rate * self.window_ms))
        self.quota_buckets[tenant.name] = (max(saved - 1, min(saved, 0.0)), now)
        return saved < 1 and rate > 0

    def record_send(
        self, now: float, call: Request, server: EndpointStatistics, acts: list[Action], copy: int = 0
    ) -> None:
        self.observed[server] = None
        call.attempts.append(
            Attempt(
                server,
                now,
                expected_rate=1 / call.class_latency.mean_ms if call.class_latency.mean_ms else 0.0,
            )
        )
        if not call.single_use_body:
            self._count(call.attempts[-1], now)
        self.hedged, self.retry_budget = self.hedged + copy, self.retry_budget - copy
        if server.warm_fraction(now, self.settings.slow_start) < 1.0:  # by its class's part of the mean work
            server.slow_start_credit -= (
                call.class_latency.mean_ms / self.typical_latency_ms
                if call.class_latency.mean_ms and self.typical_latency_ms
                else 1.0
            )
        acts.append(SendAttempt(call.name, server.endpoint.name, max(call.deadline - now, 0.001)))

    def _count(self, attempt: Attempt, now: float) -> None:
        """Its server has work by it from now on."""
        if not attempt.target.in_flight:
            attempt.target.last_heard_at = now
        attempt.sent_at, attempt.in_flight = now, True
        attempt.target.in_flight, self.in_flight = attempt.target.in_flight + 1, self.in_flight + 1
        attempt.target.expected_rate += attempt.expected_rate

    def record_upload(self, now: float, event: UploadFinished) -> None:
        """How long its client took to send it is neither load nor lateness."""
        call = self.requests.get(event.request)
        if call is not None and not call.answered and call.attempts and call.attempts[-1].open:
            call.deadline, call.objective = (
                now + event.budget_ms,
                now + call.traffic_class.latency_objective_ms,
            )
            self._count(call.attempts[-1], now)

    def record_end(self, now: float, event: AttemptFinished) -> tuple[Request, Attempt] | None:
        """The attempt that has ended and its call; None for one that is not known to be out."""
        call = self.requests.get(event.request)
        if (
            call is None
            or not 0 <= event.attempt < len(call.attempts)
            or not call.attempts[event.attempt].open
        ):
            return None
        attempt = call.attempts[event.attempt]
        attempt.open, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        attempt.target.in_flight, self.in_flight = (
            attempt.target.in_flight - attempt.in_flight,
            self.in_flight - attempt.in_flight,
        )
        attempt.target.expected_rate -= attempt.expected_rate * attempt.in_flight
        if event.outcome in HEARD:
            attempt.target.last_heard_at, attempt.target.unresponsive = now, False
            self.unresponsive.discard(attempt.target)
        if call.answered:
            self.forget_request(call)
        return call, attempt

    def forget_request(self, call: Request) -> None:
        """One with its final answer, once no attempt of it is out."""
        if not any(t.open for t in call.attempts):
            self.requests.pop(call.name, None)

    # Evidence

    def record_report(self, now: float, server: EndpointStatistics, event: AttemptFinished) -> None:
        """What the upstream says of itself; most answers repeat its last report."""
        server.fade(now, self.evidence_memory_ms)
        if event.utilisation is None:
            return
        server.utilisation, server.utilisation_at = event.utilisation, now
        util = event.utilisation
        per_s = event.requests_per_s
        if per_s is not None and (util, per_s) != server.last_report:
            server.add_report(now, self.report_memory_ms, util, per_s)
            if server.warm_fraction(now, self.settings.slow_start) >= 1.0:
                for mean in (server.profile, self.tier_profile):
                    mean.reported_rate, mean.reported_use = (
                        mean.reported_rate + per_s,
                        mean.reported_use + util * server.listed_weight,
                    )

    def record_outcome(
        self, now: float, call: Request, server: EndpointStatistics, event: AttemptFinished
    ) -> None:
        """What the attempt's end shows: in time or a miss, and how slow."""
        ok = event.outcome is Outcome.OK
        if ok and now <= call.objective:
            # Only answers in time count: a jam that ends in time-outs would else pass for a fair pace.
            self.admission.count_answer(now)
            server.successes, self.total_successes = server.successes + 1, self.total_successes + 1
        elif event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            server.failures, self.total_failures = server.failures + 1, self.total_failures + 1
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED):
            return  # a fast failure is no fast answer
        if ok:
            call.class_latency.add(event.elapsed_ms)
            server.window_answers += 1
        ratio = min(event.elapsed_ms / max(call.class_latency.mean_ms, 1e-3), CLIP)
        if ok or ratio > server.latency_ratio:  # cut off: at least that slow
            server.latency_ratio_sum, server.latency_samples = (
                server.latency_ratio_sum + ratio,
                server.latency_samples + 1,
            )
            for mean in (server.profile, self.tier_profile):
                mean.add(ratio)

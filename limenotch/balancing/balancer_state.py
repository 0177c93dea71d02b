"""State of one balancer: settings, endpoint list, requests, timers, and sums of what was observed.

This module records events in counters, decaying sums and stored objects. The modules listed under `policy` in
deploy/balancer.toml read the state and decide. Times and durations are in ms, rates in requests per second unless
their comment says otherwise (slow-start credit accrues per ms).
"""

from __future__ import annotations

from collections.abc import Hashable
from math import inf, sqrt
from random import Random

from .actions import Action, SendAttempt, SetTimer
from .admission import AdmissionControl
from .available_endpoints import AvailableEndpoints, EndpointsByLocality
from .endpoint_registry import EndpointRegistry, RegistryChanges
from .endpoint_statistics import (
    MIN_REPORTED_UTILISATION,
    WINDOW_DECAY,
    Attempt,
    ClassLatency,
    EndedAttempt,
    EndpointStatistics,
    LatencyProfile,
    Request,
)
from .events import AttemptFinished, OperatorEjection, RequestArrived, SettingsChanged, UploadFinished
from .quota_bucket import QuotaBucket
from .selection_tables import SelectionTable, selection_table
from .served_rate import RATE_SMOOTHING, ServedRate
from .types import NEVER_RAN, BalancerSettings, DedupScope, Outcome, Tenant

MEMORY_OBJECTIVES = 4.0  # time constant of observations, in the longest latency objectives
REPORT_MEMORY_OBJECTIVES = 1.2  # time constant of load reports, in the longest latency objectives
WINDOW_OBJECTIVES = 0.5  # length of a window, in means of the latency objectives
LOWEST_MEAN_WINDOWS = 30  # windows whose lowest mean latency counts as that of an idle tier
MIN_WINDOW_SAMPLES = 8  # responses needed for a window's mean; with fewer the lowest mean is too low
MAX_LATENCY_RATIO = 4.0  # upper limit: one expensive request does not make an endpoint slow
LOCAL_SLOW_START_SHARE = 0.75  # share of an endpoint's slow-start capacity for balancers of its zone
BURST_REQUESTS = 10.0  # maximum of the retry budget, and minimum burst of a tenant's quota
FORGET_MEMORIES = 10.0  # observations are dropped after this many time constants without a response
IN_FLIGHT_SMOOTHING = 20  # arrivals over which the mean number in flight is taken
INVERSE_GOLDEN_RATIO = (sqrt(5) - 1) / 2  # its multiples modulo 1 spread any number of balancers evenly

RESPONDED = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET)  # the endpoint's host is alive
INCONCLUSIVE = (Outcome.NOT_SENT, Outcome.CANCELLED)  # count as neither success nor failure
WITH_LATENCY = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)  # a fast failure is not a low latency


class BalancerState:
    """State that events update and every decision reads."""

    def __init__(self, settings: BalancerSettings, seed: int) -> None:
        """Create the state before the first event. All random choices depend on `seed`."""
        self.random = Random(seed)
        self.now = -inf  # time of the latest event
        self.admission = AdmissionControl()
        self._init_endpoints(settings)
        self._init_requests()
        self._init_window_sums()
        self.apply_settings(settings)

    def report_error(self, error: Exception) -> None:
        """Handle an internal error after which the caller could continue. Raises it; a subclass may contain it."""
        raise error

    def _init_endpoints(self, settings: BalancerSettings) -> None:
        self.registry = EndpointRegistry(self.random)
        self.available = AvailableEndpoints(settings)
        self.discovery_failures = 0  # consecutive
        self.observed: dict[EndpointStatistics, None] = {}  # those with recent observations, in order
        self.unresponsive: set[EndpointStatistics] = set()
        self.warming: list[EndpointStatistics] = []  # those with a slow-start rate
        self.weights_at = -inf  # time of the latest update of the weights
        self.weights_stale = False  # the endpoint list has changed since that update
        self.candidates: SelectionTable = selection_table([])
        self.local_candidates: SelectionTable = selection_table([])  # candidates in the balancer's zone
        self.dedup_candidates: dict[tuple[DedupScope, Hashable], SelectionTable] = {}

    def _init_requests(self) -> None:
        self.requests: dict[str, Request] = {}
        self.timers: dict[int, Request | None] = {}  # by token; None: a subscription to discovery
        self.token = 0  # token of the latest timer
        self.retry_budget = BURST_REQUESTS
        self.in_flight = 0  # attempts in flight
        self.mean_in_flight = 0.0
        self.class_latencies: dict[str, ClassLatency] = {}
        self.typical_latency_ms = 0.0  # mean over all classes
        self.quota_buckets: dict[str, QuotaBucket] = {}  # by tenant

    def _init_window_sums(self) -> None:
        self.window_start = -1.0  # negative: no window has begun
        self.window_end = -inf
        self.window_arrivals = 0
        self.total_successes = 0.0  # decaying number of attempts that met the latency objective
        self.total_failures = 0.0  # decaying number of the other attempts, except INCONCLUSIVE ones
        self.arrivals = 0.0  # decaying number of requests
        self.hedgeable = 0.0  # decaying number of requests that could be hedged
        self.hedged = 0.0  # decaying number of hedged requests
        self.demand = 0.0  # smoothed arrivals per second
        self.slow_start_rate = 0.0  # slow-start credit per ms for a capacity of 1
        self.served_rate = ServedRate()
        self.mean_success_rate = 1.0
        self.best_success_rate = 1.0
        self.live_fraction = 1.0  # fraction of the candidates' capacity that is not ejected
        self.tier_profile = LatencyProfile()

    def apply_settings(self, settings: BalancerSettings) -> None:
        """Use `settings` from the next request on. Classes and tenants that keep their name keep their state."""
        objectives = [traffic_class.latency_objective_ms for traffic_class in settings.classes]
        self.settings = settings
        self.registry.phase = settings.balancer_index * INVERSE_GOLDEN_RATIO % 1
        self.evidence_memory_ms = MEMORY_OBJECTIVES * max(objectives)
        self.report_memory_ms = REPORT_MEMORY_OBJECTIVES * max(objectives)
        self.window_ms = WINDOW_OBJECTIVES * sum(objectives) / len(objectives)
        self.class_latencies = {
            traffic_class.name: self.class_latencies.get(traffic_class.name) or ClassLatency()
            for traffic_class in settings.classes
        }
        self.quota_buckets = {
            tenant.name: self.quota_buckets.get(tenant.name) or QuotaBucket(BURST_REQUESTS)
            for tenant in settings.tenants
        }

    # Endpoints

    def apply_operator_event(self, now: float, event: OperatorEjection | SettingsChanged) -> None:
        """Apply an operator's ejection, readmission or change of settings."""
        if isinstance(event, OperatorEjection):
            self.apply_registry_changes(now, self.registry.apply_ejection(now, event))
            return
        self.apply_settings(event.settings)
        self.registry.apply_weights(event.settings.weights_listed)
        self.available = AvailableEndpoints(event.settings)
        self.apply_registry_changes(now, RegistryChanges(list(self.registry.endpoints.values()), []))

    def apply_registry_changes(self, now: float, changes: RegistryChanges) -> None:
        """Update which endpoints are available. The cost grows with the changes, not with the list's length."""
        for endpoint in changes.removed:
            endpoint.available = False
            self.unresponsive.discard(endpoint)
            self.observed.pop(endpoint, None)
        for endpoint in changes.changed:
            endpoint.available = self.registry.accepts_requests(endpoint)
        available = [endpoint for endpoint in changes.changed if endpoint.available]
        unavailable = [endpoint for endpoint in changes.changed if not endpoint.available]
        self.available.update(now, available, [*changes.removed, *unavailable])

    @property
    def by_locality(self) -> EndpointsByLocality:
        """Available endpoints of the balancer's zone, and those of others."""
        return self.available.by_locality

    def locality_factor(self, endpoint: EndpointStatistics) -> float:
        """Factor on this balancer's equal share of an endpoint in slow start, where crossing zones has a cost.

        Balancers of the endpoint's zone get most of its capacity. The shares of all balancers add up to 1 if
        the balancers are spread evenly over the zones, and to more if all of them are in one zone.
        """
        local, remote = self.by_locality
        if not local or not remote:
            return 1.0
        zones = self.available.zone_count
        if endpoint.endpoint.zone == self.settings.zone:
            return zones * LOCAL_SLOW_START_SHARE
        return zones * (1 - LOCAL_SLOW_START_SHARE) / (zones - 1)

    def excluded_count(self) -> int:
        """Number of listed endpoints that are unavailable or unresponsive."""
        unavailable = len(self.registry.endpoints) - len(self.available)
        return unavailable + sum(endpoint.available for endpoint in self.unresponsive)

    def prune_observed(self, now: float) -> list[EndpointStatistics]:
        """Drop observations that are too old, and return the available endpoints that still have some."""
        max_age_ms = FORGET_MEMORIES * self.evidence_memory_ms
        for endpoint in [each for each in self.observed if each.is_forgotten(now, max_age_ms)]:
            endpoint.reset_evidence()
            del self.observed[endpoint]
        listed = self.registry.endpoints
        self.unresponsive = {each for each in self.unresponsive if listed.get(each.endpoint.name) is each}
        return [endpoint for endpoint in self.observed if endpoint.available]

    def find_available(self, name: str) -> EndpointStatistics | None:
        """The available endpoint of that name, in this balancer's subset or not; None if there is none."""
        endpoint = self.registry.endpoints.get(name)
        return endpoint if endpoint and endpoint.available else None

    # Time and windows

    def advance_clock(self, now: float) -> bool:
        """Set the time, and return whether the current window has ended. Raises ValueError for an earlier time."""
        if now < self.now:
            raise ValueError(f"now_ms: {now} runs backwards, expected {self.now} or later")
        self.now = now
        return now >= self.window_end

    def end_window(self, now: float) -> bool:
        """End the window: decay sums, update means and begin the next window. Returns False if none had begun."""
        had_begun = self.window_start >= 0
        span_ms = now - self.window_start
        self.window_start = now
        self.window_end = now + self.window_ms
        if not had_begun:
            return False
        arrival_rate = self.window_arrivals / span_ms * 1000
        self.demand += (arrival_rate - self.demand) * (RATE_SMOOTHING if self.demand else 1.0)
        self.available.warm_up(now)
        self.served_rate.end_window(self.available, self.observed, arrival_rate, span_ms)
        self.admission.end_window(span_ms, self.total_successes, self.total_failures)
        self.window_arrivals = 0
        self.total_successes *= WINDOW_DECAY
        self.total_failures *= WINDOW_DECAY
        self.hedgeable *= WINDOW_DECAY
        self.hedged *= WINDOW_DECAY
        self.arrivals *= WINDOW_DECAY
        for profile in (self.tier_profile, *self.registry.profiles.values()):
            profile.end_window(MIN_WINDOW_SAMPLES, LOWEST_MEAN_WINDOWS)
        latencies = self.class_latencies.values()
        latency_sum = sum(latency.mean_ms * latency.samples for latency in latencies)
        self.typical_latency_ms = latency_sum / max(sum(latency.samples for latency in latencies), 1)
        return True

    @property
    def measured_rate(self) -> float:
        """Responses per second and unit of weight that warm endpoints have served."""
        return self.served_rate.per_weight

    def schedule_timer(self, at: float, request: Request | None, actions: list[Action]) -> None:
        """Set a timer for a request or, if `request` is None, for another subscription to discovery."""
        self.token += 1
        self.timers[self.token] = request
        actions.append(SetTimer(at, self.token))

    # Requests and attempts

    def record_arrival(self, now: float, event: RequestArrived) -> Request:
        """Create the record of a request. Raises ValueError for a traffic class that is not in the settings."""
        if not 0 <= event.traffic_class < len(self.settings.classes):
            raise ValueError(f"traffic_class: {event.traffic_class} is not the index of a class")
        traffic_class = self.settings.classes[event.traffic_class].for_request(event.has_idempotency_key)
        budget_ms = event.budget_ms
        if traffic_class.late_weight <= 0:  # a response after the objective is worth nothing
            budget_ms = min(budget_ms, traffic_class.latency_objective_ms)
        request = Request(
            event.request,
            traffic_class,
            self.class_latencies[traffic_class.name],
            self.settings.max_attempts,
            now + budget_ms,
            now + traffic_class.latency_objective_ms,
            single_use_body=event.single_use_body,
            preferred_endpoint=event.preferred_endpoint,
            prior_execution=event.prior_execution,
            may_hedge=self.settings.may_hedge,
            may_cancel=self.settings.may_cancel,
            max_retry_after_ms=self.settings.max_retry_after_ms,
        )
        self.requests[request.name] = request
        self.arrivals += 1
        self.window_arrivals += 1
        # Updated at arrivals, not at responses: while all requests are rejected there are no responses.
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) / IN_FLIGHT_SMOOTHING
        return request

    def request_weight(self, now: float, request: Request, event: RequestArrived) -> float:
        """Priority weight of a request, by its class and its tenant's use of its quota.

        Takes the request from the quota bucket of its tenant, if the tenant is in the settings.
        """
        weight = request.traffic_class.priority_weight
        if event.tenant >= len(self.settings.tenants):
            return weight
        over = self.over_quota(now, self.settings.tenants[event.tenant])
        return weight * (self.settings.over_quota_weight if over else 1.0)

    def over_quota(self, now: float, tenant: Tenant) -> bool:
        """Take one request from the tenant's quota bucket, and return whether the tenant is over its quota."""
        per_ms = tenant.quota_per_s / self.settings.instances / 1000
        capacity = max(BURST_REQUESTS, per_ms * self.window_ms)
        within = self.quota_buckets[tenant.name].take_request(now, per_ms, capacity)
        return not within and per_ms > 0

    def record_send(
        self,
        now: float,
        request: Request,
        endpoint: EndpointStatistics,
        actions: list[Action],
        hedges: int = 0,
    ) -> None:
        """Send an attempt. `hedges` is 1 for a hedged attempt, which the retry budget pays for, and 0 otherwise."""
        mean_ms = request.class_latency.mean_ms
        attempt = Attempt(endpoint, endpoint.endpoint, now, expected_rate=1 / mean_ms if mean_ms else 0.0)
        self.observed[endpoint] = None
        request.attempts.append(attempt)
        if not request.single_use_body:
            attempt.count_in_flight(now)
            self.in_flight += 1
        self.hedged += hedges
        self.retry_budget -= hedges
        if endpoint.warm_fraction(now, self.settings.slow_start) < 1.0:
            # The cost of a request is the mean latency of its class, relative to that of all classes.
            known = mean_ms and self.typical_latency_ms
            endpoint.slow_start_credit -= mean_ms / self.typical_latency_ms if known else 1.0
        timeout_ms = max(request.deadline - now, 0.001)
        actions.append(SendAttempt(request.name, endpoint.endpoint.name, timeout_ms))

    def record_upload(self, now: float, event: UploadFinished) -> None:
        """Start the request's deadlines now: the time in which the client sent the body is not load or latency."""
        request = self.requests.get(event.request)
        if request is None or request.answered or not request.attempts or not request.attempts[-1].open:
            return
        request.deadline = now + event.budget_ms
        request.objective = now + request.traffic_class.latency_objective_ms
        request.attempts[-1].count_in_flight(now)
        self.in_flight += 1

    def record_end(self, now: float, event: AttemptFinished) -> EndedAttempt | None:
        """Mark the event's attempt as ended, and return it; None if no such attempt is open."""
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return None
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return None
        attempt.end(may_have_run=event.outcome not in NEVER_RAN)
        if attempt.in_flight:
            self.in_flight -= 1
        if event.outcome in RESPONDED:
            attempt.target.last_response_at = now
            attempt.target.unresponsive = False
            self.unresponsive.discard(attempt.target)
        if request.answered:
            self.forget_request(request)
        return EndedAttempt(request, attempt)

    def forget_request(self, request: Request) -> None:
        """Drop an answered request, unless some of its attempts are still open."""
        self.release_retry(request)
        if not any(attempt.open for attempt in request.attempts):
            self.requests.pop(request.name, None)

    def release_retry(self, request: Request) -> None:
        """Return a reserved retry that the request does not need any more."""
        if request.retry_reserved:
            request.retry_reserved = False
            self.retry_budget = min(self.retry_budget + 1, BURST_REQUESTS)

    # Observations

    def record_report(self, now: float, endpoint: EndpointStatistics, event: AttemptFinished) -> None:
        """Record the load report of a response. Most responses repeat the endpoint's last report, which counts once."""
        endpoint.fade(now, self.evidence_memory_ms)
        utilisation = event.utilisation
        requests_per_s = event.requests_per_s
        if utilisation is None:
            return
        endpoint.utilisation = utilisation
        endpoint.utilisation_at = now
        if requests_per_s is None or (utilisation, requests_per_s) == endpoint.last_report:
            return
        endpoint.last_report = (utilisation, requests_per_s)
        use = max(utilisation, MIN_REPORTED_UTILISATION) if requests_per_s else utilisation
        endpoint.add_report(now, self.report_memory_ms, use, requests_per_s)
        if endpoint.warm_fraction(now, self.settings.slow_start) >= 1.0:
            for profile in (endpoint.profile, self.tier_profile):
                profile.add_report(requests_per_s, use, endpoint.listed_weight)

    def record_outcome(
        self, now: float, request: Request, endpoint: EndpointStatistics, event: AttemptFinished
    ) -> None:
        """Record whether an ended attempt succeeded, and its latency."""
        ok = event.outcome is Outcome.OK
        if ok and now <= request.objective:
            # Only responses in time count as goodput: with late ones, an overload would look like enough capacity.
            self.admission.count_answer(now)
            endpoint.successes += 1
            self.total_successes += 1
        elif event.outcome not in INCONCLUSIVE:
            endpoint.failures += 1
            self.total_failures += 1
        if event.outcome not in WITH_LATENCY:
            return
        if ok:
            request.class_latency.add(event.elapsed_ms)
            endpoint.window_answers += 1
        ratio = min(event.elapsed_ms / max(request.class_latency.mean_ms, 1e-3), MAX_LATENCY_RATIO)
        # An attempt without a response would have taken at least that long: it counts only if it raises the mean.
        if ok or ratio > endpoint.latency_ratio:
            endpoint.latency_ratio_sum += ratio
            endpoint.latency_samples += 1
            for profile in (endpoint.profile, self.tier_profile):
                profile.add(ratio)

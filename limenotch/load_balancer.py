"""The load balancer as the network code uses it: a method for each event, which returns the commands to carry out.

The network code reports requests (`request_arrived`, `client_disconnected`), how their attempts ended
(`attempt_finished`), timers that fired (`timer_fired`) and messages of discovery (`endpoints_listed`,
`discovery_failed`). The methods are synchronous. Only this module translates to the events, actions, indexes and
clock of `limenotch.balancing`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from .balancing import actions
from .balancing.contained_balancer import ContainedBalancer
from .balancing.events import (
    AttemptFinished,
    BalancerStarted,
    ClientDisconnected,
    Event,
    MembershipKind,
    MembershipUpdate,
    OperatorEjection,
    RequestArrived,
    SettingsChanged,
    TimerFired,
    UploadFinished,
)
from .balancing.learned_state import export_state, import_state
from .balancing.types import BalancerSettings, Endpoint, EndpointState, Outcome, PriorExecution
from .clocks import MonotonicUnixClock, wall_clock_ms
from .endpoint_ages import EndpointAges
from .internal_errors import InternalErrors
from .load_balancer_types import (
    AttemptEnding,
    CancelAttempt,
    Command,
    Commands,
    DiscoveredEndpoint,
    DiscoveryStatus,
    FailRequest,
    PlacementHint,
    RejectRequest,
    ScheduleTimer,
    StartAttempt,
    WatchDiscovery,
)
from .request_policy import RequestPolicy

# Time reserved for the way of the response to the client, which must have it before its budget ends, on a busy core.
RESPONSE_MARGIN_MS = 20.0
# The margin takes at most this fraction of a short budget.
MAX_MARGIN_FRACTION = 1 / 4
# Value in log lines for an infinite concurrency limit.
NO_LIMIT = -1.0


def usable_budget_ms(budget_ms: float) -> float:
    """The time in ms for which a request that has just arrived may stay open."""
    return budget_ms - min(RESPONSE_MARGIN_MS, budget_ms * MAX_MARGIN_FRACTION)


OUTCOMES = {
    AttemptEnding.SERVED: Outcome.OK,
    AttemptEnding.ERROR: Outcome.ERROR,
    AttemptEnding.REJECTED: Outcome.REJECTED,
    AttemptEnding.TIMED_OUT: Outcome.TIMEOUT,
    AttemptEnding.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    AttemptEnding.RESET: Outcome.RESET,
    AttemptEnding.CANCELLED: Outcome.CANCELLED,
    AttemptEnding.NOT_SENT: Outcome.NOT_SENT,
}
ENDPOINT_STATES = {
    DiscoveryStatus.IN_SERVICE: EndpointState.READY,
    DiscoveryStatus.TERMINATING: EndpointState.DRAINING,
    DiscoveryStatus.TERMINATED: EndpointState.GONE,
}


@dataclass(slots=True)
class _NameIndexes:
    """Indexes of names. A name without an index gets the next free one, and keeps it."""

    indexes: dict[str, int] = field(default_factory=dict)

    def __getitem__(self, name: str) -> int:
        return self.indexes.setdefault(name, len(self.indexes))


class LoadBalancer:
    """One balancer, with the indexes of the names of zones, kinds, classes and tenants, and with its clock."""

    def __init__(
        self,
        settings: BalancerSettings,
        seed: int,
        zones: Iterable[str] = (),
        kinds: Iterable[str] = (),
        clock: Callable[[], float] | None = None,
        wall_clock: Callable[[], float] | None = None,
    ) -> None:
        """`clock` and `wall_clock` are Unix time in ms. The first never runs backwards; the second may be set."""
        self.internal_errors = InternalErrors()
        self._balancer = ContainedBalancer(settings, seed, self._report_error)
        self._clock = clock or MonotonicUnixClock()
        self._endpoint_ages = EndpointAges(self._clock, wall_clock or clock or wall_clock_ms)
        self._process_count = 1
        self._lease_expires_at_ms = math.inf
        self._rejects_without_lease = False
        self._slow_start_divisor = 0.0
        self._store_settings(settings)
        self._zones = _NameIndexes({name: number for number, name in enumerate(zones)})
        self._kinds = _NameIndexes({name: number for number, name in enumerate(kinds)})

    def _store_settings(self, settings: BalancerSettings) -> None:
        self._settings = replace(
            settings,
            processes=self._process_count,
            restricted=self.restricted,
            agreed_slow_start_divisor=self._slow_start_divisor,
        )
        self.classes = settings.classes
        self._class_indexes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self._tenant_indexes = {tenant.name: number for number, tenant in enumerate(settings.tenants)}

    def now_ms(self) -> float:
        """Unix time in ms by the clock of the balancer."""
        return self._clock()

    def knows_class(self, name: str) -> bool:
        """Whether the current settings have a traffic class of this name."""
        return name in self._class_indexes

    def knows_tenant(self, name: str) -> bool:
        """Whether the current settings have this tenant. True for any name if they have no tenants."""
        return name in self._tenant_indexes or not self._tenant_indexes

    def deadline_ms(self, class_name: str) -> float:
        """The time in ms for which a client waits at most for a request of this class."""
        return self.classes[self._class_indexes[class_name]].deadline_ms

    def request_policy(self, class_name: str, has_idempotency_key: bool = True) -> RequestPolicy:
        """The policy for a request of this class that arrives now. It stays the same if the settings change later."""
        traffic_class = self.classes[self._class_indexes[class_name]]
        return RequestPolicy(traffic_class.for_request(has_idempotency_key), self._settings.may_hedge)

    @property
    def max_retry_after_ms(self) -> float:
        """The longest Retry-After of a rejection that the settings allow, in ms; 0: rejections have none."""
        return self._settings.max_retry_after_ms

    def decision_metrics(self) -> dict[str, float]:
        """Values that decisions are based on, for log lines: among others, attempts in flight and their limit."""
        balancer = self._balancer
        limit = balancer.admission.concurrency_limit
        return {
            "out": balancer.in_flight,
            "limit": round(limit if math.isfinite(limit) else NO_LIMIT, 1),
            "pace": round(balancer.admission.sustained_goodput * 1000, 1),
            "typical_ms": round(balancer.typical_latency_ms),
            "drawn": len(balancer.candidates[0]),
        }

    def excluded_count(self) -> int:
        """Number of listed endpoints that get no requests now: draining, ejected or unresponsive."""
        return self._balancer.excluded_count()

    def set_ejected(self, name: str, ejected: bool, readmitted_at_ms: float = 0.0) -> Commands:
        """Apply an operator's ejection, or readmission at `readmitted_at_ms` of Unix time, of an endpoint."""
        return self._handle(OperatorEjection(name, ejected, readmitted_at_ms))

    def apply_settings(
        self, settings: BalancerSettings, zones: Iterable[str] = (), kinds: Iterable[str] = ()
    ) -> Commands:
        """Use new settings for future requests. Zones and kinds keep their indexes; new names get new indexes."""
        names = list(zones)
        for kind in kinds:
            self._kinds[kind]
        if settings.zone < len(names):
            settings = replace(settings, zone=self._zones[names[settings.zone]])
        self._store_settings(settings)
        return self._handle(SettingsChanged(self._settings))

    def set_process_count(self, processes: int) -> Commands:
        """Set the number of running processes of this sidecar, among which its limits are divided."""
        self._process_count = processes
        self._store_settings(self._settings)
        return self._handle(SettingsChanged(self._settings))

    def set_lease(
        self, expires_at_ms: float, slow_start_divisor: float = 0.0, reject_without_lease: bool = False
    ) -> Commands:
        """Set when, by `now_ms`, the lease of this sidecar on the rules of its fleet expires.

        After that it is in restricted mode or, with `reject_without_lease`, rejects all requests until the next lease.
        The expiry is checked at each event rather than by a timer, since a process that wakes from a pause handles its
        sockets before its timers. `slow_start_divisor`: the number by which the requests that endpoints in slow start
        may get are divided; infinite: this sidecar may send them none.
        """
        self._lease_expires_at_ms = expires_at_ms
        self._rejects_without_lease = reject_without_lease
        self._slow_start_divisor = slow_start_divisor
        before = self._settings
        self._store_settings(before)
        return self._handle(SettingsChanged(self._settings)) if self._settings != before else []

    @property
    def rejects_all(self) -> bool:
        """Whether all requests are rejected: the lease has expired, and the rules say so."""
        return self._rejects_without_lease and self.restricted

    @property
    def restricted(self) -> bool:
        """Whether the lease has expired."""
        return self._clock() >= self._lease_expires_at_ms

    def export_state(self) -> dict[str, Any]:
        """Export what the balancer has learnt, for the process that replaces this one."""
        return {
            "module": export_state(self._balancer),
            "kinds": dict(self._kinds.indexes),
            "starts": self._endpoint_ages.export_state(),
        }

    def import_endpoint_ages(self, exported: Any) -> None:
        """Import the endpoint ages of another process's `export_state`; call it before its endpoint list is applied.

        A process of an earlier version exports none. Raises ValueError if they are not valid.
        """
        if isinstance(exported, dict) and "starts" in exported:
            self._endpoint_ages.import_state(exported["starts"])

    def import_state(self, exported: Any) -> None:
        """Import what another process has learnt, from its `export_state`; call it after its list was applied.

        Raises ValueError if it is not valid.
        """
        if not isinstance(exported, dict) or not isinstance(exported.get("kinds"), dict):
            raise ValueError("learned state: expected an object of kinds")
        names = {str(number): name for name, number in exported["kinds"].items()}
        module = exported.get("module")
        if isinstance(module, dict) and isinstance(module.get("kinds"), dict):
            kinds = {str(self._kinds[names[k]]): mean for k, mean in module["kinds"].items() if k in names}
            module = {**module, "kinds": kinds}
        import_state(self._balancer, module)

    def start(self) -> Commands:
        """Start the balancer; call it once, before any other event is reported."""
        return self._handle(BalancerStarted())

    def request_arrived(
        self,
        request: int,
        class_name: str,
        tenant: str,
        budget_ms: float,
        is_retry: bool = False,
        single_use_body: bool = False,
        hint: PlacementHint | None = None,
        has_idempotency_key: bool = True,
    ) -> Commands:
        """Report a request that arrived. It must get exactly one final answer within `budget_ms`.

        `single_use_body`: the body is still being received, so it can be sent only once. `has_idempotency_key`: the
        request has the key by which endpoints drop duplicates, if its class is deduplicated.
        """
        preferred_endpoint = ""
        prior_execution = None
        if hint is not None:
            preferred_endpoint = hint.preferred_endpoint
            if hint.may_have_run:
                prior_execution = PriorExecution(self._zones[hint.zone], hint.group, self._clock() - hint.age_ms)
        return self._handle(
            RequestArrived(
                str(request),
                self._class_indexes[class_name],
                budget_ms,
                self._tenant_indexes.get(tenant, 0),
                is_retry,
                single_use_body,
                preferred_endpoint,
                prior_execution,
                has_idempotency_key,
            )
        )

    def upload_finished(self, request: int, budget_ms: float) -> Commands:
        """Report that the last byte of a single-use body was sent: its request has `budget_ms` from now on."""
        return self._handle(UploadFinished(str(request), budget_ms))

    def reserve_retry(self, request: int) -> bool:
        """Reserve a retry for this request, for when its attempts in flight have failed; False if it has none left."""
        return self._balancer.reserve_retry(self._clock(), str(request))

    def client_disconnected(self, request: int) -> Commands:
        """Report that the client of this request has disconnected."""
        return self._handle(ClientDisconnected(str(request)))

    def attempt_finished(
        self,
        request: int,
        attempt: int,
        endpoint: str,
        elapsed_ms: float,
        ending: AttemptEnding,
        request_answered: bool,
        utilisation: float | None = None,
        requests_per_s: float | None = None,
        body_consumed: bool = False,
    ) -> Commands:
        """Report an attempt that ended. `request_answered`: the request already has its final answer.

        `utilisation` and `requests_per_s` are the endpoint's load report: the busy fraction of its cores, and the
        requests per second that it served for all sidecars. `body_consumed`: a part of a single-use body was sent and
        can't be sent again.
        """
        return self._handle(
            AttemptFinished(
                str(request),
                endpoint,
                attempt,
                elapsed_ms,
                OUTCOMES[ending],
                request_answered,
                utilisation,
                requests_per_s,
                body_consumed,
            )
        )

    def timer_fired(self, token: int) -> Commands:
        """Report that the timer with this token fired."""
        return self._handle(TimerFired(token))

    def endpoints_listed(
        self, endpoints: Collection[DiscoveredEndpoint], complete: bool, silence_ms: float = math.inf
    ) -> Commands:
        """Report the complete list of discovery, or changes of it, sent `silence_ms` after the previous message."""
        starts_ms = self._endpoint_ages.record_list(endpoints, complete, silence_ms)
        self._endpoint_ages.forget(
            endpoint.name for endpoint in endpoints if endpoint.status is DiscoveryStatus.TERMINATED
        )
        listed = tuple(
            self._as_listed(endpoint, start_ms) for endpoint, start_ms in zip(endpoints, starts_ms, strict=True)
        )
        kind = MembershipKind.COMPLETE if complete else MembershipKind.INCREMENTAL
        return self._handle(MembershipUpdate(kind, listed))

    def _as_listed(self, endpoint: DiscoveredEndpoint, start_ms: float) -> Endpoint:
        return Endpoint(
            endpoint.name,
            ENDPOINT_STATES[endpoint.status],
            endpoint.weight,
            self._kinds[endpoint.kind],
            self._zones[endpoint.zone],
            endpoint.group,
            endpoint.started_ms,
            start_ms,
        )

    def discovery_failed(self) -> Commands:
        """Report that a watch on discovery failed or ended."""
        return self._handle(MembershipUpdate(MembershipKind.UNAVAILABLE))

    def _report_error(self, error: Exception) -> None:
        self.internal_errors.report(error, "a decision")

    def _handle(self, event: Event) -> Commands:
        now_ms = self._clock()
        resulting_actions = []
        if now_ms >= self._lease_expires_at_ms and not self._settings.restricted:
            self._settings = replace(self._settings, restricted=True)
            resulting_actions = self._balancer.handle(now_ms, SettingsChanged(self._settings))
        resulting_actions += self._balancer.handle(now_ms, event)
        return [_command(action, now_ms) for action in resulting_actions]


def _command(action: actions.Action, now_ms: float) -> Command:
    if isinstance(action, actions.SendAttempt):
        return StartAttempt(int(action.request), action.endpoint, action.timeout_ms)
    if isinstance(action, actions.SetTimer):
        return ScheduleTimer(max(action.at_ms - now_ms, 0.0), action.token)
    if isinstance(action, actions.CancelAttempt):
        return CancelAttempt(int(action.request), action.attempt)
    if isinstance(action, actions.RejectRequest):
        return RejectRequest(int(action.request), action.retry_after_ms)
    if isinstance(action, actions.FailRequest):
        return FailRequest(int(action.request))
    return WatchDiscovery()

"""The decision module in blocking style: plain calls in, what is to be done out, in house terms.

The network code tells the facade of calls (`pick`, `depart`), of how invoker calls ended (`report`), of
wakes that are due (`tick`) and of the directory (`heard`, `broken`). Each returns Orders. Only this module
knows the decision module's events and actions, its indexes and its clock.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any, NamedTuple

from .balancing import Balancer, actions
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
from .endpoint_ages import EndpointAges
from .request_policy import RequestPolicy

# The answer must be with the consumer when its budget ends: what the way there and a busy core may take.
MARGIN_MS = 20.0


def usable_budget_ms(budget_ms: float) -> float:
    """How long a call that has just arrived may stay open."""
    return budget_ms - min(MARGIN_MS, budget_ms / 4)


class DiscoveryStatus(Enum):
    """What the directory says of a provider."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class DiscoveredEndpoint(NamedTuple):
    """One entry of the directory."""

    name: str
    address: tuple[str, int]
    status: DiscoveryStatus
    zone: str = ""
    kind: str = ""
    group: int = 0
    weight: float = 1.0
    started_ms: float = 0.0

    @property
    def accepts_requests(self) -> bool:
        return self.status is DiscoveryStatus.IN_SERVICE


class AttemptEnding(Enum):
    """How an invoker call ended."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "abandoned"
    NOT_SENT = "not sent"


# The endings that show that an attempt never ran. All others leave it open.
NEVER_RAN = frozenset({AttemptEnding.REJECTED, AttemptEnding.CONNECT_FAILED, AttemptEnding.NOT_SENT})


class PlacementHint(NamedTuple):
    """Where a call belongs, by what was done for it elsewhere."""

    preferred_endpoint: str = ""  # the provider that it stays with while that one may take work
    may_have_run: bool = False  # whether it may have run already: then its repeats go where they are dropped, ...
    zone: str = ""
    group: int = 0
    age_ms: float = 0.0  # ... and so long ago it did


class StartAttempt(NamedTuple):
    """Make an invoker call. Those of one call are numbered from 0 in the order they are given."""

    request: int
    endpoint: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: a rejection; trying again is harmless, best after `retry_after_ms`."""

    request: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: a failure."""

    request: int


class ScheduleTimer(NamedTuple):
    """Come back with `tick(ticket)` after `delay_ms`."""

    delay_ms: float
    token: int


class WatchDiscovery(NamedTuple):
    """Ask the directory for its list and all changes from now on."""


Command = StartAttempt | CancelAttempt | RejectRequest | FailRequest | ScheduleTimer | WatchDiscovery
Commands = list[Command]

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


class MonotonicUnixClock:
    """Unix time in milliseconds that never runs back: the wall is read once, the rest is monotonic."""

    def __init__(self) -> None:
        self._ahead = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (self._ahead + time.monotonic()) * 1000.0


def wall_clock_ms() -> float:
    """The wall clock, which may be set at any time."""
    return time.time() * 1000.0


@dataclass(slots=True)
class _Names:
    """Indexes of names; a name that the settings lack gets the next free index, the same from then on."""

    index: dict[str, int] = field(default_factory=dict)

    def __getitem__(self, name: str) -> int:
        return self.index.setdefault(name, len(self.index))


class LoadBalancer:
    """One balancer, its names and its clock."""

    def __init__(
        self,
        settings: BalancerSettings,
        seed: int,
        zones: Iterable[str] = (),
        kinds: Iterable[str] = (),
        clock: Callable[[], float] | None = None,
        wall: Callable[[], float] | None = None,
    ) -> None:
        """`clock` and `wall` in ms of Unix time: one that never runs back, and one that may be set."""
        self._balancer = Balancer(settings, seed)
        self._clock = clock or MonotonicUnixClock()
        self._starts = EndpointAges(self._clock, wall or clock or wall_clock_ms)
        self._processes = 1
        self._until, self._refusing, self._cold_parts = math.inf, False, 0.0
        self._adopt(settings)
        self._zones = _Names({name: number for number, name in enumerate(zones)})
        self._kinds = _Names({name: number for number, name in enumerate(kinds)})

    def _adopt(self, settings: BalancerSettings) -> None:
        self._settings = replace(
            settings,
            processes=self._processes,
            restricted=self._clock() >= self._until,
            agreed_slow_start_divisor=self._cold_parts,
        )
        self.classes = settings.classes
        self._classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self._tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}

    def now_ms(self) -> float:
        """Unix time, as the module is told it."""
        return self._clock()

    def knows_class(self, name: str) -> bool:
        return name in self._classes

    def knows_tenant(self, name: str) -> bool:
        """Where the settings name no tenants, calls need none."""
        return name in self._tenants or not self._tenants

    def deadline_ms(self, class_name: str) -> float:
        """How long any consumer waits for a call of this class."""
        return self.classes[self._classes[class_name]].deadline_ms

    def request_policy(self, class_name: str, keyed: bool = True) -> RequestPolicy:
        """What the attempts of a call of this class that comes now may do, also once the settings have changed."""
        return RequestPolicy(self.classes[self._classes[class_name]].for_request(keyed), self._settings.may_hedge)

    @property
    def max_retry_after_ms(self) -> float:
        """What the configuration allows a rejection to say of when to return; 0: nothing."""
        return self._settings.max_retry_after_ms

    def decision_metrics(self) -> dict[str, float]:
        """What the decisions stand on, for the log: invoker calls out, and from how many calls are rejected."""
        balancer = self._balancer
        limit = balancer.admission.concurrency_limit if math.isfinite(balancer.admission.concurrency_limit) else -1.0
        return {
            "out": balancer.in_flight,
            "limit": round(limit, 1),
            "pace": round(balancer.admission.sustained_goodput * 1000, 1),
            "typical_ms": round(balancer.typical_latency_ms),
            "drawn": len(balancer.candidates[0]),
        }

    def excluded_count(self) -> int:
        """Listed providers that the module leaves out now: draining, banned or silent."""
        return self._balancer.excluded_count()

    def set_ejected(self, name: str, out: bool, at_ms: float = 0.0) -> Commands:
        """A provider is taken out by hand or, since `at_ms`, let back."""
        return self._handle(OperatorEjection(name, out, at_ms))

    def apply_settings(
        self, settings: BalancerSettings, zones: Iterable[str] = (), kinds: Iterable[str] = ()
    ) -> Commands:
        """Other settings for the calls to come. Indexes of zones and kinds are those of the start, and go on."""
        names = list(zones)
        for kind in kinds:
            self._kinds[kind]
        if settings.zone < len(names):
            settings = replace(settings, zone=self._zones[names[settings.zone]])
        self._adopt(settings)
        return self._handle(SettingsChanged(self._settings))

    def set_process_count(self, processes: int) -> Commands:
        """How many processes of this sidecar live: each does its part of what one may do."""
        self._processes = processes
        self._adopt(self._settings)
        return self._handle(SettingsChanged(self._settings))

    def set_lease(self, until_ms: float, cold_parts: float = 0.0, refusing: bool = False) -> Commands:
        """Of many that act as one: until when (by `now_ms`) this one has the others' word for its rules.

        From then on it is narrow, or with `refusing` rejects all calls, until the next lease. That is looked at with
        each event rather than by a timer: a process that wakes from a pause handles its sockets before its timers.
        `cold_parts`: into how many the allowance of cold providers is divided; infinite: it has no part.
        """
        self._until, self._refusing, self._cold_parts = until_ms, refusing, cold_parts
        before = self._settings
        self._adopt(before)
        return self._handle(SettingsChanged(self._settings)) if self._settings != before else []

    @property
    def rejects_all(self) -> bool:
        """Whether all calls are rejected, as the lease has run out and the settings say so."""
        return self._refusing and self._clock() >= self._until

    @property
    def restricted(self) -> bool:
        return self._clock() >= self._until

    def export_state(self) -> dict[str, Any]:
        """What was learnt, for the process that takes this one's place."""
        return {
            "module": export_state(self._balancer),
            "kinds": dict(self._kinds.index),
            "starts": self._starts.export_state(),
        }

    def import_endpoint_ages(self, told: Any) -> None:
        """Of what another process knew, since when endpoints run; to be called before its list is heard.

        Raises ValueError if it is not sound. A process of an earlier version tells nothing of it.
        """
        if isinstance(told, dict) and "starts" in told:
            self._starts.import_state(told["starts"])

    def import_state(self, told: Any) -> None:
        """What another process knew; to be called after its list was heard. Raises ValueError if it is not sound."""
        if not isinstance(told, dict) or not isinstance(told.get("kinds"), dict):
            raise ValueError("knowledge: kinds")
        names = {str(number): name for name, number in told["kinds"].items()}
        module = told.get("module")
        if isinstance(module, dict) and isinstance(module.get("kinds"), dict):
            kinds = {str(self._kinds[names[k]]): mean for k, mean in module["kinds"].items() if k in names}
            module = {**module, "kinds": kinds}
        import_state(self._balancer, module)

    def start(self) -> Commands:
        return self._handle(BalancerStarted())

    def request_arrived(
        self,
        call: int,
        class_name: str,
        tenant: str,
        left_ms: float,
        resent: bool = False,
        once: bool = False,
        hint: PlacementHint | None = None,
        keyed: bool = True,
    ) -> Commands:
        """A call was taken: exactly one final answer is owed within `left_ms`. `once`: its message is still coming;
        `keyed`: it has the key by which endpoints drop its repeats, where its class has them do so.
        """
        party, prefer, bound = self._tenants.get(tenant, 0), "", None
        if hint is not None:
            prefer = hint.preferred_endpoint
            if hint.may_have_run:
                bound = PriorExecution(self._zones[hint.zone], hint.group, self._clock() - hint.age_ms)
        cls = self._classes[class_name]
        return self._handle(RequestArrived(str(call), cls, left_ms, party, resent, once, prefer, bound, keyed))

    def upload_finished(self, call: int, left_ms: float) -> Commands:
        """The last byte of a message that goes out once was sent: its call has so much time from now."""
        return self._handle(UploadFinished(str(call), left_ms))

    def client_disconnected(self, call: int) -> Commands:
        """The consumer is gone."""
        return self._handle(ClientDisconnected(str(call)))

    def attempt_finished(
        self,
        call: int,
        number: int,
        provider: str,
        spent_ms: float,
        ending: AttemptEnding,
        closed: bool,
        utilisation: float | None = None,
        per_s: float | None = None,
        spent: bool = False,
    ) -> Commands:
        """An invoker call ended; `closed` says that its call has its final answer. The last two are the provider's
        report: the busy part of its cores, and the requests that it served a second for all sidecars.
        `spent`: of a call that goes out once, some of the message is gone.
        """
        outcome = OUTCOMES[ending]
        return self._handle(
            AttemptFinished(str(call), provider, number, spent_ms, outcome, closed, utilisation, per_s, spent)
        )

    def timer_fired(self, ticket: int) -> Commands:
        """A wake is due."""
        return self._handle(TimerFired(ticket))

    def endpoints_listed(
        self, providers: Collection[DiscoveredEndpoint], whole: bool, unheard_ms: float = math.inf
    ) -> Commands:
        """The directory told its whole list, or what changed, `unheard_ms` after its last word."""
        starts = self._starts.record_list(providers, whole, unheard_ms)
        self._starts.forget(p.name for p in providers if p.status is DiscoveryStatus.TERMINATED)
        upstreams = tuple(
            Endpoint(
                p.name,
                ENDPOINT_STATES[p.status],
                p.weight,
                self._kinds[p.kind],
                self._zones[p.zone],
                p.group,
                p.started_ms,
                start,
            )
            for p, start in zip(providers, starts, strict=True)
        )
        listing = MembershipKind.COMPLETE if whole else MembershipKind.INCREMENTAL
        return self._handle(MembershipUpdate(listing, upstreams))

    def discovery_failed(self) -> Commands:
        """A watch of the directory failed or ended."""
        return self._handle(MembershipUpdate(MembershipKind.UNAVAILABLE))

    def _handle(self, event: Event) -> Commands:
        now, acts = self._clock(), []
        if now >= self._until and not self._settings.restricted:
            self._settings = replace(self._settings, restricted=True)
            acts = self._balancer.handle(now, SettingsChanged(self._settings))
        acts += self._balancer.handle(now, event)
        return [_order(action, now) for action in acts]


def _order(action: actions.Action, now: float) -> Command:
    if isinstance(action, actions.SendAttempt):
        return StartAttempt(int(action.request), action.endpoint, action.timeout_ms)
    if isinstance(action, actions.SetTimer):
        return ScheduleTimer(max(action.at_ms - now, 0.0), action.token)
    if isinstance(action, actions.CancelAttempt):
        return CancelAttempt(int(action.request), action.attempt)
    if isinstance(action, actions.RejectRequest):
        return RejectRequest(int(action.request), action.retry_after_ms)
    if isinstance(action, actions.FailRequest):
        return FailRequest(int(action.request))
    return WatchDiscovery()

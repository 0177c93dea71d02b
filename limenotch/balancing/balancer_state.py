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

HEARD = (Outcome.OK, Outcome.ERROR, Outcome.REFUSED, Outcome.RESET)  # its machine is there
FORGET = 10.0  # times the memory without a word of an upstream, after which what it has shown is forgotten
SelectionTable = tuple[
    list[EndpointStatistics], list[float]
]  # upstreams, and sums of their shares up to each


def selection_table(servers: list[EndpointStatistics]) -> SelectionTable:
    return servers, list(accumulate(s.share for s in servers))


class BalancerState:
    """Written by events as they come; every decision reads them."""

    def __init__(self, settings: BalancerSettings, seed: int) -> None:
        self.random = Random(seed)
        self.roster = EndpointRegistry(self.random)
        self.ready = AvailableEndpoints(settings)
        self.known: dict[
            EndpointStatistics, None
        ] = {}  # those that have been sent to and may have shown something, in order
        self.roomy: list[
            EndpointStatistics
        ] = []  # those that have room for cold starts, by the latest shares
        self.shared_at, self.stale = (
            -inf,
            False,
        )  # when shares were taken last; whether the list has changed since
        self.table, self.home = (
            selection_table([]),
            selection_table([]),
        )  # those drawn from, and of them the own zone's
        self.groups: dict[tuple[DedupScope, Hashable], SelectionTable] = {}
        self.tier = LatencyProfile()
        self.calls: dict[str, Request] = {}
        self.timers: dict[int, Request | None] = {}
        self.token, self.failures, self.now, self.began, self.due = 0, 0, -inf, -1.0, -inf  # window's ends
        self.budget, self.out, self.held, self.arrived = BURST, 0, 0.0, 0
        self.good = self.bad = self.room = self.demand = 0.0
        self.shown = 0.0  # answers a second and weight that warm upstreams give us
        self.proved = False  # whether a warm one has answered
        self.copyable = self.copied = self.came = 0.0
        self.fair = self.best = self.live = 1.0
        self.typical = 0.0  # mean latency over all classes
        self.silent: set[EndpointStatistics] = set()
        self.entry = AdmissionControl()
        self.usual: dict[str, ClassLatency] = {}  # of each class
        self.quota: dict[str, tuple[float, float]] = {}  # of each tenant: calls saved up, and when
        self.adopt(settings)

    def adopt(self, settings: BalancerSettings) -> None:
        """Rules for the calls to come. What was learnt stays with the names that stay."""
        self.set, aims = settings, [c.aim_ms for c in settings.classes]
        self.roster.turn = settings.rank * TURN % 1
        self.memory, self.window = MEMORY * max(aims), WINDOW * sum(aims) / len(aims)
        self.reports = REPORTS * max(aims)
        self.usual = {c.name: self.usual.get(c.name) or ClassLatency() for c in settings.classes}
        self.quota = {t.name: self.quota.get(t.name, (BURST, 0.0)) for t in settings.tenants}

    # The list, and the time

    def hear(self, now: float, event: OperatorEjection | SettingsChanged) -> None:
        """Operators have changed who may be sent to, or the rules."""
        if isinstance(event, OperatorEjection):
            self.relist(now, self.roster.ban(now, event))
            return
        self.adopt(event.settings)
        self.ready = AvailableEndpoints(event.settings)
        self.relist(now, RegistryChanges(list(self.roster.servers.values()), []))

    def relist(self, now: float, changes: RegistryChanges) -> None:
        """Who may be sent to has changed. The cost follows what changed: a list may hold thousands."""
        for server in changes.left:
            server.ready = False
            self.silent.discard(server)
            self.known.pop(server, None)
        for server in changes.changed:
            server.ready = self.roster.takes(server)
        ready = [server for server in changes.changed if server.ready]
        self.ready.update(now, ready, [*changes.left, *(s for s in changes.changed if not s.ready)])

    @property
    def order(self) -> tuple[list[EndpointStatistics], list[EndpointStatistics]]:
        """Those ready: own zone, others."""
        return self.ready.order

    def nearness(self, server: EndpointStatistics) -> float:
        """How much more than an equal part is ours where calls stay in their zone: most goes to the balancers there.

        With balancers spread evenly over zones the parts add up to one; with all in one zone to more.
        """
        near, far = self.order
        if not near or not far:
            return 1.0
        zones = self.ready.zones
        return zones * NEAR if server.at.zone == self.set.zone else zones * (1 - NEAR) / (zones - 1)

    def left_out(self) -> int:
        """How many of those listed are sent nothing, or one call at a time to see whether they are back."""
        return len(self.roster.servers) - len(self.ready) + sum(s.ready for s in self.silent)

    def refresh(self, now: float) -> list[EndpointStatistics]:
        """Those of `known` that may be sent to; what was shown too long ago is forgotten."""
        for server in [s for s in self.known if self._forgotten(now, s)]:
            server.forget()
            del self.known[server]
        self.silent = {s for s in self.silent if self.roster.servers.get(s.at.name) is s}
        return [server for server in self.known if server.ready]

    def _forgotten(self, now: float, server: EndpointStatistics) -> bool:
        latest = max(server.stamp, server.told_at, server.heard)
        return not (server.out or server.quiet or server.rests) and now - latest > FORGET * self.memory

    def advance(self, now: float) -> bool:
        """The time of the event that comes; whether a window ends with it. Raises ValueError if it runs backwards."""
        if now < self.now:
            raise ValueError(f"now_ms: {now} runs backwards, expected {self.now} or later")
        self.now = now
        return now >= self.due

    def end_window(self, now: float) -> bool:
        """Sums fade and means are taken, of the window that ends; False if none had begun."""
        begun, span = self.began >= 0, now - self.began
        self.began, self.due = now, now + self.window
        if not begun:
            return False
        self.demand += (self.arrived / span * 1000 - self.demand) * (0.2 if self.demand else 1.0)
        self._pace(span)
        self.entry.renew(span, self.good, self.bad)
        self.good, self.bad, self.arrived = self.good * 0.9, self.bad * 0.9, 0
        self.copyable, self.copied, self.came = self.copyable * 0.9, self.copied * 0.9, self.came * 0.9
        for mean in (self.tier, *self.roster.kinds.values()):
            mean.renew(ENOUGH, SPAN)
        usual = self.usual.values()
        self.typical = sum(u.mean * u.answers for u in usual) / max(sum(u.answers for u in usual), 1)
        return True

    def _pace(self, span: float) -> None:
        """What warm upstreams show that they can do, for where nothing is reported; with none yet, what is asked for.

        All balancers' figures add up to what the tier did answer, as each divides by the weight of all that are warm.
        It falls only as far as what is asked for does: a jam is not a lesser tier. With no warm one it stands.
        """
        self.ready.warm_up(self.now)
        asked = self.arrived / span * 1000 / max(self.ready.weight, 1e-9)
        answers = sum(s.answers for s in self.known if self.ready.is_warm(s))
        seen, warm = answers / span * 1000 / max(self.ready.warm_weight, 1e-9), self.ready.warm
        if seen and not self.proved:
            self.shown, self.proved = seen, True
        elif self.proved and warm:
            self.shown += (max(seen, min(self.shown, asked)) - self.shown) * 0.2
        elif not self.proved and not warm:
            self.shown += (asked - self.shown) * (0.2 if self.shown else 1.0)
        for s in self.known:
            s.answers = 0

    def wake(self, at: float, call: Request | None, acts: list[Action]) -> None:
        """A timer for a call, or for the list."""
        self.token += 1
        self.timers[self.token] = call
        acts.append(SetTimer(at, self.token))

    def named(self, name: str) -> EndpointStatistics | None:
        """One that may be sent to, whether or not this balancer draws from it."""
        server = self.roster.servers.get(name)
        return server if server and server.ready else None

    # Calls and attempts

    def take(self, now: float, event: RequestArrived) -> Request:
        """A record for a call that came. Raises ValueError if its class is none of the settings."""
        if not 0 <= event.traffic_class < len(self.set.classes):
            raise ValueError(f"traffic_class: {event.traffic_class} is no class of the settings")
        cls = self.set.classes[event.traffic_class].as_keyed(event.keyed)
        useful = min(event.budget_ms, cls.aim_ms) if cls.late_worth <= 0 else event.budget_ms
        usual, most, aim = self.usual[cls.name], self.set.max_attempts, now + cls.aim_ms
        call = Request(
            event.call,
            cls,
            usual,
            most,
            now + useful,
            aim,
            once=event.once,
            prefer=event.prefer,
            bound=event.bound,
        )
        self.calls[call.name] = call
        self.came, self.arrived = self.came + 1, self.arrived + 1
        # With each call and not with answers: a shut door has none, and would not see that nothing is out.
        self.held += (self.out - self.held) / 20
        return call

    def worth(self, now: float, call: Request, event: RequestArrived) -> float:
        """What an answer to it earns, by its class and by what its tenant has used of its quota."""
        if event.tenant >= len(self.set.tenants):
            return call.cls.worth
        over = self.over_quota(now, self.set.tenants[event.tenant])
        return call.cls.worth * (self.set.over_share_worth if over else 1.0)

    def over_quota(self, now: float, tenant: Tenant) -> bool:
        """One call more of this tenant: whether it is above what its quota has saved up."""
        rate = tenant.quota_per_s / self.set.parts / 1000
        saved, since = self.quota[tenant.name]
        saved = min(saved + (now - since) * rate, max(BURST, rate * self.window))
        self.quota[tenant.name] = (max(saved - 1, min(saved, 0.0)), now)
        return saved < 1 and rate > 0

    def send(
        self, now: float, call: Request, server: EndpointStatistics, acts: list[Action], copy: int = 0
    ) -> None:
        self.known[server] = None
        call.tries.append(Attempt(server, now, rate=1 / call.usual.mean if call.usual.mean else 0.0))
        if not call.once:
            self._count(call.tries[-1], now)
        self.copied, self.budget = self.copied + copy, self.budget - copy
        if server.capacity(now, self.set.cold) < 1.0:  # by its class's part of the mean work
            server.credit -= call.usual.mean / self.typical if call.usual.mean and self.typical else 1.0
        acts.append(SendAttempt(call.name, server.at.name, max(call.end - now, 0.001)))

    def _count(self, attempt: Attempt, now: float) -> None:
        """Its server has work by it from now on."""
        if not attempt.server.out:
            attempt.server.heard = now
        attempt.sent, attempt.counted = now, True
        attempt.server.out, self.out = attempt.server.out + 1, self.out + 1
        attempt.server.owed += attempt.rate

    def uploaded(self, now: float, event: UploadFinished) -> None:
        """How long its client took to send it is neither load nor lateness."""
        call = self.calls.get(event.call)
        if call is not None and not call.done and call.tries and call.tries[-1].open:
            call.end, call.aim = now + event.budget_ms, now + call.cls.aim_ms
            self._count(call.tries[-1], now)

    def ended(self, now: float, event: AttemptFinished) -> tuple[Request, Attempt] | None:
        """The attempt that has ended and its call; None for one that is not known to be out."""
        call = self.calls.get(event.call)
        if call is None or not 0 <= event.attempt < len(call.tries) or not call.tries[event.attempt].open:
            return None
        attempt = call.tries[event.attempt]
        attempt.open, attempt.ran = False, event.outcome not in NEVER_RAN
        attempt.server.out, self.out = attempt.server.out - attempt.counted, self.out - attempt.counted
        attempt.server.owed -= attempt.rate * attempt.counted
        if event.outcome in HEARD:
            attempt.server.heard, attempt.server.quiet = now, False
            self.silent.discard(attempt.server)
        if call.done:
            self.forget(call)
        return call, attempt

    def forget(self, call: Request) -> None:
        """One with its final answer, once no attempt of it is out."""
        if not any(t.open for t in call.tries):
            self.calls.pop(call.name, None)

    # Evidence

    def reported(self, now: float, server: EndpointStatistics, event: AttemptFinished) -> None:
        """What the upstream says of itself; most answers repeat its last report."""
        server.fade(now, self.memory)
        if event.utilisation is None:
            return
        server.util, server.util_at = event.utilisation, now
        util = event.utilisation
        per_s = event.per_s
        if per_s is not None and (util, per_s) != server.told:
            server.add_report(now, self.reports, util, per_s)
            if server.capacity(now, self.set.cold) >= 1.0:
                for mean in (server.like, self.tier):
                    mean.done, mean.busy = mean.done + per_s, mean.busy + util * server.weight

    def learn(self, now: float, call: Request, server: EndpointStatistics, event: AttemptFinished) -> None:
        """What the attempt's end shows: in time or a miss, and how slow."""
        ok = event.outcome is Outcome.OK
        if ok and now <= call.aim:
            # Only answers in time count: a jam that ends in time-outs would else pass for a fair pace.
            self.entry.in_time(now)
            server.good, self.good = server.good + 1, self.good + 1
        elif event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            server.bad, self.bad = server.bad + 1, self.bad + 1
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED):
            return  # a fast failure is no fast answer
        if ok:
            call.usual.add(event.spent_ms)
            server.answers += 1
        ratio = min(event.spent_ms / max(call.usual.mean, 1e-3), CLIP)
        if ok or ratio > server.slow:  # cut off: at least that slow
            server.ratios, server.count = server.ratios + ratio, server.count + 1
            for mean in (server.like, self.tier):
                mean.add(ratio)

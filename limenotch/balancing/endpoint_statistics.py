"""What a balancer keeps of upstreams, calls and attempts, and how evidence adds up and fades.

No record knows another's; books.py keeps them, and the files under `policy` alone draw conclusions and act.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from .types import Endpoint, PriorAttempt, PriorExecution, SlowStart, TrafficClass

RATE_SPAN_MS = 1000.0  # ms over which a rate looks back: shorter ones take chance for a rush


@dataclass(slots=True, eq=False)
class ClassLatency:
    """Mean latency of one class, in ms, over its latest hundred answers or so."""

    mean: float = 0.0
    answers: int = 0

    def add(self, spent_ms: float) -> None:
        self.answers += 1
        self.mean += (spent_ms - self.mean) / min(self.answers, 100)


@dataclass(slots=True, eq=False)
class LatencyProfile:
    """Recent and lowest mean latency, as multiples of each class's usual, of upstreams that are alike."""

    now: float = 1.0
    low: float = 1.0
    total: float = 0.0
    count: float = 0.0
    lows: list[float] = field(default_factory=list)  # of the latest windows
    done: float = 0.0  # over the reports of its warm upstreams: requests a second, and use times weight
    busy: float = 0.0

    def add(self, ratio: float) -> None:
        self.total, self.count = self.total + ratio, self.count + 1

    def renew(self, enough: int, span: int) -> None:
        """A window ends: its mean counts if it has `enough` samples, and its lowest over `span` such windows."""
        self.done, self.busy = self.done * 0.9, self.busy * 0.9
        if self.count >= enough:
            recent = self.total / self.count
            self.now += (recent - self.now) * self.count / (self.count + enough)
            self.lows = [*self.lows[1 - span :], recent]
            self.low, self.total, self.count = min(self.lows), 0.0, 0.0


@dataclass(slots=True)
class FadingRate:
    """Events a ms, each counted with a weight that fades over `RATED` ms."""

    per_ms: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        self.per_ms, self.at = self.now(now) + 1 / RATE_SPAN_MS, now

    def now(self, now: float) -> float:
        return self.per_ms * exp((self.at - now) / RATE_SPAN_MS)


@dataclass(slots=True, eq=False)
class EndpointStatistics:
    """What this balancer knows of one upstream. Sums fade with age, counted from `stamp`."""

    at: Endpoint
    like: LatencyProfile  # of its kind
    stamp: float
    credit_at: float
    weight: float = 1.0
    share: float = 0.0
    out: int = 0  # our attempts that are out
    owed: float = 0.0  # answers a ms that these are to give, each by the usual latency of its class
    answers: int = 0  # that it gave in this window
    ratios: float = 0.0  # sum of latencies as multiples of the usual, over `count` answers
    count: float = 0.0
    good: float = 0.0
    bad: float = 0.0
    slow: float = 1.0  # mean ratio, shrunk toward the kind's
    ok: float = 1.0  # part of attempts served in time, shrunk toward the tier's
    credit: float = 0.0  # requests of mean work that we may still send while it is cold
    room: float = 0.0  # and how many more a ms
    heard: float = 0.0  # when it last answered, or was first sent to since nothing was out
    quiet: bool = False  # it owes more answers than chance explains, and has given none since
    util: float | None = None
    util_at: float = 0.0  # when that was last told
    told: tuple[float | None, float | None] = (None, None)  # its last report, which many answers repeat
    done: float = 0.0  # sums over its reports, fading: requests a second, and the use of its cores
    busy: float = 0.0
    told_at: float = 0.0
    row: int = 0  # misses since its last answer in time
    rests: float = 0.0  # until when it is sent nothing, to become idle
    doubted: bool = False  # it does so since the list may lack its drain: up to the next list
    since: float = 0.0  # when it last started, by the list or by its return from a ban; 0: long ago
    ready: bool = False  # it may be sent to
    able: float = (
        1.0  # requests a second that it can do now, from all balancers; its weight where none are reported
    )
    sure: float = 1.0  # the same, but no more than the settings' ramp makes of what its kind can do

    def capacity(self, now: float, cold: SlowStart) -> float:
        """The least part of its work that it can do now, by the slowest ramp allowed."""
        age = max(now - self.since, 0.0)  # by another clock it may start in the future
        if self.since <= 0 or age >= cold.warm_ms:
            return 1.0
        return cold.capacity + (1 - cold.capacity) * age / cold.warm_ms

    def at_rest(self, now: float) -> bool:
        """Whether it rests; one that has done so is met as new, or it would not be tried beside others that answer."""
        if 0 < self.rests <= now:
            self.rests = self.ratios = self.count = self.good = self.bad = 0.0
        return self.rests > 0

    def earn(self, now: float, keep_ms: float) -> float:
        """Its credit as of now: one request, and half of what it earns in `keep_ms`, are saved up at most.

        One that is given up instead when it is not sent in time leaves most of a cold upstream's room unused: with many
        balancers each earns a request in ten seconds and would have to need it within the next two.
        """
        most = 1.0 + self.room * keep_ms / 2
        self.credit, self.credit_at = min(self.credit + (now - self.credit_at) * self.room, most), now
        return self.credit

    def fade(self, now: float, memory: float) -> None:
        """What answers have shown, brought to `now`."""
        fade = exp((self.stamp - now) / memory)
        self.ratios, self.count = self.ratios * fade, self.count * fade
        self.good, self.bad, self.stamp = self.good * fade, self.bad * fade, now

    def forget(self) -> None:
        """Nothing that it has shown counts any more."""
        self.ratios = self.count = self.good = self.bad = self.done = self.busy = 0.0

    def add_report(self, now: float, memory: float, util: float, per_s: float) -> None:
        fade = exp((self.told_at - now) / memory)
        self.told, self.told_at = (util, per_s), now
        self.done, self.busy = self.done * fade + per_s, self.busy * fade + util


@dataclass(slots=True, eq=False)
class Attempt:
    server: EndpointStatistics
    sent: float
    open: bool = True
    ran: bool = True  # may have run, for all that is known
    counted: bool = False  # as out: its server has it whole
    rate: float = 0.0  # answers a ms that it is to give: one in the usual latency of its class


@dataclass(slots=True, eq=False)
class Request:
    name: str
    cls: TrafficClass  # this and `most` as they were when it came
    usual: ClassLatency  # of its class
    most: int  # attempts
    end: float  # an answer after this is worth nothing
    aim: float  # and after this less
    tries: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    once: bool = False
    prefer: str = ""
    bound: PriorExecution | None = None

    def begun(self) -> list[PriorAttempt]:
        """Its attempts that may have run."""
        return [PriorAttempt(t.server.at.zone, t.server.at.cell, t.sent) for t in self.tries if t.ran]

    def earlier(self) -> list[PriorAttempt]:
        """The same, after what was told of it elsewhere."""
        if self.bound is None:
            return self.begun()
        return [PriorAttempt(self.bound.zone, self.bound.cell, self.bound.sent_ms), *self.begun()]

"""What a balancer keeps of upstreams, calls and attempts. Plain records: decide.py alone acts on them."""

from __future__ import annotations

from dataclasses import dataclass, field

from . import interface as face


@dataclass(slots=True)
class Mean:
    """Recent and lowest mean latency, as multiples of each class's usual, of upstreams that are alike."""

    now: float = 1.0
    low: float = 1.0
    total: float = 0.0
    count: float = 0.0
    lows: list[float] = field(default_factory=list)  # of the latest windows
    done: float = 0.0  # over the reports of its warm upstreams: requests a second, and use times weight
    busy: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one upstream. Sums fade with age, counted from `stamp`."""

    at: face.Upstream
    like: Mean  # of its kind
    stamp: float
    credit_at: float
    weight: float = 1.0
    share: float = 0.0
    out: int = 0  # our attempts that are out
    ratios: float = 0.0  # sum of latencies as multiples of the usual, over `count` answers
    count: float = 0.0
    good: float = 0.0
    bad: float = 0.0
    slow: float = 1.0  # mean ratio, shrunk toward the kind's
    ok: float = 1.0  # part of attempts served in time, shrunk toward the tier's
    credit: float = 0.0  # sends a cold upstream may still get
    heard: float = 0.0  # when it last answered, or was first sent to since nothing was out
    quiet: bool = False  # it owes more answers than chance explains, and has given none since
    util: float | None = None
    told: tuple[float | None, float | None] = (None, None)  # its last report, which many answers repeat
    done: float = 0.0  # sums over its reports, fading: requests a second, and the use of its cores
    busy: float = 0.0
    told_at: float = 0.0
    able: float = 1.0  # requests a second that it can do now, from all balancers; its weight where none are reported


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent: float
    open: bool = True
    ran: bool = True  # may have run, for all that is known


@dataclass(slots=True, eq=False)
class Call:
    name: str
    index: int
    cls: face.TrafficClass
    end: float  # an answer after this is worth nothing
    aim: float  # and after this less
    tries: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False

"""What a run's history is made of, for checks_bindings: what is promised, sights, the truth of a key, a process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

Key = tuple[int, bytes]  # kind, key
KEY, OPENING, OPEN = 0, 0, 1  # numbers of api.Kind and api.State, as written down in the design
DEAD = ("dead", "left")
LOSSY_MS = 12_700.0  # of a stream's segment that was lost six times (weather.TRY_AGAIN_MS, doubled each time)
LOST_MS = 1500.0  # in which all datagrams of one way may be lost
EDGE_MS = 2.0  # of floats, and of what clocks gain on each other between two messages


@dataclass(frozen=True)
class Stated:
    """What is promised, ms of true time. `idle(kind, state)`, `longest(kind)`."""

    idle: Callable[[int, int], float]
    longest: Callable[[int], float]
    tell: float
    drift: float
    told_ms: float  # until a sight is known to all, while no way is impaired
    spare_ms: float  # beyond idle time and drift, until all have forgotten, while no way is impaired
    mend_ms: float  # from the end of an impairment, or a change of who is held alive, until tables are one again
    agree_ms: float  # how long two may find different providers while all is calm
    young_ms: float  # by how much an age may be too young: the shortest way of a message, drift
    gone_ms: float = 250.0


class Sight(NamedTuple):
    at: float
    node: str
    process: int
    process_epoch: int  # membership's
    endpoint: str
    state: int


@dataclass
class Truth:
    """Of one key: the sights of the binding that is there now, or was last."""

    made: float
    anew: float  # the latest that some member may take it to be made: it was over there when it was seen again
    last: float
    state: int
    state_at: float  # since when the binding is in that state
    states: set[int]
    endpoints: set[str]
    sights: dict[tuple[str, int], Sight]  # the last of each process
    sure: bool = True  # False: begun when the one before may or may not have been forgotten


@dataclass
class Process:
    number: int
    process_epoch: int
    since: float
    found: dict[Key, tuple[float, str]] = field(default_factory=dict)  # when last, and the provider
    over: dict[Key, float] = field(default_factory=dict)  # not found although or because it was over in truth: when
    before: set[Key] = field(default_factory=set)  # found before the fence, and not asked for since
    ended: dict[Key, str] = field(default_factory=dict)  # why a row ended, if it was not by age
    gone: dict[str, float] = field(default_factory=dict)  # providers that left the list, when
    there: frozenset[str] = frozenset()
    holds: dict[str, tuple[str, int]] = field(default_factory=dict)  # of others: state, life
    changed: float = 0.0  # when that was other last
    given: list[Key] = field(default_factory=list)  # way for others, in order

"""Records of a simulated run for checks_bindings: guarantees, uses, the actual state of a binding, processes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

Key = tuple[int, bytes]  # kind, key
KEY, OPENING, OPEN = 0, 0, 1  # KEY is a number of api.Kind; OPENING and OPEN are numbers of api.State
DEAD = ("dead", "left")
LOSSY_MS = 12_700.0  # delay of a segment lost six times (weather.RETRANSMIT_TIMEOUT_MS, doubled each time)
LOST_MS = 1500.0  # all datagrams of one link may be lost for this long
EDGE_MS = 2.0  # tolerance for float error and for clock drift between two messages


@dataclass(frozen=True)
class Guarantees:
    """What the affinity table guarantees, in ms of true time. `idle_ms(kind, state)`, `lifetime_ms(kind)`."""

    idle_ms: Callable[[int, int], float]
    lifetime_ms: Callable[[int], float]
    announce_share: float  # of the idle time: for so long after an announcement, uses may not be announced
    drift: float
    propagation_ms: float  # from a use until all members know it, while no link is impaired
    margin_ms: float  # after idle time and drift, until all members removed the binding, while no link is impaired
    convergence_ms: float  # from the end of a fault, or a membership change, until tables are equal
    agreement_ms: float  # how long two members may find different endpoints in calm
    age_error_ms: float  # by how much an age may be too low: shortest message delay, drift
    removal_ms: float = 250.0


class Use(NamedTuple):
    """A use of a key that a process observed. `process`: its `Process.number`."""

    at_ms: float
    node: str
    process: int
    process_epoch: int  # as in membership
    endpoint: str
    state: int


@dataclass
class Truth:
    """The actual state of a key's current or latest binding."""

    created_ms: float
    recreated_ms: float  # latest creation that a member may assume: at that member it had expired before its next use
    last_ms: float
    state: int
    state_since_ms: float  # when the binding entered that state
    states: set[int]
    endpoints: set[str]
    uses: dict[tuple[str, int], Use]  # latest of each process
    certain: bool = True  # False: created when the key's earlier binding may or may not have been removed


@dataclass
class Process:
    """One process of a node; a fence ends it and begins another."""

    number: int
    process_epoch: int
    started_ms: float
    found: dict[Key, tuple[float, str]] = field(default_factory=dict)  # time of the last lookup, endpoint
    expired: dict[Key, float] = field(default_factory=dict)  # actually expired and not found: when
    pre_fence: set[Key] = field(default_factory=set)  # found before the fence, not looked up since
    end_reasons: dict[Key, str] = field(default_factory=dict)  # why the key's row ended, if not by age
    removed: dict[str, float] = field(default_factory=dict)  # by endpoint: when it left the list
    endpoints: frozenset[str] = frozenset()
    peers: dict[str, tuple[str, int]] = field(default_factory=dict)  # state and process epoch
    changed_ms: float = 0.0  # when `peers` changed last
    evicted_keys: list[Key] = field(default_factory=list)  # in order

"""Jobs at a provider, what comes of them, and the ledger of their work."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

EPSILON = 1e-7  # ms of work within which a piece counts as done: rounding must not ask for one more wake


class State(Enum):
    QUEUED = "queued"
    RUNNING = "running"
    BELOW = "below"  # in a slot, waiting for a call of the tier below
    OVER = "over"


class End(Enum):
    """How a job ended, as its caller sees it."""

    SERVED = "served"
    ERROR = "error"
    EXPIRED = "expired"  # its time was over before it began: it never ran


@dataclass(slots=True, eq=False)
class Job:
    ticket: int
    pieces: list[float]  # of work, those still to do
    end: float = inf  # when its caller stops waiting
    key: str = ""  # of a keyed call: a repeat in the same group is dropped
    window_ms: float = 0.0
    cls: int = 0
    size: float = 1.0  # of its call, for those of the tier below
    came: float = 0.0
    whole: float = 0.0  # its work
    left: float = 0.0  # of it, not yet done
    state: State = State.QUEUED
    finish: float = 0.0  # by the provider's virtual service
    fails: bool = False
    dropped: bool = False  # its caller is gone
    repeat: bool = False  # known to the group when it began: only recognised, not run


class Done(NamedTuple):
    job: Job
    end: End


class Below(NamedTuple):
    """The job needs an answer of the tier below: tell `resume`."""

    job: Job


Effect = Done | Below


class Report(NamedTuple):
    util: float
    qps: float
    latency_ms: float


@dataclass(slots=True)
class Ledger:
    """Where the work went. `offered` is the sum of all others but `excess`, plus what is held now (`held_work`)."""

    offered: float = 0.0
    refused: float = 0.0
    served: float = 0.0  # done for answers that were given to a caller still there
    wasted: float = 0.0  # done for nobody: errors, callers gone, jobs cut off half way, falls
    unspent: float = 0.0  # of jobs that ended before it was done
    excess: float = 0.0  # handshakes and probes, beside the offered work
    jobs: int = 0
    turned_away: int = 0
    sojourn_ms: float = 0.0  # summed over the jobs that ended
    held_ms: float = 0.0  # integral of the number held, over time
    busy_ms: float = 0.0  # integral of the cores busy
    repeats: int = 0  # keyed repeats recognised
    double: int = 0  # keyed work committed twice within its window, by two groups

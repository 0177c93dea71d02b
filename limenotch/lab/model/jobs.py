"""Jobs at a provider, their results, and the ledger of their work."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

EPSILON = 1e-7  # ms of work within which a segment counts as done: rounding must not cause a further wake-up


class JobState(Enum):
    """The state of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    WAITING_FOR_LOWER_TIER = "below"  # in a slot, waiting for a response of the tier below
    FINISHED = "over"


class JobEnd(Enum):
    """How a job ended, as its client sees it."""

    SERVED = "served"
    ERROR = "error"
    EXPIRED = "expired"  # its deadline passed before it began; it never ran


@dataclass(slots=True, eq=False)
class Job:
    """The work of one attempt at a provider. Work and times are in ms."""

    job_id: int
    segments: list[float]  # of work still to do; between two segments the job sends a request to the tier below
    deadline_at_ms: float = inf  # when its client stops waiting
    key: str = ""  # idempotency key: a repeat in the same group is dropped
    window_ms: float = 0.0
    cls: int = 0
    size: float = 1.0  # of its request; requests to the tier below inherit it
    arrived_at_ms: float = 0.0
    work_ms: float = 0.0  # in all
    left_ms: float = 0.0  # of `work_ms`, not yet done
    state: JobState = JobState.QUEUED
    finish_virtual_ms: float = 0.0  # on the provider's virtual clock
    will_fail: bool = False
    abandoned: bool = False  # its client has disconnected
    is_repeat: bool = False  # the group knew its key when it came: it is recognised and not run


class JobFinished(NamedTuple):
    """The job has ended."""

    job: Job
    end: JobEnd


class LowerTierRequest(NamedTuple):
    """The job needs a response of the tier below; the host then calls `resume`."""

    job: Job


Effect = JobFinished | LowerTierRequest


class Report(NamedTuple):
    """A load report."""

    util: float
    qps: float
    latency_ms: float


@dataclass(slots=True)
class Ledger:
    """Sums of work in ms. `offered` is refused + served + wasted + unspent + the work of present jobs (`held_work`)."""

    offered: float = 0.0
    refused: float = 0.0
    served: float = 0.0  # done for responses to clients that were still connected
    wasted: float = 0.0  # done in vain: errors, disconnected clients, cancelled jobs, crashes
    unspent: float = 0.0  # not done, of jobs that ended early
    excess: float = 0.0  # handshakes and probes, beside the offered work
    jobs: int = 0
    turned_away: int = 0
    sojourn_ms: float = 0.0  # summed over the jobs that ended
    held_ms: float = 0.0  # integral of the number of jobs over time
    busy_ms: float = 0.0  # integral of the number of busy cores over time
    repeats: int = 0  # repeats recognised by their keys
    double: int = 0  # keyed work committed twice within its window, by two groups

"""The properties of one provider: cores, slots, warm-up, choking, errors. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class Stops(Enum):
    """Which jobs end when their client disconnects."""

    ALL = "all"
    QUEUED = "queued"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ProviderSpec:
    """The properties of one provider; times in ms, work in ms of one reference core. See provider.py."""

    cores: int = 1
    speed: float = 1.0
    slots: int = 1
    queue: int = 1_000_000
    crowd_at: float = inf
    crowd_loss: float = 0.0
    choke_at: float = inf  # runnable jobs a core
    choke_over_ms: float = 2000.0
    choke_slower: float = 1.0
    choke_rest_ms: float = 3000.0
    choke_below: float = 0.3
    choke_most_ms: float = 20_000.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    warm_work_ms: float = 0.0  # work after which it is warm, if earlier than `cold_ms`; 0: by time alone
    fall_multiple: float = 4.0
    fall_ms: float = 3000.0
    error_rate: float = 0.0
    stops: Stops = Stops.ALL
    drops_expired: bool = True
    handshake_ms: float = 0.0  # work for each new connection
    connections: int = 1_000_000
    full_tax: float = 0.0
    probe_ms: float = 0.0  # work for each probe
    reports: bool = True  # responses carry its load report
    report_ms: float = 1000.0  # interval between load reports
    report_delay_ms: float = 0.0
    report_noise: float = 0.0  # standard deviation, relative
    repeat_ms: float = 0.5  # work for a repeat that is recognised by its key

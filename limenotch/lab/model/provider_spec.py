"""What one provider is like, by its kind: cores, slots, warmth, choking, errors. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class Stops(Enum):
    """Which jobs end when their caller drops them."""

    ALL = "all"
    QUEUED = "queued"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ProviderSpec:
    """One provider's nature; times in ms, work in ms of one yardstick core."""

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
    warm_work_ms: float = 0.0  # work after which it is warm, if that comes sooner; 0: by time alone
    fall_multiple: float = 4.0
    fall_ms: float = 3000.0
    error_rate: float = 0.0
    stops: Stops = Stops.ALL
    drops_expired: bool = True
    handshake_ms: float = 0.0  # work for each new connection
    connections: int = 1_000_000
    full_tax: float = 0.0
    probe_ms: float = 0.0  # work for each probe
    reports: bool = True  # answers carry its load
    report_ms: float = 1000.0  # how often its load report is made anew
    report_delay_ms: float = 0.0
    report_noise: float = 0.0  # standard deviation, relative
    repeat_ms: float = 0.5  # work for a keyed repeat that is recognised at once

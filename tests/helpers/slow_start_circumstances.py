"""The circumstances in which a fleet of balancers meets cold endpoints; `cold_fleet` plays them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from limenotch.balancing.types import DedupScope, Effect, TrafficClass

COLD_AT = 5000.0  # until then all is warm and the balancers learn
REPORT_MS = 400.0  # between two reports of an endpoint
LOOK = TrafficClass("look", Effect.IDEMPOTENT, 1500.0, 4000.0, 3.0, 0.2)
FILE = TrafficClass("file", Effect.IDEMPOTENT, 2500.0, 6000.0, 1.0, 0.5)
ZONAL = TrafficClass("zonal", Effect.DEDUPLICATED, 1500.0, 4000.0, 2.0, 0.5, DedupScope.ZONE, 4000.0)
CELL = TrafficClass("cell", Effect.DEDUPLICATED, 1500.0, 4000.0, 2.0, 0.5, DedupScope.CELL, 4000.0)
TIER = (0.06, 0.2)  # calls a ms that a whole tier can do warm; few large endpoints or many small ones


@dataclass(frozen=True)
class Circumstance:
    """What is peculiar to a run; the rest is drawn by its seed."""

    name: str
    cold: float = 0.3  # part of the endpoints that start anew at COLD_AT
    zone_back: bool = False  # they are those of zone 0
    join: float = 0.0  # endpoints that come beside, as a part of those there
    again_ms: float = 0.0  # until they start once more
    burst: float = 1.0  # the rate's factor from COLD_AT + `burst_ms` on, for 3 s
    burst_ms: float = 0.0
    load: tuple[float, float] = (0.4, 0.7)
    endpoints: tuple[int, int] = (3, 12)
    sidecars: tuple[int, int] = (20, 30)
    after_ms: float = 8000.0  # how long it is played from COLD_AT on
    late_ms: float = 300.0  # within which sidecars hear of a change, each at its own time
    restarts: float = 0.0  # part of the sidecars that start anew while endpoints are cold
    fresh: bool = False  # all sidecars start as the endpoints do
    pairs: bool = False  # a second process beside each, from COLD_AT + 1 s on
    retune: bool = False  # a new configuration while endpoints are cold: more sidecars, and a colder start
    reports: str = "all"  # "half" of the endpoints, "use" without the rate, or "none"
    speeds: tuple[float, ...] = (1.0,)  # of the kinds
    weights: bool = True  # listed truly
    zones: int = 1
    crossing: float = 0.0
    classes: tuple[tuple[TrafficClass, float, float], ...] = ((LOOK, 1.0, 1.0),)  # part of calls, and work
    spread: bool = False  # each call's work is drawn, exponentially
    errors: float = 0.0
    copies: bool = False
    one_seed: bool = False  # all sidecars have the same seed


TWO_WORKS = ((LOOK, 0.75, 1.0), (FILE, 0.25, 3.0))
KEYED = ((LOOK, 0.5, 1.0), (ZONAL, 0.25, 1.0), (CELL, 0.25, 1.0))
URGENT = ((replace(LOOK, late_weight=0.0), 1.0, 1.0),)
CIRCUMSTANCES = (
    Circumstance("some cold"),
    Circumstance("burst", burst=1.8, burst_ms=400.0),
    Circumstance("most cold, burst later", cold=0.7, burst=2.0, burst_ms=3500.0),
    Circumstance("whole tier cold", cold=1.0),
    Circumstance("whole tier cold, load of 1", cold=1.0, load=(0.9, 1.2)),
    Circumstance(
        "whole tier cold, light, rush later", cold=1.0, load=(0.02, 0.1), burst=12.0, burst_ms=7000.0, after_ms=11_000.0
    ),
    Circumstance("many join, burst", cold=0.0, join=1.0, burst=1.6, burst_ms=500.0),
    Circumstance("cold twice", cold=0.5, again_ms=3500.0),
    Circumstance("new configuration", cold=0.5, retune=True),
    Circumstance("sidecars restart", cold=0.7, restarts=0.7),
    Circumstance("sidecars and tier start", cold=1.0, fresh=True),
    Circumstance("sidecars and tier start, load of 1", cold=1.0, fresh=True, load=(0.8, 1.1)),
    Circumstance("second processes", cold=0.7, pairs=True, burst=1.5, burst_ms=1500.0),
    Circumstance("retries and copies", cold=0.5, errors=0.1, copies=True, classes=URGENT),
    Circumstance("keyed, zones", cold=0.5, zones=3, errors=0.1, classes=KEYED),
    Circumstance("keyed, crossing priced", cold=0.5, zones=3, crossing=0.015, errors=0.1, classes=KEYED),
    Circumstance("zone returns, crossing priced", zone_back=True, zones=3, crossing=0.015, endpoints=(9, 12)),
    Circumstance(
        "zone returns, crossing priced, burst",
        zone_back=True,
        zones=3,
        crossing=0.015,
        endpoints=(9, 12),
        load=(0.6, 0.8),
        burst=1.7,
        burst_ms=1000.0,
    ),
    Circumstance("zone returns, no price", zone_back=True, zones=3, endpoints=(9, 12)),
    Circumstance("classes of unlike work", cold=0.6, classes=TWO_WORKS),
    Circumstance("spread work", cold=0.6, spread=True),
    Circumstance("kinds of unlike speed", cold=0.6, speeds=(0.6, 1.0, 1.6)),
    Circumstance("kinds, no weights", cold=0.6, speeds=(0.6, 1.0, 1.6), weights=False),
    Circumstance("no reports", cold=0.6, reports="none", burst=1.6, burst_ms=1500.0),
    Circumstance("no reports, zones", cold=0.6, reports="none", zones=3, crossing=0.015, burst=1.5, burst_ms=1500.0),
    Circumstance("no reports, whole tier cold", cold=1.0, reports="none"),
    Circumstance("no reports, overload", cold=0.6, reports="none", load=(1.0, 1.4)),
    Circumstance(
        "no reports, overload, burst", cold=0.8, reports="none", load=(1.0, 1.4), burst=1.5, endpoints=(8, 12)
    ),
    Circumstance("half report", cold=0.6, reports="half"),
    Circumstance("use alone reported", cold=0.6, reports="use"),
    Circumstance("late lists", cold=0.6, late_ms=3000.0, burst=1.6, burst_ms=1500.0),
    Circumstance("overload", cold=0.6, load=(1.0, 1.4)),
    Circumstance("large tier", cold=0.6, endpoints=(36, 40), load=(0.4, 0.5)),
    Circumstance("one seed for all", cold=0.8, fresh=True, one_seed=True),
    Circumstance(
        "small endpoints, rush late",
        cold=0.9,
        endpoints=(30, 36),
        sidecars=(60, 80),
        load=(0.005, 0.02),
        burst=40.0,
        burst_ms=9000.0,
        after_ms=13_000.0,
    ),
    Circumstance("few sidecars", cold=0.6, sidecars=(3, 5)),
)

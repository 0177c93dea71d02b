"""The circumstances in which a fleet of balancers meets endpoints in slow start; slow_start_fleet.py simulates them.

The names are part of the random seeds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from limenotch.balancing.types import DedupScope, Effect, TrafficClass

RESTARTS_AT_MS = 5000.0  # until then all endpoints are warm, and the balancers learn
REPORT_INTERVAL_MS = 400.0  # between two load reports of an endpoint
LOOK = TrafficClass("look", Effect.IDEMPOTENT, 1500.0, 4000.0, 3.0, 0.2)
FILE = TrafficClass("file", Effect.IDEMPOTENT, 2500.0, 6000.0, 1.0, 0.5)
ZONAL = TrafficClass("zonal", Effect.DEDUPLICATED, 1500.0, 4000.0, 2.0, 0.5, DedupScope.ZONE, 4000.0)
CELL = TrafficClass("cell", Effect.DEDUPLICATED, 1500.0, 4000.0, 2.0, 0.5, DedupScope.CELL, 4000.0)
TIER_CAPACITY_RANGE = (0.06, 0.2)  # requests per ms that the whole warm tier can serve, with few or many endpoints


@dataclass(frozen=True)
class Circumstance:
    """The parameters of a simulation. The rest is drawn at random by its seed."""

    name: str
    restarted_share: float = 0.3  # share of the endpoints that restart at RESTARTS_AT_MS
    zone_restarts: bool = False  # the restarting endpoints are those of zone 0
    joining_share: float = 0.0  # number of endpoints that join, as a share of the existing ones
    second_restart_ms: float = 0.0  # from RESTARTS_AT_MS until they restart again; 0: never
    burst_factor: float = 1.0  # factor on the arrival rate for 3 s, from RESTARTS_AT_MS + `burst_at_ms` on
    burst_at_ms: float = 0.0
    load_range: tuple[float, float] = (0.4, 0.7)
    endpoint_range: tuple[int, int] = (3, 12)
    sidecar_range: tuple[int, int] = (20, 30)
    duration_ms: float = 8000.0  # simulated time from RESTARTS_AT_MS on
    max_list_delay_ms: float = 300.0  # within which sidecars get a changed list, each at its own time
    sidecar_restart_share: float = 0.0  # share of the sidecars that restart during slow start
    sidecars_restart_first: bool = False  # all sidecars start just before the endpoints restart
    second_processes: bool = False  # each sidecar has a second process from RESTARTS_AT_MS + 1 s on
    settings_change: bool = False  # new settings during slow start: more sidecars, and a slower start
    reports: str = "all"  # "half": of the endpoints; "use": without the rate; or "none"
    speeds: tuple[float, ...] = (1.0,)  # relative, by kind of endpoint
    weights_listed: bool = True  # whether the list gives the endpoints' true weights
    zones: int = 1
    cross_zone_cost: float = 0.0
    classes: tuple[tuple[TrafficClass, float, float], ...] = ((LOOK, 1.0, 1.0),)  # class, share, work
    random_work: bool = False  # the work of each request is exponentially distributed
    error_rate: float = 0.0
    may_hedge: bool = False
    same_seed: bool = False  # all sidecars have the same seed


TWO_COSTS = ((LOOK, 0.75, 1.0), (FILE, 0.25, 3.0))
DEDUPLICATED_CLASSES = ((LOOK, 0.5, 1.0), (ZONAL, 0.25, 1.0), (CELL, 0.25, 1.0))
URGENT_CLASS = ((replace(LOOK, late_weight=0.0), 1.0, 1.0),)
CIRCUMSTANCES = (
    Circumstance("some cold"),
    Circumstance("burst", burst_factor=1.8, burst_at_ms=400.0),
    Circumstance("most cold, burst later", restarted_share=0.7, burst_factor=2.0, burst_at_ms=3500.0),
    Circumstance("whole tier cold", restarted_share=1.0),
    Circumstance("whole tier cold, load of 1", restarted_share=1.0, load_range=(0.9, 1.2)),
    Circumstance(
        "whole tier cold, light, rush later",
        restarted_share=1.0,
        load_range=(0.02, 0.1),
        burst_factor=12.0,
        burst_at_ms=7000.0,
        duration_ms=11_000.0,
    ),
    Circumstance("many join, burst", restarted_share=0.0, joining_share=1.0, burst_factor=1.6, burst_at_ms=500.0),
    Circumstance("cold twice", restarted_share=0.5, second_restart_ms=3500.0),
    Circumstance("new configuration", restarted_share=0.5, settings_change=True),
    Circumstance("sidecars restart", restarted_share=0.7, sidecar_restart_share=0.7),
    Circumstance("sidecars and tier start", restarted_share=1.0, sidecars_restart_first=True),
    Circumstance(
        "sidecars and tier start, load of 1", restarted_share=1.0, sidecars_restart_first=True, load_range=(0.8, 1.1)
    ),
    Circumstance("second processes", restarted_share=0.7, second_processes=True, burst_factor=1.5, burst_at_ms=1500.0),
    Circumstance("retries and copies", restarted_share=0.5, error_rate=0.1, may_hedge=True, classes=URGENT_CLASS),
    Circumstance("keyed, zones", restarted_share=0.5, zones=3, error_rate=0.1, classes=DEDUPLICATED_CLASSES),
    Circumstance(
        "keyed, crossing priced",
        restarted_share=0.5,
        zones=3,
        cross_zone_cost=0.015,
        error_rate=0.1,
        classes=DEDUPLICATED_CLASSES,
    ),
    Circumstance(
        "zone returns, crossing priced", zone_restarts=True, zones=3, cross_zone_cost=0.015, endpoint_range=(9, 12)
    ),
    Circumstance(
        "zone returns, crossing priced, burst",
        zone_restarts=True,
        zones=3,
        cross_zone_cost=0.015,
        endpoint_range=(9, 12),
        load_range=(0.6, 0.8),
        burst_factor=1.7,
        burst_at_ms=1000.0,
    ),
    Circumstance("zone returns, no price", zone_restarts=True, zones=3, endpoint_range=(9, 12)),
    Circumstance("classes of unlike work", restarted_share=0.6, classes=TWO_COSTS),
    Circumstance("spread work", restarted_share=0.6, random_work=True),
    Circumstance("kinds of unlike speed", restarted_share=0.6, speeds=(0.6, 1.0, 1.6)),
    Circumstance("kinds, no weights", restarted_share=0.6, speeds=(0.6, 1.0, 1.6), weights_listed=False),
    Circumstance("no reports", restarted_share=0.6, reports="none", burst_factor=1.6, burst_at_ms=1500.0),
    Circumstance(
        "no reports, zones",
        restarted_share=0.6,
        reports="none",
        zones=3,
        cross_zone_cost=0.015,
        burst_factor=1.5,
        burst_at_ms=1500.0,
    ),
    Circumstance("no reports, whole tier cold", restarted_share=1.0, reports="none"),
    Circumstance("no reports, overload", restarted_share=0.6, reports="none", load_range=(1.0, 1.4)),
    Circumstance(
        "no reports, overload, burst",
        restarted_share=0.8,
        reports="none",
        load_range=(1.0, 1.4),
        burst_factor=1.5,
        endpoint_range=(8, 12),
    ),
    Circumstance("half report", restarted_share=0.6, reports="half"),
    Circumstance("use alone reported", restarted_share=0.6, reports="use"),
    Circumstance("late lists", restarted_share=0.6, max_list_delay_ms=3000.0, burst_factor=1.6, burst_at_ms=1500.0),
    Circumstance("overload", restarted_share=0.6, load_range=(1.0, 1.4)),
    Circumstance("large tier", restarted_share=0.6, endpoint_range=(36, 40), load_range=(0.4, 0.5)),
    Circumstance("one seed for all", restarted_share=0.8, sidecars_restart_first=True, same_seed=True),
    Circumstance(
        "small endpoints, rush late",
        restarted_share=0.9,
        endpoint_range=(30, 36),
        sidecar_range=(60, 80),
        load_range=(0.005, 0.02),
        burst_factor=40.0,
        burst_at_ms=9000.0,
        duration_ms=13_000.0,
    ),
    Circumstance("few sidecars", restarted_share=0.6, sidecar_range=(3, 5)),
)

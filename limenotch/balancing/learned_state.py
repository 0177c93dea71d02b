"""What a balancer has learnt, as plain numbers: for the process that takes its place.

Calls and attempts stay with their process, and so does the credit of cold upstreams: it may still be spent there.
"""

from __future__ import annotations

import math
from typing import Any

from .balancer import Balancer
from .endpoint_statistics import EndpointStatistics, LatencyProfile

VERSION = 2
ENTRY = ("goodput", "sustained_goodput")
SCALARS = ("demand", "total_successes", "total_failures", "mean_in_flight", "arrivals", "hedgeable", "hedged")
MEAN = ("recent", "lowest", "reported_rate", "reported_use")
SERVER = (
    "updated_at",
    "latency_ratio_sum",
    "latency_samples",
    "successes",
    "failures",
    "reported_rate_sum",
    "reported_use_sum",
    "last_report_at",
)
LOWS = 64  # of a mean, at most


def export_state(balancer: Balancer) -> dict[str, Any]:
    """JSON of this module's own; `learn` of the same version reads it."""
    return {
        "version": VERSION,
        "scalars": [getattr(balancer, name) for name in SCALARS],
        "entry": [getattr(balancer.admission, name) for name in ENTRY],
        "usual": {name: [usual.mean_ms, usual.samples] for name, usual in balancer.class_latencies.items()},
        "tier": _mean(balancer.tier_profile),
        "kinds": {str(kind): _mean(mean) for kind, mean in balancer.registry.profiles.items()},
        "servers": {
            name: [server.endpoint.started_ms, *(getattr(server, field) for field in SERVER)]
            for name, server in balancer.registry.endpoints.items()
        },
    }


def import_state(balancer: Balancer, told: Any) -> None:
    """To be called once the balancer has its list. Raises ValueError, with nothing taken, on what is not sound."""
    if not isinstance(told, dict) or told.get("version") is True or told.get("version") != VERSION:
        raise ValueError("knowledge: of another version")
    scalars = _numbers(told.get("scalars"), len(SCALARS))
    entry = _numbers(told.get("entry"), len(ENTRY))
    usual = {name: _numbers(pair, 2) for name, pair in _table(told.get("usual")).items()}
    tier = _means(told.get("tier"))
    kinds = {int(kind): _means(mean) for kind, mean in _table(told.get("kinds")).items()}
    servers = {name: _numbers(row, 1 + len(SERVER)) for name, row in _table(told.get("servers")).items()}
    for name, value in zip(SCALARS, scalars, strict=True):
        setattr(balancer, name, value)
    for name, value in zip(ENTRY, entry, strict=True):
        setattr(balancer.admission, name, value)
    for name, (mean, answers) in usual.items():
        if name in balancer.class_latencies:
            balancer.class_latencies[name].mean_ms, balancer.class_latencies[name].samples = (
                mean,
                int(answers),
            )
    _fill(balancer.tier_profile, tier)
    for kind, taken in kinds.items():
        _fill(balancer.registry.profiles.setdefault(kind, LatencyProfile()), taken)
    for name, (started, *row) in servers.items():
        server = balancer.registry.endpoints.get(name)
        if server is not None and server.endpoint.started_ms == started:  # else it has restarted since
            _know(server, row)
            balancer.observed[server] = None
    for server in balancer.registry.endpoints.values():
        server.slow_start_credit = 0.0


def _know(server: EndpointStatistics, row: list[float]) -> None:
    for field, value in zip(SERVER, row, strict=True):
        setattr(server, field, value)


def _mean(mean: LatencyProfile) -> list[Any]:
    return [*(getattr(mean, name) for name in MEAN), mean.window_means]


def _means(told: Any) -> tuple[list[float], list[float]]:
    if not isinstance(told, list) or not told or not isinstance(told[-1], list) or len(told[-1]) > LOWS:
        raise ValueError("knowledge: a mean")
    return _numbers(told[:-1], len(MEAN)), _numbers(told[-1], len(told[-1]))


def _fill(mean: LatencyProfile, taken: tuple[list[float], list[float]]) -> None:
    for name, value in zip(MEAN, taken[0], strict=True):
        setattr(mean, name, value)
    mean.window_means = list(taken[1])


def _table(told: Any) -> dict[str, Any]:
    if not isinstance(told, dict):
        raise ValueError("knowledge: expected a table")
    return told


def _numbers(told: Any, count: int) -> list[float]:
    if not isinstance(told, list) or len(told) != count:
        raise ValueError(f"knowledge: expected {count} numbers")
    for value in told:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            raise ValueError("knowledge: expected a number of 0 or more")
    return [float(value) for value in told]

"""What a balancer has learnt, as plain numbers: for the process that takes its place.

Calls and attempts stay with their process, and so does the credit of cold upstreams: it may still be spent there.
"""

from __future__ import annotations

import math
from typing import Any

from .balancer import Balancer
from .endpoint_statistics import EndpointStatistics, LatencyProfile

VERSION = 2
ENTRY = ("flow", "pace")
SCALARS = ("demand", "good", "bad", "held", "came", "copyable", "copied")
MEAN = ("now", "low", "done", "busy")
SERVER = ("stamp", "ratios", "count", "good", "bad", "done", "busy", "told_at")
LOWS = 64  # of a mean, at most


def export_state(balancer: Balancer) -> dict[str, Any]:
    """JSON of this module's own; `learn` of the same version reads it."""
    return {
        "version": VERSION,
        "scalars": [getattr(balancer, name) for name in SCALARS],
        "entry": [getattr(balancer.entry, name) for name in ENTRY],
        "usual": {name: [usual.mean, usual.answers] for name, usual in balancer.usual.items()},
        "tier": _mean(balancer.tier),
        "kinds": {str(kind): _mean(mean) for kind, mean in balancer.roster.kinds.items()},
        "servers": {
            name: [server.at.started_ms, *(getattr(server, field) for field in SERVER)]
            for name, server in balancer.roster.servers.items()
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
        setattr(balancer.entry, name, value)
    for name, (mean, answers) in usual.items():
        if name in balancer.usual:
            balancer.usual[name].mean, balancer.usual[name].answers = mean, int(answers)
    _fill(balancer.tier, tier)
    for kind, taken in kinds.items():
        _fill(balancer.roster.kinds.setdefault(kind, LatencyProfile()), taken)
    for name, (started, *row) in servers.items():
        server = balancer.roster.servers.get(name)
        if server is not None and server.at.started_ms == started:  # else it has restarted since
            _know(server, row)
            balancer.known[server] = None
    for server in balancer.roster.servers.values():
        server.credit = 0.0


def _know(server: EndpointStatistics, row: list[float]) -> None:
    for field, value in zip(SERVER, row, strict=True):
        setattr(server, field, value)


def _mean(mean: LatencyProfile) -> list[Any]:
    return [*(getattr(mean, name) for name in MEAN), mean.lows]


def _means(told: Any) -> tuple[list[float], list[float]]:
    if not isinstance(told, list) or not told or not isinstance(told[-1], list) or len(told[-1]) > LOWS:
        raise ValueError("knowledge: a mean")
    return _numbers(told[:-1], len(MEAN)), _numbers(told[-1], len(told[-1]))


def _fill(mean: LatencyProfile, taken: tuple[list[float], list[float]]) -> None:
    for name, value in zip(MEAN, taken[0], strict=True):
        setattr(mean, name, value)
    mean.lows = list(taken[1])


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

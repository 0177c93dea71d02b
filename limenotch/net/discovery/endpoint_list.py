"""Discovery's lists: parses and validates their entries, and merges several changes to one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from ... import logs
from ...config import ConfigError, address
from ...load_balancer_types import DiscoveredEndpoint, DiscoveryStatus

log = logs.get(__name__)

MAX_LOGGED_ENTRY = 200  # characters of an invalid entry


class EndpointList(NamedTuple):
    """A list of endpoints, or the changes in it."""

    version: int  # 0: none was given
    complete: bool  # endpoints that it omits are gone; else it holds changes only
    entries: list[DiscoveredEndpoint]


def parse_endpoint(entry: Any) -> DiscoveredEndpoint | None:
    """One entry of the list; None if it is invalid, which is logged."""
    try:
        weight = float(entry.get("weight", 1.0))
        started_ms = float(entry.get("since_ms") or 0.0)
        if not (math.isfinite(weight) and weight >= 0 and math.isfinite(started_ms)):
            raise ValueError("not a finite number")
        return DiscoveredEndpoint(
            name=str(entry["name"]),
            address=address(entry["address"], "address"),
            status=DiscoveryStatus(entry["status"]),
            zone=str(entry.get("zone", "")),
            kind=str(entry.get("type", "")),
            group=int(entry.get("group") or 0),
            weight=weight,
            started_ms=started_ms,
        )
    except (ConfigError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.warning("discovery: entry skipped", entry=repr(entry)[:MAX_LOGGED_ENTRY], error=str(error))
        return None


def parse_list(raw: Any) -> EndpointList | None:
    """A complete list or changes, without the invalid entries; None if it is not a list, which is logged."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        log.warning("discovery: list skipped", error="no list")
        return None
    version = raw.get("index")
    entries = [parse_endpoint(entry) for entry in raw["endpoints"]]
    return EndpointList(
        version=version if isinstance(version, int) and version >= 0 else 0,
        complete=raw.get("snapshot") is True,
        entries=[entry for entry in entries if entry is not None],
    )


def merge_lists(lists: Iterable[EndpointList]) -> EndpointList | None:
    """Consecutive lists as one: the last entry of each endpoint counts. None if there are none."""
    endpoints = dict[str, DiscoveredEndpoint]()
    version = 0
    complete = False
    empty = True
    for received in lists:
        empty = False
        version = received.version or version
        if received.complete:
            endpoints.clear()
            complete = True
        endpoints.update((entry.name, entry) for entry in received.entries)
    return None if empty else EndpointList(version, complete, list(endpoints.values()))

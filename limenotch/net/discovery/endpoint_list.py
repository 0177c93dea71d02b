"""Lists of discovery: entries read and checked, and several changes put together to one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from ... import logs
from ...config import ConfigError, address
from ...load_balancer_types import DiscoveredEndpoint, DiscoveryStatus

log = logs.get(__name__)


class EndpointList(NamedTuple):
    """A list of endpoints, or what changed in it."""

    version: int  # 0: it has none
    complete: bool
    entries: list[DiscoveredEndpoint]


def parse_endpoint(entry: Any) -> DiscoveredEndpoint | None:
    """One entry of the list; None if it can't be understood, which is logged."""
    try:
        weight, since = float(entry.get("weight", 1.0)), float(entry.get("since_ms") or 0.0)
        if not (math.isfinite(weight) and weight >= 0 and math.isfinite(since)):
            raise ValueError("not a finite number")
        return DiscoveredEndpoint(
            name=str(entry["name"]),
            address=address(entry["address"], "address"),
            status=DiscoveryStatus(entry["status"]),
            zone=str(entry.get("zone", "")),
            kind=str(entry.get("type", "")),
            group=int(entry.get("group") or 0),
            weight=weight,
            started_ms=since,
        )
    except (ConfigError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.warning("directory: entry skipped", entry=repr(entry)[:200], error=str(error))
        return None


def parse_list(raw: Any) -> EndpointList | None:
    """A list or a change of it: version, whether whole, entries. None if it can't be understood."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        log.warning("directory: list skipped", error="no list")
        return None
    version = raw.get("index")
    entries = [parse_endpoint(entry) for entry in raw["endpoints"]]
    return EndpointList(
        version if isinstance(version, int) and version >= 0 else 0,
        raw.get("snapshot") is True,
        [entry for entry in entries if entry is not None],
    )


def merge_lists(listings: Iterable[EndpointList]) -> EndpointList | None:
    """Several that came one after another, as one: the last word on each endpoint counts. None if there are none."""
    merging, version, whole = dict[str, DiscoveredEndpoint](), 0, False
    none = True
    for listing in listings:
        none = False
        version = listing.version or version
        if listing.complete:
            merging.clear()
            whole = True
        merging.update((entry.name, entry) for entry in listing.entries)
    return None if none else EndpointList(version, whole, list(merging.values()))

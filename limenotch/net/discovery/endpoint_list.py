"""Discovery's endpoint lists: this module parses and validates their entries, and merges several changes into one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from ... import logs
from ...config import ConfigError, address
from ...load_balancer_types import DiscoveredEndpoint, DiscoveryStatus

log = logs.get(__name__)

MAX_LOGGED_ENTRY_LENGTH = 200  # characters of an invalid entry


class EndpointList(NamedTuple):
    """The complete list of endpoints, or changes of it."""

    version: int  # 0: none was given
    complete: bool  # True: endpoints that it omits no longer exist; False: it contains only what has changed
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
        log.warning(
            "invalid entry of the endpoint list skipped", entry=repr(entry)[:MAX_LOGGED_ENTRY_LENGTH], error=str(error)
        )
        return None


def parse_list(raw: Any) -> EndpointList | None:
    """A complete list, or changes, without its invalid entries; None if `raw` is not a list, which is logged."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        log.warning("endpoint list rejected", error="expected an object with `endpoints`, a list")
        return None
    version = raw.get("index")
    entries = [parse_endpoint(entry) for entry in raw["endpoints"]]
    return EndpointList(
        version=version if isinstance(version, int) and version >= 0 else 0,
        complete=raw.get("snapshot") is True,
        entries=[entry for entry in entries if entry is not None],
    )


def merge_lists(lists: Iterable[EndpointList]) -> EndpointList | None:
    """Merges consecutive lists into one, in which the last entry of each endpoint counts; None if there are none."""
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

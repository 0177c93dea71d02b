"""Divides the memory that the process may take between clients' connections, buffers and the ids of requests."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

# What a client's connection takes at most beside the budget of buffers: the objects of the connection, of its request
# and of a connection to an endpoint, and the small pieces of bodies and heads that each may hold in any case.
CLIENT_BYTES = 56 * 1024
ENDPOINT_BYTES = 4 * 1024  # of one endpoint in the list
REQUEST_ID_BYTES = 256
MARGIN_FRACTION = 1 / 8  # of the limit, for what is counted nowhere
BUFFER_FRACTION = 1 / 8  # of the limit, for buffers; at most ...
MAX_FREE_BUFFER_FRACTION = 1 / 4  # ... this fraction of what is free at the start
MAX_ID_FRACTION = 1 / 16  # of what is free at the start, for ids of requests
MAX_REQUEST_IDS = 10_000
GARBAGE_FRACTION = 1 / 2  # of what is free at the start, in use before garbage is collected early
MIN_CLIENTS = 16
MIN_BUFFER_BYTES = 512 * 1024
MIN_REQUEST_IDS = 1000


class MemoryLimits(NamedTuple):
    """How much each owner of memory may hold."""

    buffer_bytes: int
    clients: int
    request_ids: int
    garbage_bytes: int  # that the process takes before garbage is collected early


def private_bytes() -> int:
    """The memory of this process that it shares with no other, in bytes; 0 if the system doesn't tell."""
    try:
        resident_pages, shared_pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1:3]
    except (OSError, ValueError):
        return 0
    return (int(resident_pages) - int(shared_pages)) * os.sysconf("SC_PAGE_SIZE")


def divide(limit_bytes: float, base_bytes: int, more_endpoints: int = 0) -> MemoryLimits:
    """Divides `limit_bytes`, of which the process took `base_bytes` before it accepted clients.

    `more_endpoints`: how many more endpoints are listed now than were then.
    """
    free_bytes = limit_bytes * (1 - MARGIN_FRACTION) - base_bytes - max(more_endpoints, 0) * ENDPOINT_BYTES
    buffer_bytes = max(min(limit_bytes * BUFFER_FRACTION, free_bytes * MAX_FREE_BUFFER_FRACTION), MIN_BUFFER_BYTES)
    request_ids = max(min(free_bytes * MAX_ID_FRACTION / REQUEST_ID_BYTES, MAX_REQUEST_IDS), MIN_REQUEST_IDS)
    client_bytes = free_bytes - buffer_bytes - request_ids * REQUEST_ID_BYTES
    clients = max(int(client_bytes / CLIENT_BYTES), MIN_CLIENTS)
    return MemoryLimits(
        buffer_bytes=int(buffer_bytes),
        clients=clients,
        request_ids=int(request_ids),
        garbage_bytes=int(base_bytes + max(free_bytes, 0) * GARBAGE_FRACTION),
    )

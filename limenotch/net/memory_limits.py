"""Divides the memory that the process may hold between clients' connections, buffers and the ids of requests."""

from __future__ import annotations

from typing import NamedTuple

# What a client's connection takes beside the budget of buffers: the objects of the connection and of its request, and
# the small pieces of bodies and heads that each may hold in any case.
CLIENT_BYTES = 32 * 1024
ENDPOINT_BYTES = 4 * 1024  # of one endpoint in the list
REQUEST_ID_BYTES = 256
MARGIN_FRACTION = 1 / 16  # of the limit, for what is held before a shortage is noticed
MIN_MARGIN_BYTES = 2 * 1024 * 1024
BUFFER_FRACTION = 1 / 8  # of the limit, for buffers; at most ...
MAX_FREE_BUFFER_FRACTION = 1 / 4  # ... this fraction of what is free at the start
MAX_ID_FRACTION = 1 / 16  # of what is free at the start, for ids of requests
STREAM_FRACTION = 1 / 4  # of what is free at the start, for the kernel's buffers of long responses
MAX_REQUEST_IDS = 10_000
MIN_CLIENTS = 16
MIN_STREAMS = 4
MIN_BUFFER_BYTES = 512 * 1024
MIN_REQUEST_IDS = 1000
# Of what is free at the start, for one socket; the kernel doubles what is set.
SOCKET_FRACTION = 1 / 8192
MIN_SOCKET_BUFFER_BYTES = 4 * 1024
MAX_RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_SEND_BUFFER_BYTES = 128 * 1024
KERNEL_FACTOR = 2
LARGEST_SEGMENT_BYTES = 64 * 1024  # that the kernel queues beyond a send buffer
SERVING_FRACTION = 1 / 8  # of the limit, for the clients of each of two processes that serve at once
DOCUMENT_FRACTION = 1 / 16  # of what is free at the start, for one document of discovery
MIN_DOCUMENT_BYTES = 256 * 1024


class SocketBuffers(NamedTuple):
    """Sizes of the kernel's buffers of one socket in bytes, as they are set: the kernel doubles them."""

    receive: int  # from clients
    send: int
    receive_response: int  # from endpoints, from which there is less to read at once


class MemoryLimits(NamedTuple):
    """How much each owner of memory may hold."""

    high_bytes: int  # that the process may hold before clients have to give way
    severe_bytes: int  # that it may hold before no buffer may grow
    buffer_bytes: int
    clients: int
    streams: int  # long responses that are forwarded at once
    request_ids: int
    document_bytes: int  # of one document of discovery
    sockets: SocketBuffers


def margin_bytes(limit_bytes: float) -> float:
    """How far below its limit the process is kept."""
    return max(limit_bytes * MARGIN_FRACTION, MIN_MARGIN_BYTES)


def needed_bytes(base_bytes: int) -> float:
    """The least limit with which a process that takes `base_bytes` without clients can serve MIN_CLIENTS."""
    clients = MIN_BUFFER_BYTES + MIN_REQUEST_IDS * REQUEST_ID_BYTES + MIN_CLIENTS * CLIENT_BYTES
    return base_bytes + clients + MIN_MARGIN_BYTES


class ProcessNeeds(NamedTuple):
    """What the processes of a sidecar need of its limit, in bytes."""

    alone: float  # a process that serves
    serving: float  # each of two processes that serve at once
    reserved: float  # is left over for a process that starts and has not been granted more
    replaceable: float  # least limit at which the process can be replaced, pages of files counted once for all
    replaceable_strictly: float  # the same, by the sum of the resident sets
    both: float  # least limit at which two processes can serve at once, by the sum of the resident sets

    def beyond(self, limit_bytes: float) -> list[tuple[str, float]]:
        """What can't be done within the limit, and the least limit with which it can be."""
        told = [
            ("limits.memory_mb is too small to replace the process", self.replaceable),
            ("limits.memory_mb does not hold for the sum of resident sets in an upgrade", self.replaceable_strictly),
            ("limits.memory_mb is too small for two processes at once; an upgrade waits for the old one", self.both),
        ]
        return [(text, needed) for text, needed in told if needed > limit_bytes]


def process_needs(limit_bytes: float, base_bytes: int, standby_bytes: int, standby_private_bytes: int) -> ProcessNeeds:
    """What processes need that take `base_bytes` without clients, and a process that waits for its turn.

    `standby_bytes`: its resident set; `standby_private_bytes`: the same without pages of files. The sum of the
    resident sets is kept within the limit if that is possible, else pages of files count once.
    """
    alone = needed_bytes(base_bytes)
    strictly = alone + standby_bytes
    return ProcessNeeds(
        alone=alone,
        serving=alone + limit_bytes * SERVING_FRACTION,
        reserved=standby_bytes if strictly <= limit_bytes else standby_private_bytes,
        replaceable=alone + standby_private_bytes,
        replaceable_strictly=strictly,
        both=(2 * alone + standby_bytes) / (1 - 2 * SERVING_FRACTION),
    )


def divide(limit_bytes: float, base_bytes: int, more_endpoints: int = 0) -> MemoryLimits:
    """Divides `limit_bytes`, of which the process took `base_bytes` before it accepted clients.

    `more_endpoints`: how many more endpoints are listed now than were then.
    """
    high_bytes = limit_bytes - margin_bytes(limit_bytes)
    free_bytes = max(high_bytes - base_bytes - max(more_endpoints, 0) * ENDPOINT_BYTES, 0)
    buffer_bytes = max(min(limit_bytes * BUFFER_FRACTION, free_bytes * MAX_FREE_BUFFER_FRACTION), MIN_BUFFER_BYTES)
    request_ids = max(min(free_bytes * MAX_ID_FRACTION / REQUEST_ID_BYTES, MAX_REQUEST_IDS), MIN_REQUEST_IDS)
    sockets = _socket_buffers(free_bytes)
    stream_kernel_bytes = KERNEL_FACTOR * (sockets.send + sockets.receive_response) + LARGEST_SEGMENT_BYTES
    streams = max(free_bytes * STREAM_FRACTION / stream_kernel_bytes, MIN_STREAMS)
    client_bytes = free_bytes * (1 - STREAM_FRACTION) - buffer_bytes - request_ids * REQUEST_ID_BYTES
    clients = max(client_bytes / (CLIENT_BYTES + KERNEL_FACTOR * sockets.receive), MIN_CLIENTS)
    return MemoryLimits(
        high_bytes=int(high_bytes),
        severe_bytes=int((high_bytes + limit_bytes) / 2),
        buffer_bytes=int(buffer_bytes),
        clients=int(clients),
        streams=int(streams),
        request_ids=int(request_ids),
        document_bytes=int(max(free_bytes * DOCUMENT_FRACTION, MIN_DOCUMENT_BYTES)),
        sockets=sockets,
    )


def _socket_buffers(free_bytes: float) -> SocketBuffers:
    size = max(int(free_bytes * SOCKET_FRACTION), MIN_SOCKET_BUFFER_BYTES)
    return SocketBuffers(
        receive=min(size, MAX_RECEIVE_BUFFER_BYTES),
        send=min(4 * size, MAX_SEND_BUFFER_BYTES),
        receive_response=min(8 * size, MAX_RECEIVE_BUFFER_BYTES),
    )

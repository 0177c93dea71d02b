"""Listening sockets, and the limits of file descriptors for clients and endpoints."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from ..settings import DescriptorSettings


class DescriptorQuota:
    """Counts the file descriptors of clients' connections, or of connections to endpoints, against a limit."""

    def __init__(self) -> None:
        self.limit = 0
        self.used = 0
        self.idle = 0  # of those used, by idle connections: each can carry a request, or be closed for a new one
        self.drop_idle: Callable[[], bool] = lambda: False  # closes one idle connection, if there is any

    def acquire(self, spared: int = 0) -> bool:
        """Counts one more descriptor if the limit allows it or an idle connection can be closed; False otherwise.

        `spared`: how many descriptors below the limit are left to others.
        """
        if self.used >= self.limit - spared and not self.drop_idle():
            return False
        self.used += 1
        return True

    def release(self) -> None:
        """Counts one descriptor less."""
        self.used -= 1

    @property
    def has_capacity(self) -> bool:
        """Whether one more request could have a connection."""
        return self.idle > 0 or self.used < self.limit


class Listener:
    """Owns a listening socket on the event loop, and calls `accept` whenever connections wait in its queue."""

    def __init__(self, sock: socket.socket, accept: Callable[[], None]) -> None:
        self.socket = sock
        self._loop = IOLoop.current()
        self._accept = accept
        self._closed = False
        self._paused = False
        self._loop.add_handler(sock, lambda *_: accept(), IOLoop.READ)

    def accept_connections(
        self, limit: int, handle_connection: Callable[[socket.socket], None], handle_error: Callable[[OSError], None]
    ) -> bool:
        """Accepts up to `limit` waiting connections, and passes each to `handle_connection`.

        Returns whether the queue is empty. The first accept that fails (the peer has aborted, or no descriptor is left)
        is reported to `handle_error`, and no more connections are accepted by this call.
        """
        for _ in range(limit):
            if self._closed:
                return True
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                handle_error(error)
                return False
            handle_connection(sock)
        return False

    def pause(self, wait_s: float) -> None:
        """Does not call `accept` for `wait_s` seconds; meanwhile connections stay in the queue."""
        if not self._closed and not self._paused:
            self._paused = True
            self._loop.remove_handler(self.socket)
            self._loop.call_later(wait_s, self._resume)

    def _resume(self) -> None:
        if not self._closed:
            self._paused = False
            self._loop.add_handler(self.socket, lambda *_: self._accept(), IOLoop.READ)

    def close(self) -> None:
        """Closes the socket; no further connection is accepted."""
        self._closed = True
        if not self._paused:
            self._loop.remove_handler(self.socket)
        self.socket.close()


MAX_OPERATOR_CONNECTIONS = 16  # at once, in addition to those of clients and endpoints
MIN_SHARED_DESCRIPTORS = 8  # for clients and endpoints together, however low the limit is


class DescriptorLimits:
    """Divides the process's file descriptors between clients and endpoints."""

    def __init__(
        self,
        limit: int,
        tuning: DescriptorSettings = DescriptorSettings(),  # noqa: B008 (frozen)
        fleet_connections: int = 0,
    ) -> None:
        """`limit`: of the process. `fleet_connections`: descriptors reserved for connections to other sidecars.

        `tuning.reserve` covers standard streams, the event loop, the listener, discovery and the interpreter; those of
        operators are reserved in addition. Clients and endpoints have separate quotas: otherwise idle clients could use
        up all descriptors, no endpoint could be reached, and every request would be rejected.
        """
        self._tuning = tuning
        self._reserved = MAX_OPERATOR_CONNECTIONS + fleet_connections
        self.clients = DescriptorQuota()
        self.endpoints = DescriptorQuota()
        self.set_limit(limit)

    @property
    def least(self) -> int:
        """The least limit with which the process can serve."""
        return self._tuning.reserve + self._reserved + MIN_SHARED_DESCRIPTORS

    @property
    def used(self) -> int:
        """What is in use, with all that is reserved."""
        return self._tuning.reserve + self._reserved + self.clients.used + self.endpoints.used

    def set_limit(self, limit: int, max_endpoint_connections: float = math.inf) -> None:
        """Sets the limit of the process, also at runtime; memory may allow fewer connections to endpoints.

        Idle connections to endpoints beyond the new limit are closed; all other connections stay open.
        """
        shared = max(limit - self._tuning.reserve - self._reserved, MIN_SHARED_DESCRIPTORS)
        self.clients.limit = int(shared * self._tuning.client_fraction)
        self.endpoints.limit = int(min(shared - self.clients.limit, max_endpoint_connections))
        while self.endpoints.used > self.endpoints.limit and self.endpoints.drop_idle():
            pass  # closing these affects no client

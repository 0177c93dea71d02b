"""Listening sockets, and the limits of descriptors for clients and endpoints."""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from ..settings import DescriptorSettings


class DescriptorQuota:
    """The descriptors of one side: connections of clients, or connections to endpoints."""

    def __init__(self) -> None:
        self.limit = 0
        self.used = 0
        self.idle = 0  # of those used: each can serve a further request, or be closed to free its descriptor
        self.drop_idle: Callable[[], bool] = lambda: False  # closes one idle connection, if there is any

    def take(self) -> bool:
        """Take one descriptor, if there is capacity or an idle connection can be closed; return whether it was."""
        if self.used >= self.limit and not self.drop_idle():
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        """Return one descriptor."""
        self.used -= 1

    @property
    def has_capacity(self) -> bool:
        """Whether one more request could be served."""
        return self.idle > 0 or self.used < self.limit


class Listener:
    """A listening socket on the event loop, which owns it; `accept` is called while connections wait."""

    def __init__(self, sock: socket.socket, accept: Callable[[], None]) -> None:
        self.socket = sock
        self._loop = IOLoop.current()
        self._accept = accept
        self._closed = False
        self._paused = False
        self._loop.add_handler(sock, lambda *_: accept(), IOLoop.READ)

    def take(self, limit: int, admit: Callable[[socket.socket], None], failed: Callable[[OSError], None]) -> bool:
        """Accept up to `limit` waiting connections and pass each to `admit`; return whether the queue is empty.

        An accept that fails (aborted by its peer, no descriptor left) is reported to `failed` and ends the turn.
        """
        for _ in range(limit):
            if self._closed:
                return True
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                failed(error)
                return False
            admit(sock)
        return False

    def pause(self, wait_s: float) -> None:
        """Do not call `accept` for `wait_s` seconds: waiting connections stay in the queue."""
        if not self._closed and not self._paused:
            self._paused = True
            self._loop.remove_handler(self.socket)
            self._loop.call_later(wait_s, self._resume)

    def _resume(self) -> None:
        if not self._closed:
            self._paused = False
            self._loop.add_handler(self.socket, lambda *_: self._accept(), IOLoop.READ)

    def close(self) -> None:
        """Close the socket; nothing is accepted any more."""
        self._closed = True
        if not self._paused:
            self._loop.remove_handler(self.socket)
        self.socket.close()


MAX_OPERATOR_CONNECTIONS = 16  # at once, in addition to those of clients and endpoints
MIN_SHARED_DESCRIPTORS = 8  # for clients and endpoints, whatever the limit is


class DescriptorLimits:
    """Divides the descriptors between clients and endpoints."""

    def __init__(
        self,
        limit: int,
        tuning: DescriptorSettings = DescriptorSettings(),  # noqa: B008 (frozen)
        fleet_connections: int = 0,
    ) -> None:
        """`limit`: of the process. `fleet_connections`: reserved for other sidecars, beside those for operators.

        `tuning.reserve` covers standard streams, the event loop, the listener, discovery and the interpreter. Neither
        side can use up the other's part: otherwise idle clients would leave no descriptor to reach an endpoint by, and
        every request would be rejected.
        """
        self._tuning = tuning
        self._reserved = MAX_OPERATOR_CONNECTIONS + fleet_connections
        self.clients = DescriptorQuota()
        self.endpoints = DescriptorQuota()
        self.set_limit(limit)

    def set_limit(self, limit: int) -> None:
        """Set the limit of the process, also at runtime: what is open beyond it stays until it closes.

        Idle connections to endpoints beyond it are closed.
        """
        shared = max(limit - self._tuning.reserve - self._reserved, MIN_SHARED_DESCRIPTORS)
        self.clients.limit = int(shared * self._tuning.client_fraction)
        self.endpoints.limit = shared - self.clients.limit
        while self.endpoints.used > self.endpoints.limit and self.endpoints.drop_idle():
            pass  # no client is affected

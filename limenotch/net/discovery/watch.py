"""A query to discovery with the watch that follows it, retired watches, and the socket reserved for the next query."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable
from time import monotonic
from typing import Any, TypeVar

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from ...config import Address
from ..slow_peers import limit_receive_buffer

T = TypeVar("T")


class Watch:
    """One query to discovery, from its connection to its end."""

    def __init__(self, address: Address) -> None:
        """The caller sets `task`, which runs the query, and `stream`, its connection."""
        self.address = address
        self.stream: IOStream | None = None
        self.task: asyncio.Task[None] | None = None
        self.version: int | None = None  # since which changes were requested; 0: the complete list was requested
        self.list_received = False  # whether at least one was
        self.started_at = monotonic()  # s
        self._pending: asyncio.Future[Any] | None = None

    @property
    def has_unprocessed_result(self) -> bool:
        """Whether the operation that its task waits for is done, and the task has not run since."""
        return self._pending is not None and self._pending.done()

    async def wait(self, awaitable: Awaitable[T]) -> T:
        """The result of `awaitable`; `has_unprocessed_result` covers the wait for it."""
        pending = asyncio.ensure_future(awaitable)
        self._pending = pending
        return await pending

    def close(self) -> None:
        """Ends the watch: nothing that it received is used from now on, and its descriptor is free at once."""
        if self.stream is not None:
            self.stream.close()
        if self.task is not None:
            self.task.cancel()


class RetiredWatches:
    """Watches that a newer query has replaced, up to `MAX_WATCHES`, the oldest first.

    Each is closed when a later watch has received its list, or when it has been silent for too long. The owner removes
    those that end (`discard`).
    """

    MAX_WATCHES = 3

    def __init__(self, silence_s: float) -> None:
        """`silence_s`: seconds without a line after which a watch is closed."""
        self._silence_s = silence_s
        self._watches: list[Watch] = []
        self._timers: dict[Watch, object] = {}
        self._loop = IOLoop.current()

    def __contains__(self, watch: Watch) -> bool:
        return watch in self._watches

    def add(self, watch: Watch) -> None:
        """Adds a running watch, which was started after those added before."""
        if len(self._watches) >= self.MAX_WATCHES:
            self.drop_one()
        self._watches.append(watch)
        self.restart_silence_timer(watch)

    def restart_silence_timer(self, watch: Watch) -> None:
        """To be called whenever the watch has received something; without effect on a watch that is not retired."""
        if watch in self._watches:
            self._cancel_timer(watch)
            self._timers[watch] = self._loop.call_later(self._silence_s, self._drop, watch)

    def drop_one(self) -> bool:
        """Closes the oldest watch that has received no list, else the oldest watch; False if there is none."""
        if not self._watches:
            return False
        self._drop(next((watch for watch in self._watches if not watch.list_received), self._watches[0]))
        return True

    def drop_older(self, watch: Watch) -> None:
        """Closes the watches older than `watch`: all of them if `watch` is not retired."""
        count = self._watches.index(watch) if watch in self._watches else len(self._watches)
        for older in self._watches[:count]:
            self._drop(older)

    def discard(self, watch: Watch) -> None:
        """Removes the watch without closing it."""
        self._cancel_timer(watch)
        if watch in self._watches:
            self._watches.remove(watch)

    def close(self) -> None:
        """Closes all watches."""
        for watch in list(self._watches):
            self._drop(watch)

    def _drop(self, watch: Watch) -> None:
        self.discard(watch)
        watch.close()

    def _cancel_timer(self, watch: Watch) -> None:
        timer = self._timers.pop(watch, None)
        if timer is not None:
            self._loop.remove_timeout(timer)


class SpareSocket:
    """A socket reserved for the next query, as other connections may use up all descriptors before it."""

    def __init__(self) -> None:
        """No socket is reserved before `reserve` is called."""
        self._socket: socket.socket | None = None

    def reserve(self, address: Address) -> None:
        """Reserves a socket of the address's family, if a descriptor is left."""
        family = _family(address)
        if self._socket is not None and self._socket.family == family:
            return
        self.close()
        with contextlib.suppress(OSError):  # no descriptor is left: `take` tries again
            self._socket = socket.socket(family, socket.SOCK_STREAM)

    def take(self, address: Address) -> socket.socket:
        """The reserved socket, owned by the caller. Raises OSError if there is none and no descriptor is left."""
        self.reserve(address)
        taken = self._socket or socket.socket(_family(address), socket.SOCK_STREAM)
        self._socket = None
        limit_receive_buffer(taken)
        return taken

    def close(self) -> None:
        """Closes the reserved socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET

"""A query to discovery with the watch that follows it, retired ones, and the socket reserved for the next query."""

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

T = TypeVar("T")


class Watch:
    """One query to discovery, from its connection to its end."""

    def __init__(self, address: Address) -> None:
        """The caller sets `task`, which owns the connection in `stream`."""
        self.address = address
        self.stream: IOStream | None = None
        self.task: asyncio.Task[None] | None = None
        self.version: int | None = None  # from which changes were requested; 0: the complete list
        self.list_received = False  # at least one
        self.started_at = monotonic()  # s
        self._pending: asyncio.Future[Any] | None = None

    @property
    def has_unprocessed_result(self) -> bool:
        """Whether the operation it waits for is done, and its task has not run since."""
        return self._pending is not None and self._pending.done()

    async def wait(self, awaitable: Awaitable[T]) -> T:
        """The result of `awaitable`, visible to `has_unprocessed_result` meanwhile."""
        pending = asyncio.ensure_future(awaitable)
        self._pending = pending
        return await pending

    def close(self) -> None:
        """Ends it: nothing received is used from now on; its descriptor is free at once."""
        if self.stream is not None:
            self.stream.close()
        if self.task is not None:
            self.task.cancel()


class RetiredWatches:
    """Watches that a newer query has replaced, up to `MAX_WATCHES`, the oldest first.

    Each is closed when a later one has received its list or when it has been silent for too long, and forgotten when it
    ends.
    """

    MAX_WATCHES = 3

    def __init__(self, silence_s: float) -> None:
        """`silence_s`: seconds without a line after which one is closed."""
        self._silence_s = silence_s
        self._watches: list[Watch] = []
        self._timers: dict[Watch, object] = {}
        self._loop = IOLoop.current()

    def __contains__(self, watch: Watch) -> bool:
        return watch in self._watches

    def add(self, watch: Watch) -> None:
        """Adds a running watch, started after those that are here."""
        if len(self._watches) >= self.MAX_WATCHES:
            self.drop_one()
        self._watches.append(watch)
        self.restart_silence_timer(watch)

    def restart_silence_timer(self, watch: Watch) -> None:
        """To be called whenever the watch has received something."""
        if watch in self._watches:
            self._cancel_timer(watch)
            self._timers[watch] = self._loop.call_later(self._silence_s, self._drop, watch)

    def drop_one(self) -> bool:
        """Closes the oldest of those that have received no list, else the oldest; False if there is none."""
        if not self._watches:
            return False
        self._drop(next((watch for watch in self._watches if not watch.list_received), self._watches[0]))
        return True

    def drop_older(self, watch: Watch) -> None:
        """Closes those older than this one; all of them if it is not retired."""
        count = self._watches.index(watch) if watch in self._watches else len(self._watches)
        for older in self._watches[:count]:
            self._drop(older)

    def discard(self, watch: Watch) -> None:
        """Forgets the watch without closing it."""
        self._cancel_timer(watch)
        if watch in self._watches:
            self._watches.remove(watch)

    def close(self) -> None:
        """Closes all of them."""
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
    """A socket reserved for the next query: other connections may use up all descriptors meanwhile."""

    def __init__(self) -> None:
        """Nothing is reserved before `reserve`."""
        self._socket: socket.socket | None = None

    def reserve(self, address: Address) -> None:
        """Reserves a socket of the address's family, if a descriptor is left."""
        family = _family(address)
        if self._socket is not None and self._socket.family == family:
            return
        self.close()
        with contextlib.suppress(OSError):  # then the next query has to find a descriptor
            self._socket = socket.socket(family, socket.SOCK_STREAM)

    def take(self, address: Address) -> socket.socket:
        """The reserved socket, owned by the caller. Raises OSError if there is none and no descriptor is left."""
        self.reserve(address)
        reserved = self._socket
        self._socket = None
        return reserved or socket.socket(_family(address), socket.SOCK_STREAM)

    def close(self) -> None:
        """Closes the reserved socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET

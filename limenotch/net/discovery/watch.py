"""One call to discovery with what belongs to it, and the socket that is held ready for the next one."""

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
    """One call to the directory, from its connection to its end."""

    def __init__(self, at: Address) -> None:
        self.at = at
        self.stream: IOStream | None = None
        self.task: asyncio.Task[None] | None = None
        self.version: int | None = None  # from which it asked for changes; 0: for the whole list
        self.told = False  # at least one list
        self.began = monotonic()
        self._pending: asyncio.Future[Any] | None = None

    @property
    def ready(self) -> bool:
        """What it waits for has come and is yet to be looked at."""
        return self._pending is not None and self._pending.done()

    async def wait(self, awaitable: Awaitable[T]) -> T:
        pending = asyncio.ensure_future(awaitable)
        self._pending = pending
        return await pending

    def close(self) -> None:
        """Nothing of it counts from now on; its descriptor is free at once."""
        if self.stream is not None:
            self.stream.close()
        if self.task is not None:
            self.task.cancel()


class Predecessors:
    """Calls at the addresses that discovery was moved away from, up to `MOST`, the oldest first.

    Each is dropped when a later one has told its list, when it has been silent for too long, or when it ends.
    """

    MOST = 3

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._watches: list[Watch] = []
        self._timers: dict[Watch, object] = {}
        self._loop = IOLoop.current()

    def __contains__(self, watch: Watch) -> bool:
        return watch in self._watches

    def add(self, watch: Watch) -> None:
        """A call that is out, later than those that are here."""
        if len(self._watches) >= self.MOST:
            self.drop_one()
        self._watches.append(watch)
        self.heard(watch)

    def heard(self, watch: Watch) -> None:
        """It has shown that it lives."""
        if watch in self._watches:
            self._untime(watch)
            self._timers[watch] = self._loop.call_later(self._silence_s, self._drop, watch)

    def drop_one(self) -> bool:
        """The oldest of those that have told nothing, else the oldest; False if there is none."""
        if not self._watches:
            return False
        self._drop(next((watch for watch in self._watches if not watch.told), self._watches[0]))
        return True

    def drop_older(self, watch: Watch) -> None:
        """All that are older than this one; all of them if it is none of them."""
        count = self._watches.index(watch) if watch in self._watches else len(self._watches)
        for older in self._watches[:count]:
            self._drop(older)

    def discard(self, watch: Watch) -> None:
        """It has ended."""
        self._untime(watch)
        if watch in self._watches:
            self._watches.remove(watch)

    def close(self) -> None:
        for watch in list(self._watches):
            self._drop(watch)

    def _drop(self, watch: Watch) -> None:
        self.discard(watch)
        watch.close()

    def _untime(self, watch: Watch) -> None:
        timer = self._timers.pop(watch, None)
        if timer is not None:
            self._loop.remove_timeout(timer)


class Spare:
    """A socket held ready for the next call: other connections may use up every descriptor meanwhile."""

    def __init__(self) -> None:
        self._socket: socket.socket | None = None

    def keep(self, at: Address) -> None:
        """Have one for this address."""
        family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
        if self._socket is not None and self._socket.family == family:
            return
        self.drop()
        with contextlib.suppress(OSError):  # then the next call has to find a descriptor
            self._socket = socket.socket(family, socket.SOCK_STREAM)

    def take(self, at: Address) -> socket.socket:
        """Raises OSError if none was held and no descriptor is left."""
        self.keep(at)
        held, self._socket = self._socket, None
        return held or socket.socket(socket.AF_INET6 if ":" in at[0] else socket.AF_INET, socket.SOCK_STREAM)

    def drop(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

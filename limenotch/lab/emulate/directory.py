"""The model's directory behind listeners: one a sidecar, so that it is known who is told what.

`GET /discovery/hosts?follow=1` is a watch: a chunked answer of JSON lines. What the model tells is written when the
model says so; empty lines keep a quiet watch alive.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from ...net import http1
from ..model.directory import Directory, Entry, ListUpdate, WatchFailed
from .wire import Served, listener

HEARTBEAT_S = 2.0
STATUS = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}

Address = Callable[[tuple[int, int], str], str]  # sidecar and provider: where that sidecar finds it


def line_of(entry: Entry, address: str, zones: tuple[str, ...], kinds: list[str], unix_ms: float) -> dict[str, Any]:
    """One line of the list, in the platform's form. Times of starts are Unix ms, 0 for long ago."""
    return {
        "name": entry.name,
        "address": address,
        "zone": zones[entry.zone],
        "type": kinds[entry.kind],
        "group": entry.group,
        "status": STATUS[entry.stage],
        "weight": entry.weight,
        "since_ms": round(unix_ms + entry.started_ms) if entry.started_ms > 0 else 0,
    }


class Watcher:
    """The listener for one sidecar, and its watch if there is one."""

    def __init__(self, key: tuple[int, int], ask: Callable[[Watcher], None], left: Callable[[Watcher], None]) -> None:
        self.key, self._ask, self._left = key, ask, left
        self._watch: Served | None = None
        self._begun = False
        self._server: asyncio.Server | None = None
        self._beat: asyncio.TimerHandle | None = None
        self.port = 0
        self.version = 0

    async def listen(self) -> None:
        sock = listener()
        self.port = sock.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Served(self._request, self._gone, lambda _: True), sock=sock)

    def _request(self, connection: Served, message: http1.Message) -> None:
        path, _, query = message.target.partition(b"?")
        if path != b"/discovery/hosts":
            connection.answer(http1.write_response(404, [], b"", close=True), close=True)
            return
        if b"follow=1" not in query.split(b"&"):
            connection.answer(http1.write_response(503, [], b"", close=True), close=True)
            return
        if self._watch is not None:
            self._watch.end()
        self._watch, self._begun = connection, False
        self._ask(self)

    def _gone(self, connection: Served) -> None:
        if connection is self._watch:
            self._watch = None
            self._stop_beat()
            self._left(self)

    def tell(self, lines: list[dict[str, Any]], whole: bool) -> bool:
        """Write to the watch; False if there is none."""
        if self._watch is None or self._watch.transport is None:
            return False
        self.version += 1
        self._write(json.dumps({"index": self.version, "snapshot": whole, "endpoints": lines}).encode() + b"\n")
        return True

    def _write(self, data: bytes) -> None:
        if self._watch is None or self._watch.transport is None:
            return
        if not self._begun:
            self._begun = True
            self._watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watch.write(b"%x\r\n%b\r\n" % (len(data), data))
        self._stop_beat()
        self._beat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._write, b"\n")

    def broken(self) -> None:
        """The call or the watch has failed."""
        watch, self._watch = self._watch, None
        self._stop_beat()
        if watch is not None:
            if self._begun:
                watch.end(hard=True)
            else:
                watch.answer(http1.write_response(503, [], b"", close=True), close=True)

    def _stop_beat(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
            self._beat = None

    def close(self) -> None:
        self._stop_beat()
        if self._server is not None:
            self._server.close()
        if self._watch is not None:
            self._watch.end()


class DirectoryHost:
    """The directories of all tiers, woken when they are due."""

    def __init__(
        self,
        directories: list[Directory],
        clock: Callable[[], float],
        lines: Callable[[tuple[int, int], tuple[Entry, ...]], list[dict[str, Any]]],
        told: Callable[[tuple[int, int], ListUpdate], None],
    ) -> None:
        self._directories, self._clock, self._lines, self._told = directories, clock, lines, told
        self._watchers: dict[tuple[int, int], Watcher] = {}
        self._timers: list[asyncio.TimerHandle | None] = [None] * len(directories)

    async def watcher(self, key: tuple[int, int]) -> int:
        """A listener for this sidecar, the same as long as the run lasts; its port."""
        if key not in self._watchers:
            watcher = Watcher(key, self._ask, self._left)
            await watcher.listen()
            self._watchers[key] = watcher
        return self._watchers[key].port

    def _ask(self, watcher: Watcher) -> None:
        self._directories[watcher.key[0]].query(self._clock(), watcher.key)
        self.tend(watcher.key[0])

    def _left(self, watcher: Watcher) -> None:
        self._directories[watcher.key[0]].remove_watcher(watcher.key)

    def tend(self, tier: int) -> None:
        """See to it that the directory runs when it is due."""
        timer = self._timers[tier]
        if timer is not None:
            timer.cancel()
        next_event_ms = self._directories[tier].next_event_ms()
        self._timers[tier] = None
        if next_event_ms != float("inf"):
            wait = max(next_event_ms - self._clock(), 0.0) / 1000.0
            self._timers[tier] = asyncio.get_running_loop().call_later(wait, self._run, tier)

    def _run(self, tier: int) -> None:
        for told in self._directories[tier].run(self._clock()):
            watcher = self._watchers.get(told.watcher)  # type: ignore[call-overload]
            if watcher is None:
                continue
            if isinstance(told, WatchFailed):
                watcher.broken()
            elif watcher.tell(self._lines(watcher.key, told.entries), told.complete):
                self._told(watcher.key, told)
        self.tend(tier)

    def close(self) -> None:
        for timer in self._timers:
            if timer is not None:
                timer.cancel()
        for watcher in self._watchers.values():
            watcher.close()

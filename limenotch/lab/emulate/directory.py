"""The model's directory behind listeners: one listener per sidecar, so the host knows which sidecar gets which update.

`GET /discovery/hosts?follow=1` is a watch: a chunked response of JSON lines. An update is written when the model's
directory sends it; empty lines are heartbeats of a watch without updates.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from ...net import http1
from ..model.directory import Directory, Entry, ListUpdate, WatchFailed
from .wire import ServerConnection, listener

HEARTBEAT_S = 2.0
STATUS = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}

Address = Callable[[tuple[int, int], str], str]  # by sidecar and provider: the address at which that sidecar reaches it


def line_of(entry: Entry, address: str, zones: tuple[str, ...], kinds: list[str], unix_ms: float) -> dict[str, Any]:
    """An endpoint of the list in the platform's form. Start times are in Unix ms; 0 means long ago."""
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
    """The discovery listener of one sidecar, and its present watch, if any."""

    def __init__(
        self, key: tuple[int, int], on_query: Callable[[Watcher], None], on_left: Callable[[Watcher], None]
    ) -> None:
        self.key, self._on_query, self._on_left = key, on_query, on_left
        self._watch: ServerConnection | None = None
        self._headers_sent = False
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.TimerHandle | None = None
        self.port = 0
        self.version = 0

    async def listen(self) -> None:
        sock = listener()
        self.port = sock.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._request, self._on_closed, lambda _: True), sock=sock
        )

    def _request(self, connection: ServerConnection, message: http1.Message) -> None:
        path, _, query = message.target.partition(b"?")
        if path != b"/discovery/hosts":
            connection.answer(http1.write_response(404, [], b"", close=True), close=True)
            return
        if b"follow=1" not in query.split(b"&"):
            connection.answer(http1.write_response(503, [], b"", close=True), close=True)
            return
        if self._watch is not None:
            self._watch.end()
        self._watch, self._headers_sent = connection, False
        self._on_query(self)

    def _on_closed(self, connection: ServerConnection) -> None:
        if connection is self._watch:
            self._watch = None
            self._stop_heartbeat()
            self._on_left(self)

    def write_update(self, lines: list[dict[str, Any]], complete: bool) -> bool:
        """Writes an update to the watch; False if there is no watch."""
        if self._watch is None or self._watch.transport is None:
            return False
        self.version += 1
        self._write(json.dumps({"index": self.version, "snapshot": complete, "endpoints": lines}).encode() + b"\n")
        return True

    def _write(self, data: bytes) -> None:
        if self._watch is None or self._watch.transport is None:
            return
        if not self._headers_sent:
            self._headers_sent = True
            self._watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watch.write(b"%x\r\n%b\r\n" % (len(data), data))
        self._stop_heartbeat()
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._write, b"\n")

    def fail(self) -> None:
        """Fails the query or the watch."""
        watch, self._watch = self._watch, None
        self._stop_heartbeat()
        if watch is not None:
            if self._headers_sent:
                watch.end(hard=True)
            else:
                watch.answer(http1.write_response(503, [], b"", close=True), close=True)

    def _stop_heartbeat(self) -> None:
        if self._heartbeat is not None:
            self._heartbeat.cancel()
            self._heartbeat = None

    def close(self) -> None:
        self._stop_heartbeat()
        if self._server is not None:
            self._server.close()
        if self._watch is not None:
            self._watch.end()


class DirectoryHost:
    """Runs the directories of all tiers, each at the time of its next event."""

    def __init__(
        self,
        directories: list[Directory],
        clock: Callable[[], float],
        lines: Callable[[tuple[int, int], tuple[Entry, ...]], list[dict[str, Any]]],
        update: Callable[[tuple[int, int], ListUpdate], None],
    ) -> None:
        self._directories, self._clock, self._lines, self._on_update = directories, clock, lines, update
        self._watchers: dict[tuple[int, int], Watcher] = {}
        self._timers: list[asyncio.TimerHandle | None] = [None] * len(directories)

    async def watcher(self, key: tuple[int, int]) -> int:
        """The port of the listener of this sidecar, which stays the same for the whole run."""
        if key not in self._watchers:
            watcher = Watcher(key, self._on_query, self._on_left)
            await watcher.listen()
            self._watchers[key] = watcher
        return self._watchers[key].port

    def _on_query(self, watcher: Watcher) -> None:
        self._directories[watcher.key[0]].query(self._clock(), watcher.key)
        self.reschedule(watcher.key[0])

    def _on_left(self, watcher: Watcher) -> None:
        self._directories[watcher.key[0]].remove_watcher(watcher.key)

    def reschedule(self, tier: int) -> None:
        """Schedules the directory for its next event."""
        timer = self._timers[tier]
        if timer is not None:
            timer.cancel()
        next_event_ms = self._directories[tier].next_event_ms()
        self._timers[tier] = None
        if next_event_ms != float("inf"):
            wait = max(next_event_ms - self._clock(), 0.0) / 1000.0
            self._timers[tier] = asyncio.get_running_loop().call_later(wait, self._run, tier)

    def _run(self, tier: int) -> None:
        for update in self._directories[tier].run(self._clock()):
            watcher = self._watchers.get(update.watcher)  # type: ignore[call-overload]
            if watcher is None:
                continue
            if isinstance(update, WatchFailed):
                watcher.fail()
            elif watcher.write_update(self._lines(watcher.key, update.entries), update.complete):
                self._on_update(watcher.key, update)
        self.reschedule(tier)

    def close(self) -> None:
        for timer in self._timers:
            if timer is not None:
                timer.cancel()
        for watcher in self._watchers.values():
            watcher.close()

"""The directory: a watch on the list of providers, for as long as its connection lives."""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections.abc import Callable, Iterable
from time import monotonic
from typing import Any

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .. import logs, settings
from ..config import Address, ConfigError, address, host_port
from ..facade import Provider, Status
from . import documents, http1

log = logs.get(__name__)

# After a move the list must be had within seconds, and the module's own wait between two attempts may be
# longer than that: this soon, and this often, the new address is asked again before the module is told.
AGAIN_S = 0.25
AGAIN = 12

Heard = Callable[[list[Provider], bool], None]


def provider_of(entry: Any) -> Provider | None:
    """One entry of the list; None if it can't be understood, which is logged."""
    try:
        weight, since = float(entry.get("weight", 1.0)), float(entry.get("since_ms") or 0.0)
        if not (math.isfinite(weight) and weight >= 0 and math.isfinite(since)):
            raise ValueError("not a finite number")
        return Provider(
            name=str(entry["name"]),
            address=address(entry["address"], "address"),
            status=Status(entry["status"]),
            zone=str(entry.get("zone", "")),
            kind=str(entry.get("type", "")),
            group=int(entry.get("group") or 0),
            weight=weight,
            since_ms=since,
        )
    except (ConfigError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.warning("directory: entry skipped", entry=repr(entry)[:200], error=str(error))
        return None


def list_of(raw: Any) -> tuple[int, bool, list[Provider]] | None:
    """A list or a change of it: version, whether whole, entries. None if it can't be understood."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        log.warning("directory: list skipped", error="no list")
        return None
    version = raw.get("index")
    entries = [provider_of(entry) for entry in raw["endpoints"]]
    return (
        version if isinstance(version, int) and version >= 0 else 0,
        raw.get("snapshot") is True,
        [entry for entry in entries if entry is not None],
    )


class Directory:
    """Owns the watch. Each watch that fails or ends is told once, by `broken`."""

    def __init__(
        self,
        at: Address,
        heard: Heard,
        broken: Callable[[], None],
        tuning: settings.Directory = settings.Directory(),  # noqa: B008 (frozen)
    ) -> None:
        """An empty line comes every 2 s while nothing changes. A watch silent for `tuning.silence_s` is dead, though
        its connection may stay open.
        """
        self._silence_s = tuning.silence_s
        self._at, self._heard, self._broken = at, heard, broken
        self._loop = IOLoop.current()
        self._version = 0
        self._live = False  # whether the watch stands on which it told its list last
        self._asked = monotonic()  # when that watch was asked for
        self._trace = logs.tracing()
        self._again = 0  # attempts left in which a move is completed without the module
        self._task: asyncio.Task[None] | None = None

    def known(self, raw: dict[str, Any]) -> None:
        """The list as it was held at an earlier time: served from until the directory answers."""
        self._tell(raw, whole=True)

    def held(self, providers: Iterable[Provider]) -> dict[str, Any]:
        """The list as it is held, for `known` of the next process, with where it is from."""
        listed = [
            {"name": p.name, "address": host_port(p.address), "zone": p.zone, "type": p.kind, "group": p.group,
             "status": p.status.value, "weight": p.weight, "since_ms": p.since_ms}
            for p in providers
        ]
        return {"from": host_port(self._at), "index": self._version, "snapshot": True, "endpoints": listed}

    def take_over(self, raw: dict[str, Any]) -> None:
        """What `held` told in another process. Its version counts only at the same directory."""
        self._tell(raw, whole=True)
        if raw.get("from") != host_port(self._at):
            self._version = 0

    def where(self) -> tuple[Address, int, bool, float]:
        """Its address, the index up to which it told (0: it numbers nothing), whether the watch stands on which it did,
        and how many ms ago that was asked for.
        """
        return self._at, self._version, self._live, (monotonic() - self._asked) * 1000.0

    def watch(self) -> None:
        """Start a watch unless one is on."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._watch())

    def move(self, at: Address) -> None:
        """The directory is at another address from now on; the list held stays until that one answers."""
        if at == self._at:
            return
        # The versions of the other address may be numbered anew: its whole list is asked for.
        self._at, self._version, self._again = at, 0, AGAIN
        self._live = False
        if self._task is not None:
            self._task.cancel()  # an end of our own making, which the module need not hear of
        self._task = None
        self.watch()

    async def _watch(self) -> None:
        while True:
            try:
                await self._follow()
            except (StreamClosedError, OSError, http1.MalformedError) as error:
                log.warning("directory: watch ended", error=str(getattr(error, "real_error", None) or error))
            except Exception:
                log.exception("directory: fault")
            if not self._again:
                break
            self._again -= 1
            await sleep(AGAIN_S)
        self._task = None
        self._broken()

    async def _follow(self) -> None:
        if self._trace:
            log.debug("watch", since=self._version)
        family = socket.AF_INET6 if ":" in self._at[0] else socket.AF_INET
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        timer = self._loop.call_later(self._silence_s, stream.close)
        try:
            await stream.connect(self._at)
            host = host_port(self._at).encode()
            target = b"/discovery/hosts?follow=1"
            if self._version:
                target += b"&since=%d" % self._version
            self._asked = monotonic()
            await stream.write(http1.write_request(b"GET", target, [(b"Host", host)]))
            answer = documents.ChunkStream()
            while not answer.done:
                begun = answer.begun
                found = answer.feed(await stream.read_bytes(65536, partial=True))
                # Empty lines keep a watch alive, but not one that owes the end of a list: it would stay deaf.
                if found or answer.begun > begun or not begun:
                    self._loop.remove_timeout(timer)
                    timer = self._loop.call_later(self._silence_s, stream.close)
                if answer.head is not None and answer.head.status != 200:
                    log.warning("directory: no list", status=answer.head.status)
                    return
                for document in found:
                    self._document(document)
        finally:
            self._live = False
            self._loop.remove_timeout(timer)
            stream.close()

    def _document(self, document: bytes) -> None:
        try:
            raw = json.loads(document)
        except ValueError as error:
            log.warning("directory: list skipped", error=str(error))
            return
        self._live = True
        self._tell(raw)

    def _tell(self, raw: Any, whole: bool = False) -> None:
        told = list_of(raw)
        if told is not None:
            self._version, self._again = told[0] or self._version, 0
            if self._trace:
                log.debug("told", version=told[0], whole=told[1] or whole,
                          entries=[[p.name, p.status.value, p.since_ms, p.kind, p.zone, p.weight] for p in told[2]])
            self._heard(told[2], told[1] or whole)

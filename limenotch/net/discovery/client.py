"""The directory: a watch on the list of providers, for as long as its connection lives.

`DiscoveryState` says when to ask and when to give up; here that is done on a socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
from collections.abc import Callable, Iterable
from random import Random
from time import monotonic
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from ... import logs, settings
from ...config import Address, host_port
from ...load_balancer_types import DiscoveredEndpoint
from .. import http1
from . import json_stream, schedule
from .endpoint_list import EndpointList, merge_lists, parse_list
from .schedule import Connected, DiscoveryState, Due, Ended, Heard, Listed, Moved, Order, Resumed, Wanted
from .watch import Predecessors, Spare, Watch

log = logs.get(__name__)

READ = 64 * 1024  # bytes at once
Hear = Callable[[list[DiscoveredEndpoint], bool], None]


class DiscoveryClient:
    """Owns the watch. Each watch that fails or ends is told once, by `broken`, and begun anew in its time.

    After a move the watch at the old address goes on until the new one has told its list. To end it first would lose
    what it has told but nobody has read yet, and all that changes until a jammed discovery answers.
    """

    def __init__(
        self,
        at: Address,
        heard: Hear,
        broken: Callable[[], None],
        tuning: settings.DiscoverySettings = settings.DiscoverySettings(),  # noqa: B008 (frozen)
        pushed: bool = False,
        random: Random | None = None,
    ) -> None:
        """An empty line comes every 2 s while nothing changes. A watch silent for `tuning.silence_s` is dead, though
        its connection may stay open. `pushed`: the directory is an agent near by, and what it has counts as told.
        """
        self._at, self._heard, self._broken = at, heard, broken
        self._loop = IOLoop.current()
        self._state = DiscoveryState(tuning.silence_s, random or Random(), pushed)
        self._watch: Watch | None = None
        self._predecessors = Predecessors(tuning.silence_s)
        self._spare = Spare()
        self._spare.keep(at)
        self._timer: object = None
        self._earlier: EndpointList | None = None  # a list that is not told yet, to be used if the directory is silent
        self._version = 0
        self._live = False  # whether the watch stands on which it told its list last
        self._asked = monotonic()  # when that watch was asked for
        self._word: float | None = None  # when discovery had its last word: a whole list, a change, or that none is new
        self._trace = logs.tracing()

    # The list

    def use_known_list(self, raw: dict[str, Any]) -> None:
        """The list as it was held at an earlier time: served from until the directory answers."""
        told = parse_list(raw)
        if told is not None:
            self._version = told.version or self._version
            self._tell(told, whole=True)

    def use_known_list_after(self, raw: dict[str, Any], wait_s: float) -> None:
        """The same, but told only if the directory brings nothing for so long; till then changes count from it."""
        told = parse_list(raw)
        if told is not None:
            self._version, self._earlier = told.version or self._version, told
            self._loop.call_later(wait_s, self._use_earlier)

    def _use_earlier(self) -> None:
        earlier, self._earlier = self._earlier, None
        if earlier is not None:
            log.warning("directory: silent, an earlier list is used")
            self._tell(earlier, whole=True)

    def export_list(self, providers: Iterable[DiscoveredEndpoint]) -> dict[str, Any]:
        """The list as it is held, for `known` of the next process, with where it is from."""
        listed = [
            {
                "name": p.name,
                "address": host_port(p.address),
                "zone": p.zone,
                "type": p.kind,
                "group": p.group,
                "status": p.status.value,
                "weight": p.weight,
                "since_ms": p.started_ms,
            }
            for p in providers
        ]
        return {"from": host_port(self._at), "index": self._version, "snapshot": True, "endpoints": listed}

    def import_list(self, raw: dict[str, Any]) -> None:
        """What `held` told in another process. Its version counts only at the same directory."""
        self.use_known_list(raw)
        if raw.get("from") != host_port(self._at):
            self._version = 0

    def position(self) -> tuple[Address, int, bool, float]:
        """Its address, the index up to which it told (0: it numbers nothing), whether the watch stands on which it did,
        and how many ms ago that was asked for.
        """
        return self._at, self._version, self._live, (monotonic() - self._asked) * 1000.0

    def silence_ms(self) -> float:
        """For how long discovery has said nothing, until what it is saying just now; infinite: it never did."""
        return math.inf if self._word is None else (monotonic() - self._word) * 1000.0

    def _tell(self, told: EndpointList, whole: bool = False) -> None:
        if self._trace:
            log.debug(
                "told",
                version=told.version,
                whole=told.complete or whole,
                entries=[[p.name, p.status.value, p.started_ms, p.kind, p.zone, p.weight] for p in told.entries],
            )
        self._heard(told.entries, told.complete or whole)

    # The watch

    def watch(self) -> None:
        """From now on there is a watch, or the directory is asked for one again and again."""
        self._feed(Wanted())

    def move(self, at: Address) -> None:
        """The directory is at another address from now on; the old one's word counts until that one answers."""
        if at == self._at:
            return
        # The versions of the other address may be numbered anew: its whole list is asked for.
        self._at, self._version = at, 0
        self._feed(Moved())

    def set_pushed(self, pushed: bool) -> None:
        """Whether the directory is an agent whose word counts unheard, from the next failure on."""
        self._state.pushed = pushed

    def close(self) -> None:
        """For good: the program ends."""
        self._untime()
        self._drop()
        self._predecessors.close()
        self._spare.drop()

    def _feed(self, event: schedule.Event) -> None:
        for order in self._state.handle(monotonic(), event):
            if order is Order.OPEN:
                self._watch = watch = Watch(self._at)
                watch.task = asyncio.get_running_loop().create_task(self._run(watch))
            elif order is Order.RETIRE:
                self._log_end("directory: watch left behind", moved=isinstance(event, Moved))
                self._retire()
            else:
                self._tell_broken()
        self._untime()
        if self._state.due is not None:
            self._timer = self._loop.call_later(max(self._state.due - monotonic(), 0.0), self._due)

    def _log_end(self, event: str, **fields: object) -> None:
        """Why the call under way ends, how long after its beginning, and whether it had brought a list."""
        watch = self._watch
        if watch is not None:
            after_ms = round((monotonic() - watch.began) * 1000.0)
            log.warning(event, at=host_port(self._at), after_ms=after_ms, listed=watch.told, **fields)

    def _due(self) -> None:
        if self._watch is not None and self._watch.ready:
            self._loop.add_callback(self._due)  # a process that stood still has it all at once: the bytes come first
        else:
            self._feed(Due())

    def _untime(self) -> None:
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
            self._timer = None

    def _retire(self) -> None:
        """The watch goes on until its successor has told its list."""
        watch, self._watch, self._live = self._watch, None, False
        if watch is not None:
            self._predecessors.add(watch)
            self._spare.keep(self._at)

    def _drop(self) -> None:
        watch, self._watch, self._live = self._watch, None, False
        if watch is not None:
            watch.close()
            self._spare.keep(self._at)

    def _tell_broken(self) -> None:
        try:
            self._broken()
        except Exception:  # whoever hears of it must not end the asking
            log.exception("directory: fault")

    async def _run(self, watch: Watch) -> None:
        try:
            await self._follow(watch)
        except (StreamClosedError, OSError, http1.MalformedError) as error:
            if watch is self._watch:
                self._log_end("directory: watch ended", error=str(getattr(error, "real_error", None) or error))
        except Exception:
            log.exception("directory: fault")
        finally:
            if watch.stream is not None:
                watch.stream.close()
            self._predecessors.discard(watch)
        if watch is self._watch:
            watch.task = None
            self._drop()
            self._feed(Ended())

    def _socket(self) -> socket.socket:
        """For the next call. Raises OSError; a predecessor gives its descriptor up before that."""
        while True:
            try:
                return self._spare.take(self._at)
            except OSError:
                if not self._predecessors.drop_one():
                    raise

    async def _follow(self, watch: Watch) -> None:
        log.info("directory: asked", at=host_port(watch.at), since=self._version)
        stream = watch.stream = IOStream(self._socket())
        watch.version = self._version
        await watch.wait(stream.connect(watch.at))
        self._advance(watch, Connected())
        since = b"&since=%d" % watch.version if watch.version else b""
        if watch is self._watch:
            self._asked = monotonic()
        host = (b"Host", host_port(watch.at).encode())
        await watch.wait(stream.write(http1.write_request(b"GET", b"/discovery/hosts?follow=1" + since, [host])))
        answer = json_stream.ChunkStream()
        while not answer.done:
            begun, lines = answer.begun, answer.lines
            found = answer.feed(await watch.wait(stream.read_bytes(READ, partial=True)))
            if answer.head is not None and answer.head.status != 200:
                raise http1.MalformedError(502, f"no list: status {answer.head.status}")
            if found:
                self._documents(watch, found)
            if watch is not self._watch and watch not in self._predecessors:  # what it told has ended it
                return
            # Empty lines keep a watch alive, but not one that owes the end of a list: it would stay deaf.
            said = answer.lines > lines and not answer.begun
            if found or said:
                self._word = monotonic()
            if answer.begun and not begun or said:
                self._advance(watch, Heard())

    def _advance(self, watch: Watch, event: schedule.Event) -> None:
        """A call is further; that of a predecessor is no more than a sign of life."""
        if watch is self._watch:
            self._feed(event)
        else:
            self._predecessors.heard(watch)

    def _documents(self, watch: Watch, found: list[bytes]) -> None:
        """What came in one piece is told as one: a list may change a thousand times within a second.

        Raises MalformedError if there is one that is no list: what it told would be missing from then on.
        """
        listings = list[EndpointList]()
        try:
            for document in found:
                listings.append(self._listing(watch, document))
        finally:
            told = merge_lists(listings)
            if told is not None:
                self._take(watch, told)

    def _listing(self, watch: Watch, document: bytes) -> EndpointList:
        told = None
        with contextlib.suppress(ValueError):
            told = parse_list(json.loads(document))
        if told is None:
            if watch is self._watch and not watch.told:
                self._version = 0  # the same changes would be as little understood again
            raise http1.MalformedError(502, "no list")
        if not watch.told:
            watch.told = True
            log.info(
                "directory: answered",
                version=told.version,
                whole=told.complete,
                entries=len(told.entries),
                predecessor=watch is not self._watch,
                after_ms=round((monotonic() - watch.began) * 1000.0),
            )
        return told

    def _take(self, watch: Watch, told: EndpointList) -> None:
        """The newest call that has told a list is the one that counts."""
        self._predecessors.drop_older(watch)
        earlier, self._earlier = self._earlier, None
        if earlier is not None and not told.complete:
            self._tell(earlier, whole=True)  # what changed since then comes in the same moment
        resumed = self._watch is None and watch.at == self._at  # nothing newer has been asked yet
        if resumed:
            self._predecessors.discard(watch)
            self._watch = watch
        if watch is not self._watch:
            self._tell(told)
            return
        self._live, self._version = True, told.version or self._version
        self._tell(told)
        self._feed(Resumed() if resumed else Listed())

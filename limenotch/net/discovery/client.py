"""The client of discovery: it follows the endpoint list over a watch, a response that lasts as long as its connection.

`DiscoveryState` decides when to start a query and when to give one up; this module carries that out on sockets.
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
from .schedule import (
    Action,
    AddressChanged,
    Connected,
    DiscoveryState,
    LineReceived,
    ListReceived,
    TimerExpired,
    WatchEnded,
    WatchRequested,
    WatchResumed,
)
from .watch import RetiredWatches, SpareSocket, Watch

log = logs.get(__name__)

MAX_READ_BYTES = 64 * 1024  # in one read

ListCallback = Callable[[list[DiscoveredEndpoint], bool], None]  # entries; whether the list is complete


class DiscoveryClient:
    """Owns the watch. Each watch that fails or ends is reported once by `on_broken`, and replaced after a backoff.

    After discovery has changed its address, the watch at the old address continues until the new address has sent its
    list. Ending it earlier would lose the bytes that were received but not processed, and all changes until a
    congested discovery answers.
    """

    def __init__(
        self,
        address: Address,
        on_list: ListCallback,
        on_broken: Callable[[], None],
        tuning: settings.DiscoverySettings = settings.DiscoverySettings(),  # noqa: B008 (frozen)
        pushed: bool = False,
        random: Random | None = None,
    ) -> None:
        """Each list and each change is passed to `on_list`.

        Discovery sends an empty line every 2 s while nothing changes, so a watch that is silent for `tuning.silence_s`
        is broken even if its connection stays open. `pushed`: discovery is a nearby agent, and a change counts as known
        to this process as soon as the agent has it.
        """
        self._address = address
        self._on_list = on_list
        self._on_broken = on_broken
        self._loop = IOLoop.current()
        self._state = DiscoveryState(tuning.silence_s, random or Random(), pushed)
        self._watch: Watch | None = None
        self.max_document_bytes = json_stream.MAX_DOCUMENT_BYTES  # less with little memory
        self._retired = RetiredWatches(tuning.silence_s)
        self._spare_socket = SpareSocket()
        self._spare_socket.reserve(address)
        self._timer: object = None
        self._fallback_list: EndpointList | None = None  # an earlier list, used only if discovery stays silent
        self._version = 0  # of the newest list; 0: none, or discovery gave no version
        self._current = False  # whether the watch that received the newest list still runs
        self._queried_at = monotonic()  # s; when that watch sent its query
        self._last_update_at: float | None = None  # s; when a list, a change, or an empty line was last received
        self._trace = logs.tracing()

    # The list

    def use_known_list(self, raw: dict[str, Any]) -> None:
        """Uses `raw`, a list that was received earlier, until discovery answers. An invalid list is ignored."""
        known = parse_list(raw)
        if known is not None:
            self._version = known.version or self._version
            self._report_list(known, complete=True)

    def use_known_list_after(self, raw: dict[str, Any], wait_s: float) -> None:
        """Uses `raw`, a list that was received earlier, only if discovery sends nothing for `wait_s` seconds.

        Until then too, discovery is asked for the changes since the version of that list.
        """
        known = parse_list(raw)
        if known is not None:
            self._version = known.version or self._version
            self._fallback_list = known
            self._loop.call_later(wait_s, self._use_fallback_list)

    def _use_fallback_list(self) -> None:
        known = self._take_fallback_list()
        if known is not None:
            log.warning("discovery did not answer in time; using an earlier endpoint list")
            self._report_list(known, complete=True)

    def _take_fallback_list(self) -> EndpointList | None:
        known = self._fallback_list
        self._fallback_list = None
        return known

    def export_list(self, endpoints: Iterable[DiscoveredEndpoint]) -> dict[str, Any]:
        """`endpoints` as a list for `import_list` of the next process, with the address and version that it is from."""
        entries = [
            {
                "name": endpoint.name,
                "address": host_port(endpoint.address),
                "zone": endpoint.zone,
                "type": endpoint.kind,
                "group": endpoint.group,
                "status": endpoint.status.value,
                "weight": endpoint.weight,
                "since_ms": endpoint.started_ms,
            }
            for endpoint in endpoints
        ]
        return {"from": host_port(self._address), "index": self._version, "snapshot": True, "endpoints": entries}

    def import_list(self, raw: dict[str, Any]) -> None:
        """Uses a list that `export_list` returned in another process.

        The version of the list is kept only if that process had it from the same address of discovery.
        """
        self.use_known_list(raw)
        if raw.get("from") != host_port(self._address):
            self._version = 0

    def position(self) -> tuple[Address, int, bool, float]:
        """Discovery's address, the version of the newest list (0: it has none), whether the watch that received this
        list still runs, and how many milliseconds ago that watch sent its query.
        """
        return self._address, self._version, self._current, (monotonic() - self._queried_at) * 1000.0

    def silence_ms(self) -> float:
        """Milliseconds since the last update before the one being processed; infinite if there was none."""
        return math.inf if self._last_update_at is None else (monotonic() - self._last_update_at) * 1000.0

    def _report_list(self, received: EndpointList, complete: bool = False) -> None:
        complete = received.complete or complete
        if self._trace:
            log.debug(
                "told",
                version=received.version,
                whole=complete,
                entries=[[e.name, e.status.value, e.started_ms, e.kind, e.zone, e.weight] for e in received.entries],
            )
        self._on_list(received.entries, complete)

    # The watch

    def watch(self) -> None:
        """Starts to follow the list. From now on a watch that fails is replaced."""
        self._handle(WatchRequested())

    def move(self, address: Address) -> None:
        """Sets discovery's address. Updates from the old address are used until the new one has sent its list."""
        if address == self._address:
            return
        self._address = address
        self._version = 0  # the new address may number versions differently: a complete list is requested
        self._handle(AddressChanged())

    def set_pushed(self, pushed: bool) -> None:
        """Sets whether discovery is a nearby agent (see `__init__`); applies from the next failure of a watch on."""
        self._state.pushed = pushed

    def close(self) -> None:
        """Ends all watches; no further query is sent."""
        self._cancel_timer()
        self._drop()
        self._retired.close()
        self._spare_socket.close()

    def _handle(self, event: schedule.Event) -> None:
        for action in self._state.handle(monotonic(), event):
            if action is Action.OPEN_WATCH:
                self._watch = watch = Watch(self._address)
                watch.task = asyncio.get_running_loop().create_task(self._run(watch))
            elif action is Action.RETIRE_WATCH:
                self._log_end("discovery watch retired", moved=isinstance(event, AddressChanged))
                self._retire()
            else:
                self._report_broken()
        self._cancel_timer()
        if self._state.timer_at is not None:
            delay_s = max(self._state.timer_at - monotonic(), 0.0)
            self._timer = self._loop.call_later(delay_s, self._handle_timer)

    def _log_end(self, event: str, **fields: object) -> None:
        """Logs the end of the current watch, how long it ran, and whether it received a list."""
        watch = self._watch
        if watch is not None:
            after_ms = round((monotonic() - watch.started_at) * 1000.0)
            log.warning(event, at=host_port(self._address), after_ms=after_ms, listed=watch.list_received, **fields)

    def _handle_timer(self) -> None:
        if self._watch is not None and self._watch.has_unprocessed_result:
            # After a pause of the whole process the timer has expired and bytes have arrived: the bytes are processed
            # first, as they may show that the watch is alive.
            self._loop.add_callback(self._handle_timer)
        else:
            self._handle(TimerExpired())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
            self._timer = None

    def _detach_watch(self) -> Watch | None:
        watch = self._watch
        self._watch = None
        self._current = False
        return watch

    def _retire(self) -> None:
        """Replaces the current watch, which continues until its successor has received its list."""
        watch = self._detach_watch()
        if watch is not None:
            self._retired.add(watch)
            self._spare_socket.reserve(self._address)

    def _drop(self) -> None:
        watch = self._detach_watch()
        if watch is not None:
            watch.close()
            self._spare_socket.reserve(self._address)

    def _report_broken(self) -> None:
        try:
            self._on_broken()
        except Exception:  # a fault of the callback must not end the queries
            log.exception("discovery client: internal error in the callback for a failed watch")

    async def _run(self, watch: Watch) -> None:
        closed = False
        try:
            await self._follow(watch)
            closed = True
        except (StreamClosedError, OSError, http1.MalformedError) as error:
            closed = isinstance(error, StreamClosedError) and error.real_error is None
            if watch is self._watch:
                self._log_end("discovery watch ended", error=str(getattr(error, "real_error", None) or error))
        except Exception:
            log.exception("discovery client: internal error in a watch")
        finally:
            if watch.stream is not None:
                watch.stream.close()
            self._retired.discard(watch)
        if watch is self._watch:
            watch.task = None
            self._drop()
            self._handle(WatchEnded(closed))

    def _take_socket(self) -> socket.socket:
        """A socket for the next query; retired watches are closed to free a descriptor for it.

        Raises OSError if no descriptor is left and there is no retired watch to close.
        """
        while True:
            try:
                return self._spare_socket.take(self._address)
            except OSError:
                if not self._retired.drop_one():
                    raise

    async def _follow(self, watch: Watch) -> None:
        """Sends the query of the watch and processes the response to its end.

        Raises StreamClosedError or OSError, and MalformedError for a response that is not a stream of lists.
        """
        stream = await self._send_query(watch)
        response = json_stream.JsonStreamResponse(self.max_document_bytes)
        while not response.complete:
            pending_before = response.pending_bytes
            lines_before = response.lines_received
            documents = response.feed_part(await self._read(watch, stream))
            while response.has_more:
                await asyncio.sleep(0)
                documents += response.feed_part()
            if response.head is not None and response.head.status != 200:
                raise http1.MalformedError(502, f"discovery answered with status {response.head.status}")
            if documents:
                self._process_documents(watch, documents)
            if watch is not self._watch and watch not in self._retired:  # closed while its list was processed
                return
            # Empty lines show that a watch is alive, except within an incomplete list: its rest might never arrive.
            line_received = response.lines_received > lines_before and not response.pending_bytes
            if documents or line_received:
                self._last_update_at = monotonic()
            list_started = response.pending_bytes > 0 and pending_before == 0
            if list_started or line_received:
                self._handle_progress(watch, LineReceived())

    async def _read(self, watch: Watch, stream: IOStream) -> bytes:
        """The next bytes of the watch. Raises StreamClosedError."""
        data = asyncio.ensure_future(stream.read_bytes(MAX_READ_BYTES, partial=True))
        if data.done():
            await asyncio.sleep(0)  # clients come between the reads of a long list
        return await watch.wait(data)

    async def _send_query(self, watch: Watch) -> IOStream:
        log.info("directory: asked", at=host_port(watch.address), since=self._version)  # counted by lab/timeline.py
        stream = watch.stream = IOStream(self._take_socket())
        watch.version = self._version
        await watch.wait(stream.connect(watch.address))
        self._handle_progress(watch, Connected())
        since = b"&since=%d" % watch.version if watch.version else b""
        if watch is self._watch:
            self._queried_at = monotonic()
        host = (b"Host", host_port(watch.address).encode())
        await watch.wait(stream.write(http1.write_request(b"GET", b"/discovery/hosts?follow=1" + since, [host])))
        return stream

    def _handle_progress(self, watch: Watch, event: schedule.Event) -> None:
        """Handles the progress of a watch: an event if it is the current one, a sign of life if it is retired."""
        if watch is self._watch:
            self._handle(event)
        else:
            self._retired.restart_silence_timer(watch)

    def _process_documents(self, watch: Watch, documents: list[bytes]) -> None:
        """Reports documents that were received together as one list: there may be a thousand changes in a second.

        Raises MalformedError if a document is not a list, after reporting those before it: the watch has to end, as
        the changes in that document would be missing from then on.
        """
        lists = list[EndpointList]()
        try:
            for document in documents:
                lists.append(self._parse_document(watch, document))
        finally:
            received = merge_lists(lists)
            if received is not None:
                self._accept_list(watch, received)

    def _parse_document(self, watch: Watch, document: bytes) -> EndpointList:
        """A document as a list. Raises MalformedError if it is not one."""
        received = None
        with contextlib.suppress(ValueError):
            received = parse_list(json.loads(document))
        if received is None:
            if watch is self._watch and not watch.list_received:
                self._version = 0  # a complete list next time: the same changes would be unreadable again
            raise http1.MalformedError(502, "discovery sent a document that is not an endpoint list")
        if not watch.list_received:
            watch.list_received = True
            log.info(
                "endpoint list received from discovery",
                version=received.version,
                complete=received.complete,
                entries=len(received.entries),
                retired=watch is not self._watch,
                after_ms=round((monotonic() - watch.started_at) * 1000.0),
            )
        return received

    def _accept_list(self, watch: Watch, received: EndpointList) -> None:
        """Reports the list and closes all watches older than this one, as the newest list replaces theirs."""
        self._retired.drop_older(watch)
        known = self._take_fallback_list()
        if known is not None and not received.complete:
            self._report_list(known, complete=True)  # the changes since then follow at once
        resumed = self._watch is None and watch.address == self._address  # retired, and no newer query was started
        if resumed:
            self._retired.discard(watch)
            self._watch = watch
        if watch is not self._watch:
            self._report_list(received)
            return
        self._current = True
        self._version = received.version or self._version
        self._report_list(received)
        self._handle(WatchResumed() if resumed else ListReceived())

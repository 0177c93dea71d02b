"""Applies the affinity table to this sidecar's requests: idempotency keys, sessions, persistent connections.

| a request has | known when it arrives | result |
| --- | --- | --- |
| a key | where it went before | it goes to that zone or cell, where repeats are deduplicated, or is rejected |
| a key | nothing, and the table is incomplete | rejected if the client marks it as a repeat, else handled normally |
| a session, else a connection | the endpoint | it goes there while that endpoint accepts requests |

| an attempt | the key is |
| --- | --- |
| starts | bound, before the first byte is sent |
| never ran for certain, nor did any other with that key | unbound again, if this attempt bound it |
| may have run | bound for the deduplication window |

Sessions and connections are bound to the endpoint that served one of their requests. Keys are bound together with their
class and tenant, so that no tenant can use another tenant's keys.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ..balancing.types import Effect
from ..config import Config
from ..fleet.affinity import messages
from ..fleet.affinity.api import AvailableEndpoints, DeduplicationWindow, Kind, State
from ..fleet.affinity.core import Bindings
from ..fleet.affinity.tuning import Tuning
from ..fleet.hub import ComponentEvent
from ..fleet.interfaces import Component, Started
from ..load_balancer_types import NEVER_RAN, AttemptEnding, DiscoveredEndpoint, DiscoveryStatus, PlacementHint
from ..net.request import Attempt, FinalResponse, Request, Verdict
from .base import FleetAdapter, NodeContext, message_types

PREFIX = "bi."
MAX_EARLY_BINDINGS = 10_000  # bindings recorded before the component has started
COUNTS = ("keyed", "repeats", "unsure", "unbound", "crossed", "undone", "sessions", "connections")


@dataclass(slots=True)
class KeyAttempts:
    """The open requests of this process with one key, and their attempts."""

    requests: int = 0
    in_flight: int = 0  # attempts
    bound_here: bool = False  # bound by these attempts; no attempt except those in flight can have run
    must_stay: bool = False  # bound earlier, or an attempt may have run


@dataclass(slots=True)
class RequestBindings:
    """What one request binds."""

    key: bytes = b""
    session: bytes = b""
    connection: str = ""
    has_hint: bool = False
    table_changes: int = -1  # the table's `changes` when the key was not found there
    served_by: str = ""  # endpoint
    in_flight: int = 0  # attempts
    closed: bool = False


@dataclass(slots=True)
class ClientConnection:
    """A client's connection, and the endpoint that served its latest request."""

    key: bytes
    endpoint: str = ""


def composite_key(*parts: bytes) -> bytes:
    """Joins three parts into one key; the lengths of two make it unambiguous."""
    return b"%d %d " % (len(parts[0]), len(parts[1])) + b"".join(parts)


class StartedComponent:
    """The component, which receives at its start what the host knew before."""

    def __init__(self, adapter: AffinityAdapter, bindings: Bindings) -> None:
        self._adapter, self._bindings = adapter, bindings

    def handle(self, now: float, event: Any) -> list[Any]:
        actions = self._bindings.handle(now, event)
        if isinstance(event, Started):
            for initial_event in self._adapter.initial_events():
                actions += self._bindings.handle(now, initial_event)
            self._adapter.replay_early_bindings(now)
        return actions


class AffinityAdapter(FleetAdapter):
    """Connects the affinity component to the request manager and the fleet node."""

    name, prefix, is_replicated = "bindings", PREFIX, False
    messages = message_types(messages)

    def __init__(self, node: NodeContext, tuning: Tuning) -> None:
        super().__init__()
        self._node, self._tuning = node, tuning
        self._bindings = Bindings(node.name, node.process_epoch, node.key, tuning, int.from_bytes(os.urandom(8), "big"))
        self._table = self._bindings.table
        self._header = tuning.session.lower().encode("latin-1")
        self._windows: dict[str, float] = {}  # ms, of deduplicated classes
        self._classes: set[str] = set()  # removed classes stay: their keys are still bound
        self._endpoints: dict[str, DiscoveredEndpoint] = {}
        self._ejected: set[str] = set()
        self._available: dict[str, tuple[str, str]] = {}
        self._early_bindings: dict[tuple[Kind, bytes], tuple[str, State, bool]] | None = {}  # None: started
        self._key_attempts: dict[bytes, KeyAttempts] = {}
        self._request_bindings: dict[int, RequestBindings] = {}
        self._connections: dict[str, ClientConnection] = {}
        self._connection_count = 0
        self.counts = dict.fromkeys(COUNTS, 0)
        self.interceptor = self

    # Fleet adapter

    def component(self, state: bytes | None, index: int) -> Component:
        return StartedComponent(self, self._bindings)

    def initial_events(self) -> list[Any]:
        """Events that the component handles first."""
        return [AvailableEndpoints(self._available), DeduplicationWindow(max(self._windows.values(), default=0.0))]

    def replay_early_bindings(self, now: float) -> None:
        """Records the uses from before the component's start, which clears the table."""
        early, self._early_bindings = self._early_bindings or {}, None
        for (kind, key), (endpoint, state, charged) in early.items():
            self._table.record_use(now, kind, key, endpoint, state, charged)

    def configuration_applied(self, config: Config) -> None:
        windows = {
            cls.name: cls.dedup_window_ms
            for cls in config.settings.classes
            if cls.effect is Effect.DEDUPLICATED and cls.dedup_window_ms > 0
        }
        if windows != self._windows:
            self._windows = windows
            self._classes |= windows.keys()
            self._node.dispatch(ComponentEvent(PREFIX, DeduplicationWindow(max(windows.values(), default=0.0))))

    def endpoints_listed(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> None:
        known = {} if complete else self._endpoints
        known.update((endpoint.name, endpoint) for endpoint in endpoints)
        self._endpoints = {name: each for name, each in known.items() if each.status is not DiscoveryStatus.TERMINATED}
        self._publish_endpoints()

    def ejection_changed(self, name: str, ejected: bool, at_ms: float) -> None:
        if ejected:
            self._ejected.add(name)
        else:
            self._ejected.discard(name)
        self._publish_endpoints()

    def _publish_endpoints(self) -> None:
        """Sends the available endpoints at once: bindings of an endpoint that accepts no requests end now."""
        available = {
            name: (str(each.group), each.zone)
            for name, each in self._endpoints.items()
            if each.accepts_requests and name not in self._ejected
        }
        if available != self._available:
            self._available = available
            self._node.dispatch(ComponentEvent(PREFIX, AvailableEndpoints(available)))

    def connection_closed(self, origin: str) -> None:
        connection = self._connections.pop(origin, None)
        if connection is not None and connection.endpoint:
            self._record_use(Kind.CONN, connection.key, connection.endpoint, State.CLOSING)

    def status(self) -> dict[str, Any]:
        context = self._bindings.context
        return {
            "state": "whole" if self._table.complete else "joining",
            **self._table.status(),
            "calls": {**self.counts, "open": len(self._request_bindings)},
            "consumers": len(self._connections),
            "providers": len(self._available),
            "window_ms": max(self._windows.values(), default=0.0),
            "told": context.update_sender.seq,  # updates sent; "heard": sequence number received of each peer
            "heard": {peer.name: peer.last_seq for peer in context.peers.alive_peers()},
        }

    # Request interceptor

    def request_received(self, request: Request) -> FinalResponse | None:
        details, bindings = request.details, RequestBindings()
        if self._tuning.keys and details.idempotency_key and request.class_name in self._classes:
            bindings.key = composite_key(request.class_name.encode(), request.tenant.encode(), details.idempotency_key)
            final = self._look_up_key(request, bindings)
            if final is not None:
                return final
        if self._header:
            value = details.fields.get(self._header)
            if value:
                bindings.session = composite_key(request.tenant.encode(), b"", value)
                self.counts["sessions"] += 1
                if request.placement_hint is None:
                    self._prefer_bound_endpoint(request, Kind.SESSION, bindings.session)
        if self._tuning.connections and details.connection:
            bindings.connection = details.connection
            connection = self._connections.get(details.connection)
            if connection is None:
                self._connection_count += 1
                # Another connection from the same address gets another key.
                number = b"%d %d" % (self._node.process_epoch, self._connection_count)
                connection = self._connections[details.connection] = ClientConnection(
                    composite_key(self._node.name.encode(), b"", number)
                )
            self.counts["connections"] += 1
            if request.placement_hint is None and connection.endpoint:
                self._prefer_bound_endpoint(request, Kind.CONN, connection.key)
        if bindings.key or bindings.session or bindings.connection:
            self._request_bindings[request.number] = bindings
        return None

    def _look_up_key(self, request: Request, bindings: RequestBindings) -> FinalResponse | None:
        self.counts["keyed"] += 1
        bound = self._table.find(self._node.now(), Kind.KEY, bindings.key)
        if bound is None and request.details.is_retry and not self._table.complete:
            self.counts["unsure"] += 1
            return FinalResponse(Verdict.REJECTED)
        if bound is not None:
            self.counts["repeats"] += 1
            request.already_charged = request.already_charged or bound.charged
            # The window counts from the first request with this key, wherever its latest repeat arrived.
            request.placement_hint = PlacementHint(
                may_have_run=True, zone=bound.zone, group=_group_number(bound.cell), age_ms=bound.age_ms
            )
            bindings.has_hint = True
        else:
            bindings.table_changes = self._table.changes
        attempts = self._key_attempts.get(bindings.key)
        if attempts is None:
            attempts = self._key_attempts[bindings.key] = KeyAttempts()
        attempts.requests += 1
        return None

    def _prefer_bound_endpoint(self, request: Request, kind: Kind, key: bytes) -> None:
        bound = self._table.find(self._node.now(), kind, key)
        if bound is not None:
            request.placement_hint = PlacementHint(preferred_endpoint=bound.endpoint)

    def attempt_started(self, attempt: Attempt) -> None:
        bindings = self._request_bindings.get(attempt.request.number)
        if bindings is None:
            return
        bindings.in_flight += 1
        if not bindings.key:
            return
        attempts = self._key_attempts[bindings.key]
        attempts.in_flight += 1
        if not (attempts.bound_here or attempts.must_stay):
            already_bound = bindings.has_hint
            if not already_bound and bindings.table_changes != self._table.changes:
                already_bound = self._table.find(self._node.now(), Kind.KEY, bindings.key) is not None
                self.counts["crossed"] += already_bound  # a peer's binding arrived while the request was queued
            attempts.bound_here, attempts.must_stay = not already_bound, already_bound
        if not self._record_use(Kind.KEY, bindings.key, attempt.endpoint_name, State.OPENING):
            self.counts["unbound"] += 1
            attempts.bound_here = False

    def attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        request = attempt.request
        bindings = self._request_bindings.get(request.number)
        if bindings is None:
            return
        bindings.in_flight -= 1
        if ending is AttemptEnding.SERVED and not bindings.served_by:
            bindings.served_by = attempt.endpoint_name
        if bindings.key:
            attempts = self._key_attempts[bindings.key]
            attempts.in_flight -= 1
            if ending not in NEVER_RAN:
                attempts.bound_here, attempts.must_stay = False, True
            elif attempts.bound_here and not attempts.in_flight:
                attempts.bound_here = False
                self._undo(bindings.key)
        self._finish(request.number, bindings)

    def request_closed(self, request: Request) -> None:
        bindings = self._request_bindings.get(request.number)
        if bindings is None:
            return
        bindings.closed = True
        if request.final is not None and request.final.verdict is Verdict.SERVED:
            # A streamed response is delivered before its attempt has ended.
            endpoint = bindings.served_by or next(
                (each.endpoint_name for each in request.attempts if each.response_began_at), ""
            )
            if endpoint:
                self._record_served(bindings, endpoint)
        self._finish(request.number, bindings)

    def _record_served(self, bindings: RequestBindings, endpoint: str) -> None:
        if bindings.key:
            self._record_use(Kind.KEY, bindings.key, endpoint, State.OPEN, True)
        if bindings.session:
            self._record_use(Kind.SESSION, bindings.session, endpoint, State.OPEN)
        connection = self._connections.get(bindings.connection)
        if connection is not None:
            connection.endpoint = endpoint
            self._record_use(Kind.CONN, connection.key, endpoint, State.OPEN)

    def _finish(self, number: int, bindings: RequestBindings) -> None:
        if not bindings.closed or bindings.in_flight:
            return
        del self._request_bindings[number]
        if bindings.key:
            attempts = self._key_attempts[bindings.key]
            attempts.requests -= 1
            if not attempts.requests:
                del self._key_attempts[bindings.key]

    # The table

    def _record_use(self, kind: Kind, key: bytes, endpoint: str, state: State, charged: bool = False) -> bool:
        early = self._early_bindings
        if early is not None and len(early) < MAX_EARLY_BINDINGS:
            early[kind, key] = endpoint, state, charged
        return self._table.record_use(self._node.now(), kind, key, endpoint, state, charged)

    def _undo(self, key: bytes) -> None:
        self.counts["undone"] += 1
        if self._early_bindings is not None:
            self._early_bindings.pop((Kind.KEY, key), None)
        self._table.undo(self._node.now(), Kind.KEY, key)


def _group_number(cell: str) -> int:
    """The cell's number in discovery; -1, which no endpoint has, if the text is not a number."""
    try:
        return int(cell)
    except ValueError:
        return -1

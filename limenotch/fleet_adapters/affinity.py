"""What belongs to which provider, put to use at this sidecar: keyed calls, sessions, kept connections.

| of a call | known when it is taken | then |
| --- | --- | --- |
| its key | where it went before | only there its repeat is dropped: it goes to that zone or cell, or is rejected |
| its key | nothing, and the table is not whole | rejected if its consumer marks it as a repeat, else as any other |
| its session, else its connection | the provider | it goes there while that one may take work |

| an attempt | its key is |
| --- | --- |
| is being made | bound, before the first byte |
| surely never ran, as no other of that key has | free again, if it was bound by it |
| may have run | bound for the window |

What is seen is seen by whoever served: sessions and connections are bound when a call of theirs is. Keys are bound with
their class and tenant, so that no tenant reaches another's.
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
MOST_EARLY = 10_000  # bindings of calls that came before this process was among the others
COUNTS = ("keyed", "repeats", "unsure", "unbound", "crossed", "undone", "sessions", "connections")


@dataclass(slots=True)
class Use:
    """Of one key, by the calls of this process that are open."""

    calls: int = 0
    out: int = 0  # attempts
    ours: bool = False  # bound by these, and nothing of it can have run but what is out
    stands: bool = False  # bound before, or something may have run


@dataclass(slots=True)
class Mine:
    """Of one call: what of it is bound."""

    key: bytes = b""
    session: bytes = b""
    origin: str = ""
    hinted: bool = False
    changes: int = -1  # of the table, when its key was not found there
    served: str = ""  # by which provider
    out: int = 0
    closed: bool = False


@dataclass(slots=True)
class Kept:
    """A consumer's connection."""

    key: bytes
    endpoint: str = ""


def joined(*parts: bytes) -> bytes:
    """One key of several: other parts make another one, wherever they are cut."""
    return b"%d %d " % (len(parts[0]), len(parts[1])) + b"".join(parts)


class Begun:
    """The part, told at its beginning what the host knew before."""

    def __init__(self, layer: AffinityAdapter, bindings: Bindings) -> None:
        self._layer, self._bindings = layer, bindings

    def handle(self, now: float, event: Any) -> list[Any]:
        actions = self._bindings.handle(now, event)
        if isinstance(event, Started):
            for first in self._layer.first():
                actions += self._bindings.handle(now, first)
            self._layer.again(now)
        return actions


class AffinityAdapter(FleetAdapter):
    name, prefix, is_replicated = "bindings", PREFIX, False
    messages = message_types(messages)

    def __init__(self, among: NodeContext, tuning: Tuning) -> None:
        super().__init__()
        self._among, self._tuning = among, tuning
        self._bindings = Bindings(
            among.name, among.process_epoch, among.key, tuning, int.from_bytes(os.urandom(8), "big")
        )
        self._table = self._bindings.table
        self._header = tuning.session.lower().encode("latin-1")
        self._windows: dict[str, float] = {}  # of keyed classes
        self._classes: set[str] = set()  # a class that no longer is has bindings of before
        self._listed: dict[str, DiscoveredEndpoint] = {}
        self._out: set[str] = set()
        self._there: dict[str, tuple[str, str]] = {}
        self._early: dict[tuple[Kind, bytes], tuple[str, State, bool]] | None = {}  # None: the part has begun
        self._uses: dict[bytes, Use] = {}
        self._mine: dict[int, Mine] = {}
        self._conns: dict[str, Kept] = {}
        self._conn = 0
        self.counts = dict.fromkeys(COUNTS, 0)
        self.interceptor = self

    # As a layer

    def component(self, state: bytes | None, index: int) -> Component:
        return Begun(self, self._bindings)

    def first(self) -> list[Any]:
        """What the part is to know before anything else."""
        return [AvailableEndpoints(self._there), DeduplicationWindow(max(self._windows.values(), default=0.0))]

    def again(self, now: float) -> None:
        """What was bound before the part had begun, which begins with an empty table."""
        early, self._early = self._early or {}, None
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
            self._among.dispatch(ComponentEvent(PREFIX, DeduplicationWindow(max(windows.values(), default=0.0))))

    def endpoints_listed(self, endpoints: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        held = {} if whole else self._listed
        held.update((endpoint.name, endpoint) for endpoint in endpoints)
        self._listed = {name: each for name, each in held.items() if each.status is not DiscoveryStatus.TERMINATED}
        self._tell()

    def ejection_changed(self, name: str, out: bool, at_ms: float) -> None:
        if out:
            self._out.add(name)
        else:
            self._out.discard(name)
        self._tell()

    def _tell(self) -> None:
        """At once: what may take no work keeps nothing from now on."""
        there = {
            name: (str(each.group), each.zone)
            for name, each in self._listed.items()
            if each.accepts_requests and name not in self._out
        }
        if there != self._there:
            self._there = there
            self._among.dispatch(ComponentEvent(PREFIX, AvailableEndpoints(there)))

    def connection_closed(self, origin: str) -> None:
        kept = self._conns.pop(origin, None)
        if kept is not None and kept.endpoint:
            self._see(Kind.CONN, kept.key, kept.endpoint, State.CLOSING)

    def status(self) -> dict[str, Any]:
        context = self._bindings.context
        return {
            "state": "whole" if self._table.complete else "joining",
            **self._table.status(),
            "calls": {**self.counts, "open": len(self._mine)},
            "consumers": len(self._conns),
            "providers": len(self._there),
            "window_ms": max(self._windows.values(), default=0.0),
            "told": context.update_sender.seq,  # words of sights so far; of each other member, those heard here:
            "heard": {peer.name: peer.last_seq for peer in context.peers.alive_peers()},
        }

    # Calls

    def request_received(self, call: Request) -> FinalResponse | None:
        about, mine = call.details, Mine()
        if self._tuning.keys and about.idempotency_key and call.class_name in self._classes:
            mine.key = joined(call.class_name.encode(), call.tenant.encode(), about.idempotency_key)
            final = self._keyed(call, mine)
            if final is not None:
                return final
        if self._header:
            value = about.fields.get(self._header)
            if value:
                mine.session = joined(call.tenant.encode(), b"", value)
                self.counts["sessions"] += 1
                if call.placement_hint is None:
                    self._prefer(call, Kind.SESSION, mine.session)
        if self._tuning.connections and about.connection:
            mine.origin = about.connection
            kept = self._conns.get(about.connection)
            if kept is None:
                self._conn += 1
                own = b"%d %d" % (self._among.process_epoch, self._conn)  # another connection from there is another one
                kept = self._conns[about.connection] = Kept(joined(self._among.name.encode(), b"", own))
            self.counts["connections"] += 1
            if call.placement_hint is None and kept.endpoint:
                self._prefer(call, Kind.CONN, kept.key)
        if mine.key or mine.session or mine.origin:
            self._mine[call.number] = mine
        return None

    def _keyed(self, call: Request, mine: Mine) -> FinalResponse | None:
        self.counts["keyed"] += 1
        bound = self._table.find(self._among.now(), Kind.KEY, mine.key)
        if bound is None and call.details.is_retry and not self._table.complete:
            self.counts["unsure"] += 1
            return FinalResponse(Verdict.REJECTED)
        if bound is not None:
            self.counts["repeats"] += 1
            call.already_charged = call.already_charged or bound.charged
            # The window counts from the first of them, wherever its latest repeat was seen.
            call.placement_hint = PlacementHint(
                may_have_run=True, zone=bound.zone, group=_group(bound.cell), age_ms=bound.age_ms
            )
            mine.hinted = True
        else:
            mine.changes = self._table.changes
        use = self._uses.get(mine.key)
        if use is None:
            use = self._uses[mine.key] = Use()
        use.calls += 1
        return None

    def _prefer(self, call: Request, kind: Kind, key: bytes) -> None:
        bound = self._table.find(self._among.now(), kind, key)
        if bound is not None:
            call.placement_hint = PlacementHint(preferred_endpoint=bound.endpoint)

    def attempt_started(self, invoker_call: Attempt) -> None:
        mine = self._mine.get(invoker_call.request.number)
        if mine is None:
            return
        mine.out += 1
        if not mine.key:
            return
        use = self._uses[mine.key]
        use.out += 1
        if not (use.ours or use.stands):
            known = mine.hinted
            if not known and mine.changes != self._table.changes:
                known = self._table.find(self._among.now(), Kind.KEY, mine.key) is not None
                self.counts["crossed"] += known  # told of while this one waited to be sent
            use.ours, use.stands = not known, known
        if not self._see(Kind.KEY, mine.key, invoker_call.endpoint_name, State.OPENING):
            self.counts["unbound"] += 1
            use.ours = False

    def attempt_ended(self, invoker_call: Attempt, ending: AttemptEnding) -> None:
        call = invoker_call.request
        mine = self._mine.get(call.number)
        if mine is None:
            return
        mine.out -= 1
        if ending is AttemptEnding.SERVED and not mine.served:
            mine.served = invoker_call.endpoint_name
        if mine.key:
            use = self._uses[mine.key]
            use.out -= 1
            if ending not in NEVER_RAN:
                use.ours, use.stands = False, True
            elif use.ours and not use.out:
                use.ours = False
                self._undo(mine.key)
        self._over(call.number, mine)

    def request_closed(self, call: Request) -> None:
        mine = self._mine.get(call.number)
        if mine is None:
            return
        mine.closed = True
        if call.final is not None and call.final.verdict is Verdict.SERVED:
            # A long answer is the call's answer before its attempt has ended.
            by = mine.served or next((each.endpoint_name for each in call.attempts if each.response_began_at), "")
            if by:
                self._served(mine, by)
        self._over(call.number, mine)

    def _served(self, mine: Mine, by: str) -> None:
        if mine.key:
            self._see(Kind.KEY, mine.key, by, State.OPEN, True)
        if mine.session:
            self._see(Kind.SESSION, mine.session, by, State.OPEN)
        kept = self._conns.get(mine.origin)
        if kept is not None:
            kept.endpoint = by
            self._see(Kind.CONN, kept.key, by, State.OPEN)

    def _over(self, number: int, mine: Mine) -> None:
        if not mine.closed or mine.out:
            return
        del self._mine[number]
        if mine.key:
            use = self._uses[mine.key]
            use.calls -= 1
            if not use.calls:
                del self._uses[mine.key]

    # The table

    def _see(self, kind: Kind, key: bytes, endpoint: str, state: State, charged: bool = False) -> bool:
        early = self._early
        if early is not None and len(early) < MOST_EARLY:
            early[kind, key] = endpoint, state, charged
        return self._table.record_use(self._among.now(), kind, key, endpoint, state, charged)

    def _undo(self, key: bytes) -> None:
        self.counts["undone"] += 1
        if self._early is not None:
            self._early.pop((Kind.KEY, key), None)
        self._table.undo(self._among.now(), Kind.KEY, key)


def _group(cell: str) -> int:
    """As the directory numbers it; -1, where nobody is, for what is no number."""
    try:
        return int(cell)
    except ValueError:
        return -1

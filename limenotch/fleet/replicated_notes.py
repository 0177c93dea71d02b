"""Replicated notes: texts that operators store in the fleet under an id. A layer on the log; decisions only, no I/O.

Rules
- The first text under an id stays. The same text again is the same note; another text is answered `other`.
- A request is confirmed when its entry is committed *and* applied here: only then is the effect of the entry known.
- At most MAX_NOTES are stored and none is ever dropped: a later note is `full`, on all nodes at the same entry.
- A read first gets a read index from the log: it sees all notes confirmed anywhere before the read was requested.

| request | outcomes |
| --- | --- |
| keep | kept; other, full, refused (all three: surely not stored); unknown |
| read | found, none; refused |
| list | listed; refused |
| voters | done; refused, unknown |

Each request gets one response, within the log's own time limit (`ask_ms`) plus APPLY_TIMEOUT_MS.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from . import interfaces
from .consensus import api

MAX_NOTES = 1000
MAX_NOTE_BYTES = 4096  # of the text of one note
MAX_PENDING_REQUESTS = 256  # pending requests
APPLY_TIMEOUT_MS = 5000.0  # time limit for a committed entry to be applied here


class OperatorRequest(NamedTuple):
    """`kind`: keep, read, list, voters. For voters, `id` is added and `remove` removed; either may be empty."""

    ticket: int
    kind: str
    id: str = ""
    text: bytes = b""
    remove: str = ""


class OperatorResponse(NamedTuple):
    """The outcome of a request, as in the table above."""

    ticket: int
    outcome: str
    reason: str = ""  # the reason; for `refused` with the leader's name if one is known
    body: bytes = b""
    index: int = 0  # type: ignore[assignment]


class _Unapplied(NamedTuple):
    """A committed note that is not applied here yet."""

    request: OperatorRequest
    index: int  # type: ignore[assignment] # of the commit
    expires_at_ms: float


_table: msgspec.msgpack.Decoder[dict[str, tuple[int, bytes]]] = msgspec.msgpack.Decoder(dict[str, tuple[int, bytes]])
_entry: msgspec.msgpack.Decoder[tuple[str, bytes]] = msgspec.msgpack.Decoder(tuple[str, bytes])


def _digest(text: bytes) -> str:
    return blake2b(text, digest_size=16).hexdigest()


class ReplicatedNotes:
    """The notes stored by the fleet: a state machine on the log."""

    def __init__(self, state: bytes | None = None, index: int = 0) -> None:
        """`state`: of the snapshot found at the start, which was made after `index`. Raises msgspec.DecodeError."""
        self._notes: dict[str, tuple[int, bytes]] = _table.decode(state) if state else {}
        self._applied = index
        self._pending: dict[int, OperatorRequest] = {}
        self._unapplied: dict[int, _Unapplied] = {}
        self._now = float("-inf")
        self._actions: list[Any] = []
        self.unreadable_entries = 0  # entries that cannot be decoded: written by a later version

    def __len__(self) -> int:
        """The number of notes."""
        return len(self._notes)

    def state(self) -> bytes:
        """All notes as bytes, for a snapshot of the log."""
        return msgspec.msgpack.encode(self._notes)

    def handle(self, now: float, event: Any) -> list[Any]:
        """Raises TypeError on an unknown event, ValueError where `now` runs backwards."""
        if now < self._now:
            raise ValueError(f"time runs backwards from {self._now} to {now}")
        self._now, self._actions = now, []
        if isinstance(event, OperatorRequest):
            self._handle_request(event)
        elif isinstance(event, api.EntryCommitted):
            self._apply(event)
        elif isinstance(event, api.SnapshotInstalled):
            self._notes, self._applied = _table.decode(event.state), event.index
        elif isinstance(event, api.ProposalCommitted):
            self._on_committed(event)
        elif isinstance(event, api.ReadReady):
            self._on_read_ready(event)
        elif isinstance(event, api.ProposalRejected):
            self._end_request(event.ticket, "refused", event.why + (f"; {event.leader} leads" if event.leader else ""))
        elif isinstance(event, api.OutcomeUnknown):
            self._end_request(event.ticket, "unknown", "perhaps: ask again with the same id")
        elif not isinstance(event, _IGNORED_EVENTS):
            raise TypeError(f"not an event of replicated notes: {event!r}")
        self._answer_applied()
        return self._actions

    def _handle_request(self, request: OperatorRequest) -> None:
        if len(self._pending) + len(self._unapplied) >= MAX_PENDING_REQUESTS:
            self._actions.append(OperatorResponse(request.ticket, "refused", "busy"))
            return
        if request.kind == "keep":
            if len(request.text) > MAX_NOTE_BYTES:
                self._actions.append(OperatorResponse(request.ticket, "refused", "too large"))
                return
            # Another text under the same id is a proposal of its own: else it would be confirmed and not stored.
            proposal_id = f"{request.id} {_digest(request.text)}"
            self._actions.append(
                api.Propose(request.ticket, msgspec.msgpack.encode((request.id, request.text)), proposal_id)
            )
        elif request.kind == "voters":
            self._actions.append(api.ChangeVoters(request.ticket, request.id, request.remove))
        elif request.kind in ("read", "list"):
            self._actions.append(api.ReadIndex(request.ticket))
        else:
            raise TypeError(f"unknown request: {request!r}")
        self._pending[request.ticket] = request

    def _apply(self, event: api.EntryCommitted) -> None:
        self._applied = event.index
        try:
            note_id, text = _entry.decode(event.data)
        except msgspec.DecodeError:
            self.unreadable_entries += 1
            return
        if note_id not in self._notes and len(self._notes) < MAX_NOTES:
            self._notes[note_id] = (event.index, text)

    def _on_committed(self, event: api.ProposalCommitted) -> None:
        request = self._pending.pop(event.ticket, None)
        if request is None:
            return
        if request.kind == "voters":
            self._actions.append(OperatorResponse(request.ticket, "done", index=event.index))
            return
        expires_at_ms = self._now + APPLY_TIMEOUT_MS
        self._unapplied[request.ticket] = _Unapplied(request, event.index, expires_at_ms)
        if event.index > self._applied:
            self._actions.append(interfaces.SetTimer(expires_at_ms, 1))

    def _on_read_ready(self, event: api.ReadReady) -> None:
        request = self._pending.pop(event.ticket, None)
        if request is None:
            return
        if request.kind == "list":
            listed = msgspec.json.encode(
                [{"id": note_id, "index": index} for note_id, (index, _) in self._notes.items()]
            )
            self._actions.append(OperatorResponse(request.ticket, "listed", body=listed))
        elif (note := self._notes.get(request.id)) is not None:
            self._actions.append(OperatorResponse(request.ticket, "found", body=note[1], index=note[0]))
        else:
            self._actions.append(OperatorResponse(request.ticket, "none", f"nothing is promised under {request.id!r}"))

    def _end_request(self, ticket: int, outcome: str, reason: str) -> None:
        if self._pending.pop(ticket, None) is not None:
            self._actions.append(OperatorResponse(ticket, outcome, reason))

    def _answer_applied(self) -> None:
        """Answers requests whose entry is applied now, or whose time is over."""
        for ticket, (request, index, expires_at_ms) in list(self._unapplied.items()):
            if index <= self._applied:
                del self._unapplied[ticket]
                self._actions.append(self._outcome(request))
            elif self._now >= expires_at_ms:
                del self._unapplied[ticket]
                self._actions.append(OperatorResponse(ticket, "unknown", "promised, but not applied here yet: read it"))

    def _outcome(self, request: OperatorRequest) -> OperatorResponse:
        note = self._notes.get(request.id)
        if note is None:
            return OperatorResponse(request.ticket, "full", f"{MAX_NOTES} promises are kept, none is dropped")
        if note[1] != request.text:
            return OperatorResponse(request.ticket, "other", f"{request.id!r} has other words", index=note[0])
        return OperatorResponse(request.ticket, "kept", index=note[0])


_IGNORED_EVENTS = (
    interfaces.Started,
    interfaces.ShutdownStarted,
    interfaces.TimerFired,
    interfaces.MemberChanged,
    interfaces.Fenced,
    api.LeaderChanged,
)

"""Promises: an operator's words kept by the fleet under an id. A layer above the log; decisions only.

Rules
- The first words under an id stand. The same words again are the same promise; others are told `other`.
- Yes is said when the log has promised it *and* it is applied here: what comes of an entry is known only then.
- At most MOST are kept, and none is ever dropped: what comes after is `full`, everywhere at the same entry.
- A read is asked of the log first: it sees all that was promised, anywhere, before it was asked.

| OperatorRequest | OperatorResponse's word |
| --- | --- |
| keep | kept; other, full, refused (all three: surely not); unknown |
| read | found, none; refused |
| list | listed; refused |
| voters | done; refused, unknown |

Each OperatorRequest gets one OperatorResponse, by the log's own bound in time (`ask_ms`) and LATE_MS after it.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from . import interfaces
from .consensus import api

MOST = 1000
MOST_BYTES = 4096  # of one promise's words
MOST_ASKED = 256  # that wait for an answer
LATE_MS = 5000.0  # for what is promised to be applied here


class OperatorRequest(NamedTuple):
    """`what`: keep, read, list, voters. For voters `id` is to be added and `other` removed; either may be empty."""

    ticket: int
    what: str
    id: str = ""
    words: bytes = b""
    other: str = ""


class OperatorResponse(NamedTuple):
    """What became of an OperatorRequest, as the table above says."""

    ticket: int
    word: str
    text: str = ""  # why; for `refused` with the leader's name, if one is known
    body: bytes = b""
    index: int = 0  # type: ignore[assignment]


class _Waits(NamedTuple):
    ask: OperatorRequest
    index: int  # type: ignore[assignment] # promised at
    until: float


_table: msgspec.msgpack.Decoder[dict[str, tuple[int, bytes]]] = msgspec.msgpack.Decoder(dict[str, tuple[int, bytes]])
_entry: msgspec.msgpack.Decoder[tuple[str, bytes]] = msgspec.msgpack.Decoder(tuple[str, bytes])


def _digest(words: bytes) -> str:
    return blake2b(words, digest_size=16).hexdigest()


class ReplicatedNotes:
    """The notes that the fleet keeps: a state machine above the log."""

    def __init__(self, state: bytes | None = None, index: int = 0) -> None:
        """`state`: of the snapshot found at the start, which was made after `index`. Raises msgspec.DecodeError."""
        self._kept: dict[str, tuple[int, bytes]] = _table.decode(state) if state else {}
        self._applied = index
        self._asked: dict[int, OperatorRequest] = {}
        self._waits: dict[int, _Waits] = {}
        self._now = float("-inf")
        self._out: list[Any] = []
        self.bad = 0  # entries that can't be read: a later program's

    def __len__(self) -> int:
        return len(self._kept)

    def state(self) -> bytes:
        """All notes as bytes, for a snapshot of the log."""
        return msgspec.msgpack.encode(self._kept)

    def handle(self, now: float, event: Any) -> list[Any]:
        """Raises TypeError on what is no event of it, ValueError where `now` runs back."""
        if now < self._now:
            raise ValueError(f"time runs back from {self._now} to {now}")
        self._now, self._out = now, []
        if isinstance(event, OperatorRequest):
            self._ask(event)
        elif isinstance(event, api.EntryCommitted):
            self._agreed(event)
        elif isinstance(event, api.SnapshotInstalled):
            self._kept, self._applied = _table.decode(event.state), event.index
        elif isinstance(event, api.ProposalCommitted):
            self._promised(event)
        elif isinstance(event, api.ReadReady):
            self._ready(event)
        elif isinstance(event, api.ProposalRejected):
            self._end(event.ticket, "refused", event.why + (f"; {event.leader} leads" if event.leader else ""))
        elif isinstance(event, api.OutcomeUnknown):
            self._end(event.ticket, "unknown", "perhaps: ask again with the same id")
        elif not isinstance(event, _HEEDLESS):
            raise TypeError(f"no event of promises: {event!r}")
        self._look()
        return self._out

    def _ask(self, ask: OperatorRequest) -> None:
        if len(self._asked) + len(self._waits) >= MOST_ASKED:
            self._out.append(OperatorResponse(ask.ticket, "refused", "busy"))
            return
        if ask.what == "keep":
            if len(ask.words) > MOST_BYTES:
                self._out.append(OperatorResponse(ask.ticket, "refused", "too large"))
                return
            # Other words under the same id are an entry of their own: they must not be told that they are promised.
            ident = f"{ask.id} {_digest(ask.words)}"
            self._out.append(api.Propose(ask.ticket, msgspec.msgpack.encode((ask.id, ask.words)), ident))
        elif ask.what == "voters":
            self._out.append(api.ChangeVoters(ask.ticket, ask.id, ask.other))
        elif ask.what in ("read", "list"):
            self._out.append(api.ReadIndex(ask.ticket))
        else:
            raise TypeError(f"nothing to ask: {ask!r}")
        self._asked[ask.ticket] = ask

    def _agreed(self, event: api.EntryCommitted) -> None:
        self._applied = event.index
        try:
            ident, words = _entry.decode(event.data)
        except msgspec.DecodeError:
            self.bad += 1
            return
        if ident not in self._kept and len(self._kept) < MOST:
            self._kept[ident] = (event.index, words)

    def _promised(self, event: api.ProposalCommitted) -> None:
        ask = self._asked.pop(event.ticket, None)
        if ask is None:
            return
        if ask.what == "voters":
            self._out.append(OperatorResponse(ask.ticket, "done", index=event.index))
            return
        until = self._now + LATE_MS
        self._waits[ask.ticket] = _Waits(ask, event.index, until)
        if event.index > self._applied:
            self._out.append(interfaces.SetTimer(until, 1))

    def _ready(self, event: api.ReadReady) -> None:
        ask = self._asked.pop(event.ticket, None)
        if ask is None:
            return
        if ask.what == "list":
            listed = msgspec.json.encode([{"id": one, "index": at} for one, (at, _) in self._kept.items()])
            self._out.append(OperatorResponse(ask.ticket, "listed", body=listed))
        elif (held := self._kept.get(ask.id)) is not None:
            self._out.append(OperatorResponse(ask.ticket, "found", body=held[1], index=held[0]))
        else:
            self._out.append(OperatorResponse(ask.ticket, "none", f"nothing is promised under {ask.id!r}"))

    def _end(self, ticket: int, word: str, text: str) -> None:
        if self._asked.pop(ticket, None) is not None:
            self._out.append(OperatorResponse(ticket, word, text))

    def _look(self) -> None:
        """What is promised and now applied, or too late."""
        for ticket, (ask, index, until) in list(self._waits.items()):
            if index <= self._applied:
                del self._waits[ticket]
                self._out.append(self._outcome(ask))
            elif self._now >= until:
                del self._waits[ticket]
                self._out.append(OperatorResponse(ticket, "unknown", "promised, but not applied here yet: read it"))

    def _outcome(self, ask: OperatorRequest) -> OperatorResponse:
        held = self._kept.get(ask.id)
        if held is None:
            return OperatorResponse(ask.ticket, "full", f"{MOST} promises are kept, none is dropped")
        if held[1] != ask.words:
            return OperatorResponse(ask.ticket, "other", f"{ask.id!r} has other words", index=held[0])
        return OperatorResponse(ask.ticket, "kept", index=held[0])


_HEEDLESS = (
    interfaces.Started,
    interfaces.ShutdownStarted,
    interfaces.TimerFired,
    interfaces.MemberChanged,
    interfaces.Fenced,
    api.LeaderChanged,
)

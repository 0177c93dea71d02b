"""Proposals, reads and changes of voters that wait for an answer: one's own, and those that others forward.

- Each gets one answer: promised, ready, refused (surely not agreed), or unknown. Over a bound: refused at once.
- An id among the latest agreed, or on its way, is not appended again: the asker waits for, or is told, the first one's
  index.
- Who doesn't lead forwards to who does; no answer within ask_ms, or another leader meanwhile: unknown.
- A read's index is fixed once the leader's own epoch has something agreed; it is answered when the lease holds, or when
  a quorum has answered a round begun since.

Source: thesis, section 6.3 (exactly once), 6.4 (reads).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...store.records import LogEntry
from ..interfaces import Carrier
from . import api, messages
from .log import COMMAND
from .node import NEVER, Node, decode, encode
from .replicate import Leading


@dataclass(frozen=True, slots=True)
class Asker:
    ticket: int
    name: str = ""  # who forwarded it; empty: oneself
    process_epoch: int = 0


@dataclass(slots=True)
class Read:
    asker: Asker
    until: float
    index: int = -1
    round: int = 0


@dataclass(slots=True)
class Forwarded:
    kind: str
    until: float


class Asks:
    def __init__(self, node: Node, leading: Leading) -> None:
        self._node, self._leading = node, leading
        self._by_index: dict[int, list[Asker]] = {}
        self._waiting = 0
        self._by_id: dict[str, int] = {}
        self._reads: list[Read] = []
        self._forwarded: dict[int, Forwarded] = {}
        self._ready: list[tuple[int, int]] = []  # ticket, index: reads until that is told here
        self.leaving = False

    # Answers

    def answer(self, asker: Asker, kind: str, index: int = 0, why: str = "") -> None:
        node = self._node
        hint = node.leader or ""
        if asker.name:
            if kind in ("promised", "read"):  # the asker wants it applied, not at the next heartbeat
                self._leading.inform(asker.name)
            node.tell(
                asker.name, messages.Answer(kind, asker.ticket, asker.process_epoch, index, why, hint), Carrier.STREAM
            )
        elif kind == "promised":
            node.out.append(api.ProposalCommitted(asker.ticket, index))
        elif kind == "read":
            if index <= node.applied:
                node.out.append(api.ReadReady(asker.ticket, index))
            else:
                self._ready.append((asker.ticket, index))
        elif kind == "refused":
            node.out.append(api.ProposalRejected(asker.ticket, why, node.leader))
        else:
            node.out.append(api.OutcomeUnknown(asker.ticket))

    def on_answer(self, message: messages.Answer) -> None:
        node = self._node
        if message.process_epoch == node.process_epoch and self._forwarded.pop(message.ticket, None) is not None:
            if message.kind == "refused":
                node.out.append(api.ProposalRejected(message.ticket, message.why, message.leader or None))
            else:
                self.answer(Asker(message.ticket), message.kind, message.index)

    # Questions

    def on_ask(self, sender: str, message: messages.Ask, change: Any) -> None:
        asker = Asker(message.ticket, sender, message.process_epoch)
        if not self._node.leads:
            self.answer(asker, "refused", why=self._why())
        elif message.kind == "propose":
            self.propose(asker, message.data, message.id)
        elif message.kind == "read":
            self.read(asker)
        elif message.kind == "change":
            change(asker, message.id, message.other)

    def _why(self) -> str:
        return f"disk {self._node.ill}" if self._node.ill else "no leader"

    def forward(self, asker: Asker, kind: str, data: bytes = b"", ident: str = "", other: str = "") -> None:
        node = self._node
        if node.leader is None:
            self.answer(asker, "refused", why=self._why())
        elif len(self._forwarded) >= node.tuning.most_pending:
            self.answer(asker, "refused", why="busy")
        else:
            self._forwarded[asker.ticket] = Forwarded(kind, node.now + node.tuning.ask_ms)
            node.tell(
                node.leader, messages.Ask(kind, asker.ticket, node.process_epoch, data, ident, other), Carrier.STREAM
            )

    def propose(self, asker: Asker, data: bytes, ident: str) -> None:
        node, tuning = self._node, self._node.tuning
        first = node.ids.get(ident) if ident else None
        if first is not None:
            self.answer(asker, "promised", first)
            return
        why = self._refusal(data, ident)
        if why:
            self.answer(asker, "refused", why=why)
            return
        if not node.leads:
            self.forward(asker, "propose", data, ident)
            return
        index = self._by_id.get(ident) if ident else None
        if index is None:
            full = node.full or ("log full" if len(node.log.entries) >= tuning.most_log_entries else "")
            if full or self.leaving:
                self.answer(asker, "refused", why=full or "leaving")
                return
            index = node.log.last + 1
            if ident:
                self._by_id[ident] = index
            node.append((LogEntry(index, node.term, COMMAND, encode(ident, data)),))
            self._leading.send_all()
        self._by_index.setdefault(index, []).append(asker)
        self._waiting += 1

    def _refusal(self, data: bytes, ident: str) -> str:
        tuning = self._node.tuning
        if len(data) > tuning.most_entry_bytes or len(ident.encode()) > 256:
            return "too large"
        return "busy" if self._waiting >= tuning.most_pending else ""

    def read(self, asker: Asker) -> None:
        node = self._node
        if not node.leads:
            self.forward(asker, "read")
        elif len(self._reads) >= node.tuning.most_pending:
            self.answer(asker, "refused", why="busy")
        else:
            self._reads.append(Read(asker, node.now + node.tuning.ask_ms))

    # In the course of time

    def began(self) -> None:
        """This member leads: what its log holds beyond the agreed has ids too."""
        node = self._node
        self._by_id = {}
        for entry in node.log.part(node.applied + 1, node.log.last, node.log.last, 1 << 62):
            ident = decode(entry.data)[0] if entry.kind == COMMAND else ""
            if ident:
                self._by_id.setdefault(ident, entry.index)

    def lost(self) -> None:
        waiting, self._by_index, self._by_id, self._waiting = self._by_index, {}, {}, 0
        for askers in waiting.values():
            for asker in askers:
                self.answer(asker, "unknown")
        reads, self._reads = self._reads, []
        for read in reads:
            self.answer(read.asker, "refused", why="no leader")

    def leader_changed(self) -> None:
        """What the old leader was asked, it may or may not have done; a read is surely not done."""
        forwarded, self._forwarded = self._forwarded, {}
        for ticket, what in forwarded.items():
            self._gone(ticket, what)

    def _gone(self, ticket: int, what: Forwarded) -> None:
        if what.kind == "read":
            self.answer(Asker(ticket), "refused", why="no leader")
        else:
            self.answer(Asker(ticket), "unknown")

    def agreed(self, done: list[tuple[LogEntry, str, int]]) -> None:
        for entry, ident, first in done:
            if ident:
                self._by_id.pop(ident, None)
            for asker in self._by_index.pop(entry.index, ()):
                self._waiting -= 1
                self.answer(asker, "promised", first)
        if self._ready:
            ready, self._ready = self._ready, []
            for ticket, index in ready:
                self.answer(Asker(ticket), "read", index)

    def advance(self) -> None:
        node, leading = self._node, self._leading
        if self._reads and node.leads and leading.sure:
            holds = leading.holds()
            fresh = [read for read in self._reads if read.index < 0]
            for read in fresh:
                read.index, read.round = node.commit, leading.lease.round + 1
            if fresh and not holds:
                leading.beat()
            answered = leading.lease.quorum_round(node.log.voters)
            kept: list[Read] = []
            for read in self._reads:
                if holds or answered >= read.round:
                    self.answer(read.asker, "read", read.index)
                else:
                    kept.append(read)
            self._reads = kept
        late = [read for read in self._reads if node.now >= read.until]
        if late:
            self._reads = [read for read in self._reads if node.now < read.until]
            for read in late:
                self.answer(read.asker, "refused", why="no quorum")
        for ticket in [ticket for ticket, what in self._forwarded.items() if node.now >= what.until]:
            self._gone(ticket, self._forwarded.pop(ticket))

    def due(self) -> float:
        reads = min((read.until for read in self._reads), default=NEVER)
        return min(reads, min((what.until for what in self._forwarded.values()), default=NEVER))

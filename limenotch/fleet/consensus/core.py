"""Agreement as a part: events to its pieces, and after each event what follows from it, in one order.

Rules
- Before the first act of any event a leader looks whether a quorum was heard (a pause shows here); one that has no
  quorum leads no more. A lease is asked with the event's own time.
- After each event: what is on disk is counted, what is agreed is told in order, asks are answered, voters changed.
- Bad messages change nothing: `handle` raises only on what is no event (TypeError) or a clock that runs back
  (ValueError).
- `seed` must differ between any two lives of a name: births and tickets' lives are drawn from it.

State table: states.TABLE. Messages: messages.py. Source: Ongaro, Ousterhout (2014); Ongaro's thesis (2014).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...store.records import StoredLog
from .. import interfaces
from . import api, messages
from .client_requests import Asker, Asks
from .elections import Elections
from .follower import Following
from .log import unpack
from .node import MARK, NEVER, Node
from .reconfiguration import Changing
from .replicate import Leading
from .states import Cause, Role
from .tuning import Tuning


class Agreement:
    """`voters`: named by the settings, read at the group's first start alone. `held`: what the store found.

    The layers above start from `state` (what the snapshot found holds of them; None: none was found), at `index`.
    """

    def __init__(
        self, name: str, voters: tuple[str, ...], held: StoredLog, tuning: Tuning | None = None, seed: int = 0
    ) -> None:
        """Raises ValueError on names that can't be, msgspec.DecodeError on a store of another make."""
        if not name or any(MARK in one or not one for one in (name, *voters)) or len(set(voters)) != len(voters):
            raise ValueError(f"names must be there once, without {MARK!r}: {name!r}, {voters!r}")
        self._node = node = Node(name, tuple(voters), held, tuning or Tuning(), seed)
        self._dead: set[str] = set()
        self._leading = Leading(node)
        self._asks = Asks(node, self._leading)
        self._changing = Changing(node, self._leading, self._asks)
        self._following = Following(node, self._dead)
        self._elections = Elections(node, self._won)
        self._leader: str | None = None
        self._noted: tuple[str, ...] = tuple(node.log.voters.births)
        self.index = node.applied
        self.state = unpack(held.snapshot).state if held.snapshot else None
        node.lost = self._lost
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: self._started,
            interfaces.MessageReceived: self._heard,
            interfaces.TimerFired: lambda event: node.fired(),
            interfaces.ShutdownStarted: self._leave,
            interfaces.Stored: lambda event: node.stored(event.ticket),
            interfaces.StoreFailed: lambda event: node.failed(event.ticket, event.reason),
            interfaces.MemberChanged: self._member,
            interfaces.Fenced: self._fenced,
            api.Propose: lambda event: self._asks.propose(Asker(event.ticket), event.data, event.id),
            api.ReadIndex: lambda event: self._asks.read(Asker(event.ticket)),
            api.ChangeVoters: lambda event: self._changing.ask(Asker(event.ticket), event.add, event.remove),
            api.SnapshotState: lambda event: node.compact(event.index, event.state),
        }
        following, elections, leading = self._following, self._elections, self._leading
        self._messages: dict[type, Callable[[str, Any], None]] = {
            messages.Found: elections.on_found,
            messages.Blank: elections.on_blank,
            messages.Follow: leading.on_follow,
            messages.Leads: lambda sender, message: following.on_leads(message),
            messages.PreVote: elections.on_pre,
            messages.PreVoted: elections.on_prevoted,
            messages.Vote: elections.on_vote,
            messages.Voted: elections.on_voted,
            messages.Append: following.on_append,
            messages.Ack: leading.on_ack,
            messages.Chunk: following.on_chunk,
            messages.ChunkAck: leading.on_chunk_ack,
            messages.Stand: lambda sender, message: elections.told(message.term) if sender == node.leader else None,
            messages.Ask: lambda sender, message: self._asks.on_ask(sender, message, self._changing.ask),
            messages.Answer: lambda sender, message: self._asks.on_answer(message),
        }

    # For operators, the laboratory and tests

    @property
    def role(self) -> Role:
        return self._node.role

    @property
    def leader(self) -> str | None:
        return self._node.leader

    @property
    def term(self) -> int:
        return self._node.term

    @property
    def agreed(self) -> int:
        return self._node.applied

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(self._node.log.voters.births)

    @property
    def counts(self) -> dict[str, int]:
        return self._node.counts

    def status(self) -> dict[str, Any]:
        """Of operators: indexes are those of the log's entries; `disk` is `ok` or why nothing is written."""
        node, log = self._node, self._node.log
        return {
            "role": node.role.value,
            "leader": node.leader,
            "epoch": node.term,
            "voters": sorted(self.voters),
            "agreed": node.applied,
            "last": log.last,
            "on_disk": log.stored,
            "snapshot": log.snapped,
            "disk": node.ill or "ok",
            "counts": dict(node.counts),
        }

    def leases(self, now: float) -> bool:
        """Whether it leads and no other can have been elected by `now`."""
        self._node.now = max(self._node.now, now)
        return self._leading.holds()

    # The part

    def handle(self, now: float, event: Any) -> list[Any]:
        node = self._node
        if now < node.now:
            raise ValueError(f"time runs back from {node.now} to {now}")
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of agreement: {event!r}")
        node.now, node.out = now, []
        self._leading.look()
        do(event)
        self._tick()
        self._advance()
        node.arm(self._due())
        return node.out

    def _tick(self) -> None:
        node = self._node
        node.retry()
        if node.leads:
            self._leading.tick()
        elif node.now >= node.wait_until:
            if node.role is Role.LEARNER:
                self._following.silence()
            else:
                self._elections.silence()
        if node.now >= self._following.search_at:
            if node.role is not Role.LEARNER:
                self._following.search_at = NEVER
            else:
                self._following.search()
                if self._elections.founder:
                    self._following.search_at = node.now + node.tuning.heartbeat_ms
                    self._elections.found()

    def _advance(self) -> None:
        node = self._node
        on_disk = (node.on_disk, node.log.stored)
        if on_disk != self._on_disk:
            self._on_disk = on_disk
            self._elections.stored()
            self._following.stored()
        if node.leads:
            self._leading.count()
        done = node.apply()
        self._asks.agreed(done)
        self._asks.advance()
        self._changing.advance()
        node.settle()
        if node.leader != self._leader:
            self._leader = node.leader
            self._asks.leader_changed()
        if node.log.voters_at <= node.commit and self.voters != self._noted:
            self._noted = self.voters
            node.note(" ".join(("voters", *sorted(self.voters))))

    _on_disk: tuple[tuple[int, str] | None, int] | None = None

    def _due(self) -> float:
        node = self._node
        due = min(node.retry_at, self._asks.due(), self._following.search_at)
        if node.leads:
            return min(due, self._leading.due(), self._changing.due())
        return min(due, node.wait_until)

    # Events

    def _started(self, event: interfaces.Started) -> None:
        node = self._node
        node.heard_at = node.now
        if node.newborn:
            node.cast(0, "")
        if node.role is Role.LEARNER:
            self._following.search_at = node.now
        else:
            node.wait()

    def _heard(self, event: interfaces.MessageReceived) -> None:
        do = self._messages.get(type(event.message))
        if do is None:
            self._node.count("no message of agreement")
        elif event.sender == self._node.name:
            self._node.count("own name heard")
        else:
            do(event.sender, event.message)

    def _leave(self, event: interfaces.ShutdownStarted) -> None:
        self._asks.leaving = True
        if self._node.leads and len(self._node.log.voters.births) > 1:
            self._leading.hand_over()

    def _member(self, event: interfaces.MemberChanged) -> None:
        """A hint alone: who is asked for the leader, and how long a voter waits for a leader held dead."""
        node = self._node
        if event.state != "dead":
            self._dead.discard(event.name)
            return
        if len(self._dead) < node.tuning.most_learners:
            self._dead.add(event.name)
        if node.leads:
            self._leading.forget(event.name)
        elif event.name == node.leader and node.role is Role.FOLLOWER:
            least = node.heard_at + node.tuning.election_least_ms + node.random.uniform(0, node.tuning.heartbeat_ms)
            node.wait_until = min(node.wait_until, max(node.now, least))

    def _fenced(self, event: interfaces.Fenced) -> None:
        node = self._node
        if node.role in (Role.LEADER, Role.CANDIDATE, Role.PRE):
            node.become(Cause.FENCED)
            node.wait()

    def _won(self) -> None:
        self._leading.begin()
        self._asks.began()

    def _lost(self) -> None:
        self._asks.lost()
        self._changing.lost()

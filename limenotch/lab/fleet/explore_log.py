"""The log's agreement for the explorer: its state as one value, what must hold in each, and a group that has begun.

The digest leaves out what decides nothing: counts, what was noted, lease and peers of who does not lead, and all
times but for how long from now they are, as the explorer compares timers.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from typing import Any

from limenotch.fleet import consensus
from limenotch.fleet.consensus import api
from limenotch.fleet.consensus.log import VOTERS, Voters, pack
from limenotch.fleet.consensus.states import Role
from limenotch.fleet.interfaces import LogLine, SendToMember, SetTimer, Store
from limenotch.lab.fleet.explore import View
from limenotch.lab.fleet.world import Make
from limenotch.store.records import LogEntry, StoredLog, TermVote

TUNING = consensus.Tuning(
    heartbeat_ms=50, election_least_ms=200, election_most_ms=400, learner_ms=300, retry_ms=100, ask_ms=1000
)
NEVER = float("inf")


class Member:
    """A part for the explorer: agreement alone; what is for the layers above is kept, in order.

    A copy is made by telling a new one all over again: the part's own pieces hold on to each other by functions, which
    `deepcopy` leaves where they are.
    """

    def __init__(self, name: str, names: Sequence[str], held: StoredLog, seed: int) -> None:
        self._made = (name, tuple(names), StoredLog(held.term_vote, held.snapshot, list(held.entries)), seed)
        self._past: tuple[tuple[float, Any], ...] = ()
        self.agreement = consensus.Agreement(name, tuple(names), held, TUNING, seed)
        self.told: tuple[tuple[int, int, str], ...] = ()  # agreed: index, epoch, id
        self.promised: frozenset[int] = frozenset()  # indexes that were promised here

    def __deepcopy__(self, memo: dict[int, Any]) -> Member:
        name, names, held, seed = self._made
        copy = Member(name, names, StoredLog(held.term_vote, held.snapshot, list(held.entries)), seed)
        for now, event in self._past:
            copy.handle(now, event)
        return copy

    def handle(self, now: float, event: Any) -> list[Any]:
        self._past += ((now, event),)
        out = []
        for action in self.agreement.handle(now, event):
            if isinstance(action, api.EntryCommitted):
                self.told += ((action.index, action.term, action.id),)
            elif isinstance(action, api.ProposalCommitted):
                self.promised |= {action.index}
            elif isinstance(action, (SendToMember, SetTimer, Store, LogLine)):
                out.append(action)
        return out


def begun(names: Sequence[str]) -> dict[str, StoredLog]:
    """What each disk holds of a group that was founded: its first line, agreed in epoch 1."""
    births = Voters({name: f"{name}1" for name in names})
    entry = LogEntry(1, 1, VOTERS, pack(births))
    return {name: StoredLog(TermVote(1, f"{names[0]}?{birth}"), None, [entry]) for name, birth in births.births.items()}


def maker(names: Sequence[str]) -> Make:
    def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Member:
        return Member(name, names, held, seed + 100 * process_epoch + names.index(name))

    return make


def digest(part: Member) -> Hashable:
    """Of one member; times as the rest from its own now."""
    agreement = part.agreement
    node, log, leading, elections = agreement._node, agreement._node.log, agreement._leading, agreement._elections
    now = node.now

    def rest(at: float) -> float:
        return at if at in (NEVER, -NEVER) else round(at - now, 3)

    peers = tuple(
        (name, peer.next, peer.mode.value, peer.match, peer.held, peer.birth, tuple(peer.flight), rest(peer.heard_at))
        for name, peer in leading.peers.items()
    )
    leads = node.role is Role.LEADER
    lease = (leading.lease.round, leading.lease.void, tuple(sorted(leading.lease._answered.items()))) if leads else ()
    waits = (
        rest(node.wait_until),
        rest(node.retry_at),
        rest(node._armed),
        rest(node.heard_at),
        rest(leading._beat_at) if leads else NEVER,
        rest(leading._news_at) if leads else NEVER,
    )
    return (
        node.term,
        node.vote,
        node.on_disk,
        node.role.value,
        node.leader,
        node.commit,
        node.applied,
        node.ill,
        tuple((entry.index, entry.term, entry.kind, entry.data) for entry in log.entries),
        log.stored,
        tuple((write.ticket, write.ballot, write.last) for write in node.writes),
        node.ticket,
        tuple(sorted(node.ids.items())),
        tuple(sorted(elections._yes)),
        elections._promise,
        peers if leads else (),
        lease,
        waits,
        part.told,
        part.promised,
    )


class Check:
    """One leader an epoch, with a quorum's votes on their disks; one entry an index; promised: on a quorum's disks."""

    def __init__(self, names: Sequence[str]) -> None:
        self.names = tuple(names)
        self.quorum = len(self.names) // 2 + 1

    def __call__(self, view: View) -> str | None:
        return self._leaders(view) or self._agreed(view) or self._promised(view)

    def _leaders(self, view: View) -> str | None:
        led: dict[int, set[str]] = {}
        for name, text in view.notes:
            if text.startswith("leads "):
                led.setdefault(int(text.split()[1]), set()).add(name)
        for term, names in sorted(led.items()):
            if len(names) > 1:
                return f"epoch {term} was led by {' and '.join(sorted(names))}"
            name = next(iter(names))
            voted = [
                one
                for one, held in view.disks.items()
                if held.term_vote.term > term
                or (held.term_vote.term, held.term_vote.vote.partition("?")[0]) == (term, name)
            ]
            if len(voted) < self.quorum:
                return f"{name} leads {term} by the disks of {', '.join(sorted(voted)) or 'nobody'}"
        return None

    def _agreed(self, view: View) -> str | None:
        seen: dict[int, tuple[int, str]] = {}
        for part in view.parts.values():
            for index, term, ident in part.told if part is not None else ():
                if seen.setdefault(index, (term, ident)) != (term, ident):
                    return f"two entries at {index}"
        return None

    def _promised(self, view: View) -> str | None:
        for name, part in view.parts.items():
            for index in part.promised if part is not None else ():
                have = [one for one, held in view.disks.items() if held.last >= index]
                if len(have) < self.quorum:
                    return f"{name} was promised {index}, which is on the disks of {', '.join(have) or 'nobody'}"
        return None

"""The log for the explorer: a component, its state as one value, the invariants of each state, and a founded group.

The digest omits what influences no decision: counts, log lines, lease and peers of a member that does not lead. It has
times only as the time left from now, as the explorer compares timers.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from typing import Any

from limenotch.fleet import consensus
from limenotch.fleet.consensus import api
from limenotch.fleet.consensus.log import VOTERS, Voters, encode_payload
from limenotch.fleet.consensus.states import Role
from limenotch.fleet.interfaces import LogLine, SendToMember, SetTimer, Store
from limenotch.lab.fleet.explore import View
from limenotch.lab.fleet.world import ComponentFactory
from limenotch.store.records import LogEntry, StoredLog, TermVote

TUNING = consensus.Tuning(
    heartbeat_ms=50, election_least_ms=200, election_most_ms=400, learner_ms=300, retry_ms=100, ask_ms=1000
)
NEVER = float("inf")


class Member:
    """A component for the explorer: consensus alone; what the layers above would get is recorded in order.

    A copy is made by replaying all events into a new member: the objects of the component refer to each other by
    functions, which `deepcopy` does not copy.
    """

    def __init__(self, name: str, names: Sequence[str], stored_log: StoredLog, seed: int) -> None:
        self._arguments = (
            name,
            tuple(names),
            StoredLog(stored_log.term_vote, stored_log.snapshot, list(stored_log.entries)),
            seed,
        )
        self._handled: tuple[tuple[float, Any], ...] = ()
        self.consensus = consensus.Consensus(name, tuple(names), stored_log, TUNING, seed)
        self.committed: tuple[tuple[int, int, str], ...] = ()  # committed: index, term, id
        self.acknowledged: frozenset[int] = frozenset()  # indexes of the proposals acknowledged here

    def __deepcopy__(self, memo: dict[int, Any]) -> Member:
        name, names, stored_log, seed = self._arguments
        copy = Member(name, names, StoredLog(stored_log.term_vote, stored_log.snapshot, list(stored_log.entries)), seed)
        for now, event in self._handled:
            copy.handle(now, event)
        return copy

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles one event; returns the actions that the explorer carries out."""
        self._handled += ((now, event),)
        out = []
        for action in self.consensus.handle(now, event):
            if isinstance(action, api.EntryCommitted):
                self.committed += ((action.index, action.term, action.id),)
            elif isinstance(action, api.ProposalCommitted):
                self.acknowledged |= {action.index}
            elif isinstance(action, (SendToMember, SetTimer, Store, LogLine)):
                out.append(action)
        return out


def bootstrapped_disks(names: Sequence[str]) -> dict[str, StoredLog]:
    """The content of each disk in a group that was just bootstrapped: its first entry, committed in term 1."""
    voters = Voters({name: f"{name}1" for name in names})
    entry = LogEntry(1, 1, VOTERS, encode_payload(voters))
    return {
        name: StoredLog(TermVote(1, f"{names[0]}?{disk_id}"), None, [entry])
        for name, disk_id in voters.disk_ids.items()
    }


def component_maker(names: Sequence[str]) -> ComponentFactory:
    """The function that makes a member at each start of its process."""

    def make(name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> Member:
        return Member(name, names, stored_log, seed + 100 * process_epoch + names.index(name))

    return make


def digest(component: Member) -> Hashable:
    """All of a member's state that influences decisions; times as the time left from its own now."""
    consensus_state = component.consensus
    node, log, leader_state, elections = (
        consensus_state._node,
        consensus_state._node.log,
        consensus_state._leader_state,
        consensus_state._elections,
    )
    now = node.now

    def time_left(at_ms: float) -> float:
        return at_ms if at_ms in (NEVER, -NEVER) else round(at_ms - now, 3)

    peers = tuple(
        (
            name,
            peer.next,
            peer.mode.value,
            peer.match_index,
            peer.received_index,
            peer.disk_id,
            tuple(peer.in_flight),
            time_left(peer.last_contact_ms),
        )
        for name, peer in leader_state.peers.items()
    )
    is_leader = node.role is Role.LEADER
    lease = (
        (
            leader_state.lease.round,
            leader_state.lease.revoked,
            tuple(sorted(leader_state.lease._answered_round.items())),
        )
        if is_leader
        else ()
    )
    times_left = (
        time_left(node.leader_timeout_at_ms),
        time_left(node.disk_retry_at_ms),
        time_left(node._timer_at_ms),
        time_left(node.leader_contact_ms),
        time_left(leader_state._next_heartbeat_ms) if is_leader else NEVER,
        time_left(leader_state._next_learner_batch_ms) if is_leader else NEVER,
    )
    return (
        node.term,
        node.voted_for,
        node.stored_term_vote,
        node.role.value,
        node.leader,
        node.commit_index,
        node.last_applied,
        node.disk_failure,
        tuple((entry.index, entry.term, entry.kind, entry.data) for entry in log.entries),
        log.stored_index,
        tuple((write.ticket, write.term_vote, write.last_index) for write in node.pending_writes),
        node.last_ticket,
        tuple(sorted(node.index_by_id.items())),
        tuple(sorted(elections._granted_by)),
        elections._pending_vote,
        peers if is_leader else (),
        lease,
        times_left,
        component.committed,
        component.acknowledged,
    )


class Check:
    """The invariants.

    At most one leader a term, with the votes of a quorum on their disks; one entry an index; an acknowledged proposal
    is on the disks of a quorum.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self.names = tuple(names)
        self.quorum = len(self.names) // 2 + 1

    def __call__(self, view: View) -> str | None:
        return self._leaders(view) or self._committed(view) or self._acknowledged(view)

    def _leaders(self, view: View) -> str | None:
        leaders_by_term: dict[int, set[str]] = {}
        for name, text in view.log_lines:
            if text.startswith("leads "):
                leaders_by_term.setdefault(int(text.split()[1]), set()).add(name)
        for term, names in sorted(leaders_by_term.items()):
            if len(names) > 1:
                return f"term {term} was led by {' and '.join(sorted(names))}"
            name = next(iter(names))
            voted = [
                voter
                for voter, stored_log in view.disks.items()
                if stored_log.term_vote.term > term
                or (stored_log.term_vote.term, stored_log.term_vote.vote.partition("?")[0]) == (term, name)
            ]
            if len(voted) < self.quorum:
                return f"{name} leads term {term} by the votes on the disks of {', '.join(sorted(voted)) or 'nobody'}"
        return None

    def _committed(self, view: View) -> str | None:
        first_seen: dict[int, tuple[int, str]] = {}
        for component in view.components.values():
            for index, term, proposal_id in component.committed if component is not None else ():
                if first_seen.setdefault(index, (term, proposal_id)) != (term, proposal_id):
                    return f"two entries at {index}"
        return None

    def _acknowledged(self, view: View) -> str | None:
        for name, component in view.components.items():
            for index in component.acknowledged if component is not None else ():
                stored_on = [voter for voter, stored_log in view.disks.items() if stored_log.last_index >= index]
                if len(stored_on) < self.quorum:
                    return f"{index} was acknowledged at {name} and is on the disks of {', '.join(stored_on) or 'none'}"
        return None

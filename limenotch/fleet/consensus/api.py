"""Events that the layers above send to the log, and actions that they get from it, besides those of interfaces.py.

The requester chooses the ticket. Each Propose, ReadIndex and ChangeVoters gets exactly one of ProposalCommitted,
ReadReady, ProposalRejected, OutcomeUnknown during the life of a process. After `ProposalRejected` the proposal is not
committed, and this request never commits it. After `OutcomeUnknown` it may or may not be committed: a proposal that is
repeated with the same id is committed once, and its outcome tells.
"""

from __future__ import annotations

from typing import NamedTuple

# Events


class Propose(NamedTuple):
    """Requests that `data` is committed; among the latest `most_ids` proposals, a non-empty `id` is committed once."""

    ticket: int
    data: bytes
    id: str = ""


class ReadIndex(NamedTuple):
    """Requests an index such that a reader that has applied it sees all that was committed before the request."""

    ticket: int


class ChangeVoters(NamedTuple):
    """Adds `add` once it has caught up as a learner, then removes `remove`; either may be empty."""

    ticket: int
    add: str = ""
    remove: str = ""


class SnapshotState(NamedTuple):
    """Answers SnapshotRequested: the state of the layers above right after `index`."""

    index: int  # type: ignore[assignment]
    state: bytes


# Actions


class EntryCommitted(NamedTuple):
    """Sent in the order of the log, each entry once in a process, starting after the snapshot found at the start."""

    index: int  # type: ignore[assignment]
    term: int
    data: bytes
    id: str


class SnapshotInstalled(NamedTuple):
    """Replaces all entries committed so far: `state` is the state after `index`."""

    index: int  # type: ignore[assignment]
    state: bytes


class ProposalCommitted(NamedTuple):
    """The entry is on the disks of a quorum. For an id seen before: the index of its first commit."""

    ticket: int
    index: int  # type: ignore[assignment]


class ProposalRejected(NamedTuple):
    """The request is not carried out; `leader` is the leader if one is known."""

    ticket: int
    why: str
    leader: str | None


class OutcomeUnknown(NamedTuple):
    """Whether the request is carried out is not known."""

    ticket: int


class ReadReady(NamedTuple):
    """All entries up to `index`, at least, have been sent to the layers above here."""

    ticket: int
    index: int  # type: ignore[assignment]


class LeaderChanged(NamedTuple):
    """The leader that this member follows, or is; None: none is known."""

    name: str | None
    term: int


class SnapshotRequested(NamedTuple):
    """Answer at once with SnapshotState(index, state): the state after `index`, with no later entry."""

    index: int  # type: ignore[assignment]

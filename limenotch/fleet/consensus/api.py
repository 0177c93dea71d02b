"""What the layers above say to the log, and hear of it, besides the events and actions of contract.py.

A ticket is the asker's own number. Each Propose, ReadAt and ChangeVoters gets exactly one of Promised, ReadReady,
Refused, Unknown in a process's life. `ProposalRejected`: it is surely not agreed and never will be from this asking.
`OutcomeUnknown`: it may or may not be; propose again with the same id, which counts once, to know.
"""

from __future__ import annotations

from typing import NamedTuple

# Events


class Propose(NamedTuple):
    """To be agreed. `id` (may be empty: not looked for) makes it count once among the latest `most_ids`."""

    ticket: int
    data: bytes
    id: str = ""


class ReadIndex(NamedTuple):
    """Asks for an index such that who has applied it sees all that was promised before the question."""

    ticket: int


class ChangeVoters(NamedTuple):
    """First `add` (once it has caught up as a learner), then `remove`; either may be empty."""

    ticket: int
    add: str = ""
    remove: str = ""


class SnapshotState(NamedTuple):
    """The answer to WantSnapshot: the state of the layers above right after `index`."""

    index: int  # type: ignore[assignment]
    state: bytes


# Actions


class EntryCommitted(NamedTuple):
    """In order, each once in a process's life, from the snapshot found at the start on."""

    index: int  # type: ignore[assignment]
    term: int
    data: bytes
    id: str


class SnapshotInstalled(NamedTuple):
    """Forget what was Agreed: this is the state after `index`."""

    index: int  # type: ignore[assignment]
    state: bytes


class ProposalCommitted(NamedTuple):
    """On a quorum's disks. For an id seen before: the index where it was agreed first."""

    ticket: int
    index: int  # type: ignore[assignment]


class ProposalRejected(NamedTuple):
    ticket: int
    why: str
    leader: str | None


class OutcomeUnknown(NamedTuple):
    ticket: int


class ReadReady(NamedTuple):
    """Agreed up to `index` and beyond has been told here already."""

    ticket: int
    index: int  # type: ignore[assignment]


class LeaderChanged(NamedTuple):
    name: str | None
    term: int


class SnapshotRequested(NamedTuple):
    """Answer with Compact(index, state) of exactly this moment: what was Agreed up to `index`, nothing after."""

    index: int  # type: ignore[assignment]

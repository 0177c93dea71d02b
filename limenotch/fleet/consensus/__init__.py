"""Layer 2: a log that voters promise and everybody follows. Decisions only; see docs/fleet/log.md.

| file | what |
| --- | --- |
| core.py | the part: events in, actions out |
| api.py, messages.py | what the layers above say and hear; what members say to each other |
| states.py, tuning.py | roles as a table; settings with their ranges |
| node.py, log.py | what all pieces share: ballot, log, disk, what is agreed |
| votes.py, follow.py, replicate.py, lease.py | elections; the side that follows; the side that leads; its lease |
| snapshots.py, asks.py, voters.py | snapshots in chunks; proposals and reads; voters one at a time |

Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro, "Consensus: Bridging
Theory and Practice" (2014).
"""

from .api import (
    ChangeVoters,
    EntryCommitted,
    LeaderChanged,
    OutcomeUnknown,
    ProposalCommitted,
    ProposalRejected,
    Propose,
    ReadIndex,
    ReadReady,
    SnapshotInstalled,
    SnapshotRequested,
    SnapshotState,
)
from .core import Agreement
from .states import Role
from .tuning import Tuning

__all__ = [
    "EntryCommitted",
    "Agreement",
    "ChangeVoters",
    "SnapshotState",
    "SnapshotInstalled",
    "LeaderChanged",
    "ProposalCommitted",
    "Propose",
    "ReadIndex",
    "ReadReady",
    "ProposalRejected",
    "Role",
    "Tuning",
    "OutcomeUnknown",
    "SnapshotRequested",
]

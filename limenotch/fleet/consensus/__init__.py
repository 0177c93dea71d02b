"""Layer 2: Raft, a log that voters replicate and every member follows. Decisions only, no I/O; see docs/fleet/log.md.

| file | what |
| --- | --- |
| core.py | the component: events in, actions out |
| api.py, messages.py | events and actions of the layers above; messages between members |
| states.py, tuning.py | roles and their transitions as a table; settings with their ranges |
| node.py, log.py | shared state: term and vote, log, writes to the disk, committed entries |
| elections.py | bootstrap of the group, elections |
| follower.py, replicate.py, lease.py | the follower's side; the leader's side; the leader's lease |
| snapshots.py | transfer of snapshots in chunks |
| client_requests.py, reconfiguration.py | proposals and reads; changes of the voters, one voter at a time |

Sources: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro, "Consensus: Bridging
Theory and Practice" (2014), called the thesis in this package.
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
from .core import Consensus
from .states import Role
from .tuning import Tuning

__all__ = [
    "EntryCommitted",
    "Consensus",
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

"""Messages between members about the log. All but BootstrapRequest, BootstrapResponse and JoinRequest carry a term.

| message | from, to | guarantees |
| --- | --- | --- |
| BootstrapRequest, BootstrapResponse | the first configured voter to the others; back | the disk id is on disk |
| JoinRequest, LeaderHint | a member that knows no leader to a voter; back | nothing |
| PreVoteRequest, PreVoteResponse | a voter that misses its leader to all voters; back | nothing |
| VoteRequest, VoteResponse | a candidate to all voters; back | the vote is on disk |
| AppendRequest, AppendResponse | a leader to all; back | `match_index` is on disk, no vote within election_least_ms |
| SnapshotChunk, SnapshotChunkResponse | a leader to a member that needs entries no longer in the log; back | nothing |
| TimeoutNow | a leader that steps down to its best voter | its lease is over |
| ForwardedRequest, ForwardedResponse | any member to the leader; back | as in api.py |

What of a snapshot is on disk is acknowledged by AppendResponse alone.

Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), figures 2 and 13; TimeoutNow
is the thesis', section 3.10.
"""

from __future__ import annotations

from ...store.records import LogEntry
from ..interfaces import Message


class BootstrapRequest(Message, frozen=True, array_like=True, tag="ag.found"):
    """Asks a configured voter whether its log is empty."""

    voters: tuple[str, ...]


class BootstrapResponse(Message, frozen=True, array_like=True, tag="ag.blank"):
    """The sender's log is empty."""

    voters: tuple[str, ...]
    disk_id: str
    term: int = 0  # above 0: a voter that bootstrapped the group lost its disk before its entry was stored here


class JoinRequest(Message, frozen=True, array_like=True, tag="ag.follow"):
    """Asks the leader to send its log, or any voter to name the leader."""

    disk_id: str
    last_index: int = 0


class LeaderHint(Message, frozen=True, array_like=True, tag="ag.leads"):
    """Names the leader that the sender knows."""

    term: int
    leader: str
    voters: tuple[str, ...] = ()


class PreVoteRequest(Message, frozen=True, array_like=True, tag="ag.pre"):
    """Asks whether the voter would vote for the sender in `term`."""

    term: int  # the term of the election that the sender would start
    last_index: int
    last_term: int
    disk_id: str  # of the receiver, according to the sender's log


class PreVoteResponse(Message, frozen=True, array_like=True, tag="ag.pred"):
    """Answers PreVoteRequest."""

    term: int  # the term of the request; if not granted, the sender's own term
    granted: bool


class VoteRequest(Message, frozen=True, array_like=True, tag="ag.vote"):
    """Requests a vote in `term`."""

    term: int
    last_index: int
    last_term: int
    disk_id: str
    by_leader: bool = False  # the leader itself started this election by TimeoutNow


class VoteResponse(Message, frozen=True, array_like=True, tag="ag.voted"):
    """Answers VoteRequest."""

    term: int
    granted: bool


class AppendRequest(Message, frozen=True, array_like=True, tag="ag.append"):
    """Raft's AppendEntries; without entries it is a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


class AppendResponse(Message, frozen=True, array_like=True, tag="ag.ack"):
    """Answers AppendRequest, and a SnapshotChunk that completes its snapshot."""

    term: int
    success: bool
    match_index: int  # entries up to here are on disk and match the leader's
    received_index: int  # entries that match, on disk or not; without success: where to retry from
    round: int  # the latest round received from this leader
    disk_id: str


class SnapshotChunk(Message, frozen=True, array_like=True, tag="ag.chunk"):
    """A chunk of a snapshot (Raft's InstallSnapshot)."""

    term: int
    index: int
    index_term: int
    total: int
    offset: int
    data: bytes
    voters: tuple[str, ...]
    round: int


class SnapshotChunkResponse(Message, frozen=True, array_like=True, tag="ag.chunked"):
    """Acknowledges a chunk that does not complete its snapshot."""

    term: int
    index: int
    offset: int  # of the next byte wanted
    round: int
    disk_id: str


class TimeoutNow(Message, frozen=True, array_like=True, tag="ag.stand"):
    """Transfers leadership: the receiver starts an election at once."""

    term: int


class ForwardedRequest(Message, frozen=True, array_like=True, tag="ag.ask"):
    """A client request that the sender forwards to the leader."""

    kind: str  # propose, read, change
    ticket: int
    process_epoch: int
    data: bytes = b""
    id: str = ""
    remove: str = ""


class ForwardedResponse(Message, frozen=True, array_like=True, tag="ag.answer"):
    """The leader's response to ForwardedRequest."""

    kind: str  # promised, read, refused, unknown
    ticket: int
    process_epoch: int
    index: int = 0
    reason: str = ""
    leader: str = ""

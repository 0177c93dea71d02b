"""What members say to each other about the log. Every one but Found, Blank and Follow bears its sender's epoch.

| message | from, to | promises |
| --- | --- | --- |
| Found, Blank | the first named voter to the others at the group's first start; back | its birth is on disk |
| Follow, Leads | who knows no leader to a voter; back | nothing |
| PreVote, PreVoted | a voter that misses its leader to all voters; back | nothing |
| Vote, Voted | a candidate to all voters; back | the vote is on disk |
| Append, Ack | a leader to all; back | `match` is on disk, and no vote for others within election_least_ms |
| Chunk, ChunkAck | a leader to who lacks what the log no longer holds; back | nothing: Ack tells what is stored |
| Stand | a leader that goes to its best voter | its lease is over |
| Ask, Answer | any to the leader; back | as api.py says |

Source: Ongaro, Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), figures 2 and 13.
"""

from __future__ import annotations

from ...store.records import LogEntry
from ..interfaces import Message


class Found(Message, frozen=True, array_like=True, tag="ag.found"):
    voters: tuple[str, ...]


class Blank(Message, frozen=True, array_like=True, tag="ag.blank"):
    voters: tuple[str, ...]
    birth: str
    term: int = 0  # more than 0: a founder was heard that lost its disk before its first line was stored here


class Follow(Message, frozen=True, array_like=True, tag="ag.follow"):
    birth: str
    last: int = 0


class Leads(Message, frozen=True, array_like=True, tag="ag.leads"):
    term: int
    leader: str
    voters: tuple[str, ...] = ()


class PreVote(Message, frozen=True, array_like=True, tag="ag.pre"):
    term: int  # that it would stand in
    last: int
    last_term: int
    birth: str  # of the one asked, as the asker's log has it


class PreVoted(Message, frozen=True, array_like=True, tag="ag.pred"):
    term: int  # that was asked about, or where refused the answerer's
    yes: bool


class Vote(Message, frozen=True, array_like=True, tag="ag.vote"):
    term: int
    last: int
    last_term: int
    birth: str
    handed: bool = False  # the leader itself told it to stand


class Voted(Message, frozen=True, array_like=True, tag="ag.voted"):
    term: int
    yes: bool


class Append(Message, frozen=True, array_like=True, tag="ag.append"):
    term: int
    prev: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


class Ack(Message, frozen=True, array_like=True, tag="ag.ack"):
    term: int
    ok: bool
    match: int  # on disk, and the same as the leader's
    held: int  # the same, on disk or not; where not ok: try from here
    round: int  # latest heard of this leader
    birth: str


class Chunk(Message, frozen=True, array_like=True, tag="ag.chunk"):
    term: int
    index: int
    index_term: int
    total: int
    offset: int
    data: bytes
    voters: tuple[str, ...]
    round: int


class ChunkAck(Message, frozen=True, array_like=True, tag="ag.chunked"):
    term: int
    index: int
    offset: int  # wanted next
    round: int
    birth: str


class Stand(Message, frozen=True, array_like=True, tag="ag.stand"):
    term: int


class Ask(Message, frozen=True, array_like=True, tag="ag.ask"):
    kind: str  # propose, read, change
    ticket: int
    process_epoch: int
    data: bytes = b""
    id: str = ""
    other: str = ""


class Answer(Message, frozen=True, array_like=True, tag="ag.answer"):
    kind: str  # promised, read, refused, unknown
    ticket: int
    process_epoch: int
    index: int = 0
    why: str = ""
    leader: str = ""

"""What sidecars say to each other about rules. Asks for leases, their answers and bans go by datagram."""

from __future__ import annotations

from ..interfaces import Message

MOST_BANS = 8  # that ride on one ask or grant; a name is at most MOST_NAME
MOST_NAME = 80


class AskLease(Message, frozen=True, array_like=True, tag="ru.ask"):
    serial: int
    process_epoch: int  # differs between two processes of one name
    version: int  # the newest held
    active: int
    parts: int  # acted under now, 0: none
    granted: int  # the serial of the grant acted under
    bans: tuple[tuple[str, int], ...] = ()


class Grant(Message, frozen=True, array_like=True, tag="ru.grant"):
    serial: int
    lease_ms: float
    parts: int  # 0: cold providers are not to be sent anything yet
    bans: tuple[tuple[str, int], ...] = ()


class Behind(Message, frozen=True, array_like=True, tag="ru.behind"):
    """No lease: who asked does not hold this version yet."""

    serial: int
    version: int
    active: int


class Told(Message, frozen=True, array_like=True, tag="ru.ban"):
    upstream: str
    after: int  # the newest version that its teller held


class Bans(Message, frozen=True, array_like=True, tag="ru.bans"):
    """All that the speaker was told and no version of its holds. `wanted`: the hearer's in turn."""

    bans: tuple[tuple[str, int], ...] = ()
    wanted: bool = False


class Suggest(Message, frozen=True, array_like=True, tag="ru.new"):
    """To the leader: please agree on this. `to` above 0: go back to that version's body."""

    id: str
    base: int
    change: bytes
    to: int = 0
    names: tuple[str, ...] = ()


class Look(Message, frozen=True, array_like=True, tag="ru.look"):
    """To the voters: can you read this?"""

    id: str
    document: bytes


class Looked(Message, frozen=True, array_like=True, tag="ru.seen"):
    id: str
    fault: str  # the key and why; empty: none


class Verdict(Message, frozen=True, array_like=True, tag="ru.no"):
    """To who suggested: it will not be."""

    id: str
    why: str
    version: int


class Count(Message, frozen=True, array_like=True, tag="ru.count"):
    """To the leader, of the canary of that id: calls since the last, by the sender."""

    id: str
    taken: int
    bad: int


RULES = (AskLease, Grant, Behind, Told, Bans, Suggest, Look, Looked, Verdict, Count)

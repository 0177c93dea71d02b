"""What members say to each other about being there. All but tables (Ask, Answer) fit a datagram.

Every message bears who speaks (`Me`), so that a member held suspect or dead by the hearer can be told so at once.
"""

from __future__ import annotations

from msgspec import Struct

from ..interfaces import Address, Message
from .states import CODES, State

MOST_NEWS = 40  # claims in one datagram; more is nonsense
LONGEST_NAME = 64
LONGEST_HOST = 255
MAX_PROCESS_EPOCH = 1 << 52
MOST_INCARNATION = 1 << 31
MOST_AGE_MS = 1 << 40
ALIVE, SUSPECT, DEAD, LEFT = range(len(CODES))


class Me(Struct, frozen=True, array_like=True):
    """The speaker of a message; its name is its frame's."""

    address: Address  # as it wants to be spoken to
    process_epoch: int
    incarnation: int
    inside: bool = True  # False: it asks before it joins, or stays out; not to be taken for a member


class Claim(Struct, frozen=True, array_like=True):
    """What is said of a member: an entry of news or of a table."""

    name: str
    state: int  # index in states.CODES
    address: Address
    process_epoch: int
    incarnation: int
    by: str = ""  # who found it: independent finders of one suspicion shorten it
    age_ms: int = 0  # in tables, of the dead and left: how long ago, so that all forget them together

    @property
    def says(self) -> State:
        return CODES[self.state]


class Ping(Message, frozen=True, tag="mb.ping"):
    seq: int
    target: str  # who is meant: another process at the same address must not answer for it
    me: Me
    news: tuple[Claim, ...] = ()


class PingReq(Message, frozen=True, tag="mb.ping-req"):
    seq: int
    target: str
    address: Address
    me: Me
    news: tuple[Claim, ...] = ()


class Ack(Message, frozen=True, tag="mb.ack"):
    seq: int
    about: str  # who answered: the speaker, or whom it was asked to probe
    me: Me
    news: tuple[Claim, ...] = ()


class Nack(Message, frozen=True, tag="mb.nack"):
    """From whom was asked to probe: no answer yet. Tells that the way to the relay is sound."""

    seq: int
    about: str
    me: Me
    news: tuple[Claim, ...] = ()


class News(Message, frozen=True, tag="mb.news"):
    me: Me
    news: tuple[Claim, ...] = ()


class Ask(Message, frozen=True, tag="mb.ask"):
    """Push-pull: the speaker's whole table (empty before it joined), to be answered by the hearer's."""

    me: Me
    members: tuple[Claim, ...] = ()


class Answer(Message, frozen=True, tag="mb.answer"):
    me: Me
    members: tuple[Claim, ...] = ()


Spoken = Ping | PingReq | Ack | Nack | News | Ask | Answer


def _address(address: Address) -> bool:
    return 0 < len(address[0]) <= LONGEST_HOST and 0 < address[1] < 65536


def sound(claim: Claim) -> bool:
    """Whether a claim's values can be meant; types were checked by the codec."""
    return (
        0 < len(claim.name) <= LONGEST_NAME
        and 0 <= claim.state < len(CODES)
        and _address(claim.address)
        and 0 <= claim.process_epoch <= MAX_PROCESS_EPOCH
        and 0 <= claim.incarnation <= MOST_INCARNATION
        and len(claim.by) <= LONGEST_NAME
        and 0 <= claim.age_ms <= MOST_AGE_MS
    )


def sound_me(me: Me) -> bool:
    return (
        _address(me.address) and 0 <= me.process_epoch <= MAX_PROCESS_EPOCH and 0 <= me.incarnation <= MOST_INCARNATION
    )

"""What members say to each other about being there. All but tables (Ask, Answer) fit a datagram.

Every message bears who speaks (`Me`), so that a member held suspect or dead by the hearer can be told so at once.
"""

from __future__ import annotations

from msgspec import Struct

from ..interfaces import Address, Message
from .states import STATES_BY_CODE, State

MAX_CLAIMS_PER_DATAGRAM = 40  # claims in one datagram; more is nonsense
MAX_NAME_LENGTH = 64
MAX_HOST_LENGTH = 255
MAX_PROCESS_EPOCH = 1 << 52
MAX_INCARNATION = 1 << 31
MAX_AGE_MS = 1 << 40
ALIVE, SUSPECT, DEAD, LEFT = range(len(STATES_BY_CODE))


class SenderInfo(Struct, frozen=True, array_like=True):
    """The speaker of a message; its name is its frame's."""

    address: Address  # as it wants to be spoken to
    process_epoch: int
    incarnation: int
    active: bool = True  # False: it asks before it joins, or stays out; not to be taken for a member


class Claim(Struct, frozen=True, array_like=True):
    """What is said of a member: an entry of news or of a table."""

    name: str
    state: int  # index in states.CODES
    address: Address
    process_epoch: int
    incarnation: int
    reported_by: str = ""  # who found it: independent finders of one suspicion shorten it
    age_ms: int = 0  # in tables, of the dead and left: how long ago, so that all forget them together

    @property
    def claimed_state(self) -> State:
        return STATES_BY_CODE[self.state]


class Ping(Message, frozen=True, tag="mb.ping"):
    seq: int
    target: str  # who is meant: another process at the same address must not answer for it
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class PingReq(Message, frozen=True, tag="mb.ping-req"):
    seq: int
    target: str
    address: Address
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class Ack(Message, frozen=True, tag="mb.ack"):
    seq: int
    about: str  # who answered: the speaker, or whom it was asked to probe
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class Nack(Message, frozen=True, tag="mb.nack"):
    """From whom was asked to probe: no answer yet. Tells that the way to the relay is sound."""

    seq: int
    about: str
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class Gossip(Message, frozen=True, tag="mb.news"):
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class TableRequest(Message, frozen=True, tag="mb.ask"):
    """Push-pull: the speaker's whole table (empty before it joined), to be answered by the hearer's."""

    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class TableResponse(Message, frozen=True, tag="mb.answer"):
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


MembershipMessage = Ping | PingReq | Ack | Nack | Gossip | TableRequest | TableResponse


def _is_valid_address(address: Address) -> bool:
    return 0 < len(address[0]) <= MAX_HOST_LENGTH and 0 < address[1] < 65536


def is_valid_claim(claim: Claim) -> bool:
    """Whether a claim's values can be meant; types were checked by the codec."""
    return (
        0 < len(claim.name) <= MAX_NAME_LENGTH
        and 0 <= claim.state < len(STATES_BY_CODE)
        and _is_valid_address(claim.address)
        and 0 <= claim.process_epoch <= MAX_PROCESS_EPOCH
        and 0 <= claim.incarnation <= MAX_INCARNATION
        and len(claim.reported_by) <= MAX_NAME_LENGTH
        and 0 <= claim.age_ms <= MAX_AGE_MS
    )


def is_valid_sender(sender: SenderInfo) -> bool:
    return (
        _is_valid_address(sender.address)
        and 0 <= sender.process_epoch <= MAX_PROCESS_EPOCH
        and 0 <= sender.incarnation <= MAX_INCARNATION
    )

"""Messages between members about membership. All but the tables (TableRequest, TableResponse) fit a datagram.

Every message contains its sender (`SenderInfo`), so that the receiver can tell a member at once that it is considered
suspect or dead.
"""

from __future__ import annotations

from msgspec import Struct

from ..interfaces import Address, Message
from .states import STATES_BY_CODE, State

MAX_CLAIMS = 40  # more are rejected
MAX_NAME_LENGTH = 64
MAX_HOST_LENGTH = 255
MAX_PROCESS_EPOCH = 1 << 52
MAX_INCARNATION = 1 << 31
MAX_AGE_MS = 1 << 40
ALIVE, SUSPECT, DEAD, LEFT = range(len(STATES_BY_CODE))


class SenderInfo(Struct, frozen=True, array_like=True):
    """The sender of a message; its name is in the frame."""

    address: Address  # where it wants to be reached
    process_epoch: int
    incarnation: int
    active: bool = True  # False: joining, or displaced by another process of its name; not to be treated as a member


class Claim(Struct, frozen=True, array_like=True):
    """A claim about a member's state, in gossip or a table."""

    name: str
    state: int  # index in states.STATES_BY_CODE
    address: Address
    process_epoch: int
    incarnation: int
    reported_by: str = ""  # each further reporter of a suspicion shortens the wait before the member is declared dead
    age_ms: int = 0  # in tables, of dead and left members: age of the state, so that all forget them together

    @property
    def claimed_state(self) -> State:
        """The state that is claimed."""
        return STATES_BY_CODE[self.state]


class Ping(Message, frozen=True, tag="mb.ping"):
    """A probe; the target responds with an Ack."""

    seq: int
    target: str  # name: another process at the same address must not answer
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class PingReq(Message, frozen=True, tag="mb.ping-req"):
    """A request to a relay to probe the target."""

    seq: int
    target: str
    address: Address
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class Ack(Message, frozen=True, tag="mb.ack"):
    """The response to a Ping, or of a relay for its target."""

    seq: int
    about: str  # name of who answered: the sender, or the target that it probed as a relay
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class Nack(Message, frozen=True, tag="mb.nack"):
    """From a relay: the target has not answered yet. Shows that the path to the relay works."""

    seq: int
    about: str
    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class Gossip(Message, frozen=True, tag="mb.news"):
    """Claims alone, without a probe."""

    sender: SenderInfo
    claims: tuple[Claim, ...] = ()


class TableRequest(Message, frozen=True, tag="mb.ask"):
    """Push-pull: the sender's complete table (empty before it joined); the receiver responds with its own."""

    sender: SenderInfo
    members: tuple[Claim, ...] = ()


class TableResponse(Message, frozen=True, tag="mb.answer"):
    """The response to a TableRequest: the sender's complete table."""

    sender: SenderInfo
    members: tuple[Claim, ...] = ()


MembershipMessage = Ping | PingReq | Ack | Nack | Gossip | TableRequest | TableResponse


def _is_valid_address(address: Address) -> bool:
    return 0 < len(address[0]) <= MAX_HOST_LENGTH and 0 < address[1] < 65536


def is_valid_claim(claim: Claim) -> bool:
    """Whether a claim's values are in range; the codec has checked their types."""
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
    """Whether a sender's values are in range."""
    return (
        _is_valid_address(sender.address)
        and 0 <= sender.process_epoch <= MAX_PROCESS_EPOCH
        and 0 <= sender.incarnation <= MAX_INCARNATION
    )

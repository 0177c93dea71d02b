"""What passes between the fleet's decisions and whoever hosts them: real sockets, or the laboratory's simulated time.

A *part* (membership, agreement, ...) is told events in order and answers each with actions, to be carried out in order.
Times are milliseconds of the host's monotonic clock: comparable within one process only, and never running backwards.
Parts know no wall clock. Randomness is a seed given when a part is made.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol, Union

from msgspec import Struct

Address = tuple[str, int]


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base of all that members say to each other; each part's `messages.py` has its own, with a short `tag`.

    Fields are only ever added at the end, with defaults: an older program skips them, a newer one fills them in.
    """


class Carrier(Enum):
    """How a message travels."""

    DATAGRAM = "datagram"  # one message, MAX_DATAGRAM_BYTES bytes at most; may be lost, late, doubled, out of order
    STREAM = "stream"  # a kept connection: in order while it lasts; lost with it, and its sender is not told


MAX_DATAGRAM_BYTES = 1200  # bytes of a frame: under every path's limit, and loopback is held to the same


# Events


class Started(NamedTuple):
    """The process begins. Told once, first."""


class MessageReceived(NamedTuple):
    """A message came whose digest and version were sound. `sender` is the name its frame bears."""

    address: Address
    sender: str
    message: Message
    carrier: Carrier = Carrier.DATAGRAM


class TimerFired(NamedTuple):
    """Not before the time asked for; how much later is for the part to see. Timers are never called back."""

    token: int


class ShutdownStarted(NamedTuple):
    """The process is about to end in order (SIGTERM)."""


class Stored(NamedTuple):
    """What `Store(ticket)` asked for, and all before it, is on the disk and survives the machine's fall."""

    ticket: int


class StoreFailed(NamedTuple):
    """It is not, and nothing after it will be until the host says otherwise by a later Stored.

    The host keeps nothing of what failed; the part writes again what is missing.
    """

    ticket: int
    reason: str  # `full`, `read-only`, `torn`, `slow`: the operators read it


class MemberChanged(NamedTuple):
    """From membership to the other parts: what is now held of a member, oneself included."""

    name: str
    state: str  # one of membership.states.State's values
    address: Address
    incarnation: int
    process_epoch: int  # differs between two processes of one name; a duty is held by (name, life)


class Fenced(NamedTuple):
    """From membership to the other parts: the others had declared this process dead. What it held is void."""


# Actions


class SendToAddress(NamedTuple):
    """To an address; membership's, which knows addresses before names."""

    address: Address
    message: Message
    carrier: Carrier = Carrier.DATAGRAM


class SendToMember(NamedTuple):
    """To a member by name; dropped where membership knows no address."""

    member: str
    message: Message
    carrier: Carrier = Carrier.STREAM


class SetTimer(NamedTuple):
    """A timer: TimerFired(token) is due at `at_ms` of the host's clock."""

    at_ms: float
    token: int  # the part's own; the hub keeps parts apart


class Store(NamedTuple):
    """Written in order, answered by Stored or StoreFailed. `records` are the part's own, see store's page."""

    ticket: int
    records: tuple[Any, ...]


class LogLine(NamedTuple):
    """Something an operator would want to see: a structured log line, and a cell of a drawing.

    `text` is short and fixed in form ("suspects b", "b dead", "leads 4"); figures go into `fields`.
    """

    text: str
    fields: Mapping[str, Any] = {}


Event = Union[Started, MessageReceived, TimerFired, ShutdownStarted, Stored, StoreFailed, MemberChanged, Fenced]
Action = Union[SendToAddress, SendToMember, SetTimer, Store, LogLine, MemberChanged, Fenced]


class Component(Protocol):
    """A state machine of the fleet, as its host sees it."""

    def handle(self, now: float, event: Any) -> list[Any]:
        """Raises TypeError on what is no event of the part, ValueError where `now` runs backwards."""
        ...

"""Events and actions between the fleet's components and their host: real sockets, or the laboratory's simulated time.

A *component* (membership, consensus, ...) is a state machine. It handles events in order and answers each with actions,
which the host performs in order. Times are milliseconds of the host's monotonic clock: comparable within one process
only, and never running backwards. Components read no wall clock. Their randomness comes from a seed given at creation.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol, Union

from msgspec import Struct

Address = tuple[str, int]


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between members; each component's `messages.py` defines its own, with a short `tag`.

    Fields are only ever added at the end, with defaults: an older program skips them, a newer one uses the defaults.
    """


class Carrier(Enum):
    """How a message travels."""

    DATAGRAM = "datagram"  # one message of at most MAX_DATAGRAM_BYTES; may be lost, delayed, duplicated, reordered
    STREAM = "stream"  # a persistent connection: in order; messages are lost with it, without notice


MAX_DATAGRAM_BYTES = 1200  # of a frame: below the limit of every path; applied to loopback too


# Events


class Started(NamedTuple):
    """The process starts. Sent once, before all other events."""


class MessageReceived(NamedTuple):
    """A message arrived whose digest and version are valid. `sender` is the name in its frame."""

    address: Address
    sender: str
    message: Message
    carrier: Carrier = Carrier.DATAGRAM


class TimerFired(NamedTuple):
    """A timer is due. It may fire later than requested, never earlier. A timer can't be cancelled."""

    token: int


class ShutdownStarted(NamedTuple):
    """The graceful shutdown of the process begins (SIGTERM)."""


class Stored(NamedTuple):
    """The records of `Store(ticket)`, and all before them, are on disk and survive a crash of the machine."""

    ticket: int


class StoreFailed(NamedTuple):
    """The records of `Store(ticket)` are not on disk, nor is anything after them until the host sends a later Stored.

    The host retains nothing of what failed; the component writes what is missing again.
    """

    ticket: int
    reason: str  # `full`, `read-only`, `torn`, `slow`: shown to operators


class MemberChanged(NamedTuple):
    """From membership to the other components: the current state of a member, this process included."""

    name: str
    state: str  # one of membership.states.State's values
    address: Address
    incarnation: int
    process_epoch: int  # differs between two processes of one name; leases belong to (name, process_epoch)


class Fenced(NamedTuple):
    """From membership to the other components: the peers had declared this process dead, so its leases are void."""


# Actions


class SendToAddress(NamedTuple):
    """Send to an address. For membership, which knows addresses before names."""

    address: Address
    message: Message
    carrier: Carrier = Carrier.DATAGRAM


class SendToMember(NamedTuple):
    """Send to a member by name; dropped if membership knows no address of it."""

    member: str
    message: Message
    carrier: Carrier = Carrier.STREAM


class SetTimer(NamedTuple):
    """Request TimerFired(token) at `at_ms` of the host's clock."""

    at_ms: float
    token: int  # chosen by the component; the hub tells components apart


class Store(NamedTuple):
    """Write records in order; answered by Stored or StoreFailed. The component defines `records` (store/records.py)."""

    ticket: int
    records: tuple[Any, ...]


class LogLine(NamedTuple):
    """A structured log line for operators; also a cell of an expected timeline in tests.

    `text` is short and of a fixed form ("suspects b", "b dead", "leads 4"); values go into `fields`.
    """

    text: str
    fields: Mapping[str, Any] = {}


Event = Union[Started, MessageReceived, TimerFired, ShutdownStarted, Stored, StoreFailed, MemberChanged, Fenced]
Action = Union[SendToAddress, SendToMember, SetTimer, Store, LogLine, MemberChanged, Fenced]


class Component(Protocol):
    """A state machine of the fleet, as its host sees it."""

    def handle(self, now: float, event: Any) -> list[Any]:
        """Raises TypeError on an event that is not the component's, ValueError if `now` runs backwards."""
        ...

"""Messages between sidecars about rules. Lease requests, their responses and ejections are sent as datagrams."""

from __future__ import annotations

from ..interfaces import Message

MAX_PIGGYBACKED_EJECTIONS = 8  # that go along with one lease request or grant
MAX_NAME_LENGTH = 80


class LeaseRequest(Message, frozen=True, array_like=True, tag="ru.ask"):
    """Asks the leader for a lease, and reports what the sender uses."""

    serial: int
    process_epoch: int  # differs between two processes of one name
    version: int  # the newest that the sender has applied
    active: int
    divisor: int  # of the lease in force, 0: none
    granted_serial: int  # of the grant in force
    ejections: tuple[tuple[str, int], ...] = ()


class LeaseGrant(Message, frozen=True, array_like=True, tag="ru.grant"):
    """A lease. With a `divisor` of 0 its holder may send nothing to endpoints in slow start."""

    serial: int
    lease_ms: float
    divisor: int
    ejections: tuple[tuple[str, int], ...] = ()


class StaleVersion(Message, frozen=True, array_like=True, tag="ru.behind"):
    """Rejects a lease request: its sender has not applied this version yet."""

    serial: int
    version: int
    active: int


class EjectionNotice(Message, frozen=True, array_like=True, tag="ru.ban"):
    """One ejection by an operator that no version of the rules contains yet."""

    endpoint: str
    known_version: int  # the newest version that its reporter had applied


class EjectionExchange(Message, frozen=True, array_like=True, tag="ru.bans"):
    """Every ejection that the sender knows of and that no version known to it contains.

    With `reply_requested`, the receiver answers with its own.
    """

    ejections: tuple[tuple[str, int], ...] = ()
    reply_requested: bool = False


class ChangeProposal(Message, frozen=True, array_like=True, tag="ru.new"):
    """Asks the leader to have a change agreed on. `restore_version` above 0: the document of that version again."""

    id: str
    base: int
    change: bytes
    restore_version: int = 0
    canary_members: tuple[str, ...] = ()


class CheckRequest(Message, frozen=True, array_like=True, tag="ru.look"):
    """The leader asks the voters whether their programs can read this document."""

    id: str
    document: bytes


class CheckResult(Message, frozen=True, array_like=True, tag="ru.seen"):
    """A voter's answer to a CheckRequest."""

    id: str
    error: str  # the key and the reason; empty: the document is readable


class ChangeRejected(Message, frozen=True, array_like=True, tag="ru.no"):
    """The leader informs a proposal's sender that the change was rejected."""

    id: str
    reason: str
    version: int


class CanaryCounts(Message, frozen=True, array_like=True, tag="ru.count"):
    """Requests at the sender since its last report, for the leader's comparison of the canary trial `id`."""

    id: str
    requests: int
    unsuccessful: int


RULES_MESSAGES = (
    LeaseRequest,
    LeaseGrant,
    StaleVersion,
    EjectionNotice,
    EjectionExchange,
    ChangeProposal,
    CheckRequest,
    CheckResult,
    ChangeRejected,
    CanaryCounts,
)

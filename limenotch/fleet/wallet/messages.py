"""What sidecars say to each other about slices; for all tenants of a holder in one message, never for one call.

Short ones go by datagram, as a lost one is said again anyway; see `carrier`.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..interfaces import MAX_DATAGRAM_BYTES, Carrier, Message

MAX_ITEMS = 256  # tenants' items in one message


class LeaseRequest(Message, frozen=True, array_like=True, tag="wa.ask"):
    serial: int
    process_epoch: int


class LeaseGrant(Message, frozen=True, array_like=True, tag="wa.lease"):
    """Counts once the holder has applied the log up to `index`."""

    process_epoch: int
    serial: int
    lease_ms: float
    index: int


class AllocationRequest(Message, frozen=True, array_like=True, tag="wa.want"):
    """To the leader: tenant, the newest slice that the holder knows of, units, the least that helps (0: nobody was
    turned away), and what it uses in `slice_ms`."""

    process_epoch: int
    requests: tuple[tuple[str, int, int, int, int], ...]


class SpendLimitRequest(Message, frozen=True, array_like=True, tag="wa.mark"):
    """To witnesses: so much of these slices may be spent. Tenant, serial, mark."""

    process_epoch: int
    limits: tuple[tuple[str, int, int], ...]


class SpendLimitAck(Message, frozen=True, array_like=True, tag="wa.held"):
    """A witness, in its life: it holds these. To the holder of that other life."""

    process_epoch: int
    holder_epoch: int
    limits: tuple[tuple[str, int, int], ...]


class Recall(Message, frozen=True, array_like=True, tag="wa.recall"):
    """There is little left: give back all but what is used of it within so many ms, and want no more than that for a
    lease's time. Tenant, ms."""

    process_epoch: int
    recalls: tuple[tuple[str, float], ...]


class WitnessQuery(Message, frozen=True, array_like=True, tag="wa.who"):
    """To witnesses, of a holder that is gone: which marks of it do you hold? Tenant, serial."""

    number: int
    asker_epoch: int  # its life
    name: str
    process_epoch: int
    allocations: tuple[tuple[str, int], ...]


class WitnessReply(Message, frozen=True, array_like=True, tag="wa.told"):
    """A witness, in its life: the marks in the question's order; 0: never heard of one."""

    number: int
    asker_epoch: int
    process_epoch: int
    limits: tuple[int, ...]


WALLET_MESSAGES = (
    LeaseRequest,
    LeaseGrant,
    AllocationRequest,
    SpendLimitRequest,
    SpendLimitAck,
    Recall,
    WitnessQuery,
    WitnessReply,
)


def choose_carrier(tenants: Sequence[str]) -> Carrier:
    """For a message with so many items, each of a tenant of that name and a few numbers."""
    size = 300 + sum(4 * len(tenant) + 40 for tenant in tenants)
    return Carrier.DATAGRAM if size <= MAX_DATAGRAM_BYTES else Carrier.STREAM

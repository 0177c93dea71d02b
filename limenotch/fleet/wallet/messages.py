"""Messages between sidecars about allocations. One message carries the items of all tenants of a holder; none is sent
for a single request.

Short messages go by datagram: all of them are repeated if lost. See `choose_carrier`.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..interfaces import MAX_DATAGRAM_BYTES, Carrier, Message

MAX_ITEMS = 256  # items, one of a tenant, in one message


class LeaseRequest(Message, frozen=True, array_like=True, tag="wa.ask"):
    """From a holder to the leader. `serial` rises with each request."""

    serial: int
    process_epoch: int


class LeaseGrant(Message, frozen=True, array_like=True, tag="wa.lease"):
    """Takes effect once the holder has applied the log up to `index`."""

    process_epoch: int
    serial: int
    lease_ms: float
    index: int


class AllocationRequest(Message, frozen=True, array_like=True, tag="wa.want"):
    """To the leader. Each item: tenant; serial of the newest allocation that the holder knows of; units; the least
    number of units that helps (0: no request was rejected); units that the holder uses in `slice_ms`.
    """

    process_epoch: int
    requests: tuple[tuple[str, int, int, int, int], ...]


class SpendLimitRequest(Message, frozen=True, array_like=True, tag="wa.mark"):
    """To witnesses: allow spending of these allocations up to a limit. Each item: tenant, serial, limit."""

    process_epoch: int
    limits: tuple[tuple[str, int, int], ...]


class SpendLimitAck(Message, frozen=True, array_like=True, tag="wa.held"):
    """From the witness with `process_epoch` to the holder with `holder_epoch`: these limits are recorded."""

    process_epoch: int
    holder_epoch: int
    limits: tuple[tuple[str, int, int], ...]


class Recall(Message, frozen=True, array_like=True, tag="wa.recall"):
    """The wallet is nearly empty: keep only what is used of it within so many ms, return the rest, and request no more
    than that for the span of a lease. Each item: tenant, ms.
    """

    process_epoch: int
    recalls: tuple[tuple[str, float], ...]


class WitnessQuery(Message, frozen=True, array_like=True, tag="wa.who"):
    """To witnesses of a holder that can no longer spend: which spend limits have you recorded? Each item: tenant,
    serial.
    """

    number: int
    asker_epoch: int  # process epoch of the leader that sends the query
    name: str
    process_epoch: int
    allocations: tuple[tuple[str, int], ...]


class WitnessReply(Message, frozen=True, array_like=True, tag="wa.told"):
    """From the witness with `process_epoch`: the limits in the order of the query; 0: no limit recorded."""

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
    """The carrier for a message with one item, of a name and a few numbers, for each of these tenants."""
    size = 300 + sum(4 * len(tenant) + 40 for tenant in tenants)
    return Carrier.DATAGRAM if size <= MAX_DATAGRAM_BYTES else Carrier.STREAM

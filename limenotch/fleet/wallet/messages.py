"""What sidecars say to each other about slices; for all tenants of a holder in one message, never for one call.

Short ones go by datagram, as a lost one is said again anyway; see `carrier`.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..interfaces import MAX_DATAGRAM_BYTES, Carrier, Message

MOST = 256  # tenants' items in one message


class AskLease(Message, frozen=True, array_like=True, tag="wa.ask"):
    serial: int
    process_epoch: int


class Lease(Message, frozen=True, array_like=True, tag="wa.lease"):
    """Counts once the holder has applied the log up to `index`."""

    process_epoch: int
    serial: int
    lease_ms: float
    index: int


class Want(Message, frozen=True, array_like=True, tag="wa.want"):
    """To the leader: tenant, the newest slice that the holder knows of, units, the least that helps (0: nobody was
    turned away), and what it uses in `slice_ms`."""

    process_epoch: int
    wants: tuple[tuple[str, int, int, int, int], ...]


class Mark(Message, frozen=True, array_like=True, tag="wa.mark"):
    """To witnesses: so much of these slices may be spent. Tenant, serial, mark."""

    process_epoch: int
    marks: tuple[tuple[str, int, int], ...]


class Held(Message, frozen=True, array_like=True, tag="wa.held"):
    """A witness, in its life: it holds these. To the holder of that other life."""

    process_epoch: int
    holder: int
    marks: tuple[tuple[str, int, int], ...]


class Recall(Message, frozen=True, array_like=True, tag="wa.recall"):
    """There is little left: give back all but what is used of it within so many ms, and want no more than that for a
    lease's time. Tenant, ms."""

    process_epoch: int
    recalls: tuple[tuple[str, float], ...]


class Question(Message, frozen=True, array_like=True, tag="wa.who"):
    """To witnesses, of a holder that is gone: which marks of it do you hold? Tenant, serial."""

    number: int
    asker: int  # its life
    name: str
    process_epoch: int
    slices: tuple[tuple[str, int], ...]


class Told(Message, frozen=True, array_like=True, tag="wa.told"):
    """A witness, in its life: the marks in the question's order; 0: never heard of one."""

    number: int
    asker: int
    process_epoch: int
    marks: tuple[int, ...]


WALLET = (AskLease, Lease, Want, Mark, Held, Recall, Question, Told)


def carrier(names: Sequence[str]) -> Carrier:
    """For a message with so many items, each of a tenant of that name and a few numbers."""
    size = 300 + sum(4 * len(name) + 40 for name in names)
    return Carrier.DATAGRAM if size <= MAX_DATAGRAM_BYTES else Carrier.STREAM

"""The gossip queue: each claim is sent a limited number of times, piggybacked on the messages that go out next.

Source: SWIM (2002), 4.1 (piggybacked dissemination, lambda * log n times each). One entry a name: a newer claim
replaces the older one. The claims sent least often go first, of those the newest. Bounded by the number of names in the
table, and by `max_bytes` in each message.
"""

from __future__ import annotations

import msgspec

from ..interfaces import MAX_DATAGRAM_BYTES
from .messages import MAX_CLAIMS, Claim

FRAME_OVERHEAD_BYTES = 400  # of a frame: envelope, digest, and the message's other fields with names of maximal length
MAX_CLAIMS_BYTES = MAX_DATAGRAM_BYTES - FRAME_OVERHEAD_BYTES

_encoder = msgspec.msgpack.Encoder()


def encoded_size(claim: Claim) -> int:
    """Encoded bytes of a claim."""
    return len(_encoder.encode(claim))


class _Entry:
    __slots__ = ("claim", "order", "sent", "size")

    def __init__(self, claim: Claim, order: int) -> None:
        self.claim, self.order, self.sent, self.size = claim, order, 0, encoded_size(claim)


class GossipQueue:
    """The claims to be sent."""

    def __init__(self) -> None:
        self._queued: dict[str, _Entry] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, claim: Claim) -> None:
        """Queue a claim; it replaces an earlier one about the same name."""
        self._count += 1
        self._queued[claim.name] = _Entry(claim, -self._count)

    def remove(self, name: str) -> None:
        """Drop the claim about a name."""
        self._queued.pop(name, None)

    def next_claims(
        self, max_sends: int, first: Claim | None = None, max_bytes: int = MAX_CLAIMS_BYTES
    ) -> tuple[Claim, ...]:
        """The claims for one message; `first` is always included. `max_sends`: how often each claim may be sent."""
        taken, free_bytes = [], max_bytes
        if first is not None:
            taken.append(first)
            free_bytes -= encoded_size(first)
        if not self._queued:
            return tuple(taken)
        for entry in sorted(self._queued.values(), key=lambda entry: (entry.sent, entry.order)):
            if len(taken) >= MAX_CLAIMS:
                break
            if entry.size > free_bytes or (first is not None and first.name == entry.claim.name):
                continue
            taken.append(entry.claim)
            free_bytes -= entry.size
            entry.sent += 1
            if entry.sent >= max_sends:
                del self._queued[entry.claim.name]
        return tuple(taken)

"""Transfer of snapshots to members that need entries no longer in the log: in chunks, rate-limited, a few at a time.

- One chunk to a member is in flight at a time; all transfers of a leader together keep to `snapshot_bytes_per_s`.
- The receiver names the offset that it needs next, so a transfer resumes where it stopped, also with the next leader
  if that one has the same snapshot. A lost chunk is sent again with the heartbeat.
- A receiver buffers one snapshot of at most `most_snapshot_bytes`; it does not take a larger one.

Source: Ongaro, Ousterhout (2014), figure 13.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ...store.records import Snapshot
from . import messages
from .log import SnapshotPayload, decode_payload
from .tuning import Tuning


@dataclass(slots=True)
class Transfer:
    """The state of one transfer. Times in ms."""

    snapshot: Snapshot
    offset: int = 0
    sent_at: float | None = None  # when the chunk in flight was sent; None: none is


class OutgoingSnapshots:
    """The leader's side: which chunk is sent next, and when."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self.transfers: dict[str, Transfer] = {}
        self._next_chunk_at_ms = 0.0

    def begin(self, name: str, snapshot: Snapshot) -> bool:
        """Starts a transfer unless one to this member runs. False: too many run; try again later."""
        if name not in self.transfers:
            if len(self.transfers) >= self._tuning.most_transfers:
                return False
            self.transfers[name] = Transfer(snapshot)
        return True

    def next_deadline_ms(self) -> float:
        """When the next chunk may be sent; infinite if none waits."""
        waiting = any(transfer.sent_at is None for transfer in self.transfers.values())
        return self._next_chunk_at_ms if waiting else float("inf")

    def on_response(self, name: str, message: messages.SnapshotChunkResponse) -> None:
        """The member has named the offset that it needs next."""
        transfer = self.transfers.get(name)
        if transfer is None or message.index != transfer.snapshot.index:
            return
        if 0 <= message.offset <= len(transfer.snapshot.state):
            transfer.offset = message.offset
            transfer.sent_at = None

    def next(self, now: float, timeout_ms: float) -> list[tuple[str, Transfer, bytes]]:
        """The chunks to send now, in flight from then on; one unanswered for `timeout_ms` is sent again."""
        ready: list[tuple[str, Transfer, bytes]] = []
        for name, transfer in self.transfers.items():
            if transfer.sent_at is not None and now - transfer.sent_at >= timeout_ms:
                transfer.sent_at = None
            if transfer.sent_at is None and now >= self._next_chunk_at_ms:
                data = transfer.snapshot.state[transfer.offset : transfer.offset + self._tuning.chunk_bytes]
                transfer.sent_at = now
                span_ms = (len(data) + 64) * 1000.0 / self._tuning.snapshot_bytes_per_s
                self._next_chunk_at_ms = max(self._next_chunk_at_ms, now) + span_ms
                ready.append((name, transfer, data))
        return ready


class IncomingSnapshot:
    """The follower's side: the bytes received of one snapshot."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self._snapshot_key: tuple[int, int, int] | None = None
        self._data = bytearray()

    def reset(self) -> None:
        """Drops what was received."""
        self._snapshot_key = None
        self._data = bytearray()

    def add_chunk(self, chunk: messages.SnapshotChunk) -> tuple[int, tuple[Snapshot, SnapshotPayload] | None]:
        """The offset needed next, and the snapshot once complete. One that cannot be decoded starts over."""
        snapshot_key = (chunk.index, chunk.index_term, chunk.total)
        if chunk.total > self._tuning.most_snapshot_bytes:
            return 0, None
        if snapshot_key != self._snapshot_key:
            self._snapshot_key, self._data = snapshot_key, bytearray()
        if chunk.offset == len(self._data) and len(self._data) + len(chunk.data) <= chunk.total:
            self._data += chunk.data
        if len(self._data) < chunk.total:
            return len(self._data), None
        snapshot = Snapshot(chunk.index, chunk.index_term, bytes(self._data), chunk.voters)
        self.reset()
        try:
            return chunk.total, (snapshot, decode_payload(snapshot))
        except msgspec.MsgspecError:
            return 0, None

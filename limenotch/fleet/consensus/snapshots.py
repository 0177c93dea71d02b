"""Snapshots on their way to who lacks what the log no longer holds: in chunks, paced, a few at a time.

- One chunk to a member is on its way at a time; all of a leader's together keep to `snapshot_bytes_per_s`.
- The receiver says which offset it wants next, so a transfer goes on where it stopped, also with the next leader if
  that one holds the same snapshot; a chunk that was lost is sent again with the heartbeat.
- A receiver holds one snapshot at most, of at most `most_snapshot_bytes`; more is not taken, and counted by its leader.

Source: Ongaro, Ousterhout (2014), figure 13.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ...store.records import Snapshot
from . import messages
from .log import State, unpack
from .tuning import Tuning


@dataclass(slots=True)
class Transfer:
    snapshot: Snapshot
    offset: int = 0
    sent_at: float | None = None  # of a chunk not answered


class Outgoing:
    """A leader's: when the next chunk may leave."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self.to: dict[str, Transfer] = {}
        self._free_at = 0.0

    def begin(self, name: str, snapshot: Snapshot) -> bool:
        """False: too many are on their way; ask again later."""
        if name not in self.to:
            if len(self.to) >= self._tuning.most_transfers:
                return False
            self.to[name] = Transfer(snapshot)
        return True

    def due(self) -> float:
        waiting = any(transfer.sent_at is None for transfer in self.to.values())
        return self._free_at if waiting else float("inf")

    def answered(self, name: str, message: messages.ChunkAck) -> None:
        transfer = self.to.get(name)
        if transfer is None or message.index != transfer.snapshot.index:
            return
        if 0 <= message.offset <= len(transfer.snapshot.state):
            transfer.offset = message.offset
            transfer.sent_at = None

    def next(self, now: float, patience_ms: float) -> list[tuple[str, Transfer, bytes]]:
        """What may leave now; each is on its way from then on."""
        ready: list[tuple[str, Transfer, bytes]] = []
        for name, transfer in self.to.items():
            if transfer.sent_at is not None and now - transfer.sent_at >= patience_ms:
                transfer.sent_at = None
            if transfer.sent_at is None and now >= self._free_at:
                data = transfer.snapshot.state[transfer.offset : transfer.offset + self._tuning.chunk_bytes]
                transfer.sent_at = now
                span = (len(data) + 64) * 1000.0 / self._tuning.snapshot_bytes_per_s
                self._free_at = max(self._free_at, now) + span
                ready.append((name, transfer, data))
        return ready


class Incoming:
    """A follower's: what it has of one snapshot."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self._of: tuple[int, int, int] | None = None
        self._data = bytearray()

    def drop(self) -> None:
        self._of = None
        self._data = bytearray()

    def take(self, chunk: messages.Chunk) -> tuple[int, tuple[Snapshot, State] | None]:
        """The offset wanted next, and the snapshot once it is whole. What can't be read begins anew."""
        of = (chunk.index, chunk.index_term, chunk.total)
        if chunk.total > self._tuning.most_snapshot_bytes:
            return 0, None
        if of != self._of:
            self._of, self._data = of, bytearray()
        if chunk.offset == len(self._data) and len(self._data) + len(chunk.data) <= chunk.total:
            self._data += chunk.data
        if len(self._data) < chunk.total:
            return len(self._data), None
        snapshot = Snapshot(chunk.index, chunk.index_term, bytes(self._data), chunk.voters)
        self.drop()
        try:
            return chunk.total, (snapshot, unpack(snapshot))
        except msgspec.MsgspecError:
            return 0, None

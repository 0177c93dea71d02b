"""What all sides of the part stand on: who one is, the table, the others, and how one speaks."""

from __future__ import annotations

from random import Random
from typing import Any

from ..interfaces import Carrier, LogLine, Message, SendToMember
from .clocks import INFINITE
from .entries import ChangeCallback
from .expiry import interval_scale
from .last_seen import UpdateSender
from .peers import Peer, Peers
from .table import AffinityTable
from .tuning import Tuning


class Context:
    def __init__(
        self, name: str, process_epoch: int, key: bytes, tuning: Tuning, seed: int, on_change: ChangeCallback | None
    ) -> None:
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning
        self.table = AffinityTable(name, key, tuning, on_change=on_change)
        self.peers = Peers(name, tuning.drift)
        self.update_sender = UpdateSender(self.table, process_epoch, 0.0)
        self.random = Random(f"{seed} {name} {process_epoch} bindings")
        self.now = -INFINITE
        self.member_since_ms = INFINITE  # since when one is a member
        self.actions: list[Any] = []
        self._serial = 0

    @property
    def interval_scale(self) -> float:
        return interval_scale(len(self.peers.alive_peers()) + 1)

    def next_serial(self) -> int:
        self._serial += 1
        return self._serial

    def send(self, peer: Peer, message: Message, carrier: Carrier = Carrier.STREAM) -> None:
        self.actions.append(SendToMember(peer.name, message, carrier))

    def broadcast(self, message: Message) -> None:
        for peer in self.peers.alive_peers():
            self.send(peer, message)

    def log(self, text: str, **fields: Any) -> None:
        self.actions.append(LogLine(text, fields))

    def update_watermark(self) -> None:
        """What others have covered, and how far ages from them may be out."""
        table, tuning = self.table, self.tuning
        table.watermark_ms = self.peers.lowest_watermark_ms(self.now, tuning.grave_ms)
        live = self.peers.alive_peers()
        uncertainty_ms = max((peer.clock_uncertainty_ms for peer in live), default=0.0)
        # Since the latest answer the bounds have gone further apart.
        drift_gap_ms = 2 * tuning.drift * tuning.digest_ms * self.interval_scale if live else 0.0
        table.age_slack_ms = drift_gap_ms + (uncertainty_ms if uncertainty_ms < INFINITE else tuning.cover_ms)

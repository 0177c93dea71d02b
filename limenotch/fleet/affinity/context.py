"""State shared by the modules of the affinity component: identity, table, peers, and the actions to emit."""

from __future__ import annotations

from random import Random
from typing import Any

from ..interfaces import Carrier, LogLine, Message, SendToMember
from .clocks import INFINITE
from .entries import ChangeCallback
from .expiry import interval_factor
from .last_seen import UpdateSender
from .peers import Peer, Peers
from .table import AffinityTable
from .tuning import Tuning


class Context:
    """One process of one member. `actions` collects what the current `handle` call returns."""

    def __init__(
        self, name: str, process_epoch: int, key: bytes, tuning: Tuning, seed: int, on_change: ChangeCallback | None
    ) -> None:
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning
        self.table = AffinityTable(name, key, tuning, on_change=on_change)
        self.peers = Peers(name, tuning.drift)
        self.update_sender = UpdateSender(self.table, process_epoch, 0.0)
        self.random = Random(f"{seed} {name} {process_epoch} bindings")
        self.now = -INFINITE
        self.member_since_ms = INFINITE  # infinite until membership lists this member
        self.actions: list[Any] = []
        self._serial = 0

    @property
    def interval_scale(self) -> float:
        return interval_factor(len(self.peers.alive_peers()) + 1)

    def next_serial(self) -> int:
        self._serial += 1
        return self._serial

    def send(self, peer: Peer, message: Message, carrier: Carrier = Carrier.STREAM) -> None:
        self.actions.append(SendToMember(peer.name, message, carrier))

    def all(self, message: Message) -> None:
        for peer in self.peers.alive_peers():
            self.send(peer, message)

    def log(self, text: str, **fields: Any) -> None:
        self.actions.append(LogLine(text, fields))

    def update_watermark(self) -> None:
        """Recomputes the lowest watermark of the peers, and the error that ages from them may have."""
        table, tuning = self.table, self.tuning
        table.watermark_ms = self.peers.lowest_watermark_ms(self.now, tuning.grave_ms)
        alive = self.peers.alive_peers()
        uncertainty_ms = max((peer.clock_uncertainty_ms for peer in alive), default=0.0)
        # The bounds of a clock offset drift apart from one answer to the next.
        drift_gap_ms = 2 * tuning.drift * tuning.digest_ms * self.interval_scale if alive else 0.0
        table.age_slack_ms = drift_gap_ms + (uncertainty_ms if uncertainty_ms < INFINITE else tuning.cover_ms)

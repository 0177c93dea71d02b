"""What all sides of the part stand on: who one is, the table, the others, and how one speaks."""

from __future__ import annotations

from random import Random
from typing import Any

from ..interfaces import Carrier, LogLine, Message, SendToMember
from .clocks import INFINITE
from .entries import Noted
from .expiry import pace
from .last_seen import Teller
from .peers import Peer, Peers
from .table import Shared
from .tuning import Tuning


class Ground:
    def __init__(
        self, name: str, process_epoch: int, key: bytes, tuning: Tuning, seed: int, noted: Noted | None
    ) -> None:
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning
        self.table = Shared(name, key, tuning, noted=noted)
        self.peers = Peers(name, tuning.drift)
        self.teller = Teller(self.table, process_epoch, 0.0)
        self.random = Random(f"{seed} {name} {process_epoch} bindings")
        self.now = -INFINITE
        self.inside = INFINITE  # since when one is a member
        self.out: list[Any] = []
        self._serial = 0

    @property
    def scale(self) -> float:
        return pace(len(self.peers.live()) + 1)

    def serial(self) -> int:
        self._serial += 1
        return self._serial

    def say(self, peer: Peer, message: Message, carrier: Carrier = Carrier.STREAM) -> None:
        self.out.append(SendToMember(peer.name, message, carrier))

    def all(self, message: Message) -> None:
        for peer in self.peers.live():
            self.say(peer, message)

    def note(self, text: str, **fields: Any) -> None:
        self.out.append(LogLine(text, fields))

    def least(self) -> None:
        """What others have covered, and how far ages from them may be out."""
        table, tuning = self.table, self.tuning
        table.least = self.peers.covered(self.now, tuning.grave_ms)
        live = self.peers.live()
        doubt = max((peer.doubt for peer in live), default=0.0)
        # Since the latest answer the bounds have gone further apart.
        apart = 2 * tuning.drift * tuning.digest_ms * self.scale if live else 0.0
        table.slack = apart + (doubt if doubt < INFINITE else tuning.cover_ms)

"""The other members: their process epochs, which of their updates have arrived, and their watermarks.

| a member is | it is waited for before a binding is removed |
| --- | --- |
| held alive or suspect | yes, if it sent a message in this process epoch; else for `grave_ms` after it was listed |
| held dead, left or unlisted | no; messages of a process epoch held dead are dropped; a leaver sends all first |
| received from under a higher process epoch than listed | as before; none of its updates are known yet |

Messages of a lower process epoch than known are dropped. A gap stops a member's watermark until the missing updates
have been fetched. Gaps arise in the sequence of its updates (a stream was lost), or before its first message that
arrived here, if it had sent updates to others before, or retained rows of an earlier process epoch.
"""

from __future__ import annotations

from typing import Any

from .clocks import INFINITE, ClockOffset

ALIVE_STATES = frozenset({"alive", "suspect"})
MAX_PEERS = 5000


class Peer:
    def __init__(
        self, name: str, process_epoch: int, state: str, now: float, drift: float, known_counter: int = -1
    ) -> None:
        self.name, self.process_epoch, self.state, self.known_since_ms = name, process_epoch, state, now
        self.clock = ClockOffset(drift)
        self.clock_uncertainty_ms = INFINITE  # distance of the offset's bounds, as of the latest Pong
        self.last_message_ms = -INFINITE  # local time, of this process epoch
        self.complete = False
        self.last_seq = -1  # of the last update; -1: no update or watermark received yet
        self.known_counter = known_counter  # all its updates up to this counter, of earlier epochs too, are known
        self.has_gap = False
        self.gap_end_seq = 0  # the gap closes once all updates up to this seq are known
        self.watermark_ms = -INFINITE  # local time
        self.next_ping_ms = now
        self.deferred: list[Any] = []  # messages received before the clock offset is known: their ages cannot be told

    @property
    def is_alive(self) -> bool:
        return self.state in ALIVE_STATES


class Peers:
    def __init__(self, name: str, drift: float) -> None:
        self._name, self._drift = name, drift
        self._peers: dict[str, Peer] = {}
        self._alive: list[Peer] | None = None  # cache; None after a change
        self._slowest: Peer | None = None  # has the lowest watermark, as of its latest computation

    def alive_peers(self) -> list[Peer]:
        """Peers held alive or suspect. The caller must not modify the list."""
        if self._alive is None:
            self._alive = [peer for peer in self._peers.values() if peer.is_alive]
        return self._alive

    def get(self, name: str) -> Peer | None:
        return self._peers.get(name)

    def member_changed(self, now: float, name: str, process_epoch: int, state: str) -> None:
        """Applies a change that membership reports."""
        peer = self._peers.get(name)
        self._alive = self._slowest = None
        if peer is None or peer.process_epoch < process_epoch:
            if peer is None and len(self._peers) >= MAX_PEERS:
                self._drop_dead_peer()
            self._peers[name] = Peer(
                name, process_epoch, state, now, self._drift, peer.known_counter if peer is not None else -1
            )
        elif peer.process_epoch == process_epoch or (state in ALIVE_STATES and not peer.is_alive):
            peer.state = state

    def accept_message(self, now: float, name: str, process_epoch: int) -> Peer | None:
        """Registers a message from a member. Returns None if the message must be dropped."""
        peer = self._peers.get(name)
        if name == self._name or (peer is not None and process_epoch < peer.process_epoch):
            return None
        if peer is None or process_epoch > peer.process_epoch:
            if peer is None and len(self._peers) >= MAX_PEERS:
                return None
            state = peer.state if peer is not None and peer.is_alive else ""
            known_counter = peer.known_counter if peer is not None else -1
            peer = self._peers[name] = Peer(name, process_epoch, state, now, self._drift, known_counter)
            self._alive = self._slowest = None
        if peer.state == "dead":
            return None
        peer.last_message_ms = now
        return peer

    def lowest_watermark_ms(self, now: float, silence_grace_ms: float) -> float:
        """Local time up to which the uses at all peers that are waited for are known; infinite if there are none."""
        waited_for = [
            peer
            for peer in self.alive_peers()
            if peer.last_message_ms > -INFINITE or now < peer.known_since_ms + silence_grace_ms
        ]
        self._slowest = min(waited_for, key=lambda peer: peer.watermark_ms, default=None)
        return self._slowest.watermark_ms if self._slowest is not None else INFINITE

    def limits_watermark(self, peer: Peer) -> bool:
        """Whether the lowest watermark depends on this peer."""
        return self._slowest is None or self._slowest is peer

    def reset_progress(self, now: float) -> None:
        """Forgets the peers' progress after fencing: their updates did not reach a member that they held dead."""
        for name, peer in list(self._peers.items()):
            self._peers[name] = Peer(name, peer.process_epoch, peer.state, now, self._drift, peer.known_counter)
        self._alive = self._slowest = None

    def _drop_dead_peer(self) -> None:
        dead_name = next((name for name, peer in self._peers.items() if not peer.is_alive), None)
        if dead_name is not None:
            del self._peers[dead_name]

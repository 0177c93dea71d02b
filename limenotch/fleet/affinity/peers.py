"""The other members: which life, what has come of their sights, up to which time those are covered.

| a member is | it is waited for before anything is forgotten |
| --- | --- |
| held alive or suspect | yes; from its first word in this life on, or for `grave_ms` from when it was first held |
| held dead or left, or not held at all | no; and nothing is taken from a life held dead. Who left tells all before |
| heard in a higher life than is held | as before; nothing is known of this life's sights yet |

A word of a life lower than known is dropped. A gap stops the cover of a member until what is missing has been asked for
and has come: in the count of its Sights (a stream was lost), or before the first word heard of its life, where it told
others something, or kept rows of an earlier life.
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
        self.clock_uncertainty_ms = INFINITE  # ms between the bounds of its clock, as of its latest answer
        self.last_message_ms = -INFINITE  # last word in this life
        self.complete = False
        self.last_seq = -1  # of the last Sights heard; -1: nothing was heard yet
        self.known_counter = known_counter  # counter up to which all that it told, in earlier lives too, is known here
        self.has_gap = False
        self.gap_end_seq = 0  # seq that has to be reached before the gap is closed
        self.watermark_ms = -INFINITE  # own clock
        self.next_ping_ms = now
        self.deferred: list[Any] = []  # heard before its clock is known: how old what they bear is can't be said

    @property
    def is_alive(self) -> bool:
        return self.state in ALIVE_STATES


class Peers:
    def __init__(self, name: str, drift: float) -> None:
        self._name, self._drift = name, drift
        self._peers: dict[str, Peer] = {}
        self._alive: list[Peer] | None = None  # made anew after a change
        self._slowest: Peer | None = None  # the one that has covered least, as of the latest look

    def alive_peers(self) -> list[Peer]:
        """Those held alive; not to be changed by who asks."""
        if self._alive is None:
            self._alive = [peer for peer in self._peers.values() if peer.is_alive]
        return self._alive

    def get(self, name: str) -> Peer | None:
        return self._peers.get(name)

    def member_changed(self, now: float, name: str, process_epoch: int, state: str) -> None:
        """What membership holds of it."""
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
        """None if its word is not to be taken."""
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
        """Own time up to which all sights of all that count are known; infinite if nobody else does."""
        waited_for = [
            peer
            for peer in self.alive_peers()
            if peer.last_message_ms > -INFINITE or now < peer.known_since_ms + silence_grace_ms
        ]
        self._slowest = min(waited_for, key=lambda peer: peer.watermark_ms, default=None)
        return self._slowest.watermark_ms if self._slowest is not None else INFINITE

    def limits_watermark(self, peer: Peer) -> bool:
        """Whether all wait for it: only its cover changes what is covered by all."""
        return self._slowest is None or self._slowest is peer

    def reset_progress(self, now: float) -> None:
        """One's own new life: what they told while one was held dead went to others only."""
        for name, peer in list(self._peers.items()):
            self._peers[name] = Peer(name, peer.process_epoch, peer.state, now, self._drift, peer.known_counter)
        self._alive = self._slowest = None

    def _drop_dead_peer(self) -> None:
        dead_name = next((name for name, peer in self._peers.items() if not peer.is_alive), None)
        if dead_name is not None:
            del self._peers[dead_name]

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

from .clocks import INFINITE, Clock

LIVE = frozenset({"alive", "suspect"})
MOST = 5000


class Peer:
    def __init__(self, name: str, process_epoch: int, state: str, now: float, drift: float, floor: int = -1) -> None:
        self.name, self.process_epoch, self.state, self.since = name, process_epoch, state, now
        self.clock = Clock(drift)
        self.doubt = INFINITE  # ms between the bounds of its clock, as of its latest answer
        self.spoke = -INFINITE  # last word in this life
        self.whole = False
        self.seq = -1  # of the last Sights heard; -1: nothing was heard yet
        self.upto = floor  # counter up to which all that it told, in earlier lives too, is known here
        self.gap = False
        self.missed = 0  # seq that has to be reached before the gap is closed
        self.covered = -INFINITE  # own clock
        self.ping_at = now
        self.waiting: list[Any] = []  # heard before its clock is known: how old what they bear is can't be said

    @property
    def live(self) -> bool:
        return self.state in LIVE


class Peers:
    def __init__(self, name: str, drift: float) -> None:
        self._name, self._drift = name, drift
        self._peers: dict[str, Peer] = {}
        self._live: list[Peer] | None = None  # made anew after a change
        self._last: Peer | None = None  # the one that has covered least, as of the latest look

    def live(self) -> list[Peer]:
        """Those held alive; not to be changed by who asks."""
        if self._live is None:
            self._live = [peer for peer in self._peers.values() if peer.live]
        return self._live

    def get(self, name: str) -> Peer | None:
        return self._peers.get(name)

    def changed(self, now: float, name: str, process_epoch: int, state: str) -> None:
        """What membership holds of it."""
        peer = self._peers.get(name)
        self._live = self._last = None
        if peer is None or peer.process_epoch < process_epoch:
            if peer is None and len(self._peers) >= MOST:
                self._forget()
            self._peers[name] = Peer(
                name, process_epoch, state, now, self._drift, peer.upto if peer is not None else -1
            )
        elif peer.process_epoch == process_epoch or (state in LIVE and not peer.live):
            peer.state = state

    def speaks(self, now: float, name: str, process_epoch: int) -> Peer | None:
        """None if its word is not to be taken."""
        peer = self._peers.get(name)
        if name == self._name or (peer is not None and process_epoch < peer.process_epoch):
            return None
        if peer is None or process_epoch > peer.process_epoch:
            if peer is None and len(self._peers) >= MOST:
                return None
            state = peer.state if peer is not None and peer.live else ""
            floor = peer.upto if peer is not None else -1
            peer = self._peers[name] = Peer(name, process_epoch, state, now, self._drift, floor)
            self._live = self._last = None
        if peer.state == "dead":
            return None
        peer.spoke = now
        return peer

    def covered(self, now: float, patience: float) -> float:
        """Own time up to which all sights of all that count are known; infinite if nobody else does."""
        count = [peer for peer in self.live() if peer.spoke > -INFINITE or now < peer.since + patience]
        self._last = min(count, key=lambda peer: peer.covered, default=None)
        return self._last.covered if self._last is not None else INFINITE

    def holds_back(self, peer: Peer) -> bool:
        """Whether all wait for it: only its cover changes what is covered by all."""
        return self._last is None or self._last is peer

    def fenced(self, now: float) -> None:
        """One's own new life: what they told while one was held dead went to others only."""
        for name, peer in list(self._peers.items()):
            self._peers[name] = Peer(name, peer.process_epoch, peer.state, now, self._drift, peer.upto)
        self._live = self._last = None

    def _forget(self) -> None:
        gone = next((name for name, peer in self._peers.items() if not peer.live), None)
        if gone is not None:
            del self._peers[gone]

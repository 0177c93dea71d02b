"""Who there is to send to: what the list and the operators say, kept apart from what is decided on it."""

from __future__ import annotations

from random import Random
from zlib import crc32

from . import interface as face
from .records import Mean, Server


class Roster:
    """The upstreams listed, those banned by hand, and since when each one's process runs."""

    def __init__(self, random: Random) -> None:
        self.servers: dict[str, Server] = {}
        self.kinds: dict[int, Mean] = {}
        self._banned: set[str] = set()  # listed or not
        self._back: dict[str, float] = {}  # when they came back, of those that are cold since
        self.turn = 0.0  # of this balancer among those that send to a cold upstream
        self._random = random

    def heard(self, now: float, event: face.Membership, weights: bool) -> None:
        """The whole list, or what changed in it; `weights` says whether listed weights mean something."""
        held = {} if event.listing is face.Listing.WHOLE else dict(self.servers)
        for at in event.upstreams:
            old = self.servers.get(at.name)
            if old is None or old.at.started_ms != at.started_ms:
                old = self._new(at, now)
            held[at.name], old.at = old, at
            old.weight = at.weight if weights else 1.0
        for server in held.values():
            if server.doubted:
                server.rests, server.doubted = 0.0, False
        self.servers = {name: s for name, s in held.items() if s.at.stage is not face.Stage.GONE}

    def ban(self, now: float, event: face.Ban) -> None:
        """One that is back was restarted meanwhile: a new process, cold from then on."""
        if event.out:
            self._banned.add(event.upstream)
            return
        self._banned.discard(event.upstream)
        self._back[event.upstream] = event.at_ms
        old = self.servers.get(event.upstream)
        if old is not None:
            self.servers[event.upstream] = self._new(old.at, now)
            self.servers[event.upstream].weight = old.weight

    def ready(self, now: float, warm_ms: float) -> list[Server]:
        """Those that may be sent to, in an order that all balancers agree on."""
        self._back = {name: at for name, at in self._back.items() if now - at < warm_ms}
        for s in self.servers.values():
            s.since = max(s.at.started_ms, self._back.get(s.at.name, 0.0))
        ready = [s for s in self.servers.values()
                 if s.at.stage is face.Stage.READY and s.at.name not in self._banned]
        return sorted(ready, key=lambda s: crc32(s.at.name.encode()))

    def _new(self, at: face.Upstream, now: float) -> Server:
        """A restart is a new process: nothing that its predecessor showed holds for it."""
        server = Server(at, self.kinds.setdefault(at.kind, Mean()), now, now)
        # Out of step, or all balancers' first calls would reach a new one at the same time; also with one seed.
        server.credit = (self._random.random() + self.turn) % 1
        return server

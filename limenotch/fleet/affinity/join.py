"""What is missing here, and of whom it is asked: at joining, after a gap, and of one who can't be heard.

| what is missing | floor of the question | asked of |
| --- | --- | --- |
| all: a process that starts | none | one that is whole; of all, one by one, if none is |
| what was told while one was held dead | the least counter known of those who are there | the same |
| of one member: its Sights have a gap | its counter | itself |
| of one member held alive and not heard for SILENT covers | its counter | another who hears it |

A first page says of whom all is known there. So one fetch closes the gaps of many.
"""

from __future__ import annotations

from .clocks import INFINITE
from .context import Ground
from .last_seen import MOST_COUNT, TENTHS
from .messages import Page
from .pages import Fetch
from .peers import Peer

SILENT = 4  # covers


class Missing:
    def __init__(self, ground: Ground) -> None:
        self.ground = ground
        self._join: Fetch | None = None
        self._join_at = INFINITE
        self._kept = self._noted = False
        self._asked: set[tuple[str, int]] = set()  # whose tables have come since one began to join
        self._mends: dict[str, Fetch] = {}
        self._mend_at: dict[str, float] = {}

    def begin(self, kept: bool) -> None:
        """Joins, once others have come to know of it. `kept`: it has a table, and lacks what was told since."""
        ground = self.ground
        ground.table.whole, self._kept, self._noted = False, kept, False
        self._join = None
        self._mends.clear()
        self._mend_at.clear()
        self._asked.clear()
        self._join_at = ground.now + ground.tuning.batch_ms

    def tick(self) -> None:
        if self.ground.table.whole:
            self._mend()
        else:
            self._go_on()

    @property
    def due(self) -> float:
        """When the next page may be asked for."""
        fetches = [*self._mends.values(), *([self._join] if self._join is not None else [])]
        return min((fetch.due for fetch in fetches), default=INFINITE)

    def page(self, peer: Peer, answer: Page) -> None:
        ground, join = self.ground, self._join
        if join is not None and join.peer is peer and join.serial == answer.serial:
            join.heard(ground.table, ground.now, answer)
            self._go_on()
            return
        for name, fetch in list(self._mends.items()):
            if fetch.peer is peer and fetch.serial == answer.serial:
                fetch.heard(ground.table, ground.now, answer)
                if fetch.done:
                    del self._mends[name]
                    self._close(fetch)
                else:
                    self._next(fetch)
                return
        ground.table.count("late page")

    def _next(self, fetch: Fetch) -> None:
        if (ask := fetch.ask(self.ground.now, self.ground.process_epoch)) is not None:
            self.ground.say(fetch.peer, ask)

    def _close(self, fetch: Fetch) -> None:
        """All that was told by those whom the first page names has come, as far as it says."""
        ground, first = self.ground, fetch.first
        if first is None:
            return
        for known in first.knows:
            of = ground.peers.get(known.name)
            if of is None or of.process_epoch != known.process_epoch or fetch.floor > of.upto or known.covered < 0:
                continue
            if not 0 <= known.counter < MOST_COUNT:
                continue
            of.spoke = max(of.spoke, of.since)  # through another: it has bindings, and is waited for
            of.seq = max(of.seq, known.seq)
            if of.gap and known.seq < of.missed:
                continue
            of.gap = False
            of.upto = max(of.upto, known.counter)
            # What was told anew while pages went has left its place in them: it comes from who told it, if that is
            # heard; else with the next fetch, from here on.
            if fetch.pages == 1 or ground.now - of.spoke <= SILENT * ground.tuning.cover_ms * ground.scale:
                at = fetch.peer.clock.earliest(ground.now, first.sent) - known.covered / TENTHS
                of.covered = max(of.covered, at)
        ground.least()

    # Joining

    def _go_on(self) -> None:
        ground, now = self.ground, self.ground.now
        if now < self._join_at or ground.inside > now:
            return
        join = self._join
        if join is not None:
            if not join.done and not join.late(now) and join.peer.live:
                self._next(join)
                return
            self._join = None
            if join.done:
                self._asked.add((join.peer.name, join.peer.process_epoch))
                self._close(join)
                if join.whole:
                    self._whole()
                    return
            else:
                # Another is tried soon; a random one, so that a silent one doesn't stop it for long.
                self._join_at = now + ground.tuning.batch_ms
                return
        live = ground.peers.live()
        others = [peer for peer in live if (peer.name, peer.process_epoch) not in self._asked]
        if self._kept and self._asked and all(peer.seq >= 0 and not peer.gap for peer in live):
            others = []  # what it has, and what is known now of all since then, is all there is
        if not others:
            if now >= ground.inside + ground.tuning.cover_ms:
                self._whole()
            return
        if not self._noted:
            self._noted = True
            ground.note("joins bindings")
        peer = ground.random.choice([peer for peer in others if peer.whole] or others)
        known = [each.upto for each in live if each.upto >= 0]
        floor = min(known) if self._kept and known else -1
        self._join = Fetch(peer, ground.serial(), floor, None, ground.tuning.join_bytes_per_s, now)
        self._next(self._join)

    def _whole(self) -> None:
        ground = self.ground
        ground.table.whole = True
        ground.note("whole", held=ground.table.live)
        ground.all(ground.teller.cover(ground.now))

    # Gaps

    def _mend(self) -> None:
        ground, now = self.ground, self.ground.now
        pause = ground.tuning.cover_ms * ground.scale
        for name, fetch in list(self._mends.items()):
            if fetch.late(now) or not fetch.peer.live:
                del self._mends[name]
            else:
                self._next(fetch)
        live = ground.peers.live()
        heard = [peer for peer in live if now - peer.spoke <= SILENT * pause and peer.seq >= 0]
        for peer in live:
            silent = now - max(peer.spoke, peer.since) > SILENT * pause
            if not (peer.gap or silent) or peer.name in self._mends or now < self._mend_at.get(peer.name, now):
                continue
            others = [other for other in heard if other is not peer]
            if silent and not others:
                continue
            self._mend_at[peer.name] = now + pause
            whom = ground.random.choice(others) if silent else peer
            fetch = Fetch(whom, ground.serial(), peer.upto, peer, ground.tuning.repair_bytes_per_s, now)
            self._mends[peer.name] = fetch
            self._next(fetch)

"""Bindings as a part: what is seen is told, what is heard is taken, what nobody sees is forgotten by all together.

| state | begins | what it does besides telling and taking |
| --- | --- | --- |
| joining | start, being fenced | has others' tables come, or what they were told since: join.py |
| whole | one whole member's has come, or all others', or none is there | mends gaps; compares by digests: repair.py |

Rules
- Sights go to all members, in rounds (sights.py); a cover follows each round. What is missing of a member's count is
  asked for: of itself, or, where it is held alive and not heard, of another who hears it.
- Nothing is forgotten before all that are held alive have covered its end. Who is held dead is not waited for, and
  nothing of a life held dead is taken.
- One that is fenced keeps what is young by its age, drops what is over at once, and joins anew: its ages were counted
  through the pause or the cut by a clock that did not stop.
- All that takes long goes by pieces: a bounded number of rows, messages and bytes a turn.

Source: docs/fleet/bindings-design.md. The host calls `table` itself; only this speaks. Messages: messages.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..interfaces import Carrier, SetTimer
from . import messages
from .api import Providers, Window
from .clocks import INFINITE
from .context import Ground
from .entries import Noted, Watch
from .join import Missing
from .last_seen import MOST_COUNT, MOST_MESSAGES, Teller, take
from .pages import page
from .peers import Peer
from .repair import Repair
from .table import Shared
from .tuning import Tuning

TOKEN = 1
MOST_TOUCHED = 500  # rows looked at in one turn of the wheel
MOST_WAITING = 64  # messages of one member whose clock is not known yet
SOON_MS = 1.0
MOST_ECHO_MS = 60_000.0  # an answer later than that says nothing of a clock
LOOK = 50  # rows passed over for each that may be changed in a sweep: a search in an array, not a loop


class Bindings:
    """`key`: the group's, 1 to 64 bytes: all have the same hash of a key, and nobody outside can make keys meet."""

    def __init__(
        self,
        name: str,
        process_epoch: int,
        key: bytes,
        tuning: Tuning | None = None,
        seed: int = 0,
        noted: Noted | None = None,
    ) -> None:
        self.ground = Ground(name, process_epoch, key, tuning or Tuning(), seed, noted)
        self.missing, self.repair = Missing(self.ground), Repair(self.ground)
        self._begun = False
        self._armed = INFINITE
        self._cover_at = -INFINITE
        self._sweeps: list[tuple[int, int]] = []  # provider that went, next row to look at
        self._fencing = self._full = False
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: self._started,
            interfaces.MessageReceived: self._heard,
            interfaces.TimerFired: self._fired,
            interfaces.ShutdownStarted: lambda event: self._tell(1 << 20),
            interfaces.MemberChanged: self._member,
            interfaces.Fenced: lambda event: self._fenced(),
            Providers: self._providers,
            Window: lambda event: self.table.spans.window(event.longest_ms),
        }
        repair = self.repair
        self._messages: dict[type, Callable[[Peer, Any], None]] = {
            messages.Sights: self._sights,
            messages.Cover: self._cover,
            messages.Ping: self._ping,
            messages.Pong: self._pong,
            messages.Ask: self._asked,
            messages.Page: self.missing.page,
            messages.Compare: repair.compared,
            messages.Digests: repair.digests,
            messages.AskKeys: repair.keys_asked,
            messages.Keys: repair.keys,
            messages.Want: repair.wanted,
            messages.Copies: repair.copies,
        }

    @property
    def table(self) -> Shared:
        return self.ground.table

    @property
    def counts(self) -> dict[str, int]:
        return self.ground.table.counts

    @property
    def watch(self) -> Watch | None:
        return self.table.watch

    @watch.setter
    def watch(self, watch: Watch | None) -> None:
        self.table.watch = watch

    def hash_of(self, kind: Any, key: bytes) -> bytes:
        return self.table.hash(kind, key).to_bytes(16, "big")

    def handle(self, now: float, event: Any) -> list[Any]:
        """Raises TypeError on what is no event of bindings, ValueError where `now` runs backwards."""
        ground = self.ground
        if now < ground.now:
            raise ValueError(f"time runs back from {ground.now} to {now}")
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of bindings: {event!r}")
        ground.now, ground.out = now, []
        do(event)
        return ground.out

    # Events

    def _started(self, event: interfaces.Started) -> None:
        self._begun = True
        self.table.clear(self.ground.now)
        self._start_process_epoch(self.ground.process_epoch, kept=False)
        self.missing.begin(kept=False)
        self.repair.begin()
        self._arm(self.ground.now + self.ground.tuning.batch_ms)

    def _member(self, event: interfaces.MemberChanged) -> None:
        ground = self.ground
        if event.name != ground.name:
            ground.peers.changed(ground.now, event.name, event.process_epoch, event.state)
        else:
            if event.process_epoch != ground.process_epoch:
                self._start_process_epoch(event.process_epoch, kept=self.table.live > 0)
            ground.inside = min(ground.inside, ground.now)
        ground.least()

    def _start_process_epoch(self, process_epoch: int, kept: bool) -> None:
        """Its words are counted anew, and what the old one had not told yet goes first."""
        ground = self.ground
        ground.teller.hand_back()
        ground.process_epoch, ground.teller = process_epoch, Teller(ground.table, process_epoch, ground.now, kept)

    def _fenced(self) -> None:
        """The new life is told next: what is said till then bears the old one, and nobody takes it."""
        self.ground.peers.fenced(self.ground.now)
        self._fencing = True
        self.missing.begin(kept=True)
        self.repair.begin()

    def _providers(self, event: Providers) -> None:
        self._sweeps += [(number, 0) for number in self.table.providers.now(event.there)]

    def _fired(self, event: interfaces.TimerFired) -> None:
        ground = self.ground
        now, tuning, table = ground.now, ground.tuning, ground.table
        if event.token != TOKEN or now < self._armed:
            return
        self._armed = INFINITE
        ground.least()
        if self._fencing:
            self._fencing = table.fenced(now, MOST_TOUCHED)
        behind = table.age(now, MOST_TOUCHED)
        behind = self._sweep() or behind or self._fencing
        self._tell(MOST_MESSAGES)
        if now >= self._cover_at:
            ground.all(ground.teller.cover(now))
            self._cover_at = now + tuning.cover_ms * ground.scale
        for peer in ground.peers.live():
            self._ask_clock(peer)
        self.missing.tick()
        self.repair.tick()
        if table.full and not self._full:
            ground.note("full", held=table.live)
        self._full = table.full
        self._arm(now + (SOON_MS if behind or ground.teller.behind else tuning.batch_ms * ground.scale))

    def _heard(self, event: interfaces.MessageReceived) -> None:
        ground, message = self.ground, event.message
        if not isinstance(message, messages.BINDINGS) or not self._begun:
            ground.table.count("no message of bindings")
            return
        peer = ground.peers.speaks(ground.now, event.sender, message.process_epoch)
        if peer is None:
            ground.table.count("of a life that is over")
        elif peer.clock.known or isinstance(message, (messages.Ping, messages.Pong)):
            self._messages[type(message)](peer, message)
            # A page's or a range's bytes may be paid for before the next batch.
            self._arm(max(min(self.missing.due, self.repair.due), ground.now + SOON_MS))
        else:
            if len(peer.waiting) < MOST_WAITING:
                peer.waiting.append(message)
            else:
                ground.table.count("too much before its clock was known")
            self._ask_clock(peer)

    # Clocks

    def _ask_clock(self, peer: Peer) -> None:
        ground, tuning = self.ground, self.ground.tuning
        if ground.now >= peer.ping_at:
            peer.ping_at = ground.now + (tuning.digest_ms if peer.clock.known else tuning.batch_ms) * ground.scale
            ground.say(peer, messages.Ping(ground.process_epoch, ground.now), Carrier.DATAGRAM)

    def _ping(self, peer: Peer, ping: messages.Ping) -> None:
        peer.clock.heard(self.ground.now, ping.sent)
        self.ground.say(peer, messages.Pong(self.ground.process_epoch, ping.sent, self.ground.now), Carrier.DATAGRAM)

    def _pong(self, peer: Peer, pong: messages.Pong) -> None:
        now = self.ground.now
        if not now - MOST_ECHO_MS <= pong.echo <= now:
            self.table.count("unsound message")
            return
        peer.clock.heard(now, pong.sent)
        peer.clock.answered(now, pong.echo, pong.sent)
        peer.doubt = peer.clock.latest(now, pong.sent) - peer.clock.earliest(now, pong.sent)
        waiting, peer.waiting = peer.waiting, []
        for message in waiting:
            self._messages[type(message)](peer, message)

    # Sights

    def _tell(self, most: int) -> None:
        ground = self.ground
        for batch in ground.teller.batches(ground.now, most):
            ground.all(batch)
            self._cover_at = ground.now + ground.tuning.cover_ms * ground.scale

    def _sights(self, peer: Peer, sights: messages.Sights) -> None:
        now, table = self.ground.now, self.ground.table
        peer.clock.heard(now, sights.sent)
        take(table, now, peer, sights.sent, (sights.providers, sights.names, sights.rows), True, sights.counter)
        for undone in sights.undone:
            if len(undone.key) == 16:
                table.undone(now, int.from_bytes(undone.key, "big"), undone.gen, undone.move, undone.count, peer.name)
        self._counted(peer, sights, sights.seq - 1)

    def _cover(self, peer: Peer, cover: messages.Cover) -> None:
        peer.clock.heard(self.ground.now, cover.sent)
        self._counted(peer, cover, cover.seq)

    def _counted(self, peer: Peer, word: messages.Sights | messages.Cover, before: int) -> None:
        """Whether all that it told `before` this word came. Only then does its cover count."""
        ground = self.ground
        if not (0 <= word.counter < MOST_COUNT and 0 <= word.born < MOST_COUNT and 0 <= word.seq < MOST_COUNT):
            ground.table.count("unsound message")
            return
        ground.table.counter = max(ground.table.counter, word.counter)
        peer.whole = word.whole
        if peer.seq < 0:
            if not word.kept:
                peer.upto = word.born  # a new process that may have heard of no counter yet
            peer.gap, peer.missed = word.kept or before > 0, before
        elif before > peer.seq:
            peer.gap, peer.missed = True, before
        peer.seq = max(peer.seq, word.seq)
        if not peer.gap:
            peer.upto = max(peer.upto, word.counter)
            peer.covered = max(peer.covered, peer.clock.earliest(ground.now, word.covered))
            if ground.peers.holds_back(peer):
                ground.least()

    def _asked(self, peer: Peer, ask: messages.Ask) -> None:
        answer = page(self.ground, ask)
        if answer is not None:
            self.ground.say(peer, answer)

    # Providers that went, and the timer

    def _sweep(self) -> bool:
        """Marks what is bound to them, so that it gives way first; `find` knows already. Whether there is more."""
        rows, most = self.table.rows, self.ground.tuning.most_moves
        while self._sweeps and most > 0:
            number, at = self._sweeps.pop()
            if not self.table.providers.gone[number]:
                continue  # nothing was bound to it any more, and the number is another's now
            end = min(len(rows.who), at + LOOK * most)
            while most > 0 and at < end:
                try:
                    at = rows.who.index(number, at, end)
                except ValueError:
                    at = end
                    break
                self.table.end(at)
                at, most = at + 1, most - 1
            if at < len(rows.who):
                self._sweeps.append((number, at))
                return True
        return bool(self._sweeps)

    def _arm(self, at: float) -> None:
        if at < self._armed and at < INFINITE:
            self._armed = at
            self.ground.out.append(SetTimer(at, TOKEN))

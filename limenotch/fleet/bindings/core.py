"""Bindings as a part: what is seen is told, what is heard is taken, what nobody sees is forgotten by all together.

| state | begins | what it does besides telling and taking |
| --- | --- | --- |
| joining | start, being fenced | has others' tables come: by pages if it has nothing, by digests else |
| whole | the table of one whole member has come, or of all, or none else is there | compares with one a `digest_ms` |

Rules
- Sights go to all members, in rounds; a cover follows each round. What is missing of a member's count is asked for: of
  itself, or, where it is held alive and not heard, of another who hears it.
- Nothing is forgotten before all that are held alive have covered its end. Who is held dead is not waited for, and
  nothing of a life held dead is taken.
- One that is fenced keeps what is young by its age, drops what is over at once, and joins anew: its ages were counted
  through the pause or the cut by a clock that did not stop.
- All that takes long goes by pieces: a bounded number of rows, messages and bytes a turn.

Source: docs/fleet/bindings-design.md. The host calls `table` itself; only this speaks. Messages: messages.py.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from .. import contract
from ..contract import Carrier, Note, SetTimer, Tell
from . import messages as say
from . import repair
from .api import Providers, Window
from .clocks import INFINITE
from .held import Noted, Watch
from .join import Fetch, page
from .peers import Peer, Peers
from .repair import Exchange
from .sights import Teller, take
from .spans import pace
from .table import Shared
from .tuning import Tuning

TOKEN = 1
MOST_TOUCHED = 1000  # rows looked at in one turn of the wheel
MOST_WAITING = 64  # messages of one member whose clock is not known yet
SILENT = 4  # covers that do not come from one held alive: it is asked of another
SOON_MS = 1.0


class Bindings:
    """`key`: the group's, 1 to 64 bytes: all have the same hash of a key, and nobody outside can make keys meet."""

    def __init__(self, name: str, life: int, key: bytes, tuning: Tuning | None = None, seed: int = 0,
                 noted: Noted | None = None) -> None:
        self.name, self.life, self.tuning = name, life, tuning or Tuning()
        self.table = Shared(name, key, self.tuning, noted=noted)
        self.peers = Peers(name, self.tuning.drift)
        self.counts = self.table.counts
        self._random = Random(f"{seed} {name} {life} bindings")
        self._out: list[Any] = []
        self._now = -INFINITE
        self._begun = False
        self.teller = Teller(self.table, life, 0.0)
        self._inside = INFINITE  # since when one is a member
        self._armed = INFINITE
        self._serial = 0
        self._cover_at = self._digest_at = self._join_at = -INFINITE
        self._fetch: Fetch | None = None  # of the whole table
        self._exchange: Exchange | None = None
        self._mends: dict[str, Fetch] = {}  # of what is missing of one member's sights
        self._mend_at: dict[str, float] = {}
        self._asked: set[tuple[str, int]] = set()  # whose tables have come since one began to join
        self._sweeps: list[tuple[int, int]] = []  # provider that went, next row to look at
        self._fencing = False
        self._joins = self._full = self._repairs = False  # noted
        self._events: dict[type, Callable[[Any], None]] = {
            contract.Started: self._started, contract.Heard: self._heard, contract.TimerFired: self._fired,
            contract.Leave: lambda event: self._tell_sights(1 << 20), contract.MemberChanged: self._member,
            contract.Fenced: lambda event: self._fenced(), Providers: self._providers,
            Window: lambda event: self.table.spans.window(event.longest_ms),
        }
        self._messages: dict[type, Callable[[Peer, Any], None]] = {
            say.Sights: self._sights, say.Cover: self._cover, say.Ping: self._ping, say.Pong: self._pong,
            say.Ask: self._page_asked, say.Page: self._page, say.Compare: self._compared, say.Digests: self._digests,
            say.AskKeys: self._keys_asked, say.Keys: self._keys, say.Want: self._wanted, say.Copies: self._copies,
        }

    @property
    def watch(self) -> Watch | None:
        return self.table.watch

    @watch.setter
    def watch(self, watch: Watch | None) -> None:
        self.table.watch = watch

    def hash_of(self, kind: Any, key: bytes) -> bytes:
        return self.table.hash(kind, key).to_bytes(16, "big")

    @property
    def scale(self) -> float:
        return pace(len(self.peers.live()) + 1)

    def handle(self, now: float, event: Any) -> list[Any]:
        """Raises TypeError on what is no event of bindings, ValueError where `now` runs backwards."""
        if now < self._now:
            raise ValueError(f"time runs back from {self._now} to {now}")
        do = self._events.get(type(event))
        if do is None:
            raise TypeError(f"no event of bindings: {event!r}")
        self._now, self._out = now, []
        do(event)
        return self._out

    # Events

    def _started(self, event: contract.Started) -> None:
        self._begun = True
        self.table.clear(self._now)
        self._new_teller()
        self._digest_at = self._now + self.tuning.digest_ms * self._random.random()
        self._join_at = self._now + self.tuning.batch_ms
        self._arm(self._now + self.tuning.batch_ms)

    def _member(self, event: contract.MemberChanged) -> None:
        if event.name == self.name:
            if event.life != self.life:
                self.life = event.life
                self._new_teller()
            self._inside = min(self._inside, self._now)
        else:
            self.peers.changed(self._now, event.name, event.life, event.state)
        self._least()

    def _new_teller(self) -> None:
        """Of another life: its words are counted from one, and what the old one had not told yet goes first."""
        old, self.teller = self.teller, Teller(self.table, self.life, self._now)
        old.hand_back()

    def _fenced(self) -> None:
        """The new life is told next: what is said till then bears the old one, and nobody takes it."""
        self.peers.fenced(self._now)
        self.table.whole = False
        self._fencing = True
        self._fetch = self._exchange = None
        self._mends.clear()
        self._asked.clear()
        self._join_at = self._now + self.tuning.batch_ms
        self._joins = False

    def _providers(self, event: Providers) -> None:
        self._sweeps += [(number, 0) for number in self.table.providers.now(event.there)]

    def _fired(self, event: contract.TimerFired) -> None:
        if event.token != TOKEN or self._now < self._armed:
            return
        self._armed = INFINITE
        now, tuning, table = self._now, self.tuning, self.table
        self._least()
        if self._fencing:
            self._fencing = table.fenced(now, MOST_TOUCHED)
        behind = table.age(now, MOST_TOUCHED)
        behind = self._sweep() or behind or self._fencing
        self._tell_sights()
        if now >= self._cover_at:
            self._tell_cover()
        self._ping_some()
        self._mend()
        self._join()
        self._compare()
        self._note_full()
        if behind or self.teller.behind:
            self._arm(now + SOON_MS)
        else:
            self._arm(now + tuning.batch_ms * self.scale)

    def _heard(self, event: contract.Heard) -> None:
        message = event.message
        if not isinstance(message, say.BINDINGS) or not self._begun:
            self.table.count("no message of bindings")
            return
        peer = self.peers.speaks(self._now, event.sender, message.life)
        if peer is None:
            self.table.count("of a life that is over")
            return
        if not peer.clock.known and not isinstance(message, (say.Ping, say.Pong)):
            if len(peer.waiting) < MOST_WAITING:
                peer.waiting.append(message)
            else:
                self.table.count("too much before its clock was known")
            self._ping_soon(peer)
            return
        self._messages[type(message)](peer, message)

    # Telling

    def _all(self, message: contract.Message) -> None:
        for peer in self.peers.live():
            self._say(peer, message)

    def _say(self, peer: Peer, message: contract.Message, carrier: Carrier = Carrier.STREAM) -> None:
        self._out.append(Tell(peer.name, message, carrier))

    def _tell_sights(self, most: int = 4) -> None:
        for batch in self.teller.batches(self._now, most):
            self._all(batch)
            self._cover_at = self._now + self.tuning.cover_ms * self.scale

    def _tell_cover(self) -> None:
        teller = self.teller
        self._all(say.Cover(self.life, teller.seq, teller.counter, teller.born, self._now, teller.covered,
                            self.table.whole))
        self._cover_at = self._now + self.tuning.cover_ms * self.scale

    def _ping_some(self) -> None:
        for peer in self.peers.live():
            if self._now >= peer.ping_at:
                self._ping_soon(peer)

    def _ping_soon(self, peer: Peer) -> None:
        if self._now < peer.ping_at:
            return
        known = peer.clock.known
        peer.ping_at = self._now + (self.tuning.digest_ms if known else self.tuning.batch_ms) * self.scale
        self._say(peer, say.Ping(self.life, self._now), Carrier.DATAGRAM)

    # Hearing

    def _ping(self, peer: Peer, ping: say.Ping) -> None:
        peer.clock.heard(self._now, ping.sent)
        self._say(peer, say.Pong(self.life, ping.sent, self._now), Carrier.DATAGRAM)

    def _pong(self, peer: Peer, pong: say.Pong) -> None:
        if not self._now - 60_000.0 <= pong.echo <= self._now:
            self.table.count("unsound message")
            return
        peer.clock.heard(self._now, pong.sent)
        peer.clock.answered(self._now, pong.echo, pong.sent)
        waiting, peer.waiting = peer.waiting, []
        for message in waiting:
            self._messages[type(message)](peer, message)

    def _sights(self, peer: Peer, sights: say.Sights) -> None:
        now, table = self._now, self.table
        peer.clock.heard(now, sights.sent)
        take(table, now, peer, sights.sent, (sights.providers, sights.names, sights.rows), True, sights.counter)
        for undone in sights.undone:
            if len(undone.key) == 16:
                table.undone(now, int.from_bytes(undone.key, "big"), undone.gen, undone.move, undone.count, peer.name)
        self._counted(peer, sights, sights.seq - 1)

    def _cover(self, peer: Peer, cover: say.Cover) -> None:
        peer.clock.heard(self._now, cover.sent)
        self._counted(peer, cover, cover.seq)

    def _counted(self, peer: Peer, word: say.Sights | say.Cover, before: int) -> None:
        """Whether all that it told `before` this word came. Only then does its cover count."""
        self.table.counter = max(self.table.counter, min(word.counter, 1 << 62))
        peer.whole = word.whole
        if peer.seq < 0:
            # Of what it told before it knew of oneself a newcomer gets the whole table.
            peer.upto = word.born
            if before > 0 and self.table.whole:
                peer.gap, peer.missed = True, before
        elif before > peer.seq:
            peer.gap, peer.missed = True, before
        peer.seq = max(peer.seq, word.seq)
        if not peer.gap:
            peer.upto = word.counter
            self._covers(peer, word.covered)

    def _covers(self, peer: Peer, theirs: float) -> None:
        peer.covered = max(peer.covered, peer.clock.earliest(self._now, theirs))
        self._least()

    def _least(self) -> None:
        self.table.least = self.peers.covered(self._now, self.tuning.grave_ms)

    # What is missing of one member's sights

    def _mend(self) -> None:
        now = self._now
        patience = SILENT * self.tuning.cover_ms * self.scale
        for name, fetch in list(self._mends.items()):
            if fetch.late(now) or fetch.done or not fetch.peer.live:
                del self._mends[name]
            elif (ask := fetch.ask(now, self.life)) is not None:
                self._say(fetch.peer, ask)
        for peer in self.peers.live():
            silent = now - max(peer.spoke, peer.since) > patience
            if not (peer.gap or silent) or peer.name in self._mends or now < self._mend_at.get(peer.name, now):
                continue
            others = [each for each in self.peers.live() if each is not peer and now - each.spoke <= patience]
            if silent and not others:
                continue
            self._mend_at[peer.name] = now + self.tuning.cover_ms * self.scale
            self._serial += 1
            whom = self._random.choice(others) if silent else peer
            fetch = Fetch(whom, self._serial, peer.upto, peer, self.tuning.repair_bytes_per_s, now)
            self._mends[peer.name] = fetch
            ask = fetch.ask(now, self.life)
            assert ask is not None
            self._say(whom, ask)

    def _mended(self, peer: Peer, first: say.Page, fetch: Fetch) -> None:
        """All that `peer` told up to first.seq has come, from itself or through another."""
        if fetch.of is not peer or peer.life != fetch.of.life or first.covered < 0:
            return
        peer.spoke = max(peer.spoke, peer.since)  # through another: it has bindings, and is waited for
        peer.seq = max(peer.seq, first.seq)
        if peer.gap and first.seq >= peer.missed:
            peer.gap = False
        if not peer.gap:
            peer.upto = max(peer.upto, first.counter)
            theirs = first.sent - first.covered / 10
            peer.covered = max(peer.covered, fetch.peer.clock.earliest(self._now, theirs))
            self._least()

    # Pages

    def _page_asked(self, peer: Peer, ask: say.Ask) -> None:
        answer = page(self.table, self.peers, self.teller, self.name, self._now, ask)
        if answer is not None:
            self._say(peer, answer)

    def _page(self, peer: Peer, answer: say.Page) -> None:
        peer.clock.heard(self._now, answer.sent)
        if self._fetch is not None and self._fetch.peer is peer and self._fetch.serial == answer.serial:
            self._fetch.heard(self.table, self._now, answer)
            self._join()
            return
        for name, fetch in list(self._mends.items()):
            if fetch.peer is peer and fetch.serial == answer.serial:
                fetch.heard(self.table, self._now, answer)
                of = self.peers.get(name)
                if fetch.done:
                    del self._mends[name]
                    if fetch.first is not None and of is not None:
                        self._mended(of, fetch.first, fetch)
                self._mend()
                return
        self.table.count("late page")

    # Joining

    def _join(self) -> None:
        now, table = self._now, self.table
        if table.whole or now < self._join_at or self._inside > now:
            return
        fetch, exchange = self._fetch, self._exchange
        if fetch is not None:
            if not fetch.done and not fetch.late(now) and fetch.peer.live:
                if (ask := fetch.ask(now, self.life)) is not None:
                    self._say(fetch.peer, ask)
                return
            self._fetch = None
            self._joined(fetch)
        elif exchange is not None:
            if not exchange.done and not exchange.late(now) and exchange.peer.live:
                self._go_on(exchange)
                return
            self._exchange = None
            self._joined(exchange)
        if table.whole:
            return
        others = [peer for peer in self.peers.live() if (peer.name, peer.life) not in self._asked]
        if not others:
            if now >= self._inside + self.tuning.cover_ms:
                self._whole()
            return
        if not self._joins:
            self._joins = True
            self._out.append(Note("joins bindings"))
        whole = [peer for peer in others if peer.whole]
        peer = self._random.choice(whole or others)
        self._serial += 1
        if table.live:
            self._exchange = Exchange(peer, self._serial, self.tuning.join_bytes_per_s, 0.0, now)
        else:
            self._fetch = Fetch(peer, self._serial, -1, None, self.tuning.join_bytes_per_s, now)
        self._join()

    def _joined(self, with_: Fetch | Exchange) -> None:
        if with_.done:
            self._asked.add((with_.peer.name, with_.life))
            if with_.whole:
                self._whole()
        else:
            # Another is tried first; a random one, so that a silent one doesn't stop it for long.
            self._join_at = self._now + self.tuning.batch_ms

    def _whole(self) -> None:
        self.table.whole = True
        self._out.append(Note("whole", {"held": self.table.live}))
        self._tell_cover()

    # Repair

    def _compare(self) -> None:
        now, exchange = self._now, self._exchange
        if not self.table.whole:
            return
        if exchange is not None:
            if not exchange.done and not exchange.late(now) and exchange.peer.live:
                self._go_on(exchange)
                return
            self._exchange = None
            if exchange.done and not exchange.mended:
                self._repairs = False
        live = self.peers.live()
        if now < self._digest_at or not live:
            return
        tuning = self.tuning
        self._digest_at = now + tuning.digest_ms * self.scale
        self._serial += 1
        settle = 2 * (tuning.batch_ms + tuning.cover_ms) * self.scale
        self._exchange = Exchange(self._random.choice(live), self._serial, tuning.repair_bytes_per_s, settle, now)
        self._go_on(self._exchange)

    def _go_on(self, exchange: Exchange) -> None:
        for question in exchange.ask(self._now, self.life):
            self._say(exchange.peer, question)

    def _compared(self, peer: Peer, compare: say.Compare) -> None:
        self._say(peer, repair.digests(self.table, self.life, compare.serial))

    def _answers(self, peer: Peer, answer: Any) -> Exchange | None:
        exchange = self._exchange
        if exchange is None or exchange.peer is not peer or not exchange.awaits(answer):
            self.table.count("late answer")
            return None
        return exchange

    def _digests(self, peer: Peer, answer: say.Digests) -> None:
        if (exchange := self._answers(peer, answer)) is not None:
            exchange.digests(self.table, self._now, answer)
            self._go_on(exchange)

    def _keys_asked(self, peer: Peer, ask: say.AskKeys) -> None:
        answer = repair.keys(self.table, self.life, ask)
        if answer is not None:
            self._say(peer, answer)

    def _keys(self, peer: Peer, answer: say.Keys) -> None:
        if (exchange := self._answers(peer, answer)) is not None:
            for copies in exchange.keys(self.table, self.life, self._now, answer):
                self._say(peer, copies)
            self._go_on(exchange)

    def _wanted(self, peer: Peer, want: say.Want) -> None:
        keys = [int.from_bytes(want.keys[at : at + 16], "big") for at in range(0, len(want.keys) // 16 * 16, 16)]
        self._say(peer, repair.copies(self.table, self.life, want.serial, keys, self._now, want.settle))

    def _copies(self, peer: Peer, copies: say.Copies) -> None:
        peer.clock.heard(self._now, copies.sent)
        exchange = None if not copies.serial else self._answers(peer, copies)
        if copies.serial and exchange is None:
            return
        before = self.table.changes
        take(self.table, self._now, peer, copies.sent, (copies.providers, copies.names, copies.rows), False)
        if self.table.changes > before and self.table.whole and not self._repairs:
            self._repairs = True
            self._out.append(Note(f"repairs {peer.name}", {"rows": self.table.changes - before}))
        if exchange is not None:
            exchange.copied(self._now, self.table.changes - before)
            self._go_on(exchange)

    # Providers that went, and the timer

    def _sweep(self) -> bool:
        """Marks what is bound to them, so that it gives way first; `find` knows already. Whether there is more."""
        rows, most = self.table.rows, self.tuning.most_moves
        while self._sweeps and most > 0:
            number, at = self._sweeps.pop()
            if not self.table.providers.gone[number]:
                continue  # nothing was bound to it any more, and the number is another's now
            end = min(len(rows.who), at + 50 * self.tuning.most_moves)
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

    def _note_full(self) -> None:
        if self.table.full and not self._full:
            self._out.append(Note("full", {"held": self.table.live}))
        self._full = self.table.full

    def _arm(self, at: float) -> None:
        if at < self._armed:
            self._armed = at
            self._out.append(SetTimer(at, TOKEN))

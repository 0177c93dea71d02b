"""Two tables made the same by digests: 256 numbers, then what a range has where they differ, then the copies missing.

    compare -> digests -> (a range that differs: askkeys -> keys -> copies to it, want -> copies from it)* -> done

One exchange at a time, led by who began; the other answers and keeps nothing. What was told a moment ago is under way
to the other by itself and left out. Both directions are paid for by the one who leads, `rate` bytes a second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Any

from .clocks import INFINITE
from .context import Ground
from .last_seen import pack, take
from .messages import KEY_BYTES, MOST_KEYS, MOST_PAGE, AskKeys, Compare, Copies, Digests, Keys, Want
from .pages import ROW_BYTES, WAIT_MS
from .peers import Peer
from .rows import GRAVE, NIL, RANGES
from .table import Shared

DIGEST_BYTES = 8


def digests(table: Shared, process_epoch: int, serial: int) -> Digests:
    packed = b"".join(each.to_bytes(DIGEST_BYTES, "big") for each in table.rows.digests)
    return Digests(process_epoch, serial, packed, table.whole)


def keys(table: Shared, process_epoch: int, ask: AskKeys) -> Keys | None:
    if not 0 <= ask.range < RANGES:
        return None
    parts = min(RANGES, table.rows.held(ask.range) // MOST_KEYS + 1)
    if not 0 <= ask.part < parts:
        return None
    return Keys(
        process_epoch,
        ask.serial,
        ask.range,
        ask.part,
        parts,
        b"".join(
            key.to_bytes(16, "big") + digest.to_bytes(DIGEST_BYTES, "big")
            for key, digest in listed(table, ask.range, ask.part, parts).items()
        ),
    )


def listed(table: Shared, number: int, part: int, parts: int) -> dict[int, int]:
    """Digest by key, of live rows."""
    rows = table.rows
    return {
        rows.key(row): rows.digest(row)
        for row in rows.in_range(number)
        if not rows.what[row] & GRAVE and ((rows.high[row] >> 48 & 0xFF) * parts) >> 8 == part
    }


def copies(table: Shared, process_epoch: int, serial: int, wanted: Sequence[int], now: float, settle: float) -> Copies:
    """Of those that are here, not over, and not told within `settle` ms."""
    rows = table.rows
    found = [row for key in wanted[:MOST_PAGE] if (row := rows.find(key)) != NIL and not rows.what[row] & GRAVE]
    given = [row for row in found if now < table.ends(row) and now - rows.told[row] >= settle]
    return Copies(process_epoch, serial, now, *pack(table, given, now))


class Exchange:
    """With one peer. `mended`: copies that went either way."""

    def __init__(self, peer: Peer, serial: int, rate: float, settle: float, now: float) -> None:
        self.peer, self.serial, self.rate, self.settle = peer, serial, rate, settle
        self.done = False
        self.mended = 0
        self.asked = now
        self._ranges: deque[int] = deque()
        self._want: deque[int] = deque()
        self._part = 0
        self._next = now
        self._said: type | None = None  # the question that is open
        self._begun = False

    def ask(self, now: float, process_epoch: int) -> list[Any]:
        """The next question, when its time has come."""
        if self.done or self._said is not None or now < self._next:
            return []
        question: Any
        if not self._begun:
            self._begun, question = True, Compare(process_epoch, self.serial)
            self._said = Digests
        elif self._want:
            wanted = [self._want.popleft() for _ in range(min(len(self._want), MOST_PAGE))]
            question = Want(
                process_epoch, self.serial, b"".join(key.to_bytes(16, "big") for key in wanted), self.settle
            )
            self._said = Copies
        elif self._ranges:
            question, self._said = AskKeys(process_epoch, self.serial, self._ranges[0], self._part), Keys
        else:
            self.done = True
            return []
        self.asked = now
        return [question]

    @property
    def due(self) -> float:
        """When the next question may go out; infinite while an answer is awaited."""
        return INFINITE if self.done or self._said is not None else self._next

    def late(self, now: float) -> bool:
        return self._said is not None and now >= self.asked + WAIT_MS + 1000.0 * MOST_KEYS * KEY_BYTES / self.rate

    def awaits(self, answer: Any) -> bool:
        return answer.serial == self.serial and type(answer) is self._said

    def digests(self, table: Shared, now: float, answer: Digests) -> None:
        self._said = None
        size = DIGEST_BYTES
        if len(answer.values) != RANGES * size:
            self.done = True
            return
        theirs = [int.from_bytes(answer.values[at : at + size], "big") for at in range(0, RANGES * size, size)]
        self._ranges.extend(each for each in range(RANGES) if theirs[each] != table.rows.digests[each])
        self._paid(now, len(answer.values))

    def keys(self, table: Shared, process_epoch: int, now: float, answer: Keys) -> list[Copies]:
        """What the other lacks; what is lacked here is wanted next."""
        if (
            not self._ranges
            or (answer.range, answer.part) != (self._ranges[0], self._part)
            or not (0 < answer.parts <= RANGES)
            or len(answer.packed) % KEY_BYTES
        ):
            self.done = True
            return []
        self._said = None
        packed = answer.packed
        theirs = {packed[at : at + 16]: packed[at + 16 : at + KEY_BYTES] for at in range(0, len(packed), KEY_BYTES)}
        lacks = []
        for key, digest in listed(table, answer.range, answer.part, answer.parts).items():
            theirs_of = theirs.pop(key.to_bytes(16, "big"), None)
            if theirs_of != digest.to_bytes(DIGEST_BYTES, "big"):
                if theirs_of is not None:
                    self._want.append(key)
                lacks.append(key)
        self._want.extend(int.from_bytes(key, "big") for key in theirs)
        self._part += 1
        if self._part >= answer.parts:
            self._part = 0
            self._ranges.popleft()
        pages = [lacks[at : at + MOST_PAGE] for at in range(0, len(lacks), MOST_PAGE)]
        out = [copies(table, process_epoch, 0, wanted, now, self.settle) for wanted in pages]
        out = [each for each in out if each.rows]
        sent = sum(len(each.rows) for each in out)
        self.mended += sent
        self._paid(now, len(packed) + ROW_BYTES * sent)
        return out

    def copied(self, now: float, rows: int) -> None:
        self._said = None
        self.mended += rows
        self._paid(now, ROW_BYTES * rows)

    def _paid(self, now: float, size: int) -> None:
        self._next = max(now, self.asked + 1000.0 * size / self.rate)


class Repair:
    """One exchange each `digest_ms`, with a member at random; and the answers to others'."""

    def __init__(self, ground: Ground) -> None:
        self.ground = ground
        self._exchange: Exchange | None = None
        self._at = 0.0
        self._noted = False

    def begin(self) -> None:
        self._exchange = None
        self._at = self.ground.now + self.ground.tuning.digest_ms * self.ground.random.random()

    def tick(self) -> None:
        ground, now, exchange = self.ground, self.ground.now, self._exchange
        if not ground.table.whole:
            self._exchange = None
            return
        if exchange is not None:
            if not exchange.done and not exchange.late(now) and exchange.peer.live:
                self._go_on(exchange)
                return
            self._exchange = None
            if exchange.done and not exchange.mended:
                self._noted = False
        live = ground.peers.live()
        if now < self._at or not live:
            return
        tuning, scale = ground.tuning, ground.scale
        self._at = now + tuning.digest_ms * scale
        settle = 2 * (tuning.batch_ms + tuning.cover_ms) * scale
        self._exchange = Exchange(ground.random.choice(live), ground.serial(), tuning.repair_bytes_per_s, settle, now)
        self._go_on(self._exchange)

    def _go_on(self, exchange: Exchange) -> None:
        for question in exchange.ask(self.ground.now, self.ground.process_epoch):
            self.ground.say(exchange.peer, question)

    @property
    def due(self) -> float:
        return self._exchange.due if self._exchange is not None else INFINITE

    def _open(self, peer: Peer, answer: Any) -> Exchange | None:
        exchange = self._exchange
        if exchange is None or exchange.peer is not peer or not exchange.awaits(answer):
            self.ground.table.count("late answer")
            return None
        return exchange

    def compared(self, peer: Peer, compare: Compare) -> None:
        self.ground.say(peer, digests(self.ground.table, self.ground.process_epoch, compare.serial))

    def digests(self, peer: Peer, answer: Digests) -> None:
        if (exchange := self._open(peer, answer)) is not None:
            exchange.digests(self.ground.table, self.ground.now, answer)
            self._go_on(exchange)

    def keys_asked(self, peer: Peer, ask: AskKeys) -> None:
        answer = keys(self.ground.table, self.ground.process_epoch, ask)
        if answer is not None:
            self.ground.say(peer, answer)

    def keys(self, peer: Peer, answer: Keys) -> None:
        ground = self.ground
        if (exchange := self._open(peer, answer)) is not None:
            for given in exchange.keys(ground.table, ground.process_epoch, ground.now, answer):
                ground.say(peer, given)
            self._go_on(exchange)

    def wanted(self, peer: Peer, want: Want) -> None:
        ground = self.ground
        wanted = [int.from_bytes(want.keys[at : at + 16], "big") for at in range(0, len(want.keys) // 16 * 16, 16)]
        ground.say(peer, copies(ground.table, ground.process_epoch, want.serial, wanted, ground.now, want.settle))

    def copies(self, peer: Peer, given: Copies) -> None:
        ground, table = self.ground, self.ground.table
        exchange = self._open(peer, given) if given.serial else None
        if given.serial and exchange is None:
            return
        before = table.changes
        take(table, ground.now, peer, given.sent, (given.providers, given.names, given.rows), seer=False)
        mended = table.changes - before
        if mended and table.whole and not self._noted:
            self._noted = True
            ground.note(f"repairs {peer.name}", rows=mended)
        if exchange is not None:
            exchange.copied(ground.now, mended)
            self._go_on(exchange)

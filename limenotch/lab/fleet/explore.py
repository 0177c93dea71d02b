"""Every order in which a few parts can be told things, up to stated bounds; for three nodes and short runs.

A state is: the parts, what flies between them, their timers, what their disks hold and what is on its way there. From
each, every choice is tried that the bounds leave: which message arrives next, is lost or comes twice, whose next timer
fires, whose next batch is on the disk, who falls and who is back, what is asked next. States seen before are not gone
into again (explicit-state model checking as in Holzmann's SPIN); breadth first, so the first fault found lies at the
end of a shortest path to one. A part is told things at its own time; only its own timers move that on (`clocks="free"`,
as if clocks ran at any speed), or one clock is everybody's and timers fire in its order (`clocks="one"`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator, Mapping, Sequence
from copy import deepcopy
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from msgspec.msgpack import Encoder

from limenotch.fleet.interfaces import (
    Carrier,
    LogLine,
    MessageReceived,
    SendToAddress,
    SendToMember,
    SetTimer,
    Started,
    Store,
    Stored,
    TimerFired,
)
from limenotch.lab.fleet.world import Make, address
from limenotch.store.records import StoredLog

_ENCODER = Encoder()


@dataclass(frozen=True)
class Bounds:
    """How often each may happen on one path. A `crash` leaves a node down until a choice starts it again."""

    lose: int = 0
    double: int = 0
    crash: int = 0
    fire: int = 0  # timers, of all nodes
    steps: int = 40
    states: int = 500_000


USUAL = Bounds()


@dataclass(frozen=True)
class View:
    """What the predicate sees: parts by name (None: down), and who has ever noted what."""

    parts: Mapping[str, Any]
    notes: frozenset[tuple[str, str]]
    disks: Mapping[str, StoredLog]


@dataclass(frozen=True)
class Explored:
    why: str | None  # what the predicate said; None: it held in every state reached
    path: tuple[str, ...]  # the choices that led there
    drawing: str  # the same with the notes, one row a choice
    states: int
    whole: bool  # no bound of steps or states cut anything off: nothing is left within the other bounds


class _Flight(NamedTuple):
    frm: str
    to: str
    stream: bool
    encoded: bytes
    message: Any

    @property
    def order(self) -> tuple[str, str, bool, bytes]:
        """Datagrams have none among them; a stream's messages keep theirs (sorting is stable)."""
        return (self.frm, self.to, self.stream, b"" if self.stream else self.encoded)


@dataclass(frozen=True)
class _Node:
    part: Any = None
    mark: Hashable = None  # the part's digest
    process_epoch: int = 0
    now: float = 0.0
    timers: tuple[tuple[float, int], ...] = ()
    held: StoredLog = field(default_factory=lambda: StoredLog(entries=[]))
    waiting: tuple[tuple[int, tuple[Any, ...]], ...] = ()


@dataclass(frozen=True)
class _State:
    nodes: Mapping[str, _Node]
    flying: tuple[_Flight, ...]
    asked: int
    left: tuple[int, int, int, int]  # of Bounds: lose, double, crash, fire
    notes: frozenset[tuple[str, str]]
    steps: int
    choice: str
    noted: tuple[tuple[str, str], ...]  # by this step
    before: _State | None


class Explorer:
    """`digest(part)` is all that tells two states of a part apart, hashable; what it leaves out is not explored.

    `check(view)` says what is wrong, or None. `asks` are events from outside, each told once to its node, in order,
    at any point. `disks`: what they hold at the start, nothing if not said. Messages must be hashable by what they
    encode to; parts must bear `deepcopy`.
    """

    def __init__(
        self,
        nodes: Sequence[str],
        make: Make,
        digest: Callable[[Any], Hashable],
        check: Callable[[View], str | None],
        bounds: Bounds = USUAL,
        *,
        seed: int = 0,
        asks: Sequence[tuple[str, Any]] = (),
        clocks: str = "free",
        disks: Mapping[str, StoredLog] | None = None,
    ) -> None:
        if clocks not in ("free", "one"):
            raise ValueError(f"clocks: {clocks!r} is neither 'free' nor 'one'")
        self.names = tuple(nodes)
        self.make = make
        self.digest = digest
        self.check = check
        self.bounds = bounds
        self.seed = seed
        self.asks = tuple(asks)
        self.one_clock = clocks == "one"
        self.disks = dict(disks or {})

    def run(self) -> Explored:
        nodes = {name: _Node(held=self.disks.get(name, StoredLog(entries=[]))) for name in self.names}
        first = _State(
            nodes,
            (),
            0,
            (self.bounds.lose, self.bounds.double, self.bounds.crash, self.bounds.fire),
            frozenset(),
            0,
            "start",
            (),
            None,
        )
        for name in self.names:
            first = replace(self._start(first, name, "start"), steps=0, before=None, noted=())
        first = replace(first, noted=tuple(sorted(first.notes)))
        known, queue, whole = {self._key(first)}, deque([first]), True
        why = self._wrong(first)
        if why is not None:
            return self._found(why, first, 1)
        while queue:
            state = queue.popleft()
            if state.steps >= self.bounds.steps:
                whole = whole and next(self._next(state), None) is None
                continue
            for after in self._next(state):
                key = self._key(after)
                if key in known:
                    continue
                known.add(key)
                why = self._wrong(after)
                if why is not None:
                    return self._found(why, after, len(known))
                if len(known) >= self.bounds.states:
                    return Explored(None, (), "", len(known), False)
                queue.append(after)
        return Explored(None, (), "", len(known), whole)

    def _wrong(self, state: _State) -> str | None:
        return self.check(
            View(
                {name: node.part for name, node in state.nodes.items()},
                state.notes,
                {name: node.held for name, node in state.nodes.items()},
            )
        )

    def _key(self, state: _State) -> Hashable:
        nodes = tuple(
            (
                node.mark,
                node.process_epoch,
                tuple((at - node.now, token) for at, token in node.timers),
                _ENCODER.encode((node.held.term_vote, node.held.snapshot, node.held.entries, node.waiting)),
            )
            for node in state.nodes.values()
        )
        return nodes, tuple(one[:4] for one in state.flying), state.asked, state.left, state.notes

    # Choices

    def _next(self, state: _State) -> Iterator[_State]:
        lose, double, crash, fire = state.left
        yield from self._messages(state)
        if state.asked < len(self.asks):
            name, event = self.asks[state.asked]
            if state.nodes[name].part is not None:
                after = replace(state, asked=state.asked + 1)
                yield self._told(after, state, name, event, f"ask {name} {_brief(event)}")
        if fire:
            due = [(node.timers[0][0], name) for name, node in state.nodes.items() if node.timers]
            if self.one_clock and due:
                soonest = min(due)[0]
                due = [one for one in due if one[0] == soonest]
            for at, name in due:
                node = state.nodes[name]
                nodes = dict(state.nodes)
                if self.one_clock:
                    nodes = {other: replace(one, now=max(one.now, at)) for other, one in nodes.items()}
                nodes[name] = replace(node, timers=node.timers[1:], now=max(node.now, at))
                after = replace(state, nodes=nodes, left=(lose, double, crash, fire - 1))
                yield self._told(after, state, name, TimerFired(node.timers[0][1]), f"{name} fires {node.timers[0][1]}")
        for name, node in state.nodes.items():
            if node.waiting:
                kept = replace(node, held=_with(node.held, node.waiting[0][1]), waiting=node.waiting[1:])
                after = replace(state, nodes={**state.nodes, name: kept})
                yield self._told(after, state, name, Stored(node.waiting[0][0]), f"{name} stored {node.waiting[0][0]}")
        for name, node in state.nodes.items():
            if node.part is None:
                yield self._start(state, name, f"start {name}")
            elif crash:
                # What was on its way to the disk is lost, or there up to some batch.
                for many in range(len(node.waiting) + 1):
                    held = node.held
                    for _, records in node.waiting[:many]:
                        held = _with(held, records)
                    down = _Node(process_epoch=node.process_epoch, now=node.now, held=held)
                    flying = tuple(one for one in state.flying if not (one.stream and name in (one.frm, one.to)))
                    yield replace(
                        state,
                        nodes={**state.nodes, name: down},
                        flying=flying,
                        noted=(),
                        before=state,
                        left=(lose, double, crash - 1, fire),
                        steps=state.steps + 1,
                        choice=f"kill {name}" + (f" with {many} batches down" if many else ""),
                    )

    def _messages(self, state: _State) -> Iterator[_State]:
        lose, double, crash, fire = state.left
        last: tuple[Any, ...] = ()
        for number, one in enumerate(state.flying):
            this = one[:3] if one.stream else one[:4]
            if this == last:  # the same message again, or not the first of its stream
                continue
            last = this
            without = state.flying[:number] + state.flying[number + 1 :]
            said = f"{_brief(one.message)} {one.frm} > {one.to}"
            carrier = Carrier.STREAM if one.stream else Carrier.DATAGRAM
            heard = MessageReceived(address(one.frm), one.frm, one.message, carrier)
            up = state.nodes[one.to].part is not None
            if up or one.stream:
                yield self._told(replace(state, flying=without), state, one.to, heard, f"deliver {said}")
            if one.stream:
                continue
            if lose or not up:
                left = (lose - 1 if up else lose, double, crash, fire)
                yield replace(
                    state,
                    flying=without,
                    left=left,
                    noted=(),
                    before=state,
                    steps=state.steps + 1,
                    choice=f"lose {said}",
                )
            if double and up:
                after = replace(state, left=(lose, double - 1, crash, fire))
                yield self._told(after, state, one.to, heard, f"deliver and keep {said}")

    def _start(self, state: _State, name: str, choice: str) -> _State:
        node = state.nodes[name]
        held = StoredLog(node.held.term_vote, node.held.snapshot, list(node.held.entries))
        part = self.make(name, self.seed, node.process_epoch + 1, held)
        after = replace(
            state, nodes={**state.nodes, name: replace(node, part=part, process_epoch=node.process_epoch + 1)}
        )
        return self._told(after, state, name, Started(), choice)

    def _told(self, after: _State, before: _State, name: str, event: Any, choice: str) -> _State:
        node = after.nodes[name]
        if node.part is None:
            return replace(after, noted=(), before=before, steps=before.steps + 1, choice=choice)
        part = deepcopy(node.part)  # the others are shared between states: nobody tells them anything
        timers, waiting = list(node.timers), list(node.waiting)
        flying, noted = list(after.flying), []
        for action in part.handle(node.now, event):
            if isinstance(action, (SendToAddress, SendToMember)):
                to = action.address[0] if isinstance(action, SendToAddress) else action.member
                if to in after.nodes:
                    flying.append(
                        _Flight(
                            name, to, action.carrier is Carrier.STREAM, _ENCODER.encode(action.message), action.message
                        )
                    )
            elif isinstance(action, SetTimer):
                timers.append((max(action.at_ms, node.now), action.token))
            elif isinstance(action, Store):
                waiting.append((action.ticket, action.records))
            elif isinstance(action, LogLine):
                noted.append((name, action.text))
        timers.sort(key=lambda timer: timer[0])
        told = replace(node, part=part, mark=self.digest(part), timers=tuple(timers), waiting=tuple(waiting))
        flying.sort(key=lambda one: one.order)
        return replace(
            after,
            nodes={**after.nodes, name: told},
            flying=tuple(flying),
            notes=after.notes | set(noted),
            noted=tuple(noted),
            before=before,
            steps=before.steps + 1,
            choice=choice,
        )

    def _found(self, why: str, state: _State, states: int) -> Explored:
        steps: list[_State] = []
        at: _State | None = state
        while at is not None:
            steps.append(at)
            at = at.before
        steps.reverse()
        cells = [[", ".join(text for who, text in step.noted if who == name) for name in self.names] for step in steps]
        wide = [max(14, len(name), *(len(row[number]) for row in cells)) + 2 for number, name in enumerate(self.names)]
        out = [
            f"# {why}; each row is one choice",
            "",
            "step    " + "".join(name.ljust(width) for name, width in zip(self.names, wide, strict=True)) + "choice",
        ]
        for number, (step, row) in enumerate(zip(steps, cells, strict=True)):
            out.append(
                str(number).ljust(8)
                + "".join(cell.ljust(width) for cell, width in zip(row, wide, strict=True))
                + step.choice
            )
        return Explored(why, tuple(step.choice for step in steps[1:]), "\n".join(out) + "\n", states, False)


def _with(held: StoredLog, records: tuple[Any, ...]) -> StoredLog:
    grown = StoredLog(held.term_vote, held.snapshot, list(held.entries))
    for record in records:
        grown.apply(record)
    return grown


def _brief(what: Any) -> str:
    if isinstance(what, str):
        return what
    fields = tuple(getattr(what, "__struct_fields__", getattr(what, "_fields", ())))
    return " ".join([type(what).__name__, *(str(getattr(what, name)) for name in fields)])

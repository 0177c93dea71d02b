"""Explicit-state exploration of all orders of events in a small group of nodes, within stated bounds.

A state consists of the components, the messages in flight, the timers, the contents of the disks and the writes under
way. From each state, every choice within the bounds is tried: which message is delivered, lost or duplicated next,
whose next timer fires, whose next batch is written, which node crashes or starts, which external event comes. A state
that was reached before is not explored again (as in Holzmann's SPIN). The search is breadth first, so the first
violation found is at the end of a shortest path to one. A component handles events at its own time: with
`clocks="free"`, only its own timers advance that time, as if clocks ran at any speed; with `clocks="one"`, all nodes
share one clock and timers fire in its order.
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
from limenotch.lab.fleet.world import ComponentFactory, address
from limenotch.store.records import StoredLog

_ENCODER = Encoder()


@dataclass(frozen=True)
class Bounds:
    """How often each fault may happen on one path. After a `crash` a node is down until a choice starts it again."""

    lose: int = 0
    double: int = 0
    crash: int = 0
    fire: int = 0  # timers that fire, of all nodes together
    steps: int = 40
    states: int = 500_000


DEFAULT_BOUNDS = Bounds()


@dataclass(frozen=True)
class View:
    """What the invariants see of a state: components by name (None: down), all log lines so far, the disks."""

    components: Mapping[str, Any]
    log_lines: frozenset[tuple[str, str]]
    disks: Mapping[str, StoredLog]


@dataclass(frozen=True)
class Explored:
    """The result of an exploration."""

    violation: str | None  # the violation; None: no state reached has one
    path: tuple[str, ...]  # the choices that lead to the violation
    timeline: str  # the same with the log lines, one row a choice
    states: int
    complete: bool  # whether `steps` and `states` cut nothing off: all states within the other bounds were reached


class _InFlight(NamedTuple):
    sender: str
    receiver: str
    stream: bool
    encoded: bytes
    message: Any

    @property
    def order(self) -> tuple[str, str, bool, bytes]:
        """Sort key: the order of datagrams does not matter, that of a stream's messages is preserved (stable sort)."""
        return (self.sender, self.receiver, self.stream, b"" if self.stream else self.encoded)


@dataclass(frozen=True)
class _Node:
    component: Any = None
    digest: Hashable = None  # the component's digest
    process_epoch: int = 0
    now: float = 0.0
    timers: tuple[tuple[float, int], ...] = ()
    content: StoredLog = field(default_factory=lambda: StoredLog(entries=[]))
    writes: tuple[tuple[int, tuple[Any, ...]], ...] = ()


@dataclass(frozen=True)
class _State:
    nodes: Mapping[str, _Node]
    in_flight: tuple[_InFlight, ...]
    events_sent: int
    budget: tuple[int, int, int, int]  # of the bounds lose, double, crash, fire
    log_lines: frozenset[tuple[str, str]]
    steps: int
    choice: str
    added_lines: tuple[tuple[str, str], ...]  # of this step
    previous: _State | None


class Explorer:
    """Explores a group of nodes.

    `digest(component)` is hashable and distinguishes all states of a component; what it omits is not explored.
    `check(view)` returns the violation, or None. `external_events` are delivered once each to their nodes, in order,
    at any point. `disks`: initial contents, empty by default. Messages are compared by their encoding; components
    must support `deepcopy`.
    """

    def __init__(
        self,
        nodes: Sequence[str],
        make: ComponentFactory,
        digest: Callable[[Any], Hashable],
        check: Callable[[View], str | None],
        bounds: Bounds = DEFAULT_BOUNDS,
        *,
        seed: int = 0,
        external_events: Sequence[tuple[str, Any]] = (),
        clocks: str = "free",
        disks: Mapping[str, StoredLog] | None = None,
    ) -> None:
        """Raises ValueError on an unknown value of `clocks`."""
        if clocks not in ("free", "one"):
            raise ValueError(f"clocks: {clocks!r} is neither 'free' nor 'one'")
        self.names = tuple(nodes)
        self.make = make
        self.digest = digest
        self.check = check
        self.bounds = bounds
        self.seed = seed
        self.external_events = tuple(external_events)
        self.one_clock = clocks == "one"
        self.disks = dict(disks or {})

    def run(self) -> Explored:
        """Explores until a violation is found, all states are reached or a bound of `bounds` is exceeded."""
        nodes = {name: _Node(content=self.disks.get(name, StoredLog(entries=[]))) for name in self.names}
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
            first = replace(self._start(first, name, "start"), steps=0, previous=None, added_lines=())
        first = replace(first, added_lines=tuple(sorted(first.log_lines)))
        known_states, queue, complete = {self._key(first)}, deque([first]), True
        violation = self._violation(first)
        if violation is not None:
            return self._result(violation, first, 1)
        while queue:
            state = queue.popleft()
            if state.steps >= self.bounds.steps:
                complete = complete and next(self._next(state), None) is None
                continue
            for after in self._next(state):
                key = self._key(after)
                if key in known_states:
                    continue
                known_states.add(key)
                violation = self._violation(after)
                if violation is not None:
                    return self._result(violation, after, len(known_states))
                if len(known_states) >= self.bounds.states:
                    return Explored(None, (), "", len(known_states), False)
                queue.append(after)
        return Explored(None, (), "", len(known_states), complete)

    def _violation(self, state: _State) -> str | None:
        return self.check(
            View(
                {name: node.component for name, node in state.nodes.items()},
                state.log_lines,
                {name: node.content for name, node in state.nodes.items()},
            )
        )

    def _key(self, state: _State) -> Hashable:
        nodes = tuple(
            (
                node.digest,
                node.process_epoch,
                tuple((at_ms - node.now, token) for at_ms, token in node.timers),
                _ENCODER.encode((node.content.term_vote, node.content.snapshot, node.content.entries, node.writes)),
            )
            for node in state.nodes.values()
        )
        return (
            nodes,
            tuple(message[:4] for message in state.in_flight),
            state.events_sent,
            state.budget,
            state.log_lines,
        )

    # Choices

    def _next(self, state: _State) -> Iterator[_State]:
        lose, double, crash, fire = state.budget
        yield from self._messages(state)
        if state.events_sent < len(self.external_events):
            name, event = self.external_events[state.events_sent]
            if state.nodes[name].component is not None:
                after = replace(state, events_sent=state.events_sent + 1)
                yield self._handle(after, state, name, event, f"ask {name} {_brief(event)}")
        if fire:
            next_timers = [(node.timers[0][0], name) for name, node in state.nodes.items() if node.timers]
            if self.one_clock and next_timers:
                earliest = min(next_timers)[0]
                next_timers = [timer for timer in next_timers if timer[0] == earliest]
            for at_ms, name in next_timers:
                node = state.nodes[name]
                nodes = dict(state.nodes)
                if self.one_clock:
                    nodes = {
                        other_name: replace(other, now=max(other.now, at_ms)) for other_name, other in nodes.items()
                    }
                nodes[name] = replace(node, timers=node.timers[1:], now=max(node.now, at_ms))
                after = replace(state, nodes=nodes, budget=(lose, double, crash, fire - 1))
                yield self._handle(
                    after, state, name, TimerFired(node.timers[0][1]), f"{name} fires {node.timers[0][1]}"
                )
        for name, node in state.nodes.items():
            if node.writes:
                written = replace(node, content=_after_writes(node.content, node.writes[0][1]), writes=node.writes[1:])
                after = replace(state, nodes={**state.nodes, name: written})
                yield self._handle(after, state, name, Stored(node.writes[0][0]), f"{name} stored {node.writes[0][0]}")
        for name, node in state.nodes.items():
            if node.component is None:
                yield self._start(state, name, f"start {name}")
            elif crash:
                # Pending batches are lost, or written up to some batch.
                for batch_count in range(len(node.writes) + 1):
                    content = node.content
                    for _, records in node.writes[:batch_count]:
                        content = _after_writes(content, records)
                    crashed = _Node(process_epoch=node.process_epoch, now=node.now, content=content)
                    in_flight = tuple(
                        message
                        for message in state.in_flight
                        if not (message.stream and name in (message.sender, message.receiver))
                    )
                    yield replace(
                        state,
                        nodes={**state.nodes, name: crashed},
                        in_flight=in_flight,
                        added_lines=(),
                        previous=state,
                        budget=(lose, double, crash - 1, fire),
                        steps=state.steps + 1,
                        choice=f"kill {name}" + (f" with {batch_count} batches down" if batch_count else ""),
                    )

    def _messages(self, state: _State) -> Iterator[_State]:
        lose, double, crash, fire = state.budget
        previous_identity: tuple[Any, ...] = ()
        for position, message in enumerate(state.in_flight):
            identity = message[:3] if message.stream else message[:4]
            if identity == previous_identity:  # a duplicate, or not the first message of its stream
                continue
            previous_identity = identity
            without = state.in_flight[:position] + state.in_flight[position + 1 :]
            brief = f"{_brief(message.message)} {message.sender} > {message.receiver}"
            carrier = Carrier.STREAM if message.stream else Carrier.DATAGRAM
            event = MessageReceived(address(message.sender), message.sender, message.message, carrier)
            is_running = state.nodes[message.receiver].component is not None
            if is_running or message.stream:
                yield self._handle(
                    replace(state, in_flight=without), state, message.receiver, event, f"deliver {brief}"
                )
            if message.stream:
                continue
            if lose or not is_running:
                budget = (lose - 1 if is_running else lose, double, crash, fire)
                yield replace(
                    state,
                    in_flight=without,
                    budget=budget,
                    added_lines=(),
                    previous=state,
                    steps=state.steps + 1,
                    choice=f"lose {brief}",
                )
            if double and is_running:
                after = replace(state, budget=(lose, double - 1, crash, fire))
                yield self._handle(after, state, message.receiver, event, f"deliver and keep {brief}")

    def _start(self, state: _State, name: str, choice: str) -> _State:
        node = state.nodes[name]
        content = StoredLog(node.content.term_vote, node.content.snapshot, list(node.content.entries))
        component = self.make(name, self.seed, node.process_epoch + 1, content)
        after = replace(
            state, nodes={**state.nodes, name: replace(node, component=component, process_epoch=node.process_epoch + 1)}
        )
        return self._handle(after, state, name, Started(), choice)

    def _handle(self, after: _State, previous: _State, name: str, event: Any, choice: str) -> _State:
        node = after.nodes[name]
        if node.component is None:
            return replace(after, added_lines=(), previous=previous, steps=previous.steps + 1, choice=choice)
        component = deepcopy(node.component)  # the other components are shared between states and handle no event here
        timers, writes = list(node.timers), list(node.writes)
        in_flight, added_lines = list(after.in_flight), []
        for action in component.handle(node.now, event):
            if isinstance(action, (SendToAddress, SendToMember)):
                receiver = action.address[0] if isinstance(action, SendToAddress) else action.member
                if receiver in after.nodes:
                    in_flight.append(
                        _InFlight(
                            name,
                            receiver,
                            action.carrier is Carrier.STREAM,
                            _ENCODER.encode(action.message),
                            action.message,
                        )
                    )
            elif isinstance(action, SetTimer):
                timers.append((max(action.at_ms, node.now), action.token))
            elif isinstance(action, Store):
                writes.append((action.ticket, action.records))
            elif isinstance(action, LogLine):
                added_lines.append((name, action.text))
        timers.sort(key=lambda timer: timer[0])
        handled = replace(
            node, component=component, digest=self.digest(component), timers=tuple(timers), writes=tuple(writes)
        )
        in_flight.sort(key=lambda message: message.order)
        return replace(
            after,
            nodes={**after.nodes, name: handled},
            in_flight=tuple(in_flight),
            log_lines=after.log_lines | set(added_lines),
            added_lines=tuple(added_lines),
            previous=previous,
            steps=previous.steps + 1,
            choice=choice,
        )

    def _result(self, violation: str, state: _State, states: int) -> Explored:
        steps: list[_State] = []
        step_state: _State | None = state
        while step_state is not None:
            steps.append(step_state)
            step_state = step_state.previous
        steps.reverse()
        cells = [
            [", ".join(text for node, text in step.added_lines if node == name) for name in self.names]
            for step in steps
        ]
        widths = [
            max(14, len(name), *(len(row[position]) for row in cells)) + 2 for position, name in enumerate(self.names)
        ]
        lines = [
            f"# {violation}; each row is one choice",
            "",
            "step    " + "".join(name.ljust(width) for name, width in zip(self.names, widths, strict=True)) + "choice",
        ]
        for position, (step, row) in enumerate(zip(steps, cells, strict=True)):
            lines.append(
                str(position).ljust(8)
                + "".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
                + step.choice
            )
        return Explored(violation, tuple(step.choice for step in steps[1:]), "\n".join(lines) + "\n", states, False)


def _after_writes(content: StoredLog, records: tuple[Any, ...]) -> StoredLog:
    extended = StoredLog(content.term_vote, content.snapshot, list(content.entries))
    for record in records:
        extended.apply(record)
    return extended


def _brief(item: Any) -> str:
    if isinstance(item, str):
        return item
    fields = tuple(getattr(item, "__struct_fields__", getattr(item, "_fields", ())))
    return " ".join([type(item).__name__, *(str(getattr(item, name)) for name in fields)])

"""Several parts behind one `handle`, so that a host needs to know of one only. No I/O, no clock, no randomness.

- A message goes to the part whose prefix its tag begins with (`mb.`, `ag.`).
- A timer's token and a store's ticket carry the number of the part that asked, and go back to it alone.
- Tell(name) becomes Send(address) by what membership knows; dropped and counted where it knows none.
- MemberChanged and Fenced, said by the first part (membership), go to the others in order, at their place among the
  actions: what a part does on them comes before what membership does next.
- Started and Leave go to all, in order.
- One part may be the log (`ag.`): what those after it propose, read and change goes there with their prefix, what is
  agreed goes to whom it is of, what they asked for is answered to who asked, a new leader is told to all of them
  (`above.py`). What they ask is told to the log when all that the event brought about is told: never in between.
- A snapshot is made of the state of all of them. Where some entry is of a part that is not here, or is off, none is
  made: its state would be lost. The log then grows until it refuses what is proposed.
- ComponentEvent(component, event) is the host's own way to a part; actions of further types go to the host's own
  handlers (`register_action_handler`).

A part that raises: where the host gave `on_fault` it is told so and the part hears nothing more; if it was the first
part, none does, as nobody would tell the others of a fence. Without `on_fault` the exception goes through: in
simulated time it is a find.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol, cast

from . import log_multiplexer
from .consensus import api
from .interfaces import (
    Action,
    Address,
    Component,
    Event,
    Fenced,
    LogLine,
    MemberChanged,
    MessageReceived,
    SendToAddress,
    SendToMember,
    SetTimer,
    ShutdownStarted,
    Started,
    Store,
    Stored,
    StoreFailed,
    TimerFired,
)
from .wire import tag_of

COMPONENT_STOPPED = "fleet off: fault"  # the note's text
LOG = "ag."
LOG_REQUESTS = (api.Propose, api.ReadIndex, api.ChangeVoters)
LOG_RESPONSES = (api.ProposalCommitted, api.ProposalRejected, api.OutcomeUnknown, api.ReadReady)

Faulty = Callable[[str, Any, Exception], None]  # the part's prefix, the event, what it raised


class Names(Protocol):
    """What membership answers beside its events."""

    def address_of(self, name: str) -> Address | None:
        """Where a member is reached; None if none is known."""
        ...


class ComponentEvent(NamedTuple):
    """An event for one part, from its host."""

    component: str  # its prefix
    event: Any


class ComponentHub:
    """A part made of parts."""

    def __init__(
        self, components: Sequence[tuple[str, Component]], names: Names | None = None, on_fault: Faulty | None = None
    ) -> None:
        """`components` with the prefix of their messages' tags, membership first. ValueError: a prefix twice."""
        self._components: list[Component] = []
        self._prefixes: list[str] = []
        self._places: dict[str, int] = {}
        self._names, self.on_fault = names, on_fault
        self._off: set[int] = set()
        self._begun = False
        self._asking: deque[tuple[int, Any]] = deque()  # what is still to be told: part, event
        self._action_handlers: dict[type, Callable[[Any], None]] = {}
        self._whole = True  # every entry and every state so far was of a part that is here
        for prefix, component in components:
            self.add(prefix, component)
        self.off: tuple[str, ...] = ()  # prefixes of the parts stopped
        self.undeliverable_messages = 0  # messages to names without an address
        self.unhandled_messages = 0  # messages of no part, or of one that is off

    def add(self, prefix: str, component: Component) -> None:
        """Before Started alone: numbers of timers hang on how many parts there are."""
        if self._begun or prefix in self._places:
            raise ValueError(f"{prefix}: begun already, or two parts with one prefix")
        self._places[prefix] = len(self._components)
        self._components.append(component)
        self._prefixes.append(prefix)

    def register_action_handler(self, kind: type, told: Callable[[Any], None]) -> None:
        """Actions of this type, of any part, are told to the host so, in order. `told` must not call `handle`."""
        self._action_handlers[kind] = told

    def record_snapshot_prefixes(self, states: Iterable[str]) -> None:
        """Prefixes of the states that the snapshot found at the start had."""
        self._whole = self._whole and all(prefix in self._places for prefix in states)

    def handle(self, now: float, event: Event | ComponentEvent) -> list[Action]:
        """Send, SetTimer, Store and LogLine only: the rest stays in here. Raises TypeError on what is no event."""
        out: list[Action] = []
        self._begun = self._begun or isinstance(event, Started)
        for number, inner in self._route(event):
            self._tell(now, number, inner, out)
            while self._asking:
                self._tell(now, *self._asking.popleft(), out)
        return out

    def _route(self, event: Event | ComponentEvent) -> Iterable[tuple[int, Event]]:
        if isinstance(event, MessageReceived):
            tag = tag_of(event.message)
            place = self._places.get(tag[: tag.find(".") + 1])
            if place is None or place in self._off:
                self.unhandled_messages += 1
                return ()
            return ((place, event),)
        if isinstance(event, TimerFired):
            token, place = self._back(event.token)
            return ((place, TimerFired(token)),)
        if isinstance(event, Stored):
            ticket, place = self._back(event.ticket)
            return ((place, Stored(ticket)),)
        if isinstance(event, StoreFailed):
            ticket, place = self._back(event.ticket)
            return ((place, StoreFailed(ticket, event.why)),)
        if isinstance(event, (Started, ShutdownStarted)):
            return [(place, event) for place in range(len(self._components))]
        if isinstance(event, ComponentEvent) and event.component in self._places:
            return ((self._places[event.component], event.event),)
        raise TypeError(f"no event of the hub: {event!r}")

    def _tell(self, now: float, number: int, event: Any, out: list[Action]) -> None:
        """What the part answers, carried as far as it goes within the hub."""
        if number in self._off:
            return
        try:
            for action in self._components[number].handle(now, event):
                self._carry(now, number, action, out)
        except Exception as error:
            if self.on_fault is None:
                raise
            self._stop(number, event, error, out)

    def _carry(self, now: float, number: int, action: Any, out: list[Action]) -> None:
        if isinstance(action, SendToMember):
            address = self._names.address_of(action.member) if self._names is not None else None
            if address is None:
                self.undeliverable_messages += 1
            else:
                out.append(SendToAddress(address, action.message, action.carrier))
        elif isinstance(action, SetTimer):
            out.append(SetTimer(action.at_ms, self._forth(action.token, number)))
        elif isinstance(action, Store):
            out.append(Store(self._forth(action.ticket, number), action.records))
        elif isinstance(action, (SendToAddress, LogLine)):
            out.append(action)
        elif isinstance(action, (MemberChanged, Fenced)) and number == 0:
            for other in range(1, len(self._components)):
                self._tell(now, other, action, out)
        elif type(action) in self._action_handlers:
            self._action_handlers[type(action)](action)
        elif number == self._places.get(LOG):
            self._of_the_log(now, number, action, out)
        elif isinstance(action, LOG_REQUESTS) and number:
            self._to_the_log(number, action)
        else:
            raise TypeError(f"no action of {self._prefixes[number]}: {action!r}")

    # The log

    def _to_the_log(self, number: int, action: Any) -> None:
        log = self._places.get(LOG)
        if log is None or log in self._off or log > number:
            why = "no log" if log is None or log > number else "the log is off"
            self._asking.append((number, api.ProposalRejected(action.ticket, why, None)))
            return
        prefix, ticket = self._prefixes[number], self._forth(action.ticket, number)
        if isinstance(action, api.Propose):
            ident = prefix + action.id if action.id else ""
            action = api.Propose(ticket, log_multiplexer.add_prefix(prefix, action.data), ident)
        else:
            action = action._replace(ticket=ticket)
        self._asking.append((log, action))

    def _of_the_log(self, now: float, log: int, action: Any, out: list[Action]) -> None:
        layers = range(log + 1, len(self._components))
        if isinstance(action, LOG_RESPONSES):
            ticket, number = self._back(action.ticket)
            self._tell(now, number, action._replace(ticket=ticket), out)
        elif isinstance(action, api.EntryCommitted):
            prefix, data = log_multiplexer.split_prefix(action.data)
            number = self._places.get(prefix, log)
            if number > log:
                self._tell(now, number, action._replace(data=data, id=action.id.removeprefix(prefix)), out)
            else:
                self._whole = False
        elif isinstance(action, api.SnapshotInstalled):
            states = log_multiplexer.split_states(action.state)
            self.record_snapshot_prefixes(states)
            for number in layers:
                if (state := states.get(self._prefixes[number])) is not None:
                    self._tell(now, number, action._replace(state=state), out)
        elif isinstance(action, api.LeaderChanged):
            for number in layers:
                self._tell(now, number, action, out)
        elif isinstance(action, api.SnapshotRequested):
            if not self._whole or self._off:
                out.append(LogLine("no snapshot: entries of a part that is not here"))
                return
            states = {
                self._prefixes[number]: cast(log_multiplexer.ReplicatedComponent, self._components[number]).state()
                for number in layers
            }
            self._asking.append((log, api.SnapshotState(action.index, log_multiplexer.join_states(states))))
        else:
            raise TypeError(f"no action of {LOG}: {action!r}")

    def _stop(self, number: int, event: Any, error: Exception, out: list[Action]) -> None:
        assert self.on_fault is not None
        self._stopped(set(range(len(self._components))) if number == 0 else {number})
        self.on_fault(self._prefixes[number], event, error)
        out.append(LogLine(COMPONENT_STOPPED, {"part": self._prefixes[number], "off": ", ".join(self.off)}))
        if number == self._places.get(LOG):
            layers = range(number + 1, len(self._components))
            self._asking.extend((layer, api.LeaderChanged(None, 0)) for layer in layers)

    def stop_all(self) -> None:
        """The host tells no part anything more."""
        self._stopped(set(range(len(self._components))))

    def _stopped(self, numbers: set[int]) -> None:
        self._off |= numbers
        self.off = tuple(self._prefixes[number] for number in sorted(self._off))

    # A number of a part's own, and the part, in one number: nothing has to be kept, whatever parts ask for

    def _forth(self, own: int, number: int) -> int:
        return own * len(self._components) + number

    def _back(self, both: int) -> tuple[int, int]:
        return divmod(both, len(self._components))

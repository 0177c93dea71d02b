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
LOG_PREFIX = "ag."
LOG_REQUESTS = (api.Propose, api.ReadIndex, api.ChangeVoters)
LOG_RESPONSES = (api.ProposalCommitted, api.ProposalRejected, api.OutcomeUnknown, api.ReadReady)

FaultHandler = Callable[[str, Any, Exception], None]  # the part's prefix, the event, what it raised


class AddressBook(Protocol):
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
        self,
        components: Sequence[tuple[str, Component]],
        address_book: AddressBook | None = None,
        on_fault: FaultHandler | None = None,
    ) -> None:
        """`components` with the prefix of their messages' tags, membership first. ValueError: a prefix twice."""
        self._components: list[Component] = []
        self._prefixes: list[str] = []
        self._indexes: dict[str, int] = {}
        self._address_book, self.on_fault = address_book, on_fault
        self._stopped_indexes: set[int] = set()
        self._started = False
        self._log_events: deque[tuple[int, Any]] = deque()  # what is still to be told: part, event
        self._action_handlers: dict[type, Callable[[Any], None]] = {}
        self._all_states_known = True  # every entry and every state so far was of a part that is here
        for prefix, component in components:
            self.add(prefix, component)
        self.stopped: tuple[str, ...] = ()  # prefixes of the parts stopped
        self.undeliverable_messages = 0  # messages to names without an address
        self.unhandled_messages = 0  # messages of no part, or of one that is off

    def add(self, prefix: str, component: Component) -> None:
        """Before Started alone: numbers of timers hang on how many parts there are."""
        if self._started or prefix in self._indexes:
            raise ValueError(f"{prefix}: begun already, or two parts with one prefix")
        self._indexes[prefix] = len(self._components)
        self._components.append(component)
        self._prefixes.append(prefix)

    def register_action_handler(self, action_type: type, handler: Callable[[Any], None]) -> None:
        """Actions of this type, of any part, are told to the host so, in order. `told` must not call `handle`."""
        self._action_handlers[action_type] = handler

    def record_snapshot_prefixes(self, states: Iterable[str]) -> None:
        """Prefixes of the states that the snapshot found at the start had."""
        self._all_states_known = self._all_states_known and all(prefix in self._indexes for prefix in states)

    def handle(self, now: float, event: Event | ComponentEvent) -> list[Action]:
        """Send, SetTimer, Store and LogLine only: the rest stays in here. Raises TypeError on what is no event."""
        actions: list[Action] = []
        self._started = self._started or isinstance(event, Started)
        for index, inner in self._route(event):
            self._dispatch(now, index, inner, actions)
            while self._log_events:
                self._dispatch(now, *self._log_events.popleft(), actions)
        return actions

    def _route(self, event: Event | ComponentEvent) -> Iterable[tuple[int, Event]]:
        if isinstance(event, MessageReceived):
            tag = tag_of(event.message)
            index = self._indexes.get(tag[: tag.find(".") + 1])
            if index is None or index in self._stopped_indexes:
                self.unhandled_messages += 1
                return ()
            return ((index, event),)
        if isinstance(event, TimerFired):
            token, index = self._decode_number(event.token)
            return ((index, TimerFired(token)),)
        if isinstance(event, Stored):
            ticket, index = self._decode_number(event.ticket)
            return ((index, Stored(ticket)),)
        if isinstance(event, StoreFailed):
            ticket, index = self._decode_number(event.ticket)
            return ((index, StoreFailed(ticket, event.reason)),)
        if isinstance(event, (Started, ShutdownStarted)):
            return [(index, event) for index in range(len(self._components))]
        if isinstance(event, ComponentEvent) and event.component in self._indexes:
            return ((self._indexes[event.component], event.event),)
        raise TypeError(f"no event of the hub: {event!r}")

    def _dispatch(self, now: float, index: int, event: Any, actions: list[Action]) -> None:
        """What the part answers, carried as far as it goes within the hub."""
        if index in self._stopped_indexes:
            return
        try:
            for action in self._components[index].handle(now, event):
                self._apply_action(now, index, action, actions)
        except Exception as error:
            if self.on_fault is None:
                raise
            self._stop_faulty(index, event, error, actions)

    def _apply_action(self, now: float, index: int, action: Any, actions: list[Action]) -> None:
        if isinstance(action, SendToMember):
            address = self._address_book.address_of(action.member) if self._address_book is not None else None
            if address is None:
                self.undeliverable_messages += 1
            else:
                actions.append(SendToAddress(address, action.message, action.carrier))
        elif isinstance(action, SetTimer):
            actions.append(SetTimer(action.at_ms, self._encode_number(action.token, index)))
        elif isinstance(action, Store):
            actions.append(Store(self._encode_number(action.ticket, index), action.records))
        elif isinstance(action, (SendToAddress, LogLine)):
            actions.append(action)
        elif isinstance(action, (MemberChanged, Fenced)) and index == 0:
            for listener in range(1, len(self._components)):
                self._dispatch(now, listener, action, actions)
        elif type(action) in self._action_handlers:
            self._action_handlers[type(action)](action)
        elif index == self._indexes.get(LOG_PREFIX):
            self._apply_log_action(now, index, action, actions)
        elif isinstance(action, LOG_REQUESTS) and index:
            self._forward_to_log(index, action)
        else:
            raise TypeError(f"no action of {self._prefixes[index]}: {action!r}")

    # The log

    def _forward_to_log(self, index: int, action: Any) -> None:
        log = self._indexes.get(LOG_PREFIX)
        if log is None or log in self._stopped_indexes or log > index:
            reason = "no log" if log is None or log > index else "the log is off"
            self._log_events.append((index, api.ProposalRejected(action.ticket, reason, None)))
            return
        prefix, ticket = self._prefixes[index], self._encode_number(action.ticket, index)
        if isinstance(action, api.Propose):
            ident = prefix + action.id if action.id else ""
            action = api.Propose(ticket, log_multiplexer.add_prefix(prefix, action.data), ident)
        else:
            action = action._replace(ticket=ticket)
        self._log_events.append((log, action))

    def _apply_log_action(self, now: float, log: int, action: Any, actions: list[Action]) -> None:
        replicated = range(log + 1, len(self._components))
        if isinstance(action, LOG_RESPONSES):
            ticket, index = self._decode_number(action.ticket)
            self._dispatch(now, index, action._replace(ticket=ticket), actions)
        elif isinstance(action, api.EntryCommitted):
            prefix, data = log_multiplexer.split_prefix(action.data)
            index = self._indexes.get(prefix, log)
            if index > log:
                self._dispatch(now, index, action._replace(data=data, id=action.id.removeprefix(prefix)), actions)
            else:
                self._all_states_known = False
        elif isinstance(action, api.SnapshotInstalled):
            states = log_multiplexer.split_states(action.state)
            self.record_snapshot_prefixes(states)
            for index in replicated:
                if (state := states.get(self._prefixes[index])) is not None:
                    self._dispatch(now, index, action._replace(state=state), actions)
        elif isinstance(action, api.LeaderChanged):
            for index in replicated:
                self._dispatch(now, index, action, actions)
        elif isinstance(action, api.SnapshotRequested):
            if not self._all_states_known or self._stopped_indexes:
                actions.append(LogLine("no snapshot: entries of a part that is not here"))
                return
            states = {
                self._prefixes[index]: cast(log_multiplexer.ReplicatedComponent, self._components[index]).state()
                for index in replicated
            }
            self._log_events.append((log, api.SnapshotState(action.index, log_multiplexer.join_states(states))))
        else:
            raise TypeError(f"no action of {LOG_PREFIX}: {action!r}")

    def _stop_faulty(self, index: int, event: Any, error: Exception, actions: list[Action]) -> None:
        assert self.on_fault is not None
        self._mark_stopped(set(range(len(self._components))) if index == 0 else {index})
        self.on_fault(self._prefixes[index], event, error)
        actions.append(LogLine(COMPONENT_STOPPED, {"part": self._prefixes[index], "off": ", ".join(self.stopped)}))
        if index == self._indexes.get(LOG_PREFIX):
            replicated = range(index + 1, len(self._components))
            self._log_events.extend((layer, api.LeaderChanged(None, 0)) for layer in replicated)

    def stop_all(self) -> None:
        """The host tells no part anything more."""
        self._mark_stopped(set(range(len(self._components))))

    def _mark_stopped(self, numbers: set[int]) -> None:
        self._stopped_indexes |= numbers
        self.stopped = tuple(self._prefixes[index] for index in sorted(self._stopped_indexes))

    # A number of a part's own, and the part, in one number: nothing has to be kept, whatever parts ask for

    def _encode_number(self, number: int, index: int) -> int:
        return number * len(self._components) + index

    def _decode_number(self, encoded: int) -> tuple[int, int]:
        return divmod(encoded, len(self._components))

"""Several components behind one `handle`, so that a host deals with one only. No I/O, no clock, no randomness.

- A message goes to the component whose prefix its tag begins with (`mb.`, `ag.`).
- A timer's token and a store's ticket carry the index of the component that set them, and go back to it alone.
- SendToMember becomes SendToAddress by membership's addresses; dropped and counted if the name has none.
- MemberChanged and Fenced of the first component (membership) go to the others in order, at their position among the
  actions: the others handle them before the hub goes on with membership's next action.
- Started and ShutdownStarted go to all, in order.
- One component may be the log (`ag.`). What the components after it propose, read and change goes to the log with their
  prefix. A committed entry goes to the component of its prefix, a response to the component that made the request, a
  new leader to all of them (`log_multiplexer.py`). The log handles a request only after all that the event caused has
  been dispatched, never in between.
- A snapshot contains the state of all components after the log. If an entry belongs to a component that is missing or
  stopped, no snapshot is made, as that state would be lost. The log then grows until it rejects proposals.
- ComponentEvent(component, event) is the host's way to one component; actions of other types go to the host's own
  handlers (`register_action_handler`).

When a component raises and the host has set `on_fault`, the hub reports the fault there and stops the component. If it
was the first component, all are stopped, as nothing would notify the others of a fence. Without `on_fault` the
exception propagates: in simulated time it is a finding.
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

COMPONENT_STOPPED = "fleet off: fault"  # text of the log line
LOG_PREFIX = "ag."
LOG_REQUESTS = (api.Propose, api.ReadIndex, api.ChangeVoters)
LOG_RESPONSES = (api.ProposalCommitted, api.ProposalRejected, api.OutcomeUnknown, api.ReadReady)

FaultHandler = Callable[[str, Any, Exception], None]  # the component's prefix, the event, the exception


class AddressBook(Protocol):
    """Membership's addresses."""

    def address_of(self, name: str) -> Address | None:
        """Where a member is reached; None if unknown."""
        ...


class ComponentEvent(NamedTuple):
    """An event for one component, from the host."""

    component: str  # its prefix
    event: Any


class ComponentHub:
    """A component made of components."""

    def __init__(
        self,
        components: Sequence[tuple[str, Component]],
        address_book: AddressBook | None = None,
        on_fault: FaultHandler | None = None,
    ) -> None:
        """`components`: with the prefix of their messages' tags, membership first. ValueError: a prefix twice."""
        self._components: list[Component] = []
        self._prefixes: list[str] = []
        self._indexes: dict[str, int] = {}
        self._address_book, self.on_fault = address_book, on_fault
        self._stopped_indexes: set[int] = set()
        self._started = False
        self._log_events: deque[tuple[int, Any]] = deque()  # still to be dispatched: index, event
        self._action_handlers: dict[type, Callable[[Any], None]] = {}
        self._all_states_known = True  # whether each entry and state so far is of a component here
        for prefix, component in components:
            self.add(prefix, component)
        self.stopped: tuple[str, ...] = ()  # prefixes of the stopped components
        self.undeliverable_messages = 0  # to names without an address
        self.unhandled_messages = 0  # for no component, or for a stopped one

    def add(self, prefix: str, component: Component) -> None:
        """Only before Started: tokens of timers depend on the number of components. Raises ValueError."""
        if self._started or prefix in self._indexes:
            raise ValueError(f"{prefix}: already started, or two components with one prefix")
        self._indexes[prefix] = len(self._components)
        self._components.append(component)
        self._prefixes.append(prefix)

    def register_action_handler(self, action_type: type, handler: Callable[[Any], None]) -> None:
        """Pass all actions of this type to the host, in order. `handler` must not call `handle`."""
        self._action_handlers[action_type] = handler

    def record_snapshot_prefixes(self, states: Iterable[str]) -> None:
        """Take the prefixes of the states in the snapshot that was found at the start."""
        self._all_states_known = self._all_states_known and all(prefix in self._indexes for prefix in states)

    def handle(self, now: float, event: Event | ComponentEvent) -> list[Action]:
        """Gives SendToAddress, SetTimer, Store and LogLine only. Raises TypeError on an unknown event or action."""
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
        raise TypeError(f"not an event of the hub: {event!r}")

    def _dispatch(self, now: float, index: int, event: Any, actions: list[Action]) -> None:
        """Have one component handle an event, and apply its actions."""
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
            raise TypeError(f"unexpected action of component {self._prefixes[index]}: {action!r}")

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
                actions.append(LogLine("no snapshot: the log has state of a component that does not run"))
                return
            states = {
                self._prefixes[index]: cast(log_multiplexer.ReplicatedComponent, self._components[index]).state()
                for index in replicated
            }
            self._log_events.append((log, api.SnapshotState(action.index, log_multiplexer.join_states(states))))
        else:
            raise TypeError(f"unexpected action of component {LOG_PREFIX}: {action!r}")

    def _stop_faulty(self, index: int, event: Any, error: Exception, actions: list[Action]) -> None:
        assert self.on_fault is not None
        self._mark_stopped(set(range(len(self._components))) if index == 0 else {index})
        self.on_fault(self._prefixes[index], event, error)
        actions.append(LogLine(COMPONENT_STOPPED, {"part": self._prefixes[index], "off": ", ".join(self.stopped)}))
        if index == self._indexes.get(LOG_PREFIX):
            replicated = range(index + 1, len(self._components))
            self._log_events.extend((listener, api.LeaderChanged(None, 0)) for listener in replicated)

    def stop_all(self) -> None:
        """Dispatch no further event to any component."""
        self._mark_stopped(set(range(len(self._components))))

    def _mark_stopped(self, indexes: set[int]) -> None:
        self._stopped_indexes |= indexes
        self.stopped = tuple(self._prefixes[index] for index in sorted(self._stopped_indexes))

    # A component's own number and its index in one number, so that the hub stores nothing for timers and tickets

    def _encode_number(self, number: int, index: int) -> int:
        return number * len(self._components) + index

    def _decode_number(self, encoded: int) -> tuple[int, int]:
        return divmod(encoded, len(self._components))

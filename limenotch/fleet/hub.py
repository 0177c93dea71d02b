"""Several parts behind one `handle`, so that a host needs to know of one only. No I/O, no clock, no randomness.

- A message goes to the part whose prefix its tag begins with (`mb.`, `ag.`).
- A timer's token and a store's ticket carry the number of the part that asked, and go back to it alone.
- Tell(name) becomes Send(address) by what membership knows; dropped and counted where it knows none.
- MemberChanged and Fenced, said by the first part (membership), go to the others in order, at their place among the
  actions: what a part does on them comes before what membership does next.
- Started and Leave go to all, in order.

A part that raises: where the host gave `faulty` it is told so and the part hears nothing more; if it was the first
part, none does, as nobody would tell the others of a fence. Without `faulty` the exception goes through: in simulated
time it is a find.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from .contract import (
    Action,
    Address,
    Event,
    Fenced,
    Heard,
    Leave,
    MemberChanged,
    Note,
    Part,
    Send,
    SetTimer,
    Started,
    Store,
    Stored,
    StoreFailed,
    Tell,
    TimerFired,
)
from .wire import tag_of

OFF = "fleet off: fault"  # the note's text

Faulty = Callable[[str, Any, Exception], None]  # the part's prefix, the event, what it raised


class Names(Protocol):
    """What membership answers beside its events."""

    def address_of(self, name: str) -> Address | None: ...


class Hub:
    """A part made of parts."""

    def __init__(
        self, parts: Sequence[tuple[str, Part]], names: Names | None = None, faulty: Faulty | None = None
    ) -> None:
        """`parts` with the prefix of their messages' tags, membership first. Raises ValueError on a prefix twice."""
        self._parts = [part for _, part in parts]
        self._prefixes = [prefix for prefix, _ in parts]
        self._places = {prefix: number for number, prefix in enumerate(self._prefixes)}
        if len(self._places) != len(parts):
            raise ValueError("two parts with one prefix")
        self._names, self.faulty = names, faulty
        self._off: set[int] = set()
        self.untold = 0  # messages to names without an address
        self.unheard = 0  # messages of no part, or of one that is off

    @property
    def off(self) -> tuple[str, ...]:
        """Prefixes of the parts stopped."""
        return tuple(self._prefixes[number] for number in sorted(self._off))

    def handle(self, now: float, event: Event) -> list[Action]:
        """Send, SetTimer, Store and Note only: the rest stays in here. Raises TypeError on what is no event."""
        out: list[Action] = []
        for number, inner in self._route(event):
            self._tell(now, number, inner, out)
        return out

    def _route(self, event: Event) -> Iterable[tuple[int, Event]]:
        if isinstance(event, Heard):
            tag = tag_of(event.message)
            place = self._places.get(tag[: tag.find(".") + 1])
            if place is None or place in self._off:
                self.unheard += 1
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
        if isinstance(event, (Started, Leave)):
            return [(place, event) for place in range(len(self._parts))]
        raise TypeError(f"no event of the hub: {event!r}")

    def _tell(self, now: float, number: int, event: Event, out: list[Action]) -> None:
        """What the part answers, carried as far as it goes within the hub."""
        if number in self._off:
            return
        try:
            for action in self._parts[number].handle(now, event):
                self._carry(now, number, action, out)
        except Exception as error:
            if self.faulty is None:
                raise
            self._stop(number, event, error, out)

    def _carry(self, now: float, number: int, action: Any, out: list[Action]) -> None:
        if isinstance(action, Tell):
            at = self._names.address_of(action.to) if self._names is not None else None
            if at is None:
                self.untold += 1
            else:
                out.append(Send(at, action.message, action.carrier))
        elif isinstance(action, SetTimer):
            out.append(SetTimer(action.at_ms, self._forth(action.token, number)))
        elif isinstance(action, Store):
            out.append(Store(self._forth(action.ticket, number), action.records))
        elif isinstance(action, (Send, Note)):
            out.append(action)
        elif isinstance(action, (MemberChanged, Fenced)) and number == 0:
            for other in range(1, len(self._parts)):
                self._tell(now, other, action, out)
        else:
            raise TypeError(f"no action of {self._prefixes[number]}: {action!r}")

    def _stop(self, number: int, event: Any, error: Exception, out: list[Action]) -> None:
        assert self.faulty is not None
        self._off |= set(range(len(self._parts))) if number == 0 else {number}
        self.faulty(self._prefixes[number], event, error)
        out.append(Note(OFF, {"part": self._prefixes[number], "off": ", ".join(self.off)}))

    # A number of a part's own, and the part, in one number: nothing has to be kept, whatever parts ask for

    def _forth(self, own: int, number: int) -> int:
        return own * len(self._parts) + number

    def _back(self, both: int) -> tuple[int, int]:
        return divmod(both, len(self._parts))

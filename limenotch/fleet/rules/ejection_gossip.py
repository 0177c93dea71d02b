"""Bans on their way from sidecar to sidecar, until a version holds them.

| when | what is said |
| --- | --- |
| one is made here, and each lease's time while the log has it not | to all members by datagram, and to the log |
| an ask for a lease or a grant goes out | the latest ride on it |
| a member is there that was not: a start, a heal, a fence | it is asked for all of its, and given all of one's own |

The last is for who comes new: membership's tables have told it of members, and with the first three of them it
exchanges all bans by stream before a lease lets it act on more than the narrow rules. Both sides ask: one suffices.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..interfaces import Carrier, LogLine, MemberChanged, SendToMember
from . import entries, messages
from .versioned_rules import Book

GONE = frozenset({"dead", "left"})
NEVER = float("inf")
EXCHANGES, SPAN_MS = 3, 1000.0  # so many with members that are new here in such a span


class Telling:
    def __init__(
        self, name: str, book: Book, most_bans: int, most_members: int, again_ms: float, count: Callable[[str], None]
    ) -> None:
        self.name, self.book, self._most, self._most_members = name, book, most_bans, most_members
        self._again_ms, self._count = again_ms, count
        self.members: dict[str, tuple[str, int]] = {}  # state and life
        self.at = NEVER  # when to tell all again
        self._exchanged = (-NEVER, 0)  # since when, how many

    def reachable(self, names: Iterable[str]) -> list[str]:
        """Of these members those that are not held dead, oneself not among them."""
        return [name for name in names if name != self.name and self.members.get(name, ("",))[0] not in GONE]

    def riding(self) -> tuple[tuple[str, int], ...]:
        return tuple(list(self.book.told.items())[-messages.MOST_BANS :])

    def heard(self, bans: tuple[tuple[str, int], ...]) -> list[Any]:
        """Heard from anyone: acts at once. A version that holds it, or a later return, makes it no news."""
        out: list[Any] = []
        for upstream, after in bans:
            if len(upstream) > messages.MOST_NAME or after < 0:
                self._count("bad ban")
                continue
            held = self.book.flat(self.book.newest).get(("bans", upstream), (False, 0.0))
            if held[0] or after < self.book.returned(upstream):
                continue
            if self.book.tell_ban(upstream, after, self._most):
                out.append(LogLine(f"heard ban {upstream}"))
        return out

    def spread(
        self, now: float, under_way: set[str], propose: Callable[[entries.Entry, str, int], None] | None
    ) -> list[Any]:
        """Own told bans again: to all members, and to the log where one leads."""
        self.at = NEVER
        out: list[Any] = []
        for upstream, after in list(self.book.told.items())[-messages.MOST_BANS :]:
            ident = f"ban {upstream}"
            if propose is not None and ident not in under_way:
                propose(entries.Out(ident, upstream), ident, after)
            out += [
                SendToMember(name, messages.Told(upstream, after), Carrier.DATAGRAM)
                for name, (state, _) in self.members.items()
                if name != self.name and state not in GONE
            ]
            self.at = now + self._again_ms
        return out

    def member(self, now: float, event: MemberChanged) -> list[Any]:
        before = self.members.get(event.name)
        if before is None and len(self.members) >= self._most_members:
            return []
        self.members[event.name] = (event.state, event.process_epoch)
        new = before is None or before[0] in GONE or before[1] != event.process_epoch
        if event.name == self.name or event.state in GONE or not new:
            return []
        since, many = self._exchanged if now - self._exchanged[0] < SPAN_MS else (now, 0)
        if many >= EXCHANGES:
            return []
        self._exchanged = (since, many + 1)
        return [SendToMember(event.name, messages.Bans(self._all(), True))]

    def exchanged(self, sender: str, bans: messages.Bans) -> list[Any]:
        if len(bans.bans) > self._most:
            self._count("too many bans")
            return []
        out = self.heard(bans.bans)
        if bans.wanted:
            out.append(SendToMember(sender, messages.Bans(self._all())))
        return out

    def _all(self) -> tuple[tuple[str, int], ...]:
        return tuple(self.book.told.items())

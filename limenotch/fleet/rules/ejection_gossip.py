"""Distributes ejections between sidecars until a version of the rules contains them.

| when | what is sent |
| --- | --- |
| an ejection is requested here; again each lease's time until it is in the log | to all members and to the log |
| a lease request or a grant is sent | the latest ejections go along with it |
| a member appears or returns: by its start, a healed partition, a fence | all ejections, with a request for its |

The last is for a sidecar that joins: membership has reported other members to it, and with the first three of them it
exchanges all ejections by stream, before a lease allows it more than the restricted rules. Both sides request an
exchange, and either of the two suffices.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..interfaces import Carrier, LogLine, MemberChanged, SendToMember
from . import entries, messages
from .versioned_rules import VersionedRules

DEPARTED_STATES = frozenset({"dead", "left"})
NEVER = float("inf")
MAX_EXCHANGES, EXCHANGE_WINDOW_MS = 3, 1000.0  # at most so many exchanges with new members in one window


class EjectionGossip:
    """The ejections that this sidecar has to pass on, and the members that it passes them to."""

    def __init__(
        self,
        name: str,
        rules: VersionedRules,
        max_ejections: int,
        max_members: int,
        repeat_ms: float,
        count: Callable[[str], None],
    ) -> None:
        self.name, self.rules, self._max_ejections, self._max_members = name, rules, max_ejections, max_members
        self._repeat_ms, self._count = repeat_ms, count
        self.members: dict[str, tuple[str, int]] = {}  # state and process epoch
        self.repeat_at_ms = NEVER
        self._recent_exchanges = (-NEVER, 0)  # start of the window, count

    def reachable(self, names: Iterable[str]) -> list[str]:
        """Of these members those that are not considered dead, this sidecar excluded."""
        return [name for name in names if name != self.name and self.members.get(name, ("",))[0] not in DEPARTED_STATES]

    def piggybacked(self) -> tuple[tuple[str, int], ...]:
        """The latest pending ejections, to go along with a lease request or grant."""
        return tuple(list(self.rules.pending_ejections.items())[-messages.MAX_PIGGYBACKED_EJECTIONS :])

    def received(self, ejections: tuple[tuple[str, int], ...]) -> list[Any]:
        """Ejections from any member take effect at once.

        They are ignored if a version contains them, or if a version later than the reporter's readmitted the endpoint.
        """
        actions: list[Any] = []
        for endpoint, known_version in ejections:
            if len(endpoint) > messages.MAX_NAME_LENGTH or known_version < 0:
                self._count("bad ban")
                continue
            entry = self.rules.flat(self.rules.newest).get(("bans", endpoint), (False, 0.0))
            if entry[0] or known_version < self.rules.readmitted_in(endpoint):
                continue
            if self.rules.add_pending_ejection(endpoint, known_version, self._max_ejections):
                actions.append(LogLine(f"heard ban {endpoint}"))
        return actions

    def spread(
        self, now: float, proposed_ids: set[str], propose: Callable[[entries.Entry, str, int], None] | None
    ) -> list[Any]:
        """Send the ejections not yet agreed on again, to all members and to the log if there is a leader."""
        self.repeat_at_ms = NEVER
        actions: list[Any] = []
        for endpoint, known_version in list(self.rules.pending_ejections.items())[
            -messages.MAX_PIGGYBACKED_EJECTIONS :
        ]:
            ident = f"ban {endpoint}"
            if propose is not None and ident not in proposed_ids:
                propose(entries.Out(ident, endpoint), ident, known_version)
            actions += [
                SendToMember(name, messages.EjectionNotice(endpoint, known_version), Carrier.DATAGRAM)
                for name, (state, _) in self.members.items()
                if name != self.name and state not in DEPARTED_STATES
            ]
            self.repeat_at_ms = now + self._repeat_ms
        return actions

    def member_changed(self, now: float, event: MemberChanged) -> list[Any]:
        """Exchange ejections with a member that is new here."""
        previous = self.members.get(event.name)
        if previous is None and len(self.members) >= self._max_members:
            return []
        self.members[event.name] = (event.state, event.process_epoch)
        is_new = previous is None or previous[0] in DEPARTED_STATES or previous[1] != event.process_epoch
        if event.name == self.name or event.state in DEPARTED_STATES or not is_new:
            return []
        window_start_ms, count = (
            self._recent_exchanges if now - self._recent_exchanges[0] < EXCHANGE_WINDOW_MS else (now, 0)
        )
        if count >= MAX_EXCHANGES:
            return []
        self._recent_exchanges = (window_start_ms, count + 1)
        return [SendToMember(event.name, messages.EjectionExchange(self._all_pending(), True))]

    def exchange_received(self, sender: str, exchange: messages.EjectionExchange) -> list[Any]:
        if len(exchange.ejections) > self._max_ejections:
            self._count("too many bans")
            return []
        actions = self.received(exchange.ejections)
        if exchange.reply_requested:
            actions.append(SendToMember(sender, messages.EjectionExchange(self._all_pending())))
        return actions

    def _all_pending(self) -> tuple[tuple[str, int], ...]:
        return tuple(self.rules.pending_ejections.items())

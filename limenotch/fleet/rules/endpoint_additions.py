"""New endpoints by agreement: a log entry names one when a quorum of voters has it from the same directory.

| who | does |
| --- | --- |
| a voter whose directory answers | reports to the leader each REPORT_INTERVAL_MS how it differs from what was agreed |
| the leader | proposes what more than half of the voters reported lately, each the same of the same directory |
| a sidecar whose directory is silent | uses what was agreed on of that directory, besides its own last list |

So no sidecar takes an endpoint from a single peer. While its directory answers, only that adds endpoints. A departure
is agreed on in the same way, which only cleans up: departures apply as soon as a peer reports them (drain_notices.py).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..consensus import api as log
from ..interfaces import SendToMember
from .endpoint_list_messages import (
    MAX_REPORT_ENTRIES,
    AgreedChange,
    AgreedState,
    DifferenceReport,
    ListedEndpoint,
    decode_change,
    decode_state,
    encode,
)

REPORT_INTERVAL_MS = 1000.0
VOTE_LIFETIME_MS = 2.5 * REPORT_INTERVAL_MS
NEVER = float("inf")
VoteKey = tuple[str, str, "ListedEndpoint | None"]  # directory, name and endpoint; None: it is gone


class EndpointAdditions:
    """The endpoints agreed on, and at the leader the voters' reports."""

    def __init__(self, name: str, voters: tuple[str, ...], max_endpoints: int, state: bytes | None = None) -> None:
        """Raises msgspec.DecodeError on a state that can't be read."""
        self.name, self.voters, self._max_endpoints = name, voters, max_endpoints
        self.agreed: dict[str, tuple[str, ListedEndpoint]] = decode_state(state).agreed if state is not None else {}
        self.leader: str | None = None
        self.report_at_ms = NEVER
        self.counts: dict[str, int] = {}
        self._votes: dict[VoteKey, dict[str, float]] = {}
        self._ticket = 0
        self._proposed: dict[int, list[VoteKey]] = {}

    # The log

    def apply(self, event: log.EntryCommitted) -> None:
        change = decode_change(event.data)
        if change is None:
            self._count("no entry of lists")
            return
        for endpoint in change.ready:
            if endpoint.name in self.agreed or len(self.agreed) < self._max_endpoints:
                self.agreed[endpoint.name] = (change.directory, endpoint)
        for name in change.gone:
            if self.agreed.get(name, ("",))[0] == change.directory:
                del self.agreed[name]

    def install(self, state: bytes) -> None:
        self.agreed = decode_state(state).agreed

    def state(self) -> bytes:
        return encode(AgreedState(self.agreed))

    def leader_changed(self, now: float, leader: str | None) -> None:
        self.leader = leader
        self._votes.clear()
        self._proposed.clear()
        self.report_at_ms = now

    def voters_changed(self, now: float, voters: tuple[str, ...]) -> None:
        """This sidecar may be a voter only now: its directory's differences are reported again."""
        self.voters, self.report_at_ms = voters, now

    def proposal_ended(self, ticket: int) -> None:
        self._proposed.pop(ticket, None)

    # At a voter

    def report(self, now: float, directory: str, ready: dict[str, ListedEndpoint]) -> list[Any]:
        """How this sidecar's own directory, which answers, differs from what was agreed on."""
        self.report_at_ms = NEVER
        if self.leader is None or self.name not in self.voters:
            return []
        added = [endpoint for name, endpoint in ready.items() if self.agreed.get(name) != (directory, endpoint)]
        gone = [name for name, (source, _) in self.agreed.items() if source == directory and name not in ready]
        if not added and not gone:
            return []
        self.report_at_ms = now + REPORT_INTERVAL_MS
        actions: list[Any] = []
        for start in range(0, max(len(added), len(gone)), MAX_REPORT_ENTRIES):
            difference = DifferenceReport(
                directory,
                tuple(added[start : start + MAX_REPORT_ENTRIES]),
                tuple(gone[start : start + MAX_REPORT_ENTRIES]),
            )
            if self.leader == self.name:
                self.report_received(now, self.name, difference)
            else:
                actions.append(SendToMember(self.leader, difference))
        return actions

    # At the leader

    def report_received(self, now: float, voter: str, report: DifferenceReport) -> None:
        """Count a voter's report."""
        if self.leader != self.name or voter not in self.voters:
            return
        if len(report.ready) > MAX_REPORT_ENTRIES or len(report.gone) > MAX_REPORT_ENTRIES:
            self._count("too many entries")
            return
        keys: list[VoteKey] = [(report.directory, endpoint.name, endpoint) for endpoint in report.ready]
        keys += [(report.directory, name, None) for name in report.gone]
        for key in keys:
            if key in self._votes or len(self._votes) < self._max_endpoints:
                self._votes.setdefault(key, {})[voter] = now

    def propose(self, now: float) -> list[Any]:
        """Propose what a quorum of voters has reported lately."""
        if self.leader != self.name or not self._votes:
            return []
        required = len(self.voters) // 2 + 1
        proposed = {key for keys in self._proposed.values() for key in keys}
        ready_by_directory: dict[str, list[VoteKey]] = {}
        for key, votes in list(self._votes.items()):
            for voter in [
                voter for voter, at in votes.items() if now - at > VOTE_LIFETIME_MS or voter not in self.voters
            ]:
                del votes[voter]
            directory, name, endpoint = key
            agreed = self.agreed.get(name)
            if not votes or (agreed == (directory, endpoint) if endpoint is not None else agreed is None):
                del self._votes[key]  # no voter reports it any more, or it is agreed on
            elif len(votes) >= required and key not in proposed:
                ready_by_directory.setdefault(directory, []).append(key)
        actions: list[Any] = []
        for directory, keys in ready_by_directory.items():
            for at in range(0, len(keys), MAX_REPORT_ENTRIES):
                chunk = keys[at : at + MAX_REPORT_ENTRIES]
                self._ticket += 1
                self._proposed[self._ticket] = chunk
                entry = AgreedChange(
                    directory,
                    tuple(endpoint for _, _, endpoint in chunk if endpoint is not None),
                    tuple(name for _, name, endpoint in chunk if endpoint is None),
                )
                actions.append(log.Propose(self._ticket, encode(entry), ""))
        return actions

    def missing(self, directory: str, is_listed: Callable[[str], bool]) -> tuple[ListedEndpoint, ...]:
        """The endpoints agreed on of this directory that are not in this sidecar's own list."""
        return tuple(
            endpoint for name, (source, endpoint) in self.agreed.items() if source == directory and not is_listed(name)
        )

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

"""The endpoint list as a component: peers' notices restrict at once, new endpoints are added by agreement.

| own directory | where new endpoints come from | where drains come from |
| --- | --- | --- |
| answers | the own directory alone | the own directory, and every peer's notices (drain_notices.py) |
| silent | the agreed list of that directory (endpoint_additions.py) | its last list, and every peer's notices |

A sidecar reports each endpoint that its own directory lists as draining or gone, by datagram to all members, at once
and NOTICE_REPEATS times more. It does the same when the directory lists a reported endpoint as ready again.
A sidecar that joins, or comes back after a network partition, requests complete notices from a few members; while its
directory is silent, it requests them from one member after another. If two directories disagree, a drain of either
applies, and an addition applies to the directory that listed it.

Source: docs/fleet/rules-design.md, "Lists".
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..consensus import api as log
from ..interfaces import Carrier, LogLine, SendToMember, SetTimer
from .api import VotersChanged
from .drain_notices import PeerDrains
from .endpoint_additions import NEVER, EndpointAdditions
from .endpoint_list_messages import (
    DATAGRAM_NAME_BYTES,
    MAX_NAME_BYTES,
    MAX_NOTICE_ENTRIES,
    READY,
    STAGES,
    AgreedEndpointsChanged,
    DifferenceReport,
    DirectoryListed,
    DirectorySilent,
    ListedEndpoint,
    NoticeRequest,
    PeerDrainsChanged,
    StageNotice,
)

NOTICE_REPEATS, NOTICE_INTERVAL_MS = 3, 300.0  # a notice by datagram is sent so many more times
MAX_PULLS, PULL_WINDOW_MS = 3, 1000.0  # at most so many new members are sent a NoticeRequest in one window
SILENT_PULL_INTERVAL_MS = 500.0  # between two requests while the own directory is silent
MAX_GONE = 1000  # endpoints that are gone and still reported on request; the oldest are dropped first


class EndpointLists:
    """The endpoint list component.

    `directory`: the address of this sidecar's own, as HOST:PORT. At most `max_endpoints` endpoints are remembered.
    """

    def __init__(
        self,
        name: str,
        process_epoch: int,
        directory: str,
        voters: tuple[str, ...] = (),
        max_endpoints: int = 10_000,
        state: bytes | None = None,
    ) -> None:
        """`state`: of the log's snapshot found at the start. Raises msgspec.DecodeError if it can't be read."""
        self.name, self.process_epoch, self.directory, self._limit = name, process_epoch, directory, max_endpoints
        self.index, self.live = -1, False
        self.silent = False  # the directory's watch has ended; at the start both `live` and `silent` are False
        self.stages: dict[str, str] = {}  # by name: the stage listed last; at most MAX_GONE of them are gone
        self.ready: dict[str, ListedEndpoint] = {}
        self.drains, self.additions = PeerDrains(max_endpoints), EndpointAdditions(name, voters, max_endpoints, state)
        self.runs = 0  # new runs of the directory observed
        self._serial = 0
        self._unsent: dict[str, int] = {}  # by name: how many more times to send its stage
        self._reported_restricted: set[str] = set()  # reported to peers as draining or gone, not as ready since
        self._send_at_ms = NEVER
        self._live_repeats = 0  # how many more times to send `live`
        self._recent_pulls = (0.0, 0)  # start of the window, count
        self._pull_at_ms = NEVER
        self._pull_turn = 0
        self._timer_at_ms = NEVER
        self._peer_restrictions: dict[str, str] = {}
        self._agreed_missing: tuple[ListedEndpoint, ...] = ()
        self._now = 0.0
        self._actions: list[Any] = []
        self._events: dict[type, Callable[[Any], None]] = {
            DirectoryListed: self._directory_listed,
            DirectorySilent: self._directory_silent,
            interfaces.MessageReceived: self._message_received,
            interfaces.MemberChanged: self._member_changed,
            interfaces.TimerFired: self._timer_fired,
            VotersChanged: lambda event: self.additions.voters_changed(self._now, event.names),
            log.EntryCommitted: lambda event: self.additions.apply(event),
            log.SnapshotInstalled: lambda event: self.additions.install(event.state),
            log.LeaderChanged: lambda event: self.additions.leader_changed(self._now, event.name),
            log.ProposalCommitted: lambda event: self.additions.proposal_ended(event.ticket),
            log.ProposalRejected: lambda event: self.additions.proposal_ended(event.ticket),
            log.OutcomeUnknown: lambda event: self.additions.proposal_ended(event.ticket),
            **dict.fromkeys((interfaces.Started, interfaces.ShutdownStarted, interfaces.Fenced), lambda event: None),
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        handler = self._events.get(type(event))
        if handler is None:
            raise TypeError(f"no event of lists: {event!r}")
        self._now, self._actions = now, []
        handler(event)
        if now >= self._send_at_ms:
            self._send_notices()
        if now >= self.additions.report_at_ms and self.live:
            self._actions += self.additions.report(now, self.directory, self.ready)
        if now >= self._pull_at_ms:
            self._request_notice()
        self._actions += self.additions.propose(now)
        self._report_changes()
        self._arm_timer()
        return self._actions

    def state(self) -> bytes:
        return self.additions.state()

    @property
    def counts(self) -> dict[str, int]:
        return {**self.drains.counts, **self.additions.counts}

    def status(self) -> dict[str, Any]:
        return {
            "directory": self.directory,
            "index": self.index,
            "live": self.live,
            "runs": self.runs,
            "drained_by_peers": len(self._peer_restrictions),
            "arrived_by_agreement": len(self._agreed_missing),
            "agreed": len(self.additions.agreed),
            "counts": self.counts,
        }

    # The own directory

    def _directory_listed(self, event: DirectoryListed) -> None:
        if event.directory != self.directory:
            self._change_directory(event.directory)
        if event.index < self.index:
            if not event.complete:
                self._count("changes of an earlier index")
                return
            self.runs += 1
            self.drains.directory_restarted(self.directory)
            self._actions.append(LogLine("directory begun anew"))
        if not self.live:
            self.live, self._live_repeats = True, NOTICE_REPEATS + 1
        self.silent, self.index, self._pull_at_ms = False, event.index, NEVER
        reported = {name: stage for name, stage in event.stages.items() if not _is_too_long(name) and stage in STAGES}
        previous = dict(self.stages)
        if event.complete:
            reported = {**{name: "gone" for name in previous if name not in reported}, **reported}
            self.ready = {}
        self.stages.update(reported)
        self.ready.update({endpoint.name: endpoint for endpoint in event.ready if endpoint.name in reported})
        for name, stage in reported.items():
            if stage != READY:
                self.ready.pop(name, None)
            # An endpoint counts as gone only if this directory listed it before: one that it never listed may be in
            # the list of another directory.
            # Worse: the stage is more restrictive than the one listed before. Better: it is ready again, after this
            # sidecar reported it to peers as restricted. A worse stage is not sent if enough peers have reported the
            # same stage, or a more restrictive one, from the same directory.
            is_worse = STAGES.index(stage) > STAGES.index(previous.get(name, READY))
            is_better = stage == READY and name in self._reported_restricted
            if is_better or is_worse and not self.drains.is_widely_reported(name, self.directory, stage):
                self._unsent[name] = NOTICE_REPEATS + 1
                (self._reported_restricted.discard if is_better else self._reported_restricted.add)(name)
        self._drop_excess()
        self.drains.list_received(
            self.directory,
            self.index,
            {name for name, stage in reported.items() if stage == READY},
            event.requested_at_ms if event.complete else -NEVER,
        )
        if self._unsent or self._live_repeats:
            self._send_at_ms = self._now
        self.additions.report_at_ms = self._now

    def _own_stage(self, name: str) -> str:
        return self.stages.get(name, READY)

    def _drop_excess(self) -> None:
        """Remove the oldest endpoints that are gone, and endpoints above the limit."""
        gone = [name for name, stage in self.stages.items() if stage == "gone"]
        for name in gone[: max(0, len(gone) - MAX_GONE)]:
            del self.stages[name]
            self._reported_restricted.discard(name)
        for name in list(self.stages)[self._limit :]:
            del self.stages[name]
            self.ready.pop(name, None)
            self._count("list too long")

    def _directory_silent(self, event: DirectorySilent) -> None:
        if event.directory != self.directory:
            self._change_directory(event.directory)
        if not self.silent:
            self._actions.append(LogLine("directory silent"))
            self._pull_at_ms = self._now
        if self.live:
            self._live_repeats, self._send_at_ms = NOTICE_REPEATS + 1, self._now
        self.live, self.silent = False, True

    def _change_directory(self, directory: str) -> None:
        """What was reported by the old directory's list is taken back.

        Restrictions by the new directory are reported when it lists them.
        """
        self.directory, self.index, self.stages, self.ready = directory, -1, {}, {}
        self._unsent.update(dict.fromkeys(self._reported_restricted, NOTICE_REPEATS + 1))
        self._reported_restricted.clear()
        if self._unsent:
            self._send_at_ms = self._now

    # To peers

    def _peers(self) -> list[str]:
        return [
            name for name, peer in self.drains.peers.items() if name != self.name and peer.state in ("alive", "suspect")
        ]

    def _send_notices(self) -> None:
        """Send the endpoints whose stage changed, with their current stage, to all members."""
        stages = [(name, self.stages.get(name, READY)) for name in self._unsent]
        if stages or self._live_repeats:
            for notice in self._notices(stages):
                self._actions += [SendToMember(peer, notice, Carrier.DATAGRAM) for peer in self._peers()]
        self._unsent = {name: remaining - 1 for name, remaining in self._unsent.items() if remaining > 1}
        self._live_repeats = max(0, self._live_repeats - 1)
        self._send_at_ms = self._now + NOTICE_INTERVAL_MS if self._unsent or self._live_repeats else NEVER

    def _notices(self, stages: list[tuple[str, str]]) -> list[StageNotice]:
        """Notices that fit a datagram each."""
        self._serial += 1
        chunks: list[list[tuple[str, str]]] = [[]]
        available_bytes = DATAGRAM_NAME_BYTES
        for entry in stages:
            available_bytes -= len(entry[0].encode()) + len(entry[1]) + 4
            if available_bytes < 0:
                chunks.append([])
                available_bytes = DATAGRAM_NAME_BYTES
            chunks[-1].append(entry)
        return [
            StageNotice(self.process_epoch, self.directory, self.index, self._serial, self.live, tuple(chunk))
            for chunk in chunks
        ]

    def _send_complete_notice(self, sender: str) -> None:
        """Everything that the own directory restricts, to a member that requested it."""
        restricted = [(name, stage) for name, stage in self.stages.items() if stage != READY]
        # Those that drain first: a sidecar that does not know may still send requests there.
        restricted.sort(key=lambda entry: STAGES.index(entry[1]))
        del restricted[MAX_NOTICE_ENTRIES:]
        self._reported_restricted.update(name for name, _ in restricted)
        self._serial += 1
        notice = StageNotice(
            self.process_epoch, self.directory, self.index, self._serial, self.live, tuple(restricted), True
        )
        self._actions.append(SendToMember(sender, notice))

    # From peers

    def _member_changed(self, event: interfaces.MemberChanged) -> None:
        if self.drains.member_changed(event.name, event.state, event.process_epoch) and event.name != self.name:
            window_start_ms, count = (
                self._recent_pulls if self._now - self._recent_pulls[0] < PULL_WINDOW_MS else (self._now, 0)
            )
            if count < MAX_PULLS:
                self._recent_pulls = (window_start_ms, count + 1)
                self._actions.append(SendToMember(event.name, NoticeRequest()))

    def _request_notice(self) -> None:
        """Request a complete notice from the next member."""
        peers = self._peers()
        if peers:
            self._pull_turn += 1
            self._actions.append(SendToMember(peers[self._pull_turn % len(peers)], NoticeRequest()))
        self._pull_at_ms = self._now + SILENT_PULL_INTERVAL_MS

    def _message_received(self, event: interfaces.MessageReceived) -> None:
        message, sender = event.message, event.sender
        if isinstance(message, StageNotice):
            if len(message.stages) > MAX_NOTICE_ENTRIES or any(_is_too_long(name) for name, _ in message.stages):
                self._count("bad word")
            elif sender != self.name:
                # `_own_stage` is passed on only if the own directory answers, is the one of the notice, and has
                # reported at least the notice's index. Otherwise the own list proves nothing about the notice: the
                # callback returns READY, and each drain of the notice is kept.
                is_up_to_date = self.live and message.directory == self.directory and message.index <= self.index
                self.drains.notice_received(
                    self._now, sender, message, self._own_stage if is_up_to_date else lambda name: READY
                )
        elif isinstance(message, NoticeRequest):
            self._send_complete_notice(sender)
        elif isinstance(message, DifferenceReport):
            self.additions.report_received(self._now, sender, message)
        else:
            self._count("no message of lists")

    # To the host

    def _report_changes(self) -> None:
        """Report to the host what peers' notices and agreements changed."""
        restrictions = self.drains.restrictions()
        if restrictions != self._peer_restrictions:
            for name in sorted(restrictions.keys() | self._peer_restrictions.keys()):
                if restrictions.get(name) != self._peer_restrictions.get(name):
                    self._actions.append(LogLine(f"heard {name} {restrictions.get(name, 'free')}"))
            self._peer_restrictions = restrictions
            self._actions.append(PeerDrainsChanged(dict(restrictions)))
        missing: tuple[ListedEndpoint, ...] = ()
        if self.silent:
            missing = self.additions.missing(self.directory, lambda name: name in self.stages)
        if missing != self._agreed_missing:
            added = {endpoint.name for endpoint in missing} - {endpoint.name for endpoint in self._agreed_missing}
            self._actions += [LogLine(f"uses {name} as agreed") for name in sorted(added)]
            self._agreed_missing = missing
            self._actions.append(AgreedEndpointsChanged(missing))

    def _timer_fired(self, event: interfaces.TimerFired) -> None:
        if self._now >= self._timer_at_ms:
            self._timer_at_ms = NEVER

    def _arm_timer(self) -> None:
        due_at_ms = min(self._send_at_ms, self._pull_at_ms, self.additions.report_at_ms if self.live else NEVER)
        if due_at_ms < self._timer_at_ms:
            self._timer_at_ms = due_at_ms
            self._actions.append(SetTimer(due_at_ms, 1))

    def _count(self, reason: str) -> None:
        self.drains.counts[reason] = self.drains.counts.get(reason, 0) + 1


def _is_too_long(name: str) -> bool:
    return len(name.encode()) > MAX_NAME_BYTES

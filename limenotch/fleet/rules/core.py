"""The rules component: versions in the order of the log, leases, changes and ejections.

Without a lease, the restricted rules are in force (or all requests are rejected); under a lease, until it expires, a
fence or the process's end, the narrowest of the active and all newer versions received.

- A restriction takes effect in the event that reports it: each change of what is in force is one RulesInForce.
- The leader grants leases only after the log has confirmed that it leads (ReadIndex), to sidecars with the newest
  version and activation: once a version is agreed on, no lease without it outlives lease_ms x (1 + drift).
- `Activate n` is proposed once every lease on record is of a holder of n; by a new leader, after one lease's time.
- An ejection takes effect where it is received, and is passed on until a version contains it.
- Without a leader or any message, nothing happens but that leases expire. Source: docs/fleet/rules-design.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..consensus import api as log
from ..interfaces import Carrier, LogLine, SendToMember, SetTimer
from ..leases import NEVER
from . import entries, messages
from .api import OperatorRequest, OperatorResponse, RequestsCounted, RestrictedRules, RulesInForce, VotersChanged
from .canary import CanaryMonitor
from .changes import ChangeCoordinator, DocumentCheck, endpoint_of, number_of, proposal_of
from .document import Document
from .ejection_gossip import EjectionGossip
from .leases import RulesLease, RulesLeaseGranter
from .tuning import Tuning
from .versioned_rules import VersionedRules


class Rules:
    """The rules component. `first` is version 1, the same for the whole group; `state` is from the log's snapshot."""

    def __init__(
        self,
        name: str,
        process_epoch: int,
        voters: tuple[str, ...],
        first: Document,
        check: DocumentCheck,
        tuning: Tuning | None = None,
        state: bytes | None = None,
    ) -> None:
        """Raises ValueError on an invalid first document or state."""
        self.name, self.process_epoch, self.tuning = name, process_epoch, tuning or Tuning()
        self.rules = VersionedRules(first, self.tuning.most_versions, self.tuning.most_document_bytes)
        if state is not None:
            self.rules.install(state)
        self.lease, self.granter = RulesLease(self.tuning), RulesLeaseGranter(self.tuning)
        self.canary_monitor = CanaryMonitor(self.tuning.canary)
        self.leader: str | None = None
        self.term = 0
        self.counts: dict[str, int] = {}
        self.gossip = EjectionGossip(
            name, self.rules, self.tuning.most_bans, self.tuning.most_holders, self.tuning.lease_ms, self._count
        )
        self._actions: list[Any] = []
        self._now = -NEVER
        self._timer_at_ms = NEVER
        self._ticket = 0
        self._tickets: dict[int, tuple[str, str]] = {}  # by ticket: the kind of entry, its id
        self._lease_requests: dict[tuple[str, int], messages.LeaseRequest] = {}  # until the log confirms that it leads
        self._reads: dict[int, tuple[int, dict[tuple[str, int], messages.LeaseRequest]]] = {}  # by ticket, with term
        self._request_at_ms = NEVER
        self._activating = 0
        self._activate_at_ms = -NEVER
        self._in_force: tuple[Document, Document] | None = None  # document and restricted one; None: to be computed
        self._last_reported: tuple[Document, Document] | None = None
        self._revision = 0  # counts the changes of `_last_reported`
        self._reported_state: tuple[int, int, float, int, int] | None = None
        self._reported_leased = False
        self._logged_active = 0
        self._started = False
        self.changes = ChangeCoordinator(
            name, self.rules, check, self.tuning, self.gossip.reachable, tuple(voters), self._propose
        )
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: lambda event: setattr(self, "_started", True),
            interfaces.MessageReceived: self._message_received,
            interfaces.TimerFired: self._timer_fired,
            interfaces.ShutdownStarted: lambda event: None,
            interfaces.MemberChanged: self._member_changed,
            interfaces.Fenced: lambda event: self._fence(),
            OperatorRequest: self._operator_request,
            RequestsCounted: self._requests_counted,
            VotersChanged: lambda event: setattr(self.changes, "voters", event.names),
            log.EntryCommitted: self._entry_committed,
            log.SnapshotInstalled: self._snapshot_installed,
            log.LeaderChanged: self._leader_changed,
            log.ProposalCommitted: lambda event: self._proposal_ended(event.ticket, None),
            log.ProposalRejected: lambda event: self._proposal_ended(event.ticket, event.why),
            log.OutcomeUnknown: lambda event: self._proposal_ended(event.ticket, "unknown"),
            log.ReadReady: self._read_ready,
        }
        self._messages: dict[type, Callable[[str, Any], None]] = {
            messages.LeaseRequest: self._lease_requested,
            messages.LeaseGrant: self._grant_received,
            messages.StaleVersion: lambda sender, stale: self._count("behind"),  # retried once the version is applied
            messages.EjectionNotice: lambda sender, notice: self._ejections_received(
                self.gossip.received(((notice.endpoint, notice.known_version),))
            ),
            messages.EjectionExchange: lambda sender, exchange: self._ejections_received(
                self.gossip.exchange_received(sender, exchange)
            ),
            messages.ChangeProposal: lambda sender, change: self.changes.proposal_received(self._now, sender, change),
            messages.CheckRequest: self.changes.check_requested,
            messages.CheckResult: self.changes.check_answered,
            messages.CanaryCounts: self._count_canary,
            messages.ChangeRejected: lambda sender, msg: self.changes.respond(msg.id, False, msg.reason, msg.version),
        }

    @property
    def is_leader(self) -> bool:
        return self.leader == self.name

    def handle(self, now: float, event: Any) -> list[Any]:
        if now < self._now:
            raise ValueError(f"time runs back from {self._now} to {now}")
        handler = self._events.get(type(event))
        if handler is None:
            raise TypeError(f"no event of rules: {event!r}")
        self._now = now
        self._actions = self.changes.actions = []
        handler(event)
        self._tick()
        self._report_rules()
        self._arm_timer()
        return self._actions

    def _timer_fired(self, event: interfaces.TimerFired) -> None:
        if self._now >= self._timer_at_ms:
            self._timer_at_ms = NEVER

    def _message_received(self, event: interfaces.MessageReceived) -> None:
        handler = self._messages.get(type(event.message))
        if handler is None:
            self._count("no message of rules")
        else:
            handler(event.sender, event.message)

    def _member_changed(self, event: interfaces.MemberChanged) -> None:
        self._actions += self.gossip.member_changed(self._now, event)

    def _fence(self) -> None:
        self.lease.release()
        self._reads.clear()
        self._lease_requests.clear()
        self._request_at_ms = self._now

    # The log

    def _propose(self, entry: entries.Entry, ident: str, base: int) -> None:
        """The log counts an id, which contains the entry's class name, once; on another base it is another change."""
        self._ticket += 1
        self._tickets[self._ticket] = (type(entry).__name__, ident)
        entry_id = f"{type(entry).__name__} {ident} {base}" if ident else ""
        self._actions.append(log.Propose(self._ticket, entries.encode(entry), entry_id))

    def _proposal_ended(self, ticket: int, reason: str | None) -> None:
        kind, ident = self._tickets.pop(ticket, ("", ""))
        term, requests = self._reads.pop(ticket, (0, {}))
        if kind == "Activate":
            self._activating = 0
            self._activate_at_ms = self._now + self.tuning.lease_ms / 3  # not at once: a log that rejects it would loop
        elif kind in ("Put", "Try") and reason is not None and reason != "unknown":
            self.changes.proposal_rejected(ident, reason)

    def _entry_committed(self, event: log.EntryCommitted) -> None:
        entry = entries.decode(event.data)
        if entry is None:
            self._count("no entry of rules")
            return
        active, newest = self.rules.active, self.rules.newest
        applied = self.rules.apply(entry)
        self._in_force = None
        if self.rules.newest != newest:
            self._activate_at_ms = -NEVER
            self._actions.append(LogLine(f"holds {self.rules.newest}"))
        self.changes.entry_applied(applied)
        if applied.ok and isinstance(entry, (entries.Try, entries.EndTry)):
            outcome = "" if isinstance(entry, entries.Try) else " kept" if entry.keep else " back"
            self._actions.append(LogLine(f"canary {entry.id}{outcome}"))
        if self.rules.newest != newest or self.rules.active != active:
            self._request_at_ms = min(self._request_at_ms, self._now)

    def _snapshot_installed(self, event: log.SnapshotInstalled) -> None:
        self.rules.install(event.state)
        self._in_force = None
        self._actions.append(LogLine(f"holds {self.rules.newest}"))
        self._request_at_ms = min(self._request_at_ms, self._now)

    def state(self) -> bytes:
        """For the log's snapshot, as of exactly this moment."""
        return self.rules.state()

    def _leader_changed(self, event: log.LeaderChanged) -> None:
        if (event.name, event.term) == (self.leader, self.term):
            return
        self.leader, self.term = event.name, event.term
        self._lease_requests.clear()
        self._reads.clear()
        self.canary_monitor.reset()
        self._activating = 0
        self.changes.leadership_lost()
        self.changes.is_leader = self.is_leader
        if self.is_leader:
            self.granter.start_leadership(self._now)
        else:
            self.granter.end_leadership()
        self._request_at_ms = self._now if event.name is not None else NEVER

    # Leases, as a holder

    def _request_lease(self) -> None:
        if self.leader is None:
            self._request_at_ms = NEVER
            return
        lease = self.lease
        serial = lease.request(self._now)
        divisor = lease.divisor if lease.is_valid(self._now) else 0
        request = messages.LeaseRequest(
            serial,
            self.process_epoch,
            self.rules.newest,
            self.rules.active,
            divisor,
            lease.granted_serial,
            self.gossip.piggybacked(),
        )
        self._request_at_ms = self._now + self.tuning.lease_ms / 3
        if self.is_leader:
            self._lease_requested(self.name, request)
        else:
            self._actions.append(SendToMember(self.leader, request, Carrier.DATAGRAM))

    def _grant_received(self, sender: str, grant: messages.LeaseGrant) -> None:
        self._ejections_received(self.gossip.received(grant.ejections))
        if not self.lease.accept_grant(self._now, grant):
            self._count("late grant")

    # Leases, as the leader

    def _lease_requested(self, sender: str, request: messages.LeaseRequest) -> None:
        self._ejections_received(self.gossip.received(request.ejections))
        if not self.is_leader:
            return
        key = (sender, request.process_epoch)
        known = self._lease_requests.get(key)
        if len(self._lease_requests) < self.tuning.most_holders and (known is None or known.serial < request.serial):
            self._lease_requests[key] = request

    def _read_ready(self, event: log.ReadReady) -> None:
        term, requests = self._reads.pop(event.ticket, (0, {}))
        if not self.is_leader or term != self.term:
            return
        for (name, _), request in requests.items():
            self._grant(name, request)

    def _grant(self, name: str, request: messages.LeaseRequest) -> None:
        rules = self.rules
        response: messages.LeaseGrant | messages.StaleVersion | None = None
        if request.version == rules.newest and request.active == rules.active:
            grant = self.granter.grant(self._now, name, request, rules.newest)
            if grant is not None:
                response = messages.LeaseGrant(grant.serial, grant.lease_ms, grant.divisor, self.gossip.piggybacked())
        else:
            response = messages.StaleVersion(request.serial, rules.newest, rules.active)
        if name == self.name:
            if isinstance(response, messages.LeaseGrant):
                self._grant_received(name, response)
        elif response is not None:
            self._actions.append(SendToMember(name, response, Carrier.DATAGRAM))

    def _activate(self) -> None:
        rules = self.rules
        is_due = rules.newest > rules.active and self._now >= self._activate_at_ms
        if self.is_leader and not self._activating and is_due and self.granter.may_activate(rules.newest, self._now):
            self._activating = rules.newest
            self._propose(entries.Activate(rules.newest), "", rules.newest)

    # Ejections

    def _ejections_received(self, actions: list[Any]) -> None:
        """The actions that received ejections led to."""
        if any(isinstance(action, LogLine) for action in actions):
            self._in_force = None
        self._actions += actions

    def _spread_ejections(self) -> None:
        proposed = {ident for _, ident in self._tickets.values()}
        self._actions += self.gossip.spread(self._now, proposed, self._propose if self.leader is not None else None)

    # Operators

    def _operator_request(self, request: OperatorRequest) -> None:
        ident = request.id or f"{self.name}.{self.process_epoch}.{request.ticket}"
        try:
            if request.what == "ban":
                self._request_ejection(request, endpoint_of(request.document))
            elif request.what in ("propose", "back", "return"):
                proposal = proposal_of(request, ident, self.rules.newest, self.tuning.most_document_bytes)
                self.changes.submit(self._now, request, ident, proposal, self.leader)
            elif request.what == "diff":
                changed = self.rules.diff(number_of(request.document, "one"), number_of(request.document, "two"))
                self._respond(request, True, ", ".join(f"{key} {effect}" for key, effect in changed))
            elif request.what == "status":
                self._respond(request, True, "leased" if self.lease.is_valid(self._now) else "narrow")
            else:
                raise ValueError(f"{request.what}: none of propose, back, ban, return, diff, status")
        except ValueError as error:
            self._respond(request, False, str(error))

    def _respond(self, request: OperatorRequest, ok: bool, text: str) -> None:
        self._actions.append(OperatorResponse(request.ticket, ok, text, self.rules.newest))

    def _request_ejection(self, request: OperatorRequest, endpoint: str) -> None:
        entry = self.rules.flat(self.rules.newest).get(("bans", endpoint), (False, 0.0))
        if entry[0]:
            self._respond(request, True, "")
            return
        if self.rules.add_pending_ejection(endpoint, self.rules.newest, self.tuning.most_bans):
            self._in_force = None
        self.changes.submit(self._now, request, f"ban {endpoint}", None, self.leader)
        self._spread_ejections()

    def _requests_counted(self, event: RequestsCounted) -> None:
        if self.rules.trial is not None and self.leader is not None:
            counts = messages.CanaryCounts(self.rules.trial.id, event.requests, event.unsuccessful)
            if self.is_leader:
                self._count_canary(self.name, counts)
            else:
                self._actions.append(SendToMember(self.leader, counts, Carrier.DATAGRAM))

    def _count_canary(self, sender: str, counts: messages.CanaryCounts) -> None:
        trial = self.rules.trial
        if self.is_leader and trial is not None and trial.id == counts.id:
            verdict = self.canary_monitor.add_counts(
                self._now, trial.id, sender in trial.members, counts.requests, counts.unsuccessful
            )
            if verdict:
                self._actions.append(LogLine(f"canary {trial.id} ends: {verdict}", self.canary_monitor.log_fields()))
                self._propose(entries.EndTry(trial.id, verdict == "keep", verdict), "", 0)

    def _tick(self) -> None:
        now = self._now
        self.changes.tick(now)
        if now >= self._request_at_ms:
            self._request_lease()
        if now >= self.gossip.repeat_at_ms:
            self._spread_ejections()
        if self._lease_requests and len(self._reads) < 2:
            self._ticket += 1
            self._reads[self._ticket] = (self.term, self._lease_requests)
            self._lease_requests = {}
            self._actions.append(log.ReadIndex(self._ticket))
        self._activate()

    def _report_rules(self) -> None:
        """RulesInForce or RestrictedRules, if what is in force here is not what was reported last."""
        if not self._started:
            return
        rules, lease = self.rules, self.lease
        if self._in_force is None:
            pair = (rules.document_of(rules.in_force_at(self.name), True), rules.document_of(rules.restricted(), False))
            if self._last_reported is None or pair != self._last_reported:
                self._last_reported, self._revision = pair, self._revision + 1
            self._in_force = self._last_reported  # the same object if nothing changed: the host compares identity
        document, restricted = self._in_force
        leased = lease.is_valid(self._now)
        state = (self._revision, rules.newest, lease.expires_at_ms if leased else -NEVER, lease.divisor, rules.active)
        if state == self._reported_state:
            return
        self._reported_state = state
        if leased:
            self._actions.append(
                RulesInForce(document, lease.expires_at_ms, lease.divisor, restricted, rules.newest, rules.active)
            )
            if not self._reported_leased or self._logged_active != rules.active:
                self._actions.append(LogLine(f"rules {rules.active}", {"newest": rules.newest}))
        else:
            self._actions.append(RestrictedRules(restricted, self.tuning.without_lease == "refuse", rules.newest))
            if self._reported_leased or not self._logged_active:
                self._actions.append(LogLine("narrow"))
        self._reported_leased, self._logged_active = leased, rules.active

    def _arm_timer(self) -> None:
        due = min(self._request_at_ms, self.gossip.repeat_at_ms, self.changes.next_deadline_ms())
        if self.lease.is_valid(self._now):
            due = min(due, self.lease.expires_at_ms)
        if self.is_leader and not self._activating and self.rules.newest > self.rules.active:
            due = min(due, max(self._now, self._activate_at_ms, self.granter.due_at_ms(self.rules.newest, self._now)))
        if due < self._timer_at_ms:
            self._timer_at_ms = due
            self._actions.append(SetTimer(due, 1))

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

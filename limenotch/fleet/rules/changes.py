"""Operators' changes from the request at any sidecar to the log, checked by the leader and the voters.

1. The sidecar that gets the request sends it to the leader (`ChangeProposal`), or is the leader. It responds to its
   operator itself, once it applies the entry from the log: so the response does not depend on the leader's survival.
   Without an outcome in `ask_ms` the response is `unknown`, and the operator may repeat it with the same id.
2. The leader merges the change over its base and checks the complete document; then every reachable voter does
   (`CheckRequest`, `CheckResult`). A quorum must have checked it without an objection; a voter that does not answer in
   `check_ms` counts as unreachable.
3. The leader proposes it to the log. Two changes of one base are both proposed: the order of the log decides which wins
   (versioned_rules.py).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..interfaces import SendToMember
from . import change_classification, entries
from . import document as doc
from .api import OperatorRequest, OperatorResponse
from .document import Document
from .messages import MAX_NAME_LENGTH, ChangeProposal, ChangeRejected, CheckRequest, CheckResult
from .tuning import Tuning
from .versioned_rules import AppliedEntry, VersionedRules

DocumentCheck = Callable[[Document], "str | None"]


@dataclass(slots=True)
class PendingRequest:
    """An operator's request at this sidecar whose outcome is not known yet."""

    ticket: int
    expires_at_ms: float
    id: str


@dataclass(slots=True)
class PendingCheck:
    """The voters' check of a proposal, at the leader."""

    sender: str
    proposal: ChangeProposal
    document: bytes
    expires_at_ms: float
    awaited: set[str]
    required: int
    approvals: int = 1  # the leader


@dataclass(slots=True)
class ChangeCoordinator:
    """The requests of this sidecar's operators, and the checks under way if it is the leader."""

    name: str
    rules: VersionedRules
    check: DocumentCheck
    tuning: Tuning
    reachable: Callable[[Iterable[str]], list[str]]  # of these members those not considered dead, this sidecar excluded
    voters: tuple[str, ...]
    propose: Callable[[entries.Entry, str, int], None]
    actions: list[Any] = field(default_factory=list)
    is_leader: bool = False
    requests: dict[str, PendingRequest] = field(default_factory=dict)  # by id
    checks: dict[str, PendingCheck] = field(default_factory=dict)

    # At the sidecar that gets an operator's request

    def submit(
        self, now: float, request: OperatorRequest, ident: str, proposal: ChangeProposal | None, leader: str | None
    ) -> None:
        """Register an operator's request; without `proposal` (an ejection) the caller sends the entry."""
        if len(self.requests) >= self.tuning.most_asks or ident in self.requests:
            reason = "asked already" if ident in self.requests else "too many changes are under way"
            self.actions.append(OperatorResponse(request.ticket, False, reason, self.rules.newest))
            return
        known_version = next((version.number for version in self.rules.by_number.values() if version.id == ident), 0)
        if known_version:
            self.actions.append(OperatorResponse(request.ticket, True, "", known_version))
            return
        if proposal is not None and leader is None:
            self.actions.append(OperatorResponse(request.ticket, False, "no leader in reach", self.rules.newest))
            return
        self.requests[ident] = PendingRequest(request.ticket, now + self.tuning.ask_ms, ident)
        if proposal is None or leader is None:
            return
        if leader == self.name:
            self.proposal_received(now, self.name, proposal)
        else:
            self.actions.append(SendToMember(leader, proposal))

    def respond(self, ident: str, ok: bool, text: str, version: int) -> None:
        """Respond to the operator's request `ident`, if it was made at this sidecar."""
        request = self.requests.pop(ident, None)
        if request is not None:
            self.actions.append(OperatorResponse(request.ticket, ok, text, version))

    def entry_applied(self, applied: AppliedEntry) -> None:
        if applied.id:
            self.respond(applied.id, applied.ok, applied.text, applied.version)

    # At the leader

    def proposal_received(self, now: float, sender: str, proposal: ChangeProposal) -> None:
        """Check a proposal here and at every reachable voter."""
        if not self.is_leader:
            self._reject(sender, proposal.id, "no leader here")
            return
        if len(self.checks) >= self.tuning.most_asks or proposal.id in self.checks:
            return
        try:
            document = self._complete_document(proposal)
            reason = self.rules.rejection_reason(proposal.base, document) or self.document_error(document)
            if reason is None and proposal.canary_members:
                reason = change_classification.canary_rejection(
                    self.rules.flat(self.rules.newest), doc.flatten(document)
                )
        except ValueError as error:
            self._reject(sender, proposal.id, str(error))
            return
        if reason is not None:
            self._reject(sender, proposal.id, reason)
            return
        reachable = self.reachable(self.voters)
        encoded = doc.encode(document)
        self.checks[proposal.id] = PendingCheck(
            sender, proposal, encoded, now + self.tuning.check_ms, set(reachable), len(self.voters) // 2 + 1
        )
        self.actions += [SendToMember(voter, CheckRequest(proposal.id, encoded)) for voter in reachable]
        self._conclude_check(proposal.id)

    def _complete_document(self, proposal: ChangeProposal) -> Document:
        if proposal.restore_version:
            document = self.rules.document(proposal.restore_version)
            # Restoring a version keeps all ejections: an endpoint is readmitted by its name only.
            document["bans"] = self.rules.document(self.rules.newest).get("bans", {})
            return document
        if proposal.base != self.rules.newest:
            raise ValueError(f"version {self.rules.newest} won, this was made for {proposal.base}")
        return doc.merge(self.rules.document(proposal.base), doc.decode(proposal.change))

    def document_error(self, document: Document) -> str | None:
        """Returns what is wrong with a complete document, naming its key, by this process's own checks; or None."""
        try:
            doc.flatten(document)
        except ValueError as error:
            return str(error)
        return self.check(document)

    def check_requested(self, sender: str, request: CheckRequest) -> None:
        """Check a document for the leader."""
        try:
            problem = self.document_error(doc.decode(request.document)) or ""
        except ValueError as error:
            problem = str(error)
        self.actions.append(SendToMember(sender, CheckResult(request.id, problem)))

    def check_answered(self, sender: str, result: CheckResult) -> None:
        """A voter's result: one objection rejects the change."""
        check = self.checks.get(result.id)
        if check is None or sender not in check.awaited:
            return
        if result.error:
            del self.checks[result.id]
            self._reject(check.sender, result.id, f"{sender} objects: {result.error}")
            return
        check.awaited.discard(sender)
        check.approvals += 1
        self._conclude_check(result.id)

    def _conclude_check(self, ident: str, timed_out: bool = False) -> None:
        """Propose or reject the change, once all awaited voters have answered or the time is over."""
        check = self.checks[ident]
        if check.awaited and not timed_out:
            return
        del self.checks[ident]
        proposal = check.proposal
        if check.approvals < check.required:
            self._reject(
                check.sender,
                ident,
                f"{check.approvals} of {len(self.voters)} voters looked at it, {check.required} must",
            )
        elif proposal.canary_members:
            self.propose(
                entries.Try(ident, proposal.base, check.document, proposal.canary_members), ident, proposal.base
            )
        else:
            self.propose(
                entries.Put(ident, proposal.base, check.document, proposal.restore_version), ident, proposal.base
            )

    def _reject(self, sender: str, ident: str, reason: str) -> None:
        if sender == self.name:
            self.respond(ident, False, reason, self.rules.newest)
        else:
            self.actions.append(SendToMember(sender, ChangeRejected(ident, reason, self.rules.newest)))

    # Time-outs and changes of leader

    def leadership_lost(self) -> None:
        """No longer the leader: reject what was only checked; the log reports on what was proposed."""
        for ident in list(self.checks):
            self._reject(self.checks.pop(ident).sender, ident, "the leader changed")

    def proposal_rejected(self, ident: str, reason: str) -> None:
        """The log did not accept the proposed entry."""
        self.respond(ident, False, f"the log refused it: {reason}", self.rules.newest)

    def tick(self, now: float) -> None:
        """Conclude the checks and the requests whose time is over."""
        for ident in [ident for ident, check in self.checks.items() if check.expires_at_ms <= now]:
            self._conclude_check(ident, timed_out=True)
        for ident in [ident for ident, request in self.requests.items() if request.expires_at_ms <= now]:
            is_pending_ejection = any(ident == f"ban {endpoint}" for endpoint in self.rules.pending_ejections)
            text = (
                "told, not agreed yet: it acts where it was heard"
                if is_pending_ejection
                else "unknown: ask again with its id"
            )
            self.respond(ident, False, text, self.rules.newest)

    def next_deadline_ms(self) -> float:
        """When `tick` has something to do."""
        return min(
            [check.expires_at_ms for check in self.checks.values()]
            + [request.expires_at_ms for request in self.requests.values()],
            default=float("inf"),
        )


# Parsing of operators' requests


def number_of(document: Mapping[str, Any], key: str, default: int | None = None) -> int:
    """A number of a version. ValueError names the key."""
    value = document.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{key}: expected the number of a version")
    return int(value)


def endpoint_of(document: Mapping[str, Any]) -> str:
    """The name of the endpoint. Raises ValueError."""
    endpoint = document.get("upstream")
    if not isinstance(endpoint, str) or not 0 < len(endpoint) <= MAX_NAME_LENGTH:
        raise ValueError(f"upstream: expected a name of {MAX_NAME_LENGTH} signs at most")
    return endpoint


def proposal_of(request: OperatorRequest, ident: str, newest: int, max_bytes: int) -> ChangeProposal:
    """What is sent to the leader. ValueError names the faulty key."""
    document = request.document
    canary_members: tuple[str, ...] = ()
    base = number_of(document, "base", newest)
    if request.what == "back":
        return ChangeProposal(ident, base, b"", number_of(document, "to"))
    if request.what == "return":
        change: Any = {"bans": {endpoint_of(document): {"out": False, "at_ms": document.get("at_ms", 0.0)}}}
    else:
        change, canary_members = document.get("change"), tuple(document.get("canary", ()))
        if not isinstance(change, dict) or not all(isinstance(name, str) for name in canary_members):
            raise ValueError("change: expected an object")
    data = doc.encode(change)
    if len(data) > max_bytes:
        raise ValueError(f"change: more than {max_bytes} bytes")
    return ChangeProposal(ident, base, data, 0, canary_members)

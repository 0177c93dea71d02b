"""The versions of the rules, in the order of the log, and which rules they amount to at one sidecar.

Every sidecar applies the same entries in the same order, so what is decided here is the same everywhere: which of two
proposals wins, which version a canary trial becomes, what exceeds a limit. Only `pending_ejections` is this sidecar's
own: ejections that it has received and that no version contains yet. Only the `active` version may widen; see
change_classification.in_force.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from . import change_classification
from . import document as doc
from .change_classification import FlatDocument
from .document import Document
from .entries import Activate, EndTry, Entry, Out, Put, Try


class Version(Struct, frozen=True, array_like=True):
    """A version of the rules. `document` is complete, as JSON."""

    number: int
    id: str
    base: int
    document: bytes
    ejection_only: bool = False  # differs from its base by ejections alone
    restored_version: int = 0


class CanaryTrial(Struct, frozen=True, array_like=True):
    """A canary trial: `members` use `document`, made for version `base`."""

    id: str
    base: int
    document: bytes
    members: tuple[str, ...]


class _State(Struct, frozen=True, array_like=True):
    """The encoded state."""

    versions: list[Version]
    active: int
    trial: CanaryTrial | None


class AppliedEntry(NamedTuple):
    """The outcome of an entry: its id (empty: none), whether it counts, why not, and the newest version then."""

    id: str
    ok: bool
    text: str
    version: int


class VersionedRules:
    """All versions of the rules that this sidecar retains."""

    def __init__(self, first: Document, max_versions: int = 32, max_bytes: int = 128 << 10) -> None:
        """`first` is version 1, active, the same at every sidecar of the group. ValueError names its faulty key."""
        self._max_versions, self._max_bytes = max_versions, max_bytes
        flat = doc.flatten(first)
        self.active = self.newest = 1
        self.trial: CanaryTrial | None = None
        self.by_number: dict[int, Version] = {1: Version(1, "", 0, doc.encode(first))}
        self._flats: dict[int, FlatDocument] = {1: flat}
        self.pending_ejections: dict[str, int] = {}  # by endpoint: the newest version that its reporter had applied

    # Versions

    def document(self, number: int) -> Document:
        """ValueError if this version is not retained (any more)."""
        if number not in self.by_number:
            raise ValueError(f"version {number}: not held, the last {len(self.by_number)} are")
        return doc.decode(self.by_number[number].document)

    def flat(self, number: int) -> FlatDocument:
        """The flattened document of a version, computed once."""
        if number not in self._flats:
            self._flats[number] = doc.flatten(self.document(number))
        return self._flats[number]

    def rejection_reason(self, base: int, complete: Document) -> str | None:
        """Why `complete` can't become the version after `base`, as far as this sidecar knows; names a key or number."""
        if base != self.newest:
            return f"version {self.newest} won, this was made for {base}"
        try:
            flat = doc.flatten(complete)
        except ValueError as error:
            return str(error)
        if len(doc.encode(complete)) > self._max_bytes:
            return f"document: more than {self._max_bytes} bytes"
        if self.inactive_count >= self._max_versions:
            return f"{self.inactive_count} versions wait to be active"
        meanwhile = change_classification.in_force(self.flat(self.active), [*self._newer(), flat])
        if not any(len(path) == 3 and path[1] == "classes" for path in meanwhile):
            return "settings.classes: none would be left until it is active; add the new before removing the old"
        return None

    @property
    def inactive_count(self) -> int:
        """How many versions are newer than the active one."""
        return sum(1 for number in self.by_number if number > self.active)

    def _newer(self) -> list[FlatDocument]:
        return [self.flat(number) for number in sorted(self.by_number) if number > self.active]

    def diff(self, first: int, second: int) -> list[tuple[str, str]]:
        """Each key that differs, with `narrows`, `widens` or `switches` from version `first` to `second`.

        ValueError if either is not retained.
        """
        return [
            (change_classification.dotted_path(path), effect)
            for path, effect in change_classification.diff(self.flat(first), self.flat(second))
        ]

    def readmitted_in(self, endpoint: str, up_to: int | None = None) -> int:
        """The version that readmitted this endpoint, if it still is at `up_to` (default: the newest); else 0."""
        readmitted = 0
        for number in sorted(self.by_number, reverse=True):
            if up_to is not None and number > up_to:
                continue
            entry = self.flat(number).get(("bans", endpoint))
            if entry is None or entry[0]:
                break
            readmitted = number
        return readmitted

    # The log

    def apply(self, entry: Entry) -> AppliedEntry:
        """Never raises: an entry that can't be applied is rejected, the same at every sidecar."""
        if isinstance(entry, Put):
            return self._put(entry)
        if isinstance(entry, Out):
            return self._eject(entry)
        if isinstance(entry, Try):
            return self._start_trial(entry)
        if isinstance(entry, EndTry):
            return self._end_trial(entry)
        if self.active < entry.number <= self.newest and entry.number in self.by_number:
            self._activate(entry)
            return AppliedEntry("", True, "", entry.number)
        return AppliedEntry("", False, "", self.newest)

    def _put(self, entry: Put) -> AppliedEntry:
        try:
            reason = self.rejection_reason(entry.base, doc.decode(entry.document))
        except ValueError as error:
            reason = str(error)
        if reason is not None:
            return AppliedEntry(entry.id, False, reason, self.newest)
        self._append_version(
            Version(self.newest + 1, entry.id, entry.base, entry.document, restored_version=entry.restored_version)
        )
        return AppliedEntry(entry.id, True, "", self.newest)

    def _eject(self, entry: Out) -> AppliedEntry:
        self.pending_ejections.pop(entry.endpoint, None)
        if self.flat(self.newest).get(("bans", entry.endpoint), (False, 0.0))[0]:
            return AppliedEntry(entry.id, True, "", self.newest)
        complete = self.document(self.newest)
        complete["bans"] = {**complete.get("bans", {}), entry.endpoint: {"out": True, "at_ms": 0.0}}
        number = self.newest
        self._append_version(Version(number + 1, "", number, doc.encode(complete), ejection_only=True))
        # Consecutive ejections while no version can become active: the later is narrower in every key, so that the
        # earlier is not needed.
        if self.by_number[number].ejection_only and number > self.active:
            self._remove_version(number)
        return AppliedEntry(entry.id, True, "", self.newest)

    def _append_version(self, version: Version) -> None:
        self.newest = version.number
        self.by_number[version.number] = version
        self.trial = None  # it was made for a version that is no longer the newest

    def _activate(self, entry: Activate) -> None:
        self.active = entry.number
        # A readmission ends each ejection reported before it was made; one reported later stays.
        for endpoint in [
            name
            for name, known_version in self.pending_ejections.items()
            if known_version < self.readmitted_in(name, self.active)
        ]:
            del self.pending_ejections[endpoint]
        earlier = [number for number in sorted(self.by_number) if number < self.active]
        for number in earlier[: max(0, len(earlier) - self._max_versions)]:
            self._remove_version(number)

    def _remove_version(self, number: int) -> None:
        del self.by_number[number]
        self._flats.pop(number, None)

    def _start_trial(self, entry: Try) -> AppliedEntry:
        try:
            complete = doc.decode(entry.document)
            reason = self.rejection_reason(entry.base, complete) or change_classification.canary_rejection(
                self.flat(self.newest), doc.flatten(complete)
            )
        except ValueError as error:
            reason = str(error)
        if reason is None and self.trial is not None:
            reason = f"canary {self.trial.id} is under way"
        if reason is not None:
            return AppliedEntry(entry.id, False, reason, self.newest)
        self.trial = CanaryTrial(entry.id, entry.base, entry.document, entry.canary_members)
        return AppliedEntry(entry.id, True, "", self.newest)

    def _end_trial(self, entry: EndTry) -> AppliedEntry:
        trial = self.trial
        if trial is None or trial.id != entry.id:
            return AppliedEntry("", False, "", self.newest)
        self.trial = None
        if entry.keep:
            self._append_version(Version(self.newest + 1, trial.id, trial.base, trial.document))
        return AppliedEntry("", True, entry.reason, self.newest)

    # What is in force here

    def add_pending_ejection(self, endpoint: str, known_version: int, limit: int) -> bool:
        """Record a received ejection. Returns whether it was not known here."""
        if (
            self.pending_ejections.get(endpoint, -1) >= known_version
            or len(self.pending_ejections) >= limit
            and endpoint not in self.pending_ejections
        ):
            return False
        self.pending_ejections[endpoint] = known_version
        return True

    def in_force_at(self, name: str) -> FlatDocument:
        """The rules under a lease, at the sidecar of that name."""
        active, newer = self.flat(self.active), [*self._newer(), *self._with_pending_ejections()]
        trial = self.trial
        if trial is not None and name in trial.members:
            trial_rules = doc.flatten(doc.decode(trial.document))
            newer.append(trial_rules)
            active = {
                **active,
                **{
                    path: value
                    for path, value in trial_rules.items()
                    if change_classification.kind_of(path).permissiveness is None
                },
            }
        return change_classification.in_force(active, newer)

    def restricted(self) -> FlatDocument:
        """The rules without a lease."""
        return change_classification.without_lease(
            change_classification.in_force(self.flat(self.active), [*self._newer(), *self._with_pending_ejections()])
        )

    def _with_pending_ejections(self) -> list[FlatDocument]:
        """The newest version with the pending ejections added, if there are any."""
        if not self.pending_ejections:
            return []
        ejections: FlatDocument = {("bans", name): (True, 0.0) for name in self.pending_ejections}
        return [{**self.flat(self.newest), **ejections}]

    def document_of(self, flat: FlatDocument, leased: bool) -> Document:
        """The document for the host. With `cold_sends` false, nothing is sent to endpoints in slow start."""
        return {**doc.unflatten(flat, self.document(self.active)), "cold_sends": leased}

    # Snapshots

    def state(self) -> bytes:
        """For the log's snapshot: without the pending ejections, which are this sidecar's own."""
        return msgspec.msgpack.encode(_State(list(self.by_number.values()), self.active, self.trial))

    def install(self, state: bytes) -> None:
        """ValueError if `state` is no encoded state of the rules."""
        try:
            decoded: _State = msgspec.msgpack.decode(state, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"rules' snapshot: {error}") from None
        self.by_number = {version.number: version for version in decoded.versions}
        self._flats = {}
        self.active, self.newest, self.trial = decoded.active, max(self.by_number), decoded.trial
        for name in [
            name for name in self.pending_ejections if self.flat(self.newest).get(("bans", name), (False, 0.0))[0]
        ]:
            del self.pending_ejections[name]

"""The rule book: numbered versions in the log's order, and what is in force of them at one sidecar.

Every sidecar applies the same entries in the same order, so all that is decided here comes out the same everywhere:
who of two proposals wins, which version a canary becomes, what is too much. `told` alone is one sidecar's own: bans
that it has heard and that no version holds yet. The log's `active` is what may widen; see kinds.in_force.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from . import change_classification
from . import document as doc
from .change_classification import Flat
from .document import Document
from .entries import Activate, EndTry, Entry, Out, Put, Try


class Version(Struct, frozen=True, array_like=True):
    number: int
    id: str
    base: int
    document: bytes
    ban: bool = False  # differs from its base by bans alone
    back: int = 0


class Trial(Struct, frozen=True, array_like=True):
    id: str
    base: int
    document: bytes
    names: tuple[str, ...]


class _State(Struct, frozen=True, array_like=True):
    versions: list[Version]
    active: int
    trial: Trial | None


class Applied(NamedTuple):
    """What became of an entry: its id (empty: nobody's), whether it counts, why not, and the newest number then."""

    id: str
    ok: bool
    text: str
    version: int


class Book:
    def __init__(self, first: Document, most_versions: int = 32, most_bytes: int = 128 << 10) -> None:
        """`first` is version 1, active, the same at every sidecar of the group. ValueError names its faulty key."""
        self._most, self._most_bytes = most_versions, most_bytes
        flat = doc.flatten(first)
        self.active = self.newest = 1
        self.trial: Trial | None = None
        self.versions: dict[int, Version] = {1: Version(1, "", 0, doc.encode(first))}
        self._flats: dict[int, Flat] = {1: flat}
        self.told: dict[str, int] = {}  # upstream: the newest version of who told it, then

    # Versions

    def document(self, number: int) -> Document:
        """ValueError if it is not there (any more)."""
        if number not in self.versions:
            raise ValueError(f"version {number}: not held, the last {len(self.versions)} are")
        return doc.decode(self.versions[number].document)

    def flat(self, number: int) -> Flat:
        if number not in self._flats:
            self._flats[number] = doc.flatten(self.document(number))
        return self._flats[number]

    def refusal(self, base: int, whole: Document) -> str | None:
        """Why `whole` can't be the next version on `base`, by what this sidecar knows; names a key or a number."""
        if base != self.newest:
            return f"version {self.newest} won, this was made for {base}"
        try:
            flat = doc.flatten(whole)
        except ValueError as error:
            return str(error)
        if len(doc.encode(whole)) > self._most_bytes:
            return f"document: more than {self._most_bytes} bytes"
        if self.waiting >= self._most:
            return f"{self.waiting} versions wait to be active"
        between = change_classification.in_force(self.flat(self.active), [*self._newer(), flat])
        if not any(len(path) == 3 and path[1] == "classes" for path in between):
            return "settings.classes: none would be left until it is active; add the new before removing the old"
        return None

    @property
    def waiting(self) -> int:
        return sum(1 for number in self.versions if number > self.active)

    def _newer(self) -> list[Flat]:
        return [self.flat(number) for number in sorted(self.versions) if number > self.active]

    def diff(self, one: int, two: int) -> list[tuple[str, str]]:
        """Key and `narrows`, `widens` or `switches`, from version one to two. ValueError if either is not held."""
        return [
            (change_classification.text_of(path), word)
            for path, word in change_classification.diff(self.flat(one), self.flat(two))
        ]

    def returned(self, upstream: str, upto: int | None = None) -> int:
        """The version that let it back, if that is how it stands at `upto`; else 0."""
        found = 0
        for number in sorted(self.versions, reverse=True):
            if upto is not None and number > upto:
                continue
            ban = self.flat(number).get(("bans", upstream))
            if ban is None or ban[0]:
                break
            found = number
        return found

    # The log

    def apply(self, entry: Entry) -> Applied:
        """Never raises: what can't count is counted as refused, the same at every sidecar."""
        if isinstance(entry, Put):
            return self._put(entry)
        if isinstance(entry, Out):
            return self._out(entry)
        if isinstance(entry, Try):
            return self._try(entry)
        if isinstance(entry, EndTry):
            return self._end(entry)
        if self.active < entry.number <= self.newest and entry.number in self.versions:
            self._activate(entry)
            return Applied("", True, "", entry.number)
        return Applied("", False, "", self.newest)

    def _put(self, entry: Put) -> Applied:
        try:
            why = self.refusal(entry.base, doc.decode(entry.document))
        except ValueError as error:
            why = str(error)
        if why is not None:
            return Applied(entry.id, False, why, self.newest)
        self._add(Version(self.newest + 1, entry.id, entry.base, entry.document, back=entry.back))
        return Applied(entry.id, True, "", self.newest)

    def _out(self, entry: Out) -> Applied:
        self.told.pop(entry.upstream, None)
        if self.flat(self.newest).get(("bans", entry.upstream), (False, 0.0))[0]:
            return Applied(entry.id, True, "", self.newest)
        whole = self.document(self.newest)
        whole["bans"] = {**whole.get("bans", {}), entry.upstream: {"out": True, "at_ms": 0.0}}
        number = self.newest
        self._add(Version(number + 1, "", number, doc.encode(whole), ban=True))
        # One ban after another while nothing can be active: the later is narrower in every key, the earlier may go.
        if self.versions[number].ban and number > self.active:
            self._drop(number)
        return Applied(entry.id, True, "", self.newest)

    def _add(self, version: Version) -> None:
        self.newest = version.number
        self.versions[version.number] = version
        self.trial = None  # it was made for a version that is not the newest any more

    def _activate(self, entry: Activate) -> None:
        self.active = entry.number
        # A return ends each ban that was told before it was made; one told later stands.
        for upstream in [name for name, after in self.told.items() if after < self.returned(name, self.active)]:
            del self.told[upstream]
        old = [number for number in sorted(self.versions) if number < self.active]
        for number in old[: max(0, len(old) - self._most)]:
            self._drop(number)

    def _drop(self, number: int) -> None:
        del self.versions[number]
        self._flats.pop(number, None)

    def _try(self, entry: Try) -> Applied:
        try:
            whole = doc.decode(entry.document)
            why = self.refusal(entry.base, whole) or change_classification.canary_refuses(
                self.flat(self.newest), doc.flatten(whole)
            )
        except ValueError as error:
            why = str(error)
        if why is None and self.trial is not None:
            why = f"canary {self.trial.id} is under way"
        if why is not None:
            return Applied(entry.id, False, why, self.newest)
        self.trial = Trial(entry.id, entry.base, entry.document, entry.names)
        return Applied(entry.id, True, "", self.newest)

    def _end(self, entry: EndTry) -> Applied:
        trial = self.trial
        if trial is None or trial.id != entry.id:
            return Applied("", False, "", self.newest)
        self.trial = None
        if entry.keep:
            self._add(Version(self.newest + 1, trial.id, trial.base, trial.document))
        return Applied("", True, entry.why, self.newest)

    # What acts here

    def tell_ban(self, upstream: str, after: int, most: int) -> bool:
        """A ban was heard. Whether it is news here."""
        if self.told.get(upstream, -1) >= after or len(self.told) >= most and upstream not in self.told:
            return False
        self.told[upstream] = after
        return True

    def acting(self, name: str) -> Flat:
        """Under a lease, at the sidecar of that name."""
        active, heard = self.flat(self.active), [*self._newer(), *self._bans()]
        trial = self.trial
        if trial is not None and name in trial.names:
            tried = doc.flatten(doc.decode(trial.document))
            heard.append(tried)
            active = {
                **active,
                **{path: value for path, value in tried.items() if change_classification.kind_of(path).wide is None},
            }
        return change_classification.in_force(active, heard)

    def narrow(self) -> Flat:
        """Without a lease."""
        return change_classification.without_lease(
            change_classification.in_force(self.flat(self.active), [*self._newer(), *self._bans()])
        )

    def _bans(self) -> list[Flat]:
        if not self.told:
            return []
        banned: Flat = {("bans", name): (True, 0.0) for name in self.told}
        return [{**self.flat(self.newest), **banned}]

    def written(self, flat: Flat, lease: bool) -> Document:
        """For the host. `cold_sends` false: no provider that is cold is sent anything."""
        return {**doc.unflatten(flat, self.document(self.active)), "cold_sends": lease}

    # Snapshots

    def state(self) -> bytes:
        """Without what was told: that is one's own."""
        return msgspec.msgpack.encode(_State(list(self.versions.values()), self.active, self.trial))

    def install(self, state: bytes) -> None:
        """ValueError on what is no state of a book."""
        try:
            held: _State = msgspec.msgpack.decode(state, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"rules' snapshot: {error}") from None
        self.versions = {version.number: version for version in held.versions}
        self._flats = {}
        self.active, self.newest, self.trial = held.active, max(self.versions), held.trial
        for name in [name for name in self.told if self.flat(self.newest).get(("bans", name), (False, 0.0))[0]]:
            del self.told[name]

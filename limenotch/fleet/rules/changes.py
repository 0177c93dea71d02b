"""Changes on their way: an operator's at any sidecar, and at the leader the voters' look at each.

1. The sidecar asked tells the leader (`Suggest`), or is it. It answers its operator itself, once it sees the entry in
   the log: so the answer does not hang on the leader's life. No word in ask_ms: `unknown`, ask again with the same id.
2. The leader merges it over its base and looks at the whole; then every voter in reach does (`Look`, `Looked`).
   A quorum must have looked and nobody may object; who is silent for check_ms is out of reach.
3. It is proposed. Two of one base are both proposed: the log's order says which wins (book.py).
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
from .messages import MOST_NAME, Look, Looked, Suggest, Verdict
from .tuning import Tuning
from .versioned_rules import Applied, Book

Check = Callable[[Document], "str | None"]


@dataclass(slots=True)
class Asked:
    ticket: int
    until: float
    id: str


@dataclass(slots=True)
class Looking:
    sender: str
    suggest: Suggest
    whole: bytes
    until: float
    waits: set[str]
    need: int
    yes: int = 1  # oneself


@dataclass(slots=True)
class Changes:
    name: str
    book: Book
    check: Check
    tuning: Tuning
    reach: Callable[[Iterable[str]], list[str]]  # of these members those not held dead, oneself not among them
    voters: tuple[str, ...]
    propose: Callable[[entries.Entry, str, int], None]
    out: list[Any] = field(default_factory=list)
    leads: bool = False
    asked: dict[str, Asked] = field(default_factory=dict)  # by id
    looking: dict[str, Looking] = field(default_factory=dict)

    # At the sidecar that was asked

    def ask(self, now: float, ask: OperatorRequest, ident: str, suggest: Suggest | None, leader: str | None) -> None:
        """`suggest` None: it is in the log's hands already (a ban)."""
        if len(self.asked) >= self.tuning.most_asks or ident in self.asked:
            why = "asked already" if ident in self.asked else "too many changes are under way"
            self.out.append(OperatorResponse(ask.ticket, False, why, self.book.newest))
            return
        known = next((version.number for version in self.book.versions.values() if version.id == ident), 0)
        if known:
            self.out.append(OperatorResponse(ask.ticket, True, "", known))
            return
        if suggest is not None and leader is None:
            self.out.append(OperatorResponse(ask.ticket, False, "no leader in reach", self.book.newest))
            return
        self.asked[ident] = Asked(ask.ticket, now + self.tuning.ask_ms, ident)
        if suggest is None or leader is None:
            return
        if leader == self.name:
            self.suggested(now, self.name, suggest)
        else:
            self.out.append(SendToMember(leader, suggest))

    def answer(self, ident: str, ok: bool, text: str, version: int) -> None:
        asked = self.asked.pop(ident, None)
        if asked is not None:
            self.out.append(OperatorResponse(asked.ticket, ok, text, version))

    def applied(self, applied: Applied) -> None:
        if applied.id:
            self.answer(applied.id, applied.ok, applied.text, applied.version)

    # At the leader

    def suggested(self, now: float, sender: str, suggest: Suggest) -> None:
        if not self.leads:
            self._refuse(sender, suggest.id, "no leader here")
            return
        if len(self.looking) >= self.tuning.most_asks or suggest.id in self.looking:
            return
        try:
            whole = self._whole(suggest)
            why = self.book.refusal(suggest.base, whole) or self.fault(whole)
            if why is None and suggest.names:
                why = change_classification.canary_refuses(self.book.flat(self.book.newest), doc.flatten(whole))
        except ValueError as error:
            self._refuse(sender, suggest.id, str(error))
            return
        if why is not None:
            self._refuse(sender, suggest.id, why)
            return
        reach = self.reach(self.voters)
        data = doc.encode(whole)
        self.looking[suggest.id] = Looking(
            sender, suggest, data, now + self.tuning.check_ms, set(reach), len(self.voters) // 2 + 1
        )
        self.out += [SendToMember(voter, Look(suggest.id, data)) for voter in reach]
        self._seen(suggest.id)

    def _whole(self, suggest: Suggest) -> Document:
        if suggest.to:
            whole = self.book.document(suggest.to)
            # Bans are not undone by going back: a return is asked for by name.
            whole["bans"] = self.book.document(self.book.newest).get("bans", {})
            return whole
        if suggest.base != self.book.newest:
            raise ValueError(f"version {self.book.newest} won, this was made for {suggest.base}")
        return doc.merge(self.book.document(suggest.base), doc.decode(suggest.change))

    def fault(self, whole: Document) -> str | None:
        """Of a whole document, naming its key, by this program's own readers."""
        try:
            doc.flatten(whole)
        except ValueError as error:
            return str(error)
        return self.check(whole)

    def look(self, sender: str, look: Look) -> None:
        try:
            fault = self.fault(doc.decode(look.document)) or ""
        except ValueError as error:
            fault = str(error)
        self.out.append(SendToMember(sender, Looked(look.id, fault)))

    def looked(self, sender: str, looked: Looked) -> None:
        looking = self.looking.get(looked.id)
        if looking is None or sender not in looking.waits:
            return
        if looked.fault:
            del self.looking[looked.id]
            self._refuse(looking.sender, looked.id, f"{sender} objects: {looked.fault}")
            return
        looking.waits.discard(sender)
        looking.yes += 1
        self._seen(looked.id)

    def _seen(self, ident: str, late: bool = False) -> None:
        looking = self.looking[ident]
        if looking.waits and not late:
            return
        del self.looking[ident]
        suggest = looking.suggest
        if looking.yes < looking.need:
            self._refuse(
                looking.sender, ident, f"{looking.yes} of {len(self.voters)} voters looked at it, {looking.need} must"
            )
        elif suggest.names:
            self.propose(entries.Try(ident, suggest.base, looking.whole, suggest.names), ident, suggest.base)
        else:
            self.propose(entries.Put(ident, suggest.base, looking.whole, suggest.to), ident, suggest.base)

    def _refuse(self, sender: str, ident: str, why: str) -> None:
        if sender == self.name:
            self.answer(ident, False, why, self.book.newest)
        else:
            self.out.append(SendToMember(sender, Verdict(ident, why, self.book.newest)))

    # In the course of time

    def lost(self) -> None:
        """It leads no more: what was only looked at is told to be off; what was proposed, the log tells."""
        for ident in list(self.looking):
            self._refuse(self.looking.pop(ident).sender, ident, "the leader changed")

    def refused(self, ident: str, why: str) -> None:
        self.answer(ident, False, f"the log refused it: {why}", self.book.newest)

    def tick(self, now: float) -> None:
        for ident in [ident for ident, looking in self.looking.items() if looking.until <= now]:
            self._seen(ident, late=True)
        for ident in [ident for ident, asked in self.asked.items() if asked.until <= now]:
            told = any(ident == f"ban {upstream}" for upstream in self.book.told)
            text = "told, not agreed yet: it acts where it was heard" if told else "unknown: ask again with its id"
            self.answer(ident, False, text, self.book.newest)

    def due(self) -> float:
        return min(
            [looking.until for looking in self.looking.values()] + [asked.until for asked in self.asked.values()],
            default=float("inf"),
        )


# What operators write


def whole_number(document: Mapping[str, Any], key: str, usual: int | None = None) -> int:
    """ValueError names the key."""
    value = document.get(key, usual)
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{key}: expected the number of a version")
    return int(value)


def upstream_of(document: Mapping[str, Any]) -> str:
    upstream = document.get("upstream")
    if not isinstance(upstream, str) or not 0 < len(upstream) <= MOST_NAME:
        raise ValueError(f"upstream: expected a name of {MOST_NAME} signs at most")
    return upstream


def suggest_of(ask: OperatorRequest, ident: str, newest: int, most_bytes: int) -> Suggest:
    """What is told to the leader. ValueError names the key that is wrong."""
    document = ask.document
    names: tuple[str, ...] = ()
    base = whole_number(document, "base", newest)
    if ask.what == "back":
        return Suggest(ident, base, b"", whole_number(document, "to"))
    if ask.what == "return":
        change: Any = {"bans": {upstream_of(document): {"out": False, "at_ms": document.get("at_ms", 0.0)}}}
    else:
        change, names = document.get("change"), tuple(document.get("canary", ()))
        if not isinstance(change, dict) or not all(isinstance(name, str) for name in names):
            raise ValueError("change: expected an object")
    data = doc.encode(change)
    if len(data) > most_bytes:
        raise ValueError(f"change: more than {most_bytes} bytes")
    return Suggest(ident, base, data, 0, names)

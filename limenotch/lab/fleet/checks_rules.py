"""Checks a history of what sidecars acted on: independent of the rules' own code, it reads documents as they are.

1. No sidecar acts on something wider than the newest version that another acts on, for longer than the stated time.
2. What widens acts nowhere while a sidecar acts under a lease that has not heard of it.
3. The parts of the cold budget of all that hold a lease make no more than the whole.

A sidecar acts on an InForce until its lease ends by its own clock, also while it is paused (which only makes the check
harder), and on its narrow document from then on. One that is dead acts on nothing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SLACK_MS = 0.001  # of floats
EFFECTS = {"at_most_once": 0, "deduplicated": 1, "idempotent": 4}
SCOPES = {"cell": 0, "zone": 1, "all": 2}

Document = Mapping[str, Any]


def wider(one: Document, two: Document, narrow: bool = False) -> str | None:
    """The first key by which `one` allows what `two` forbids.

    Of who acts on the narrow rules, second runs and copies alone are looked at: limits and bans that it never heard of
    it can't keep, and is not promised to (docs/fleet/rules.md).
    """
    first, second = one["settings"], two["settings"]
    allowed, other = first.get("permissions", {}), second.get("permissions", {})
    usuals: dict[str, float] = {"max_attempts": 3, "parallel_tries": True, "max_open": 20_000}
    for key, usual in usuals.items():
        if (key == "parallel_tries" or not narrow) and allowed.get(key, usual) > other.get(key, usual):
            return key
    classes = {entry["name"]: entry for entry in second["classes"]}
    for entry in first["classes"]:
        held = classes.get(entry["name"])
        if held is None:
            if narrow:
                continue
            return f"class {entry['name']}"
        if _repeats(entry) > _repeats(held):
            return f"class {entry['name']} repeats"
    if narrow:
        return None
    tenants = {entry["name"]: entry for entry in second.get("tenants", ())}
    for entry in first.get("tenants", ()):
        held = tenants.get(entry["name"])
        if held is None:
            return f"tenant {entry['name']}"
        if (entry.get("quota_per_s") or math.inf) > (held.get("quota_per_s") or math.inf):
            return f"tenant {entry['name']} limit"
    for name, ban in two.get("bans", {}).items():
        if ban["out"] and not one.get("bans", {}).get(name, {"out": False})["out"]:
            return f"ban {name}"
    return None


def _repeats(entry: Mapping[str, Any]) -> int:
    rank = EFFECTS[entry["effect"]]
    return rank + SCOPES[entry.get("dedup_scope", "all")] if rank == 1 else rank


class Act(NamedTuple):
    at_ms: float
    until_ms: float  # of the lease, as the world sees it; before `at_ms`: none
    document: Document | None  # None: it acts on nothing
    narrow: Document | None
    version: int
    active: int
    parts: int


class Moment(NamedTuple):
    document: Document
    version: int
    active: int
    parts: int
    leased: bool


@dataclass
class Checker:
    versions: dict[int, Document] = field(default_factory=dict)
    acts: dict[str, list[Act]] = field(default_factory=dict)
    longest: float = 0.0  # ms of contradiction seen
    what: str = ""

    def agreed(self, number: int, document: Document) -> None:
        """AssertionError where a number has two bodies."""
        if self.versions.setdefault(number, document) != document:
            raise AssertionError(f"version {number} has two bodies")

    def acted(self, at_ms: float, node: str, action: Any, ahead: float, rate: float) -> None:
        """An InForce or a Narrow. The node's clock shows `ahead` + the world's time x `rate`."""
        leased = hasattr(action, "lease_until_ms")
        self.acts.setdefault(node, []).append(
            Act(
                at_ms,
                (action.lease_until_ms - ahead) / rate if leased else -math.inf,
                action.document,
                action.narrow if leased else action.document,
                action.version,
                action.active if leased else 0,
                action.parts if leased else 0,
            )
        )

    def ended(self, at_ms: float, node: str) -> None:
        self.acts.setdefault(node, []).append(Act(at_ms, -math.inf, None, None, 0, 0, 0))

    def check(self, end_ms: float, bound_ms: float) -> float:
        """The longest contradiction seen, ms. AssertionError where a rule does not hold."""
        edges = sorted(
            {0.0, end_ms}
            | {
                edge
                for acts in self.acts.values()
                for act in acts
                for edge in (act.at_ms, act.until_ms)
                if 0 <= edge <= end_ms
            }
        )
        since: dict[str, float] = {}
        heads = dict.fromkeys(self.acts, 0)
        for begin, end in zip(edges, edges[1:], strict=False):
            if end - begin <= SLACK_MS:
                continue
            now: dict[str, Moment] = {}
            for node, acts in self.acts.items():
                while heads[node] + 1 < len(acts) and acts[heads[node] + 1].at_ms <= begin + SLACK_MS / 2:
                    heads[node] += 1
                moment = self._moment(acts[heads[node]], begin)
                if moment is not None:
                    now[node] = moment
            self._at(begin, end, now, since)
        if self.longest > bound_ms:
            raise AssertionError(f"contradiction of {self.longest:.1f} ms, stated are {bound_ms:.1f}: {self.what}")
        return self.longest

    def _moment(self, act: Act, at: float) -> Moment | None:
        if act.at_ms > at + SLACK_MS or act.document is None or act.narrow is None:
            return None
        leased = at + SLACK_MS < act.until_ms
        return Moment(act.document if leased else act.narrow, act.version, act.active, act.parts, leased)

    def _key(self, moment: Moment, newest: int) -> str | None:
        if moment.version >= newest or newest not in self.versions:
            return None
        return wider(moment.document, self.versions[newest], narrow=not moment.leased)

    def _at(self, begin: float, end: float, now: dict[str, Moment], since: dict[str, float]) -> None:
        if not now:
            return
        newest = max(moment.version for moment in now.values())
        for node, moment in now.items():
            key = self._key(moment, newest)
            if key is None:
                since.pop(node, None)
                continue
            span = end - since.setdefault(node, begin)
            if span > self.longest:
                self.longest, self.what = span, f"{node} at {begin:.1f}: {key}, version {newest} forbids it"
        leased = {node: moment for node, moment in now.items() if moment.leased}
        for node, moment in leased.items():
            for other, held in leased.items():
                if held.version >= moment.version or held.version not in self.versions:
                    continue
                key = wider(moment.document, self.versions[held.version])
                if key is not None:
                    raise AssertionError(
                        f"{begin:.1f}: {node} acts on {key} of version {moment.version} while {other} "
                        f"holds a lease on version {held.version}"
                    )
        parts = sum(1 / moment.parts for moment in leased.values() if moment.parts)
        if parts > 1 + 1e-9:
            shares = {node: moment.parts for node, moment in leased.items()}
            raise AssertionError(f"{begin:.1f}: parts of the cold budget make {parts:.3f}: {shares}")

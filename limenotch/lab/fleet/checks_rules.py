"""Checks a history of the rules in force at sidecars; independent of the rules' own code, it reads documents itself.

1. No sidecar uses rules wider than the newest version that another sidecar uses for longer than the stated time.
2. What widens is in force nowhere while a sidecar that has not received it holds a valid lease.
3. The slow-start shares of all sidecars with a valid lease add up to at most 1.

A sidecar uses a RulesInForce until its lease ends by its own clock, also while it is paused (which only makes the check
stricter), and its restricted document from then on. A dead sidecar uses nothing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SLACK_MS = 0.001  # for rounding errors
EFFECTS = {"at_most_once": 0, "deduplicated": 1, "idempotent": 4}
SCOPES = {"cell": 0, "zone": 1, "all": 2}

Document = Mapping[str, Any]


def first_wider_key(first: Document, second: Document, restricted: bool = False) -> str | None:
    """The first key by which `first` allows what `second` forbids.

    Of a sidecar in restricted mode, only repeated executions and hedging are checked: it can't follow limits and
    ejections that it never received, and does not have to (docs/fleet/rules.md).
    """
    first_settings, second_settings = first["settings"], second["settings"]
    first_permissions, second_permissions = (
        first_settings.get("permissions", {}),
        second_settings.get("permissions", {}),
    )
    defaults: dict[str, float] = {"max_attempts": 3, "parallel_tries": True, "max_open": 20_000}
    for key, default in defaults.items():
        if (key == "parallel_tries" or not restricted) and first_permissions.get(key, default) > second_permissions.get(
            key, default
        ):
            return key
    classes = {entry["name"]: entry for entry in second_settings["classes"]}
    for entry in first_settings["classes"]:
        counterpart = classes.get(entry["name"])
        if counterpart is None:
            if restricted:
                continue
            return f"class {entry['name']}"
        if _repeat_rank(entry) > _repeat_rank(counterpart):
            return f"class {entry['name']} repeats"
    if restricted:
        return None
    tenants = {entry["name"]: entry for entry in second_settings.get("tenants", ())}
    for entry in first_settings.get("tenants", ()):
        counterpart = tenants.get(entry["name"])
        if counterpart is None:
            return f"tenant {entry['name']}"
        if (entry.get("quota_per_s") or math.inf) > (counterpart.get("quota_per_s") or math.inf):
            return f"tenant {entry['name']} limit"
    for name, ejection in second.get("bans", {}).items():
        if ejection["out"] and not first.get("bans", {}).get(name, {"out": False})["out"]:
            return f"ban {name}"
    return None


def _repeat_rank(entry: Mapping[str, Any]) -> int:
    rank = EFFECTS[entry["effect"]]
    return rank + SCOPES[entry.get("dedup_scope", "all")] if rank == 1 else rank


class RulesReport(NamedTuple):
    """What a node reported to its host."""

    at_ms: float
    until_ms: float  # of the lease, in the world's time; before `at_ms`: none
    document: Document | None  # None: it uses nothing
    restricted_document: Document | None
    version: int
    active: int
    divisor: int


class RulesInUse(NamedTuple):
    """The rules that a node uses at one time."""

    document: Document
    version: int
    active: int
    divisor: int
    leased: bool


@dataclass
class RulesChecker:
    """The rules in force at every node over time."""

    versions: dict[int, Document] = field(default_factory=dict)
    reports: dict[str, list[RulesReport]] = field(default_factory=dict)
    longest_ms: float = 0.0  # the longest contradiction observed
    longest_cause: str = ""

    def version_agreed(self, number: int, document: Document) -> None:
        """AssertionError if one version has two documents."""
        if self.versions.setdefault(number, document) != document:
            raise AssertionError(f"version {number} has two bodies")

    def rules_reported(self, at_ms: float, node: str, action: Any, clock_offset_ms: float, clock_rate: float) -> None:
        """A RulesInForce or RestrictedRules.

        The node's clock shows `clock_offset_ms` + the world's time x `clock_rate`.
        """
        leased = hasattr(action, "lease_until_ms")
        self.reports.setdefault(node, []).append(
            RulesReport(
                at_ms,
                (action.lease_until_ms - clock_offset_ms) / clock_rate if leased else -math.inf,
                action.document,
                action.restricted_document if leased else action.document,
                action.version,
                action.active if leased else 0,
                action.divisor if leased else 0,
            )
        )

    def process_ended(self, at_ms: float, node: str) -> None:
        self.reports.setdefault(node, []).append(RulesReport(at_ms, -math.inf, None, None, 0, 0, 0))

    def check(self, end_ms: float, bound_ms: float) -> float:
        """The longest contradiction observed, in ms. AssertionError where a rule is broken."""
        edges = sorted(
            {0.0, end_ms}
            | {
                edge
                for reports in self.reports.values()
                for report in reports
                for edge in (report.at_ms, report.until_ms)
                if 0 <= edge <= end_ms
            }
        )
        wider_since_ms: dict[str, float] = {}
        positions = dict.fromkeys(self.reports, 0)
        for start_ms, stop_ms in zip(edges, edges[1:], strict=False):
            if stop_ms - start_ms <= SLACK_MS:
                continue
            in_use_by_node: dict[str, RulesInUse] = {}
            for node, reports in self.reports.items():
                while (
                    positions[node] + 1 < len(reports) and reports[positions[node] + 1].at_ms <= start_ms + SLACK_MS / 2
                ):
                    positions[node] += 1
                in_use = self._rules_in_use(reports[positions[node]], start_ms)
                if in_use is not None:
                    in_use_by_node[node] = in_use
            self._check_interval(start_ms, stop_ms, in_use_by_node, wider_since_ms)
        if self.longest_ms > bound_ms:
            raise AssertionError(
                f"contradiction of {self.longest_ms:.1f} ms, the stated bound is {bound_ms:.1f}: {self.longest_cause}"
            )
        return self.longest_ms

    def _rules_in_use(self, report: RulesReport, at_ms: float) -> RulesInUse | None:
        if report.at_ms > at_ms + SLACK_MS or report.document is None or report.restricted_document is None:
            return None
        leased = at_ms + SLACK_MS < report.until_ms
        return RulesInUse(
            report.document if leased else report.restricted_document,
            report.version,
            report.active,
            report.divisor,
            leased,
        )

    def _wider_key(self, in_use: RulesInUse, newest: int) -> str | None:
        if in_use.version >= newest or newest not in self.versions:
            return None
        return first_wider_key(in_use.document, self.versions[newest], restricted=not in_use.leased)

    def _check_interval(
        self, begin_ms: float, end_ms: float, in_use_by_node: dict[str, RulesInUse], wider_since_ms: dict[str, float]
    ) -> None:
        if not in_use_by_node:
            return
        newest = max(in_use.version for in_use in in_use_by_node.values())
        for node, in_use in in_use_by_node.items():
            key = self._wider_key(in_use, newest)
            if key is None:
                wider_since_ms.pop(node, None)
                continue
            span_ms = end_ms - wider_since_ms.setdefault(node, begin_ms)
            if span_ms > self.longest_ms:
                self.longest_ms, self.longest_cause = (
                    span_ms,
                    f"{node} at {begin_ms:.1f}: {key}, version {newest} forbids it",
                )
        leased = {node: in_use for node, in_use in in_use_by_node.items() if in_use.leased}
        for node, in_use in leased.items():
            for other_node, other_in_use in leased.items():
                if other_in_use.version >= in_use.version or other_in_use.version not in self.versions:
                    continue
                key = first_wider_key(in_use.document, self.versions[other_in_use.version])
                if key is not None:
                    raise AssertionError(
                        f"{begin_ms:.1f}: {node} uses {key} of version {in_use.version} while {other_node} "
                        f"holds a lease on version {other_in_use.version}"
                    )
        total_share = sum(1 / in_use.divisor for in_use in leased.values() if in_use.divisor)
        if total_share > 1 + 1e-9:
            divisors = {node: in_use.divisor for node, in_use in leased.items()}
            raise AssertionError(f"{begin_ms:.1f}: slow-start shares add up to {total_share:.3f}: {divisors}")

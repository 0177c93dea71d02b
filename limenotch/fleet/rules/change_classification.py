"""What a change of each key of the rules does: it narrows, widens or switches. The design's table, as data.

A document is flattened to `FlatDocument`: key path to value, classes and tenants by name, a class's effect and scope as
one rank. Values of a kind that has a `permissiveness` are totally ordered by it, so `meet` takes the narrower value key
by key; a class or tenant that is missing from one of two documents is missing from their `meet`. A key that is not in
the table switches: it stays when a change does not name it, and takes effect when its version is active.

`meet` is commutative, associative and idempotent, and never wider than either side (tests check this).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

Path = tuple[str, ...]
FlatDocument = dict[Path, Any]

NAMED_LISTS = ("classes", "tenants")  # lists whose entries are identified by name


class CanaryPolicy:
    """Which values a canary trial may give to a key."""

    ONLY_NARROWER = "narrowed"  # only a value that allows the canary less than the other sidecars
    ANY_VALUE = "free"  # two values in use at the same time do no harm
    NEVER = "never"


class KeyKind(NamedTuple):
    """How the values of a key compare between two versions.

    `permissiveness` grows as a value allows more; None: neither value is narrower. `default`: what a missing key
    means.
    """

    name: str
    permissiveness: Callable[[Any], Any] | None
    default: Any
    contradiction: str  # between two sidecars on different versions; empty: none
    canary: str


def _identity(value: Any) -> Any:
    return value


def _negated(value: Any) -> Any:
    return -value


def _ejection_permissiveness(value: Any) -> Any:
    return (not value[0], -value[1])


REPEATS_FORBIDDEN = "a request that may have run is repeated while a newer version at another sidecar forbids it"
USES_FORBIDDEN = "one sidecar does what a newer version at another forbids"
SUM_TOO_HIGH = "the sum of the requests admitted exceeds what the newest version received allows"
HARMLESS = KeyKind("harmless", None, None, "", CanaryPolicy.ANY_VALUE)
SWITCH = KeyKind(
    "switch", None, None, "two sidecars use different values for longer than the stated time", CanaryPolicy.NEVER
)
LOCAL = KeyKind("own", None, None, "", CanaryPolicy.NEVER)  # no agreed document may contain it
PRESENCE = KeyKind(
    "there",
    _identity,
    False,
    "one sidecar accepts requests that the newer version has no class for",
    CanaryPolicy.NEVER,
)
REPEAT = KeyKind("repeat", _identity, 0, REPEATS_FORBIDDEN, CanaryPolicy.NEVER)
WINDOW = KeyKind(
    "window", _identity, 0.0, "one sidecar repeats requests after the newer version's window", CanaryPolicy.NEVER
)
LIMIT = KeyKind("limit", _identity, math.inf, SUM_TOO_HIGH, CanaryPolicy.ONLY_NARROWER)
EJECTION = KeyKind(
    "ban",
    _ejection_permissiveness,
    (False, 0.0),
    "one sidecar sends to an endpoint that another knows to be ejected",
    CanaryPolicy.NEVER,
)


def larger_is_wider(default: float, contradiction: str = USES_FORBIDDEN) -> KeyKind:
    """A number of which larger values allow more."""
    return KeyKind("least", _identity, default, contradiction, CanaryPolicy.ONLY_NARROWER)


def smaller_is_wider(default: float) -> KeyKind:
    """A number of which smaller values allow more."""
    return KeyKind("most", _negated, default, USES_FORBIDDEN, CanaryPolicy.ONLY_NARROWER)


FLAG = KeyKind("flag", _identity, True, USES_FORBIDDEN, CanaryPolicy.ONLY_NARROWER)

# `*` is any name. The order does not matter: no path is a prefix of another except by `*` alone.
TABLE: dict[Path, KeyKind] = {
    ("bans", "*"): EJECTION,
    ("directory",): SWITCH,
    ("settings", "classes", "*"): PRESENCE,
    ("settings", "classes", "*", "repeat"): REPEAT,  # rank of effect and dedup_scope
    ("settings", "classes", "*", "window_ms"): WINDOW,
    ("settings", "classes", "*", "target_ms"): HARMLESS,
    ("settings", "classes", "*", "hard_limit_ms"): HARMLESS,
    ("settings", "classes", "*", "worth"): HARMLESS,
    ("settings", "classes", "*", "late_worth"): HARMLESS,
    ("settings", "tenants", "*"): PRESENCE,
    ("settings", "tenants", "*", "quota_per_s"): LIMIT,
    ("settings", "permissions", "max_attempts"): larger_is_wider(3),
    ("settings", "permissions", "parallel_tries"): FLAG,
    ("settings", "permissions", "max_open"): larger_is_wider(20_000, SUM_TOO_HIGH),
    ("settings", "permissions", "cancel"): HARMLESS,
    ("settings", "permissions", "retry_after"): HARMLESS,
    ("settings", "permissions", "max_retry_after_ms"): HARMLESS,
    ("settings", "permissions", "conn_idle_ms"): HARMLESS,
    ("settings", "permissions", "connect_timeout_ms"): HARMLESS,
    ("settings", "rules", "start_capacity"): larger_is_wider(1.0),
    ("settings", "rules", "cold_ms"): smaller_is_wider(0.0),
    ("settings", "rules", "fall_multiple"): larger_is_wider(2.0),
    ("settings", "rules", "overload_for_ms"): larger_is_wider(1000.0),
    ("settings", "over_share_worth"): HARMLESS,
    ("settings", "costs", "cross_zone"): HARMLESS,
    ("settings", "balancers"): LOCAL,
    ("settings", "rank"): LOCAL,
    ("settings", "layer"): LOCAL,
    ("settings", "locality"): LOCAL,
}


def kind_of(path: Path) -> KeyKind:
    """The kind of a key; a key that is not in the table switches."""
    kind = TABLE.get(path)
    if kind is not None:
        return kind
    if path[0] == "bans" and len(path) == 2:
        return EJECTION
    if len(path) >= 3 and path[1] in NAMED_LISTS:
        return TABLE.get((path[0], path[1], "*", *path[3:]), SWITCH)
    return SWITCH


def dotted_path(path: Path) -> str:
    """The key path as operators read it."""
    return ".".join(path)


def _json_order(value: Any) -> bytes:
    """A total order of values that have no order of their own."""
    return msgspec.json.encode(value, order="deterministic")


def _value_or_default(flat: Mapping[Path, Any], path: Path, kind: KeyKind) -> Any:
    return flat.get(path, kind.default)


def _entry_path(path: Path) -> Path | None:
    """The path of the class or tenant that this path belongs to."""
    return path[:3] if len(path) >= 3 and path[1] in NAMED_LISTS else None


def meet(first: FlatDocument, second: FlatDocument) -> FlatDocument:
    """The narrowest of both documents.

    Where neither value is narrower: a missing key wins, then the value whose JSON sorts first.
    """
    result: FlatDocument = {}
    for path in {**first, **second}:
        entry = _entry_path(path)
        if entry is not None and not (entry in first and entry in second):
            continue
        kind = kind_of(path)
        if kind.permissiveness is None:
            if path in first and path in second:
                result[path] = min(first[path], second[path], key=_json_order)
        else:
            result[path] = min(
                _value_or_default(first, path, kind), _value_or_default(second, path, kind), key=kind.permissiveness
            )
    return result


def in_force(active: FlatDocument, newer: list[FlatDocument]) -> FlatDocument:
    """The narrowest of `active` and all newer versions received; where neither is narrower, what is active."""
    narrowest = active
    for flat in newer:
        narrowest = meet(narrowest, flat)
    result = {path: value for path, value in narrowest.items() if kind_of(path).permissiveness is not None}
    for path, value in active.items():
        entry = _entry_path(path)
        if kind_of(path).permissiveness is None and (entry is None or entry in result):
            result[path] = value
    return result


def is_no_wider(first: FlatDocument, second: FlatDocument) -> bool:
    """Whether `first` allows nothing that `second` forbids."""
    return not any(effect == "widens" for _, effect in diff(second, first))


def diff(old: FlatDocument, new: FlatDocument) -> list[tuple[Path, str]]:
    """Each key path that differs, with `narrows`, `widens` or `switches`.

    For a class or tenant that is added or removed, only its own path is listed.
    """
    differences: list[tuple[Path, str]] = []
    for path in sorted({**old, **new}):
        entry, kind = _entry_path(path), kind_of(path)
        if entry is not None and entry != path and (entry in old) != (entry in new):
            continue
        if kind.permissiveness is None:
            if (path in old) != (path in new) or old.get(path) != new.get(path):
                differences.append((path, "switches"))
            continue
        before, after = (
            kind.permissiveness(_value_or_default(old, path, kind)),
            kind.permissiveness(_value_or_default(new, path, kind)),
        )
        if before != after:
            differences.append((path, "widens" if after > before else "narrows"))
    return differences


def canary_rejection(active: FlatDocument, trial: FlatDocument) -> str | None:
    """Why a canary trial may not use `trial`, naming the first such key; None if it may."""
    for path, effect in diff(active, trial):
        kind = kind_of(path)
        if kind.canary == CanaryPolicy.NEVER:
            return f"{dotted_path(path)}: {kind.name} is not for a canary"
        if kind.canary == CanaryPolicy.ONLY_NARROWER and effect != "narrows":
            return f"{dotted_path(path)}: a canary may only narrow it"
    return None


def without_lease(flat: FlatDocument) -> FlatDocument:
    """What a sidecar without a lease may do of `flat`.

    A request is attempted again only if the attempt before certainly did not run, and never hedged.
    """
    restricted = dict(flat)
    for path in flat:
        if len(path) == 3 and path[1] == "classes":
            restricted[(*path, "repeat")] = 0
            restricted[(*path, "window_ms")] = 0.0
    restricted["settings", "permissions", "parallel_tries"] = False
    return restricted

"""What a change of each key of a rule book does: narrows, widens or switches. The design's table, as data.

A document is flattened to `Flat`: key path to value, classes and tenants by name, with an entry's effect and scope as
one rank. Kinds that narrow are total orders, so `meet` takes the narrower value key by key; a class or tenant that is
not in both is in neither. A key that the table lacks switches: it is kept when a change is silent about it, and acts
when its version is active.

`meet` is commutative, associative and idempotent, and never wider than either side (tests hold it to that).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

Path = tuple[str, ...]
Flat = dict[Path, Any]

NAMED = ("classes", "tenants")  # lists whose entries are known by name


class Canary:
    NARROWED = "narrowed"  # only where it makes the canary do less than the others
    FREE = "free"  # any value: no mix does harm
    NEVER = "never"


class Kind(NamedTuple):
    """`wide` grows as a value allows more (None: neither is narrower). `absent`: what a missing key means."""

    name: str
    wide: Callable[[Any], Any] | None
    absent: Any
    contradicts: str  # when two sidecars do; empty: never
    canary: str


def _same(value: Any) -> Any:
    return value


def _less(value: Any) -> Any:
    return -value


def _ban(value: Any) -> Any:
    return (not value[0], -value[1])


REPEATED = "one repeats a call that may have run while the other's newer version forbids it"
MADE = "one makes what the other's newer version forbids"
SUM = "the sum let in exceeds what the newest version heard allows"
HARMLESS = Kind("harmless", None, None, "", Canary.FREE)
SWITCH = Kind("switch", None, None, "two act on different values for longer than the stated time", Canary.NEVER)
OWN = Kind("own", None, None, "", Canary.NEVER)  # of one sidecar's place: no rule book may carry it
THERE = Kind("there", _same, False, "one takes calls that the newer version has no class for", Canary.NEVER)
REPEAT = Kind("repeat", _same, 0, REPEATED, Canary.NEVER)
WINDOW = Kind("window", _same, 0.0, "one repeats after the newer version's window", Canary.NEVER)
LIMIT = Kind("limit", _same, math.inf, SUM, Canary.NARROWED)
BAN = Kind("ban", _ban, (False, 0.0), "one sends to a provider that another has heard is out", Canary.NEVER)


def least(absent: float, contradicts: str = MADE) -> Kind:
    return Kind("least", _same, absent, contradicts, Canary.NARROWED)


def most(absent: float) -> Kind:
    return Kind("most", _less, absent, MADE, Canary.NARROWED)


FLAG = Kind("flag", _same, True, MADE, Canary.NARROWED)

# `*` is any name. Longest known paths first is not needed: no path is the beginning of another but by `*` alone.
TABLE: dict[Path, Kind] = {
    ("bans", "*"): BAN,
    ("directory",): SWITCH,
    ("settings", "classes", "*"): THERE,
    ("settings", "classes", "*", "repeat"): REPEAT,  # effect and dedup_scope
    ("settings", "classes", "*", "window_ms"): WINDOW,
    ("settings", "classes", "*", "target_ms"): HARMLESS,
    ("settings", "classes", "*", "hard_limit_ms"): HARMLESS,
    ("settings", "classes", "*", "worth"): HARMLESS,
    ("settings", "classes", "*", "late_worth"): HARMLESS,
    ("settings", "tenants", "*"): THERE,
    ("settings", "tenants", "*", "quota_per_s"): LIMIT,
    ("settings", "permissions", "max_attempts"): least(3),
    ("settings", "permissions", "parallel_tries"): FLAG,
    ("settings", "permissions", "max_open"): least(20_000, SUM),
    ("settings", "permissions", "cancel"): HARMLESS,
    ("settings", "permissions", "retry_after"): HARMLESS,
    ("settings", "permissions", "max_retry_after_ms"): HARMLESS,
    ("settings", "permissions", "conn_idle_ms"): HARMLESS,
    ("settings", "permissions", "connect_timeout_ms"): HARMLESS,
    ("settings", "rules", "start_capacity"): least(1.0),
    ("settings", "rules", "cold_ms"): most(0.0),
    ("settings", "rules", "fall_multiple"): least(2.0),
    ("settings", "rules", "overload_for_ms"): least(1000.0),
    ("settings", "over_share_worth"): HARMLESS,
    ("settings", "costs", "cross_zone"): HARMLESS,
    ("settings", "balancers"): OWN,
    ("settings", "rank"): OWN,
    ("settings", "layer"): OWN,
    ("settings", "locality"): OWN,
}


def kind_of(path: Path) -> Kind:
    found = TABLE.get(path)
    if found is not None:
        return found
    if path[0] == "bans" and len(path) == 2:
        return BAN
    if len(path) >= 3 and path[1] in NAMED:
        return TABLE.get((path[0], path[1], "*", *path[3:]), SWITCH)
    return SWITCH


def text_of(path: Path) -> str:
    return ".".join(path)


def _least_first(value: Any) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def _value(flat: Mapping[Path, Any], path: Path, kind: Kind) -> Any:
    return flat.get(path, kind.absent)


def _entry(path: Path) -> Path | None:
    """The class or tenant that a path is of."""
    return path[:3] if len(path) >= 3 and path[1] in NAMED else None


def meet(one: Flat, two: Flat) -> Flat:
    """The narrowest of both. Where neither is narrower: the absent, then the one whose JSON is first."""
    out: Flat = {}
    for path in {**one, **two}:
        entry = _entry(path)
        if entry is not None and not (entry in one and entry in two):
            continue
        kind = kind_of(path)
        if kind.wide is None:
            if path in one and path in two:
                out[path] = min(one[path], two[path], key=_least_first)
        else:
            out[path] = min(_value(one, path, kind), _value(two, path, kind), key=kind.wide)
    return out


def in_force(active: Flat, heard: list[Flat]) -> Flat:
    """The narrowest of `active` and all newer versions heard; where neither is narrower, what is active."""
    out = active
    for flat in heard:
        out = meet(out, flat)
    kept = {path: value for path, value in out.items() if kind_of(path).wide is not None}
    for path, value in active.items():
        entry = _entry(path)
        if kind_of(path).wide is None and (entry is None or entry in kept):
            kept[path] = value
    return kept


def no_wider(one: Flat, two: Flat) -> bool:
    """Whether `one` allows nothing that `two` forbids."""
    return not any(word == "widens" for _, word in diff(two, one))


def diff(old: Flat, new: Flat) -> list[tuple[Path, str]]:
    """Each key path that differs, with `narrows`, `widens` or `switches`; of an entry that comes or goes, its own."""
    out: list[tuple[Path, str]] = []
    for path in sorted({**old, **new}):
        entry, kind = _entry(path), kind_of(path)
        if entry is not None and entry != path and (entry in old) != (entry in new):
            continue
        if kind.wide is None:
            if (path in old) != (path in new) or old.get(path) != new.get(path):
                out.append((path, "switches"))
            continue
        before, after = kind.wide(_value(old, path, kind)), kind.wide(_value(new, path, kind))
        if before != after:
            out.append((path, "widens" if after > before else "narrows"))
    return out


def canary_refuses(active: Flat, tried: Flat) -> str | None:
    """The first key that a canary may not carry, with why."""
    for path, word in diff(active, tried):
        kind = kind_of(path)
        if kind.canary == Canary.NEVER:
            return f"{text_of(path)}: {kind.name} is not for a canary"
        if kind.canary == Canary.NARROWED and word != "narrows":
            return f"{text_of(path)}: a canary may only narrow it"
    return None


def without_lease(flat: Flat) -> Flat:
    """What a sidecar without a lease may do of it: nothing twice unless it surely never ran, no copies."""
    out = dict(flat)
    for path in flat:
        if len(path) == 3 and path[1] == "classes":
            out[(*path, "repeat")] = 0
            out[(*path, "window_ms")] = 0.0
    out["settings", "permissions", "parallel_tries"] = False
    return out

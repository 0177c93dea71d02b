"""A rule book's document: `settings` (as the platform gives them), `bans` and `directory`; flat, merged, and back.

A change is a partial document, merged over its base as RFC 7396 merges JSON: null removes, what it is silent about
stays. Classes and tenants are merged by name, given as a list of entries or as an object by name.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import msgspec

from .change_classification import NAMED, OWN, Flat, Path, kind_of, text_of

Document = dict[str, Any]
TOP = ("settings", "bans", "directory")
# Narrowest first: what a second run of a call may do, see the design's table.
RANKS = (
    ("at_most_once", ""),
    ("deduplicated", "cell"),
    ("deduplicated", "zone"),
    ("deduplicated", "all"),
    ("idempotent", ""),
)


def rank_of(entry: Mapping[str, Any]) -> int:
    """Of a class. What is no known effect or scope is the narrowest: the check of the whole names it."""
    effect = entry.get("effect")
    scope = entry.get("dedup_scope", "all") if effect == "deduplicated" else ""
    return RANKS.index((effect, scope)) if (effect, scope) in RANKS else 0


def _number(value: Any, absent: float) -> float:
    return value if isinstance(value, (int, float)) and not isinstance(value, bool) and value == value else absent


def flatten(document: Document) -> Flat:
    """Key paths to values. ValueError names the key that has not the shape of its place."""
    out: Flat = {}
    for key in document:
        if key not in TOP:
            raise ValueError(f"{key}: none of {', '.join(TOP)}")
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings: expected an object")
    for key, value in settings.items():
        path: Path = ("settings", key)
        if key in NAMED:
            for name, entry in _entries(value, text_of(path)).items():
                _flatten_entry(out, (*path, name), entry)
        elif isinstance(value, dict):
            for inner, held in value.items():
                out[(*path, inner)] = held
        else:
            out[path] = value
    for name, ban in _object(document.get("bans", {}), "bans").items():
        if not isinstance(ban, dict) or not isinstance(ban.get("out"), bool):
            raise ValueError(f'bans.{name}: expected {{"out": true or false, "at_ms": number}}')
        out["bans", name] = (ban["out"], float(_number(ban.get("at_ms"), 0.0)))
    if "directory" in document:
        out["directory",] = document["directory"]
    for path, value in out.items():
        kind = kind_of(path)
        if kind is OWN:
            raise ValueError(f"{text_of(path)}: is of each sidecar's own, no rule for all")
        if kind.name in ("least", "most", "limit") and _number(value, -1.0) < 0:
            raise ValueError(f"{text_of(path)}: expected a number of 0 or more")
        if kind.name == "flag" and not isinstance(value, bool):
            raise ValueError(f"{text_of(path)}: expected true or false")
    return out


def _flatten_entry(out: Flat, path: Path, entry: Mapping[str, Any]) -> None:
    out[path] = True
    for key, value in entry.items():
        if key not in ("name", "effect", "dedup_scope", "window_ms"):
            out[(*path, key)] = value
    if path[1] == "classes":
        rank = rank_of(entry)
        out[(*path, "repeat")] = rank
        # Who may repeat at will has no window unless it says one; who has none may repeat no deduplicated call.
        usual = math.inf if rank == len(RANKS) - 1 else 0.0
        out[(*path, "window_ms")] = _number(entry.get("window_ms", usual), 0.0)
    elif not entry.get("quota_per_s"):
        out[(*path, "quota_per_s")] = math.inf  # 0 is no quota: the widest


def _object(value: Any, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{key}: expected an object")
    return value


def _entries(value: Any, key: str) -> dict[str, Any]:
    """A list of entries, or an object of them by name, by name. A null entry is one to be removed."""
    if isinstance(value, dict):
        found = {
            name: None if entry is None else {**_object(entry, f"{key}.{name}"), "name": name}
            for name, entry in value.items()
        }
        return found
    if not isinstance(value, list):
        raise ValueError(f"{key}: expected a list, or an object by name")
    out: dict[str, Any] = {}
    for entry in value:
        name = entry.get("name") if isinstance(entry, dict) else None
        if not isinstance(name, str) or not name or name in out:
            raise ValueError(f"{key}: expected entries with names of their own")
        out[name] = entry
    return out


def unflatten(flat: Flat, order: Document) -> Document:
    """Flat again as a document, its classes and tenants in the order of `order`'s, then by name."""
    settings: dict[str, Any] = {}
    out: Document = {"settings": settings, "bans": {}}
    named: dict[str, dict[str, dict[str, Any]]] = {}
    for path in sorted(flat):
        value = flat[path]
        if path[0] == "bans":
            out["bans"][path[1]] = {"out": value[0], "at_ms": value[1]}
        elif path == ("directory",):
            out["directory"] = value
        elif path[1] in NAMED:
            _put(named.setdefault(path[1], {}), path, value)
        elif len(path) == 3:
            settings.setdefault(path[1], {})[path[2]] = value
        else:
            settings[path[1]] = value
    for key in NAMED:
        given = order.get("settings", {}).get(key)
        known = list(_entries(given, key)) if given else []
        held = named.get(key, {})
        if held or key == "classes" or known:
            first = [name for name in known if name in held]
            settings[key] = [held[name] for name in [*first, *sorted(held.keys() - set(first))]]
    return out


def _put(held: dict[str, dict[str, Any]], path: Path, value: Any) -> None:
    if len(path) == 3:
        held[path[2]] = {"name": path[2]}
        return
    entry, key = held[path[2]], path[3]
    if key == "repeat":
        effect, scope = RANKS[value]
        entry["effect"] = effect
        if scope:
            entry["dedup_scope"] = scope
    elif value != math.inf:
        entry[key] = value


def merge(base: Document, change: Document) -> Document:
    """`change` over `base`, a new document. ValueError names a key of the wrong shape."""
    out = {**base, **{key: value for key, value in change.items() if key not in ("settings", "bans")}}
    out = {key: value for key, value in out.items() if value is not None}
    before = _object(base.get("settings", {}), "settings")
    settings = _patch(
        before,
        {key: value for key, value in _object(change.get("settings", {}), "settings").items() if key not in NAMED},
    )
    for key in NAMED:
        if key not in change.get("settings", {}):
            continue
        held = _entries(before.get(key, []), key)
        for name, entry in _entries(change["settings"][key], f"settings.{key}").items():
            if entry is None:
                held.pop(name, None)
            else:
                held[name] = _patch(held.get(name, {}), entry)
        settings[key] = list(held.values())
    out["settings"] = settings
    out["bans"] = _patch(_object(base.get("bans", {}), "bans"), _object(change.get("bans", {}), "bans"))
    return out


def _patch(base: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    out = dict(base)
    for key, value in change.items():
        if value is None:
            out.pop(key, None)
        elif isinstance(value, dict) and isinstance(out.get(key), dict):
            out[key] = _patch(out[key], value)
        else:
            out[key] = value
    return out


def encode(document: Document) -> bytes:
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """ValueError on what is no object in JSON."""
    try:
        found = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"document: {error}") from None
    return _object(found, "document")

"""The document of the rules: `settings` (as the platform gives them), `bans` and `directory`; flattened and merged.

A change is a partial document, merged over its base as RFC 7396 merges JSON: null removes a key, and a key that the
change does not name stays. Classes and tenants are merged by name, given as a list of entries or as an object by name.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import msgspec

from .change_classification import LOCAL, NAMED_LISTS, FlatDocument, Path, dotted_path, kind_of

Document = dict[str, Any]
TOP_LEVEL_KEYS = ("settings", "bans", "directory")
# Narrowest first: what a repeated execution of a request may do, see the design's table.
REPEAT_RANKS = (
    ("at_most_once", ""),
    ("deduplicated", "cell"),
    ("deduplicated", "zone"),
    ("deduplicated", "all"),
    ("idempotent", ""),
)


def repeat_rank(entry: Mapping[str, Any]) -> int:
    """The rank of a class. An unknown effect or scope ranks lowest: the check of the complete document reports it."""
    effect = entry.get("effect")
    scope = entry.get("dedup_scope", "all") if effect == "deduplicated" else ""
    return REPEAT_RANKS.index((effect, scope)) if (effect, scope) in REPEAT_RANKS else 0


def _number(value: Any, default: float) -> float:
    return value if isinstance(value, (int, float)) and not isinstance(value, bool) and value == value else default


def flatten(document: Document) -> FlatDocument:
    """Key paths to values. ValueError names the key whose value has a wrong shape."""
    flat: FlatDocument = {}
    for key in document:
        if key not in TOP_LEVEL_KEYS:
            raise ValueError(f"{key}: none of {', '.join(TOP_LEVEL_KEYS)}")
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings: expected an object")
    for key, value in settings.items():
        path: Path = ("settings", key)
        if key in NAMED_LISTS:
            for name, entry in _entries(value, dotted_path(path)).items():
                _flatten_entry(flat, (*path, name), entry)
        elif isinstance(value, dict):
            for inner_key, inner_value in value.items():
                flat[(*path, inner_key)] = inner_value
        else:
            flat[path] = value
    for name, ejection in _object(document.get("bans", {}), "bans").items():
        if not isinstance(ejection, dict) or not isinstance(ejection.get("out"), bool):
            raise ValueError(f'bans.{name}: expected {{"out": true or false, "at_ms": number}}')
        flat["bans", name] = (ejection["out"], float(_number(ejection.get("at_ms"), 0.0)))
    if "directory" in document:
        flat["directory",] = document["directory"]
    for path, value in flat.items():
        kind = kind_of(path)
        if kind is LOCAL:
            raise ValueError(f"{dotted_path(path)}: is of each sidecar's own, no rule for all")
        if kind.name in ("least", "most", "limit") and _number(value, -1.0) < 0:
            raise ValueError(f"{dotted_path(path)}: expected a number of 0 or more")
        if kind.name == "flag" and not isinstance(value, bool):
            raise ValueError(f"{dotted_path(path)}: expected true or false")
    return flat


def _flatten_entry(flat: FlatDocument, path: Path, entry: Mapping[str, Any]) -> None:
    flat[path] = True
    for key, value in entry.items():
        if key not in ("name", "effect", "dedup_scope", "window_ms"):
            flat[(*path, key)] = value
    if path[1] == "classes":
        rank = repeat_rank(entry)
        flat[(*path, "repeat")] = rank
        # An idempotent class without a window may repeat at any time, a deduplicated one not at all.
        default_window_ms = math.inf if rank == len(REPEAT_RANKS) - 1 else 0.0
        flat[(*path, "window_ms")] = _number(entry.get("window_ms", default_window_ms), 0.0)
    elif not entry.get("quota_per_s"):
        flat[(*path, "quota_per_s")] = math.inf  # 0 means no quota: the widest


def _object(value: Any, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{key}: expected an object")
    return value


def _entries(value: Any, key: str) -> dict[str, Any]:
    """The entries by name, from a list of them or an object by name. A null entry is to be removed."""
    if isinstance(value, dict):
        found = {
            name: None if entry is None else {**_object(entry, f"{key}.{name}"), "name": name}
            for name, entry in value.items()
        }
        return found
    if not isinstance(value, list):
        raise ValueError(f"{key}: expected a list, or an object by name")
    by_name: dict[str, Any] = {}
    for entry in value:
        name = entry.get("name") if isinstance(entry, dict) else None
        if not isinstance(name, str) or not name or name in by_name:
            raise ValueError(f"{key}: expected entries with names of their own")
        by_name[name] = entry
    return by_name


def unflatten(flat: FlatDocument, order: Document) -> Document:
    """The document of a flat one, its classes and tenants in the order of `order`'s, then by name."""
    settings: dict[str, Any] = {}
    document: Document = {"settings": settings, "bans": {}}
    by_list: dict[str, dict[str, dict[str, Any]]] = {}
    for path in sorted(flat):
        value = flat[path]
        if path[0] == "bans":
            document["bans"][path[1]] = {"out": value[0], "at_ms": value[1]}
        elif path == ("directory",):
            document["directory"] = value
        elif path[1] in NAMED_LISTS:
            _put_value(by_list.setdefault(path[1], {}), path, value)
        elif len(path) == 3:
            settings.setdefault(path[1], {})[path[2]] = value
        else:
            settings[path[1]] = value
    for key in NAMED_LISTS:
        ordered = order.get("settings", {}).get(key)
        ordered_names = list(_entries(ordered, key)) if ordered else []
        entries = by_list.get(key, {})
        if entries or key == "classes" or ordered_names:
            leading = [name for name in ordered_names if name in entries]
            settings[key] = [entries[name] for name in [*leading, *sorted(entries.keys() - set(leading))]]
    return document


def _put_value(entries: dict[str, dict[str, Any]], path: Path, value: Any) -> None:
    if len(path) == 3:
        entries[path[2]] = {"name": path[2]}
        return
    entry, key = entries[path[2]], path[3]
    if key == "repeat":
        effect, scope = REPEAT_RANKS[value]
        entry["effect"] = effect
        if scope:
            entry["dedup_scope"] = scope
    elif value != math.inf:
        entry[key] = value


def merge(base: Document, change: Document) -> Document:
    """`change` over `base`, as a new document. ValueError names a key whose value has a wrong shape."""
    merged = {**base, **{key: value for key, value in change.items() if key not in ("settings", "bans")}}
    merged = {key: value for key, value in merged.items() if value is not None}
    base_settings = _object(base.get("settings", {}), "settings")
    settings = _merge_patch(
        base_settings,
        {
            key: value
            for key, value in _object(change.get("settings", {}), "settings").items()
            if key not in NAMED_LISTS
        },
    )
    for key in NAMED_LISTS:
        if key not in change.get("settings", {}):
            continue
        entries = _entries(base_settings.get(key, []), key)
        for name, entry in _entries(change["settings"][key], f"settings.{key}").items():
            if entry is None:
                entries.pop(name, None)
            else:
                entries[name] = _merge_patch(entries.get(name, {}), entry)
        settings[key] = list(entries.values())
    merged["settings"] = settings
    merged["bans"] = _merge_patch(_object(base.get("bans", {}), "bans"), _object(change.get("bans", {}), "bans"))
    return merged


def _merge_patch(base: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    patched = dict(base)
    for key, value in change.items():
        if value is None:
            patched.pop(key, None)
        elif isinstance(value, dict) and isinstance(patched.get(key), dict):
            patched[key] = _merge_patch(patched[key], value)
        else:
            patched[key] = value
    return patched


def encode(document: Document) -> bytes:
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """Raises ValueError if `data` is not a JSON object."""
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"document: {error}") from None
    return _object(document, "document")

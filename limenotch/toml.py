"""TOML that is read into checked structs; a fault names its key and its line.

msgspec decodes and checks the types, and what a struct's own `__post_init__` asks for. It says where by a path such
as `$.tier[0].kind[1].speed`; the line is found by a walk over the text, since no kept TOML reader tells positions
of keys in a way that a decoder could use (tomllib drops them, tomlkit keeps layout and not lines).
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec

Kind = TypeVar("Kind", bound=msgspec.Struct)

HEADER = re.compile(r"^\s*(\[\[|\[)\s*([A-Za-z0-9_.\"'-]+)\s*(\]\]|\])")
KEY = re.compile(r"^\s*([A-Za-z0-9_\"'-]+)\s*=")
AT = re.compile(r" - at `\$\.?([^`]*)`$")
UNKNOWN = re.compile(r"Object contains unknown field `([^`]*)`")
NEEDED = re.compile(r"Object missing required field `([^`]*)`")


class FaultError(Exception):
    """What a file says can't be used; the text names the file, the line where there is one, and the key."""


def _walk(text: str) -> dict[str, int]:
    """The line of each table and key, by its path in msgspec's form."""
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        header = HEADER.match(line)
        if header is not None:
            path = ""
            parts = header[2].split(".")
            for depth, part in enumerate(parts):
                path = f"{path}.{part}" if path else part
                if depth == len(parts) - 1 and header[1] == "[[":
                    counts[path] = counts.get(path, -1) + 1
                    lines.setdefault(path, number)
                    for inner in [key for key in counts if key.startswith(f"{path}.")]:
                        del counts[inner]
                if path in counts:
                    path = f"{path}[{counts[path]}]"
            table = path
            lines.setdefault(table, number)
            continue
        key = KEY.match(line)
        if key is not None:
            name = key[1].strip("\"'")
            lines.setdefault(f"{table}.{name}" if table else name, number)
    return lines


def line_of(text: str, path: str) -> int | None:
    """Of a key, or of the nearest table or list around it; None if even that is not in the text."""
    lines = _walk(text)
    while path:
        if path in lines:
            return lines[path]
        path = path[: path.rfind("[")] if path.endswith("]") else path.rpartition(".")[0]
    return None


def fault(text: str, name: str, path: str, what: str) -> FaultError:
    line = line_of(text, path)
    where = f"{name}:{line}" if line else name
    return FaultError(f"{where}: {path}: {what}" if path else f"{where}: {what}")


def decode(text: str, name: str, kind: type[Kind]) -> Kind:
    """Raises FaultError. `name` is how the file is called in messages."""
    try:
        return msgspec.toml.decode(text, type=kind)
    except msgspec.ValidationError as error:
        raise fault(text, name, *explain(str(error))) from None
    except msgspec.DecodeError as error:
        raise FaultError(f"{name}: not TOML: {error}") from None


def decode_over(text: str, name: str, base: str, base_name: str, kind: type[Kind], under: str = "") -> Kind:
    """As `decode`, of a text that stands on another: its tables are laid over the base's key by key, its lists and
    lists of tables replace the base's; the base itself may stand on a text `under` it. A fault is told in the text
    that has the key.
    """
    lower = _lay(decode_table(under, base_name), decode_table(base, base_name))
    merged = _lay(lower, decode_table(text, name))
    try:
        return msgspec.convert(merged, kind, strict=True)
    except msgspec.ValidationError as error:
        path, what = explain(str(error))
        if line_of(text, path) is not None:
            raise fault(text, name, path, what) from None
        raise fault(base, base_name, path, what) from None


def decode_table(text: str, name: str) -> dict[str, Any]:
    try:
        table = msgspec.toml.decode(text)
    except msgspec.DecodeError as error:
        raise FaultError(f"{name}: not TOML: {error}") from None
    return dict(table)


def _lay(under: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    whole = dict(under)
    for key, value in over.items():
        held = whole.get(key)
        whole[key] = _lay(held, value) if isinstance(held, dict) and isinstance(value, dict) else value
    return whole


def explain(message: str) -> tuple[str, str]:
    """msgspec's message as the path of the key and what is wrong with it."""
    match = AT.search(message)
    path = match[1] if match else ""
    what = message[: match.start()] if match else message
    for pattern, says in ((UNKNOWN, "unknown key"), (NEEDED, "missing")):
        key = pattern.match(what)
        if key is not None:
            path, what = f"{path}.{key[1]}" if path else key[1], says
    return path, what[0].lower() + what[1:]


def read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise FaultError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FaultError(f"{path}: not UTF-8") from None

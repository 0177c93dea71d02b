"""TOML that is decoded into checked structs; an error names its key and its line.

msgspec decodes and checks the types, and what a struct's own `__post_init__` requires. It gives the place as a path
such as `$.tier[0].kind[1].speed`; the line is found by scanning the text, since no maintained TOML reader gives the
positions of keys in a way that a decoder could use (tomllib drops them, tomlkit keeps layout and not lines).
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from .errors import LimenotchError

Kind = TypeVar("Kind", bound=msgspec.Struct)

# Of a TOML text: `[table]` or `[[table]]`, and `key =`.
HEADER = re.compile(r"^\s*(\[\[|\[)\s*([A-Za-z0-9_.\"'-]+)\s*(\]\]|\])")
KEY = re.compile(r"^\s*([A-Za-z0-9_\"'-]+)\s*=")
# Of msgspec's messages.
AT = re.compile(r" - at `\$\.?([^`]*)`$")
UNKNOWN = re.compile(r"Object contains unknown field `([^`]*)`")
NEEDED = re.compile(r"Object missing required field `([^`]*)`")


class FaultError(LimenotchError):
    """What a file says can't be used; the text names the file, the line where there is one, and the key."""


class _LineIndex:
    """The line of each table and key of a text, by its path in msgspec's form."""

    def __init__(self, text: str) -> None:
        self.lines: dict[str, int] = {}
        self._list_indexes: dict[str, int] = {}  # of the last table of each list of tables, by the list's path
        table = ""
        for number, line in enumerate(text.splitlines(), 1):
            header = HEADER.match(line)
            if header is not None:
                table = self._table_path(header[2].split("."), header[1] == "[[", number)
                self.lines.setdefault(table, number)
                continue
            key = KEY.match(line)
            if key is not None:
                name = key[1].strip("\"'")
                self.lines.setdefault(f"{table}.{name}" if table else name, number)

    def _table_path(self, parts: list[str], is_list_item: bool, number: int) -> str:
        """The path of a table, where `[[...]]` begins the next one of its list."""
        path = ""
        for depth, part in enumerate(parts):
            path = f"{path}.{part}" if path else part
            if is_list_item and depth == len(parts) - 1:
                self._begin_item(path, number)
            if path in self._list_indexes:
                path = f"{path}[{self._list_indexes[path]}]"
        return path

    def _begin_item(self, path: str, number: int) -> None:
        self._list_indexes[path] = self._list_indexes.get(path, -1) + 1
        self.lines.setdefault(path, number)
        for inner in [key for key in self._list_indexes if key.startswith(f"{path}.")]:
            del self._list_indexes[inner]


def line_of(text: str, path: str) -> int | None:
    """The line of a key, or of the nearest table or list around it; None if even that is not in the text."""
    lines = _LineIndex(text).lines
    while path:
        if path in lines:
            return lines[path]
        path = path[: path.rfind("[")] if path.endswith("]") else path.rpartition(".")[0]
    return None


def fault(text: str, name: str, path: str, what: str) -> FaultError:
    """The error for what is wrong with the key at `path` of a text; `name` is how its file is called in messages."""
    line = line_of(text, path)
    where = f"{name}:{line}" if line else name
    return FaultError(f"{where}: {path}: {what}" if path else f"{where}: {what}")


def decode(text: str, name: str, kind: type[Kind]) -> Kind:
    """The text as a struct. `name` is how the file is called in messages. Raises FaultError."""
    try:
        return msgspec.toml.decode(text, type=kind)
    except msgspec.ValidationError as error:
        raise fault(text, name, *explain(str(error))) from None
    except msgspec.DecodeError as error:
        raise FaultError(f"{name}: not TOML: {error}") from None


def decode_over(text: str, name: str, base: str, base_name: str, kind: type[Kind], under: str = "") -> Kind:
    """As `decode`, of a text that overrides a base text.

    Its tables are merged into the base's key by key, its lists and lists of tables replace the base's. The base
    itself may override a text `under` it. Raises FaultError, which names the text that has the key.
    """
    lower = _merge(decode_table(under, base_name), decode_table(base, base_name))
    merged = _merge(lower, decode_table(text, name))
    try:
        return msgspec.convert(merged, kind, strict=True)
    except msgspec.ValidationError as error:
        path, what = explain(str(error))
        if line_of(text, path) is not None:
            raise fault(text, name, path, what) from None
        raise fault(base, base_name, path, what) from None


def decode_table(text: str, name: str) -> dict[str, Any]:
    """The text as plain values. Raises FaultError if it is not TOML."""
    try:
        table = msgspec.toml.decode(text)
    except msgspec.DecodeError as error:
        raise FaultError(f"{name}: not TOML: {error}") from None
    return dict(table)


def _merge(under: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    merged = dict(under)
    for key, value in over.items():
        lower = merged.get(key)
        merged[key] = _merge(lower, value) if isinstance(lower, dict) and isinstance(value, dict) else value
    return merged


def explain(message: str) -> tuple[str, str]:
    """msgspec's message as the path of the key and what is wrong with it."""
    match = AT.search(message)
    path = match[1] if match else ""
    what = message[: match.start()] if match else message
    for pattern, explanation in ((UNKNOWN, "unknown key"), (NEEDED, "missing")):
        key = pattern.match(what)
        if key is not None:
            path = f"{path}.{key[1]}" if path else key[1]
            what = explanation
    return path, what[0].lower() + what[1:]


def read(path: Path) -> str:
    """The content of a file. Raises FaultError if it can't be read or is not UTF-8."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise FaultError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise FaultError(f"{path}: not UTF-8") from None

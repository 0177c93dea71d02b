"""Decodes TOML into validated structs, with errors that name the key and its line.

msgspec decodes the text and checks types and what a struct's `__post_init__` requires. It names the key by a path such
as `$.tier[0].kind[1].speed`; its line is found by scanning the text, since no maintained TOML reader provides the
positions of keys in a form that a decoder could use (tomllib drops them, tomlkit keeps the layout but not the lines).
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from .errors import LimenotchError

StructT = TypeVar("StructT", bound=msgspec.Struct)

# In a TOML text: `[table]` or `[[table]]`, and `key =`.
TABLE_HEADER = re.compile(r"^\s*(\[\[|\[)\s*([A-Za-z0-9_.\"'-]+)\s*(\]\]|\])")
KEY_START = re.compile(r"^\s*([A-Za-z0-9_\"'-]+)\s*=")
# In msgspec's messages: the path of the key, and what is wrong.
KEY_PATH = re.compile(r" - at `\$\.?([^`]*)`$")
UNKNOWN_FIELD = re.compile(r"Object contains unknown field `([^`]*)`")
MISSING_FIELD = re.compile(r"Object missing required field `([^`]*)`")


class FaultError(LimenotchError):
    """A file's content, or an option of the command line, can't be used.

    The text names the file, the line if it is known, and the key, or else the option.
    """


class _LineIndex:
    """The line of each table and key of a text, by its path in the form of msgspec's messages."""

    def __init__(self, text: str) -> None:
        self.lines: dict[str, int] = {}
        self._list_indexes: dict[str, int] = {}  # by the path of a list of tables: the index of its last table so far
        table = ""
        for number, line in enumerate(text.splitlines(), 1):
            header = TABLE_HEADER.match(line)
            if header is not None:
                table = self._table_path(header[2].split("."), header[1] == "[[", number)
                self.lines.setdefault(table, number)
                continue
            key = KEY_START.match(line)
            if key is not None:
                name = key[1].strip("\"'")
                self.lines.setdefault(f"{table}.{name}" if table else name, number)

    def _table_path(self, parts: list[str], is_list_item: bool, number: int) -> str:
        """The path of the table with this header; a header `[[...]]` starts the next table of its list."""
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
    """The line of a key, else of the innermost table or list around it that is in the text; None if there is none."""
    lines = _LineIndex(text).lines
    while path:
        if path in lines:
            return lines[path]
        path = path[: path.rfind("[")] if path.endswith("]") else path.rpartition(".")[0]
    return None


def fault(text: str, name: str, path: str, what: str) -> FaultError:
    """The error for a text whose key at `path` is wrong; `name` is the file's name in messages."""
    line = line_of(text, path)
    where = f"{name}:{line}" if line else name
    return FaultError(f"{where}: {path}: {what}" if path else f"{where}: {what}")


def decode(text: str, name: str, kind: type[StructT]) -> StructT:
    """The text as a struct of class `kind`; `name` is the file's name in messages. Raises FaultError."""
    try:
        return msgspec.toml.decode(text, type=kind)
    except msgspec.ValidationError as error:
        raise fault(text, name, *explain(str(error))) from None
    except msgspec.DecodeError as error:
        raise FaultError(f"{name}: not TOML: {error}") from None


def decode_over(text: str, name: str, base: str, base_name: str, kind: type[StructT], under: str = "") -> StructT:
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
    """The text as a dict of plain values. Raises FaultError if it is not TOML."""
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
    """Splits msgspec's message into the path of the key and what is wrong with it."""
    match = KEY_PATH.search(message)
    path = match[1] if match else ""
    what = message[: match.start()] if match else message
    for pattern, explanation in ((UNKNOWN_FIELD, "unknown key"), (MISSING_FIELD, "missing")):
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

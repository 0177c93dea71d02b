"""Reads the program's settings from TOML, and prints them with defaults included.

The settings of the fleet are imported only if a file has a `[fleet]` table.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from . import toml
from .settings import Settings

# Keys that TOML allows without quotes.
BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


def parse(text: str, name: str) -> Settings:
    """The settings in a text; `name` is the file's name in errors.

    Raises toml.FaultError, whose text names the file, the line and the key.
    """
    if "fleet" not in toml.decode_table(text, name):
        return toml.decode(text, name, Settings)
    from .fleet.settings import parse_with

    return parse_with(text, name)


def load_settings(path: str | None, environ: Mapping[str, str]) -> Settings:
    """The settings of the file at `path`, else of the file that LIMENOTCH_SETTINGS names, else the defaults.

    Raises toml.FaultError if the file can't be read or used.
    """
    path = path or environ.get("LIMENOTCH_SETTINGS")
    if not path:
        return Settings()
    return parse(toml.read(Path(path)), path)


def check_as(settings: Settings, sidecar: str) -> None:
    """Checks the settings that depend on the sidecar's name. Raises toml.FaultError."""
    if settings.fleet is not None:
        from .fleet.settings import resolve

        resolve(settings.fleet, sidecar)


def effective(settings: Settings) -> str:
    """The settings as TOML: every key with its value, defaults included, but no tables that are absent."""
    tables = msgspec.to_builtins(settings)
    return "\n".join("\n".join(_lines(name, table)) for name, table in tables.items() if table is not None)


def _lines(path: str, table: dict[str, Any]) -> list[str]:
    """The lines of a table and of the tables within it. A value None can't be written in TOML and is left out."""
    inner = {key: value for key, value in table.items() if isinstance(value, dict)}
    plain = {key: value for key, value in table.items() if key not in inner and value is not None}
    lines = [f"[{path}]"]
    lines += [f"{_quoted_key(key)} = {msgspec.json.encode(value).decode()}" for key, value in plain.items()]
    lines.append("")
    for key, value in inner.items():
        if value:
            lines += _lines(f"{path}.{_quoted_key(key)}", value)
    return lines


def _quoted_key(name: str) -> str:
    return name if BARE_KEY.fullmatch(name) else msgspec.json.encode(name).decode()

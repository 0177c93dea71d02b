"""The program's own settings: what operators of other installations may tune, in TOML, read and checked here.

They stand beside the platform's JSON (`config.py`), which says who a sidecar is and what its tier is like. Every
key has a default, which is what the platform's own sidecars run with. Unknown keys are faults.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from . import toml

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Part = Annotated[float, Meta(gt=0, lt=1)]


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    form: Literal["human", "json"] = "human"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ClientSettings(Struct, frozen=True, forbid_unknown_fields=True):
    request_s: Seconds = 2.6
    body_s: Seconds = 2.4
    body_rate: Annotated[float, Meta(gt=0)] = 32768.0
    idle_s: Seconds = 2.5
    write_s: Seconds = 5.0
    accept_s: Seconds = 0.5
    keep_s: Seconds = 1.8

    def __post_init__(self) -> None:
        if self.keep_s < self.accept_s:
            raise ValueError("keep_s: expected accept_s or more")


class EndpointSettings(Struct, frozen=True, forbid_unknown_fields=True):
    idle_part: Part = 0.4
    settle_s: Seconds = 0.01
    answer_s: Seconds = 0.5
    stall_s: Seconds = 10.0


class DiscoverySettings(Struct, frozen=True, forbid_unknown_fields=True):
    silence_s: Seconds = 2.5


class DescriptorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    reserve: Annotated[int, Meta(ge=16, le=512)] = 24
    for_consumers: Part = 0.5


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    log: LogSettings = LogSettings()
    consumers: ClientSettings = ClientSettings()
    providers: EndpointSettings = EndpointSettings()
    directory: DiscoverySettings = DiscoverySettings()
    descriptors: DescriptorSettings = DescriptorSettings()
    fleet: Any = None  # fleet.settings.Fleet where the file has that table: nothing of the fleet is imported without


def parse(text: str, name: str) -> Settings:
    """Raises toml.FaultError, whose text names file, line and key."""
    if "fleet" not in toml.decode_table(text, name):
        return toml.decode(text, name, Settings)
    from .fleet.settings import parse_with

    return parse_with(text, name)


def load_settings(path: str | None, environ: Mapping[str, str]) -> Settings:
    """Of the file given, else of the one that LIMENOTCH_SETTINGS names, else the defaults. Raises FaultError."""
    path = path or environ.get("LIMENOTCH_SETTINGS")
    if not path:
        return Settings()
    return parse(toml.read(Path(path)), path)


def check_as(settings: Settings, sidecar: str) -> None:
    """What the sidecar's name has a say in. Raises FaultError."""
    if settings.fleet is not None:
        from .fleet.settings import place

        place(settings.fleet, sidecar)


def effective(settings: Settings) -> str:
    """As TOML, every key with the value in force; without tables that are not there."""
    values = msgspec.to_builtins(settings)
    return "\n".join("\n".join(_lines(table, values[table])) for table in values if values[table] is not None)


def _lines(path: str, table: dict[str, Any]) -> list[str]:
    """A table and those within it. What is None has no form in TOML and is left out."""
    inner = {key: value for key, value in table.items() if isinstance(value, dict)}
    plain = {key: value for key, value in table.items() if key not in inner and value is not None}
    lines = [f"[{path}]", *(f"{_key(key)} = {msgspec.json.encode(value).decode()}" for key, value in plain.items()), ""]
    for key, value in inner.items():
        lines += _lines(f"{path}.{_key(key)}", value) if value else []
    return lines


def _key(name: str) -> str:
    return name if re.fullmatch(r"[A-Za-z0-9_-]+", name) else msgspec.json.encode(name).decode()

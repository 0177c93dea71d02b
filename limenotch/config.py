"""The one place where configuration is read, checked and given defaults.

A fault raises ConfigError, whose text names the faulty key.
"""

from __future__ import annotations

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from .balancing.settings import read_settings
from .balancing.types import BalancerSettings

Address = tuple[str, int]

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
DEFAULT_MAX_OPEN = 20_000
DEFAULT_IDLE_MS = 60_000.0
DEFAULT_CONNECT_MS = 250.0


class ConfigError(Exception):
    """The configuration can't be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: BalancerSettings
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    known_list: dict[str, Any] = field(default_factory=dict)  # the list as held last, in the directory's form
    admin: Address | None = None  # where operators ask; None: nowhere
    state_path: str | None = None  # how paths begin that one process leaves to the next; None: nothing is left
    sockets: int = DEFAULT_SOCKETS
    memory_mb: float = DEFAULT_MEMORY_MB
    max_open: int = DEFAULT_MAX_OPEN
    key_paths: frozenset[str] = frozenset()  # the keys of the file, see shape_of
    raw_settings: dict[str, Any] = field(default_factory=dict)  # `settings` as the file has them
    endpoint_idle_ms: float = DEFAULT_IDLE_MS
    connect_timeout_ms: float = DEFAULT_CONNECT_MS


def address(text: object, key: str) -> Address:
    """HOST:PORT with a numeric host: there is no name service to ask."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{key}: expected HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def host_port(at: Address) -> str:
    return f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"


def _object(source: Mapping[str, Any], key: str, path: str) -> dict[str, Any]:
    value = source.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"{path}: expected an object")
    return value


def _number(source: Mapping[str, Any], key: str, path: str, default: float, least: float) -> float:
    value = source.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < math.inf:
        raise ConfigError(f"{path}: expected a number of {least:g} or more, not {value!r}")
    return float(value)


def _names(source: Mapping[str, Any], key: str, path: str) -> tuple[str, ...]:
    value = source.get(key, [])
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise ConfigError(f"{path}: expected a list of names")
    return tuple(value)


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, not {value!r}") from None


def _kept(folder: str | None, listen: Address) -> str | None:
    """By the address, as a folder may be that of several sidecars. Without a port of its own one has no successor."""
    name = f"limenotch-{listen[0].replace(':', '_')}-{listen[1]}"
    return os.path.join(folder, name) if folder and listen[1] else None


def parse(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """What the file holds; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_ADMIN_ADDR override it where they are set."""
    env = _object(raw, "settings", "settings")
    if not env:
        raise ConfigError("settings: missing")
    limits = _object(raw, "limits", "limits")
    allowed = _object(env, "permissions", "settings.permissions")
    try:
        settings = read_settings(env)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings.{error}") from None
    listen = environ.get("LB_LISTEN") or raw.get("listen")
    directory = environ.get("LB_DISCOVERY") or raw.get("discovery")
    admin = environ.get("LB_ADMIN_ADDR") or raw.get("admin_addr")
    admin_key = "LB_ADMIN_ADDR" if environ.get("LB_ADMIN_ADDR") else "admin_addr"
    path = "settings.permissions."
    return Config(
        name=str(environ.get("LB_NAME") or raw.get("name") or "limenotch"),
        listen=address(listen, "LB_LISTEN" if environ.get("LB_LISTEN") else "listen"),
        discovery=address(directory, "LB_DISCOVERY" if environ.get("LB_DISCOVERY") else "discovery"),
        seed=_seed(raw.get("seed", "0")),
        settings=settings,
        zones=_names(env, "zones", "settings.zones"),
        kinds=_names(env, "skus", "settings.skus"),
        key_paths=shape_of(raw),
        raw_settings=env,
        known_list=_object(raw, "known", "known"),
        admin=None if admin is None else address(admin, admin_key),
        state_path=_kept(environ.get("TMPDIR"), address(listen, "listen")),
        memory_mb=_number(limits, "memory_mb", "limits.memory_mb", DEFAULT_MEMORY_MB, 8),
        sockets=int(_number(limits, "sockets", "limits.sockets", DEFAULT_SOCKETS, 64)),
        max_open=int(_number(allowed, "max_open", path + "max_open", DEFAULT_MAX_OPEN, 1)),
        endpoint_idle_ms=_number(allowed, "conn_idle_ms", path + "conn_idle_ms", DEFAULT_IDLE_MS, 1),
        connect_timeout_ms=_number(allowed, "connect_timeout_ms", path + "connect_timeout_ms", DEFAULT_CONNECT_MS, 1),
    )


# Of each sidecar's own place: no rule that many agree on has them.
OWN = ("balancers", "rank", "layer", "locality")


def common(config: Config) -> dict[str, Any]:
    """What many sidecars may agree on, as this one's file has it: settings, and the directory's address."""
    settings = {key: value for key, value in config.raw_settings.items() if key not in OWN}
    return {"settings": settings, "bans": {}, "directory": host_port(config.discovery)}


def agreed(config: Config, document: Mapping[str, Any]) -> Config:
    """This sidecar's configuration with what was agreed on in place of its file's. Raises ConfigError."""
    own = {key: config.raw_settings[key] for key in OWN if key in config.raw_settings}
    env = {**_object(document, "settings", "settings"), **own}
    at = document.get("directory", host_port(config.discovery))
    raw = {
        "listen": host_port(config.listen),
        "discovery": at,
        "settings": env,
        "limits": {"memory_mb": config.memory_mb, "sockets": config.sockets},
    }
    new = parse(raw, {})
    return replace(
        new,
        name=config.name,
        seed=config.seed,
        known_list=config.known_list,
        admin=config.admin,
        state_path=config.state_path,
        key_paths=config.key_paths,
    )


# Of a start only, or free to come and go: a file read again may lack them.
OF_THE_START = frozenset({"name", "listen", "admin_addr", "seed", "known"})


def shape_of(raw: Mapping[str, Any]) -> frozenset[str]:
    """The keys that a file has, by path: of all objects of `settings`, and of its classes those that all have."""
    found = {key for key in raw if key not in OF_THE_START}
    env = raw.get("settings")
    if isinstance(env, dict):
        found |= {f"settings.{key}" for key in env}
        for name in ("permissions", "rules"):
            found |= {f"settings.{name}.{key}" for key in env[name]} if isinstance(env.get(name), dict) else set()
        classes = env.get("classes")
        if isinstance(classes, list) and classes and all(isinstance(entry, dict) for entry in classes):
            found |= {f"settings.classes[].{key}" for key in set.intersection(*(set(entry) for entry in classes))}
    return frozenset(found)


def load(environ: Mapping[str, str], again: Config | None = None) -> Config:
    """The configuration that the environment points to.

    Read `again` in a running program, given what is in force there, the file has the word on the directory
    (LB_DISCOVERY is of the start) and may lack no key that the file in force has: one that was cut can still be JSON.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: missing, expected the path of the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"LB_CONFIG: {path}: expected an object")
    if again is not None:
        lost = sorted(again.key_paths - shape_of(raw))
        if lost:
            raise ConfigError(f"{lost[0]}: missing, the file in force has it")
        if raw.get("discovery"):
            environ = {name: value for name, value in environ.items() if name != "LB_DISCOVERY"}
    return parse(raw, environ)

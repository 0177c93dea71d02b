"""Reads and validates the platform's configuration, a JSON file, and adds the defaults.

An error raises ConfigError, whose text names the key.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from .balancing.settings import read_settings
from .balancing.types import BalancerSettings
from .errors import LimenotchError
from .handover_paths import state_path

# A numeric host and a port.
Address = tuple[str, int]

MAX_PORT = 65535

# Defaults for the file; sockets and open requests are counts, memory is in MB of 10^6 bytes.
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
DEFAULT_MAX_OPEN = 20_000
DEFAULT_IDLE_MS = 60_000.0
DEFAULT_CONNECT_MS = 250.0


class ConfigError(LimenotchError):
    """The configuration can't be used; the text names the key or the environment's variable."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one sidecar, from its file and the environment."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: BalancerSettings
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    known_list: dict[str, Any] = field(default_factory=dict)  # the last known endpoint list, in discovery's format
    admin: Address | None = None  # where operators' requests are served; None: nowhere
    state_path: str | None = None  # prefix of the paths for hand-over to the next process; None: no hand-over
    sockets: int = DEFAULT_SOCKETS
    memory_mb: float = DEFAULT_MEMORY_MB
    max_open: int = DEFAULT_MAX_OPEN
    key_paths: frozenset[str] = frozenset()  # the keys in the file, see key_paths_of
    raw_settings: dict[str, Any] = field(default_factory=dict)  # `settings` in the file
    endpoint_idle_ms: float = DEFAULT_IDLE_MS
    connect_timeout_ms: float = DEFAULT_CONNECT_MS


def address(text: object, key: str) -> Address:
    """Parses HOST:PORT; the host is numeric, as there is no name service. Raises ConfigError, which names `key`."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"{key}: expected HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def host_port(socket_address: Address) -> str:
    """Formats an address as HOST:PORT, with an IPv6 host in brackets."""
    host, port = socket_address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _object(source: Mapping[str, Any], key: str, path: str) -> dict[str, Any]:
    value = source.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"{path}: expected an object")
    return value


def _number(source: Mapping[str, Any], key: str, path: str, default: float, minimum: float) -> float:
    value = source.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < math.inf:
        raise ConfigError(f"{path}: expected a number of {minimum:g} or more, not {value!r}")
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


def _balancer_settings(raw_settings: dict[str, Any]) -> BalancerSettings:
    try:
        return read_settings(raw_settings)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings.{error}") from None


def _overridable(raw: Mapping[str, Any], key: str, environ: Mapping[str, str], variable: str) -> tuple[Any, str]:
    """A value and its name for errors: of the environment's `variable` if that is set, else of the file's `key`."""
    override = environ.get(variable)
    return (override, variable) if override else (raw.get(key), key)


def parse(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """The configuration in `raw`, the content of the file.

    LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_ADMIN_ADDR override it if they are set in `environ`. Raises ConfigError.
    """
    raw_settings = _object(raw, "settings", "settings")
    if not raw_settings:
        raise ConfigError("settings: missing")
    limits = _object(raw, "limits", "limits")
    permissions = _object(raw_settings, "permissions", "settings.permissions")
    settings = _balancer_settings(raw_settings)
    listen = address(*_overridable(raw, "listen", environ, "LB_LISTEN"))
    discovery = address(*_overridable(raw, "discovery", environ, "LB_DISCOVERY"))
    admin, admin_key = _overridable(raw, "admin_addr", environ, "LB_ADMIN_ADDR")

    def permission(key: str, default: float) -> float:
        return _number(permissions, key, f"settings.permissions.{key}", default, 1)

    return Config(
        name=str(environ.get("LB_NAME") or raw.get("name") or "limenotch"),
        listen=listen,
        discovery=discovery,
        seed=_seed(raw.get("seed", "0")),
        settings=settings,
        zones=_names(raw_settings, "zones", "settings.zones"),
        kinds=_names(raw_settings, "skus", "settings.skus"),
        key_paths=key_paths_of(raw),
        raw_settings=raw_settings,
        known_list=_object(raw, "known", "known"),
        admin=None if admin is None else address(admin, admin_key),
        state_path=state_path(environ.get("TMPDIR"), *listen),
        memory_mb=_number(limits, "memory_mb", "limits.memory_mb", DEFAULT_MEMORY_MB, 8),
        sockets=int(_number(limits, "sockets", "limits.sockets", DEFAULT_SOCKETS, 64)),
        max_open=int(permission("max_open", DEFAULT_MAX_OPEN)),
        endpoint_idle_ms=permission("conn_idle_ms", DEFAULT_IDLE_MS),
        connect_timeout_ms=permission("connect_timeout_ms", DEFAULT_CONNECT_MS),
    )


# Settings of a single sidecar: the rules that a fleet agrees on do not contain them.
SIDECAR_SETTINGS = ("balancers", "rank", "layer", "locality")


def initial_document(config: Config) -> dict[str, Any]:
    """The rules to start with before the fleet has agreed on any: this file's settings and discovery's address."""
    settings = {key: value for key, value in config.raw_settings.items() if key not in SIDECAR_SETTINGS}
    return {"settings": settings, "bans": {}, "directory": host_port(config.discovery)}


def with_document(config: Config, document: Mapping[str, Any]) -> Config:
    """This sidecar's configuration, with the agreed rules in place of its file's settings. Raises ConfigError."""
    own_settings = {key: config.raw_settings[key] for key in SIDECAR_SETTINGS if key in config.raw_settings}
    raw = {
        "listen": host_port(config.listen),
        "discovery": document.get("directory", host_port(config.discovery)),
        "settings": {**_object(document, "settings", "settings"), **own_settings},
        "limits": {"memory_mb": config.memory_mb, "sockets": config.sockets},
    }
    return replace(
        parse(raw, {}),
        name=config.name,
        seed=config.seed,
        known_list=config.known_list,
        admin=config.admin,
        state_path=config.state_path,
        key_paths=config.key_paths,
    )


# Keys that are used only at the start, or are optional: a file that is read again may lack them.
START_ONLY_KEYS = frozenset({"name", "listen", "admin_addr", "seed", "known"})


def key_paths_of(raw: Mapping[str, Any]) -> frozenset[str]:
    """The paths of the keys in a file, except START_ONLY_KEYS; of `settings.classes` the keys that all classes have."""
    paths = {key for key in raw if key not in START_ONLY_KEYS}
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        return frozenset(paths)
    paths |= {f"settings.{key}" for key in settings}
    for name in ("permissions", "rules"):
        inner = settings.get(name)
        if isinstance(inner, dict):
            paths |= {f"settings.{name}.{key}" for key in inner}
    classes = settings.get("classes")
    if isinstance(classes, list) and classes and all(isinstance(entry, dict) for entry in classes):
        in_all_classes = set.intersection(*(set(entry) for entry in classes))
        paths |= {f"settings.classes[].{key}" for key in in_all_classes}
    return frozenset(paths)


def _read_file(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"LB_CONFIG: {path}: expected an object")
    return raw


def load(environ: Mapping[str, str], again: Config | None = None) -> Config:
    """The configuration in the file that LB_CONFIG names. Raises ConfigError.

    `again`: the current configuration of a process that reads its file again. Discovery's address is then the file's,
    as LB_DISCOVERY applies only at the start, and the file must have every key that the current one has: a file that
    was cut off may still be valid JSON.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: missing, expected the path of the configuration file")
    raw = _read_file(path)
    if again is not None:
        missing = sorted(again.key_paths - key_paths_of(raw))
        if missing:
            raise ConfigError(f"{missing[0]}: missing, but present in the current configuration")
        if raw.get("discovery"):
            environ = {name: value for name, value in environ.items() if name != "LB_DISCOVERY"}
    return parse(raw, environ)

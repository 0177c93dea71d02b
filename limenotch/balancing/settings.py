"""Reads the settings object of a balancer: checks its values and maps its keys to the fields of `types`.

Errors are ValueErrors whose text begins with the path of the key.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

from .types import BalancerSettings, DedupScope, Effect, SlowStart, Tenant, TrafficClass


def _required(source: dict[str, Any], key: str, default: Any = None) -> Any:
    """The value at a key, or its default. Raises ValueError if both are missing."""
    value = source.get(key, default)
    if value is None:
        raise ValueError(f"{key}: missing")
    return value


def _section(source: dict[str, Any], key: str) -> dict[str, Any]:
    """The object at a key; empty if it is missing."""
    section = source.get(key, {})
    if not isinstance(section, dict):
        raise ValueError(f"{key}: expected an object")
    return section


def _number(source: dict[str, Any], key: str, default: float | None = None) -> float:
    """A finite number."""
    value = _required(source, key, default)
    # Python's json module accepts NaN and Infinity, and NaN passes any check written as `value < minimum`.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise ValueError(f"{key}: expected a number")
    return float(value)


def _positive_number(source: dict[str, Any], key: str, default: float | None = None) -> float:
    """A number above 0."""
    value = _number(source, key, default)
    if value <= 0:
        raise ValueError(f"{key}: expected a number above 0, not {value:g}")
    return value


def _choice(kind: Callable[[Any], Any], source: dict[str, Any], key: str, default: str) -> Any:
    """A member of the enumeration `kind`."""
    try:
        return kind(source.get(key, default))
    except ValueError:
        raise ValueError(f"{key}: not one of the known values") from None


def _traffic_class(entry: Any, path: str) -> TrafficClass:
    """One entry of `classes`. Error messages begin with `path`."""
    if not isinstance(entry, dict):
        raise ValueError(f"{path}: expected an object")
    try:
        return TrafficClass(
            name=str(entry.get("name", "")),
            effect=_choice(Effect, entry, "effect", ""),
            latency_objective_ms=_positive_number(entry, "target_ms"),
            deadline_ms=_positive_number(entry, "hard_limit_ms"),
            priority_weight=_number(entry, "worth", 1.0),
            late_weight=_number(entry, "late_worth", 0.0),
            dedup_scope=_choice(DedupScope, entry, "dedup_scope", "all"),
            dedup_window_ms=_number(entry, "window_ms", 0.0),
            streaming=bool(entry.get("streaming", False)),
        )
    except ValueError as error:
        raise ValueError(f"{path}.{str(error).removeprefix('classes.')}") from None


def _traffic_classes(source: dict[str, Any]) -> tuple[TrafficClass, ...]:
    listed = _required(source, "classes")
    if not isinstance(listed, list):
        raise ValueError("classes: expected a list")
    classes = [_traffic_class(entry, f"classes[{number}]") for number, entry in enumerate(listed)]
    if len({cls.name for cls in classes}) < len(classes):
        raise ValueError("classes: two of one name")
    return tuple(classes)


def _slow_start(rules: dict[str, Any]) -> SlowStart:
    return SlowStart(
        initial_capacity=_number(rules, "start_capacity", 1.0),
        warmup_ms=_number(rules, "cold_ms", 0.0),
        overload_multiple=_number(rules, "fall_multiple", 2.0),
        overload_window_ms=_number(rules, "overload_for_ms", 1000.0),
    )


def read_settings(source: dict[str, Any]) -> BalancerSettings:
    """Read the settings of one balancer from the object `source`. Unknown keys are ignored.

    Raises ValueError, beginning with the path of the key, for a value that is missing or out of range.
    """
    classes = _traffic_classes(source)
    tenants = tuple(
        Tenant(str(entry.get("name", "")), _number(entry, "quota_per_s", 0.0))
        for entry in source.get("tenants") or ()
    )
    permissions = _section(source, "permissions")
    rules = _section(source, "rules")
    max_retry_after_ms = 0.0
    if permissions.get("retry_after"):
        max_retry_after_ms = _number(permissions, "max_retry_after_ms", 0.0)
    return BalancerSettings(
        classes=classes,
        tenants=tenants,
        balancers=int(_number(source, "balancers", 1)),
        balancer_index=int(_number(source, "rank", 0)),
        tier_index=int(_number(source, "layer", 0)),
        zone=int(_number(source, "locality", 0)),
        over_quota_weight=_number(source, "over_share_worth", 1.0),
        must_subscribe=source.get("registry_mode") == "ask",
        weights_listed=source.get("weights", "off") != "off",
        max_attempts=int(_positive_number(permissions, "max_attempts", 3)),
        may_cancel=bool(permissions.get("cancel", True)),
        may_hedge=bool(permissions.get("parallel_tries", True)),
        max_retry_after_ms=max_retry_after_ms,
        cross_zone_cost=_number(_section(source, "costs"), "cross_zone", 0.0),
        slow_start=_slow_start(rules),
    )

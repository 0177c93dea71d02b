"""The settings object that every balancer is given: read, checked and put in the module's terms."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

from .types import BalancerSettings, DedupScope, Effect, SlowStart, Tenant, TrafficClass


def _get(source: dict[str, Any], key: str, default: Any = None) -> Any:
    value = source.get(key, default)
    if value is None:
        raise ValueError(f"{key}: missing")
    return value


def _section(source: dict[str, Any], key: str) -> dict[str, Any]:
    section = source.get(key, {})
    if not isinstance(section, dict):
        raise ValueError(f"{key}: expected an object")
    return section


def _number(source: dict[str, Any], key: str, default: float | None = None) -> float:
    value = _get(source, key, default)
    # Python reads NaN and Infinity in JSON, and NaN passes every check that only says what is too small.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise ValueError(f"{key}: expected a number")
    return float(value)


def _above(source: dict[str, Any], key: str, default: float | None = None) -> float:
    value = _number(source, key, default)
    if value <= 0:
        raise ValueError(f"{key}: expected a number above 0, not {value:g}")
    return value


def _choice(kind: Callable[[Any], Any], source: dict[str, Any], key: str, default: str) -> Any:
    try:
        return kind(source.get(key, default))
    except ValueError:
        raise ValueError(f"{key}: not one of the known values") from None


def _class(entry: Any, path: str) -> TrafficClass:
    if not isinstance(entry, dict):
        raise ValueError(f"{path}: expected an object")
    try:
        return TrafficClass(
            name=str(entry.get("name", "")),
            effect=_choice(Effect, entry, "effect", ""),
            latency_objective_ms=_above(entry, "target_ms"),
            deadline_ms=_above(entry, "hard_limit_ms"),
            priority_weight=_number(entry, "worth", 1.0),
            late_weight=_number(entry, "late_worth", 0.0),
            dedup_scope=_choice(DedupScope, entry, "dedup_scope", "all"),
            dedup_window_ms=_number(entry, "window_ms", 0.0),
            streaming=bool(entry.get("streaming", False)),
        )
    except ValueError as error:
        raise ValueError(f"{path}.{str(error).removeprefix('classes.')}") from None


def read_settings(env: dict[str, Any]) -> BalancerSettings:
    """The settings as the wire names them; keys that are not known are skipped."""
    listed = _get(env, "classes")
    if not isinstance(listed, list):
        raise ValueError("classes: expected a list")
    classes = [_class(entry, f"classes[{number}]") for number, entry in enumerate(listed)]
    if len({cls.name for cls in classes}) < len(classes):
        raise ValueError("classes: two of one name")
    tenants = tuple(
        Tenant(str(entry.get("name", "")), _number(entry, "quota_per_s", 0.0))
        for entry in env.get("tenants") or ()
    )
    allowed, rules = _section(env, "permissions"), _section(env, "rules")
    advice = _number(allowed, "max_retry_after_ms", 0.0) if allowed.get("retry_after") else 0.0
    return BalancerSettings(
        classes=tuple(classes),
        tenants=tenants,
        balancers=int(_number(env, "balancers", 1)),
        balancer_index=int(_number(env, "rank", 0)),
        tier_index=int(_number(env, "layer", 0)),
        zone=int(_number(env, "locality", 0)),
        over_quota_weight=_number(env, "over_share_worth", 1.0),
        must_subscribe=env.get("registry_mode") == "ask",
        weights_listed=env.get("weights", "off") != "off",
        max_attempts=int(_above(allowed, "max_attempts", 3)),
        may_cancel=bool(allowed.get("cancel", True)),
        may_hedge=bool(allowed.get("parallel_tries", True)),
        max_retry_after_ms=advice,
        cross_zone_cost=_number(_section(env, "costs"), "cross_zone", 0.0),
        slow_start=SlowStart(
            _number(rules, "start_capacity", 1.0),
            _number(rules, "cold_ms", 0.0),
            _number(rules, "fall_multiple", 2.0),
            _number(rules, "overload_for_ms", 1000.0),
        ),
    )

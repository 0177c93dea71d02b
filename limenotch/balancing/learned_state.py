"""Export and import of what a balancer has learnt about its tier, for the process that replaces it.

Requests, attempts and slow-start credit are not exported, since the old process may still use them.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from .balancer import Balancer
from .endpoint_statistics import LatencyProfile

VERSION = 2
ADMISSION_FIELDS = ("goodput", "sustained_goodput")
BALANCER_FIELDS = (
    "demand",
    "total_successes",
    "total_failures",
    "mean_in_flight",
    "arrivals",
    "hedgeable",
    "hedged",
)
PROFILE_FIELDS = ("recent", "lowest", "reported_rate", "reported_use")
ENDPOINT_FIELDS = (
    "updated_at",
    "latency_ratio_sum",
    "latency_samples",
    "successes",
    "failures",
    "reported_rate_sum",
    "reported_use_sum",
    "last_report_at",
)
MAX_WINDOW_MEANS = 64  # maximum number of window means accepted in a profile


class ImportedProfile(NamedTuple):
    """Checked values of a latency profile."""

    fields: list[float]  # in the order of PROFILE_FIELDS
    window_means: list[float]


class ImportedState(NamedTuple):
    """Checked values of an exported state."""

    balancer: list[float]  # in the order of BALANCER_FIELDS
    admission: list[float]  # in the order of ADMISSION_FIELDS
    classes: dict[str, list[float]]  # mean latency in ms and samples, by class
    tier: ImportedProfile
    kinds: dict[int, ImportedProfile]
    endpoints: dict[str, list[float]]  # process start in ms, then in the order of ENDPOINT_FIELDS


def export_state(balancer: Balancer) -> dict[str, Any]:
    """Export the learnt state as a JSON object, which `import_state` of the same version reads."""
    return {
        "version": VERSION,
        "scalars": [getattr(balancer, field) for field in BALANCER_FIELDS],
        "entry": [getattr(balancer.admission, field) for field in ADMISSION_FIELDS],
        "usual": {
            name: [latency.mean_ms, latency.samples] for name, latency in balancer.class_latencies.items()
        },
        "tier": _export_profile(balancer.tier_profile),
        "kinds": {str(kind): _export_profile(each) for kind, each in balancer.registry.profiles.items()},
        "servers": {
            name: [
                endpoint.endpoint.started_ms,
                *(getattr(endpoint, field) for field in ENDPOINT_FIELDS),
            ]
            for name, endpoint in balancer.registry.endpoints.items()
        },
    }


def import_state(balancer: Balancer, exported: Any) -> None:
    """Import an exported state into a balancer that already has its endpoint list.

    Raises ValueError, and leaves the balancer unchanged, for another version or malformed values.
    """
    state = _check_state(exported)
    _set_fields(balancer, BALANCER_FIELDS, state.balancer)
    _set_fields(balancer.admission, ADMISSION_FIELDS, state.admission)
    for name, (mean_ms, samples) in state.classes.items():
        if name in balancer.class_latencies:
            balancer.class_latencies[name].mean_ms = mean_ms
            balancer.class_latencies[name].samples = int(samples)
    _import_profile(balancer.tier_profile, state.tier)
    for kind, profile in state.kinds.items():
        _import_profile(balancer.registry.profiles.setdefault(kind, LatencyProfile()), profile)
    for name, (started_ms, *values) in state.endpoints.items():
        endpoint = balancer.registry.endpoints.get(name)
        if endpoint is not None and endpoint.endpoint.started_ms == started_ms:  # the same process
            _set_fields(endpoint, ENDPOINT_FIELDS, values)
            # The other process's clock may be ahead of this one's.
            endpoint.updated_at = min(endpoint.updated_at, balancer.now)
            endpoint.last_report_at = min(endpoint.last_report_at, balancer.now)
            balancer.observed[endpoint] = None
    for endpoint in balancer.registry.endpoints.values():
        endpoint.slow_start_credit = 0.0


def _check_state(exported: Any) -> ImportedState:
    if not isinstance(exported, dict):
        raise ValueError("learned state: unsupported version")
    if exported.get("version") is True or exported.get("version") != VERSION:
        raise ValueError("learned state: unsupported version")
    endpoint_values = 1 + len(ENDPOINT_FIELDS)
    return ImportedState(
        balancer=_check_numbers(exported.get("scalars"), len(BALANCER_FIELDS)),
        admission=_check_numbers(exported.get("entry"), len(ADMISSION_FIELDS)),
        classes={name: _check_numbers(pair, 2) for name, pair in _check_table(exported.get("usual")).items()},
        tier=_check_profile(exported.get("tier")),
        kinds={int(kind): _check_profile(each) for kind, each in _check_table(exported.get("kinds")).items()},
        endpoints={
            name: _check_numbers(values, endpoint_values)
            for name, values in _check_table(exported.get("servers")).items()
        },
    )


def _set_fields(target: object, fields: tuple[str, ...], values: list[float]) -> None:
    for field, value in zip(fields, values, strict=True):
        setattr(target, field, value)


def _export_profile(profile: LatencyProfile) -> list[Any]:
    return [*(getattr(profile, field) for field in PROFILE_FIELDS), profile.window_means]


def _import_profile(profile: LatencyProfile, imported: ImportedProfile) -> None:
    _set_fields(profile, PROFILE_FIELDS, imported.fields)
    if not profile.reported_use:  # an earlier version accepted reports of a rate without utilisation
        profile.reported_rate = 0.0
    profile.window_means = list(imported.window_means)


def _check_profile(exported: Any) -> ImportedProfile:
    if not isinstance(exported, list) or not exported or not isinstance(exported[-1], list):
        raise ValueError("learned state: malformed latency profile")
    *fields, window_means = exported
    if len(window_means) > MAX_WINDOW_MEANS:
        raise ValueError("learned state: malformed latency profile")
    return ImportedProfile(
        _check_numbers(fields, len(PROFILE_FIELDS)),
        _check_numbers(window_means, len(window_means)),
    )


def _check_table(exported: Any) -> dict[str, Any]:
    if not isinstance(exported, dict):
        raise ValueError("learned state: expected an object")
    return exported


def _check_numbers(exported: Any, count: int) -> list[float]:
    if not isinstance(exported, list) or len(exported) != count:
        raise ValueError(f"learned state: expected {count} numbers")
    for value in exported:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            raise ValueError("learned state: expected a number of 0 or more")
    return [float(value) for value in exported]

"""Header fields of a request that the protocol gives a meaning."""

from __future__ import annotations

import re

from . import http1

BUDGET_PATTERN = re.compile(rb"([0-9]{1,18}(?:\.[0-9]{0,9})?)([mu])")


def budget_ms(text: bytes) -> float:
    """`480m` and `480000u`, in milliseconds."""
    match = BUDGET_PATTERN.fullmatch(text)
    value = float(match[1]) * (1.0 if match[2] == b"m" else 0.001) if match else 0.0
    if not 0 < value < 1e9:
        raise http1.MalformedError(400, "X-Budget: expected a number and m or u")
    return value


def decode_name(value: bytes) -> str:
    """A name of the settings, which are UTF-8; other bytes stand each for itself, and name nothing there."""
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


# Not twice, even where both say the same: an endpoint may know the request by the other one of the two.
UNREPEATABLE_FIELDS = frozenset((b"x-call-id", b"x-call-class", b"x-caller", b"x-budget", b"idempotency-key"))


def check_once(headers: http1.Headers) -> None:
    """Raises MalformedError, which names the field, if one of those that identify a request is there twice."""
    seen: set[bytes] = set()
    for name, _ in headers:
        key = name.lower()
        if key in UNREPEATABLE_FIELDS and key in seen:
            raise http1.MalformedError(400, f"repeated {key.decode('latin-1')}")
        seen.add(key)

"""Header fields of requests that have a meaning for the sidecar."""

from __future__ import annotations

import re

from . import http1

BUDGET_PATTERN = re.compile(rb"([0-9]{1,18}(?:\.[0-9]{0,9})?)([mu])")
MAX_BUDGET_MS = 1e9  # exclusive

# Rejected if repeated, even with equal values: an endpoint may use another one of the fields.
UNREPEATABLE_FIELDS = frozenset((b"x-call-id", b"x-call-class", b"x-caller", b"x-budget", b"idempotency-key"))


def budget_ms(text: bytes) -> float:
    """The time budget in milliseconds, from milliseconds such as `480m` or microseconds such as `480000u`.

    Raises MalformedError with status 400.
    """
    match = BUDGET_PATTERN.fullmatch(text)
    value_ms = 0.0
    if match:
        value_ms = float(match[1]) * (1.0 if match[2] == b"m" else 0.001)
    if not 0 < value_ms < MAX_BUDGET_MS:
        raise http1.MalformedError(400, "X-Budget: expected a number and m or u")
    return value_ms


def decode_name(value: bytes) -> str:
    """Decodes a name so that it can be compared with names in the settings, which are UTF-8.

    Bytes that are not UTF-8 are decoded as Latin-1, and match no name in the settings.
    """
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return value.decode("latin-1")


def check_once(headers: http1.Headers) -> None:
    """Raises MalformedError (status 400, naming the field) if a field of UNREPEATABLE_FIELDS is repeated."""
    seen: set[bytes] = set()
    for name, _ in headers:
        key = name.lower()
        if key in UNREPEATABLE_FIELDS and key in seen:
            raise http1.MalformedError(400, f"repeated {key.decode('latin-1')}")
        seen.add(key)

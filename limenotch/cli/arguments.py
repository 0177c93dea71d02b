"""Options' values, checked; a fault names the option."""

from __future__ import annotations

from typing import Any

from ..toml import FaultError


def whole_number(given: dict[str, Any], option: str, least: int, default: int = 0) -> int:
    """`default` where the option was not given. Raises FaultError."""
    text = given[option]
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and least <= int(text) < 10**12):
        raise FaultError(f"{option}: expected a whole number of {least} or more, not {text!r}")
    return int(text)


def number(given: dict[str, Any], option: str, least: float, most: float, default: float = 0.0) -> float:
    """`default` where the option was not given. Raises FaultError."""
    text = given[option]
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not least <= value <= most:
        raise FaultError(f"{option}: expected a number from {least:g} to {most:g}, not {text!r}")
    return value

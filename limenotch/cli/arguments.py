"""Parses the values of options; an error names the option."""

from __future__ import annotations

from typing import Any

from ..toml import FaultError


def whole_number(options: dict[str, Any], option: str, minimum: int, default: int = 0) -> int:
    """The value of an option as an integer, `default` without the option. Raises FaultError."""
    text = options[option]
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and minimum <= int(text) < 10**12):
        raise FaultError(f"{option}: expected a whole number of {minimum} or more, not {text!r}")
    return int(text)


def number(options: dict[str, Any], option: str, minimum: float, maximum: float, default: float = 0.0) -> float:
    """The value of an option as a number, `default` without the option. Raises FaultError."""
    text = options[option]
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not minimum <= value <= maximum:
        raise FaultError(f"{option}: expected a number from {minimum:g} to {maximum:g}, not {text!r}")
    return value

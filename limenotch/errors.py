"""The base of the errors that this program raises on its own."""

from __future__ import annotations


class LimenotchError(Exception):
    """The text, for operators, describes what went wrong and with which value."""

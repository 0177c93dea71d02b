"""The base of the errors that this program raises on its own."""

from __future__ import annotations


class LimenotchError(Exception):
    """What went wrong and with which value; the text is for operators."""

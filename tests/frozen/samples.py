"""One sample value of any message or record type, built from its field types."""

from __future__ import annotations

import itertools
import types
import typing
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin, get_type_hints

from msgspec import Struct


def sample_of(kind: Any) -> Any:
    """A value of this type. Two fields of one type never hold the same value, so that a changed order shows.

    Raises TypeError on a type for which no sample is known.
    """
    return _value(kind, itertools.count(1))


def _value(kind: Any, numbers: Iterator[int]) -> Any:
    if isinstance(kind, type) and issubclass(kind, Struct):
        hints = get_type_hints(kind, include_extras=True)
        return kind(**{name: _value(hints[name], numbers) for name in kind.__struct_fields__})
    origin = get_origin(kind)
    if origin in (Union, types.UnionType):
        return _value(next(part for part in get_args(kind) if part is not type(None)), numbers)
    if origin is typing.Annotated:
        return _value(get_args(kind)[0], numbers)
    if origin in (tuple, list):
        parts = [part for part in get_args(kind) if part is not Ellipsis]
        return origin(_value(part, numbers) for part in parts)
    if origin is dict:
        key, value = get_args(kind)
        return {_value(key, numbers): _value(value, numbers)}
    return _leaf(kind, next(numbers))


def _leaf(kind: Any, number: int) -> Any:
    if kind is bool:
        return bool(number % 2)
    if kind is int:
        return number
    if kind is float:
        return number + 0.5
    if kind is str:
        return f"s{number}"
    if kind is bytes:
        return b"b%d" % number
    raise TypeError(f"no sample of {kind!r}")

"""One sample value of any message or record type, built from its field types."""

from __future__ import annotations

import itertools
import types
import typing
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin, get_type_hints

from msgspec import Struct


def sample_of(value_type: Any) -> Any:
    """Returns a value of this type. No two fields of one type have the same value, so that a changed order shows.

    Raises TypeError on a type for which no sample is known.
    """
    return _value(value_type, itertools.count(1))


def _value(value_type: Any, numbers: Iterator[int]) -> Any:
    if isinstance(value_type, type) and issubclass(value_type, Struct):
        hints = get_type_hints(value_type, include_extras=True)
        return value_type(**{name: _value(hints[name], numbers) for name in value_type.__struct_fields__})
    origin = get_origin(value_type)
    if origin in (Union, types.UnionType):
        return _value(next(argument for argument in get_args(value_type) if argument is not type(None)), numbers)
    if origin is typing.Annotated:
        return _value(get_args(value_type)[0], numbers)
    if origin in (tuple, list):
        arguments = [argument for argument in get_args(value_type) if argument is not Ellipsis]
        return origin(_value(argument, numbers) for argument in arguments)
    if origin is dict:
        key, value = get_args(value_type)
        return {_value(key, numbers): _value(value, numbers)}
    return _leaf(value_type, next(numbers))


def _leaf(value_type: Any, number: int) -> Any:
    if value_type is bool:
        return bool(number % 2)
    if value_type is int:
        return number
    if value_type is float:
        return number + 0.5
    if value_type is str:
        return f"s{number}"
    if value_type is bytes:
        return b"b%d" % number
    raise TypeError(f"no sample of {value_type!r}")

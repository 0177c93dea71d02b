"""Calls and attempts of a sidecar in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..model.fleet import Site
from ..model.provider import Provider
from ..model.rules import Allowed

Answer = Callable[[str, float], None]  # verdict, and when to come back


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    number: int
    site: Site | None
    process: Provider | None
    name: str
    began: float
    end: float
    ticket: int = 0
    order: int = -1  # as the rules count it; -1: not a byte was written
    connected: bool = False
    over: bool = False
    hushed: bool = False  # what it sent, or its answer, was lost on the way


@dataclass(slots=True, eq=False)
class Call:
    number: int
    cls: int
    size: float
    key: str
    end: float  # when its consumer stops waiting
    answer: Answer
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False


def allowed_by(told: dict[str, Any]) -> Allowed:
    """What a sidecar's settings allow, for the rules."""
    permissions = told["permissions"]
    return Allowed(
        permissions["max_attempts"], permissions["parallel_tries"], permissions["cancel"], permissions["retry_after"]
    )

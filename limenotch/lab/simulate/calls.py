"""Requests of a simulated sidecar and the attempts at them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..model.fleet import Site
from ..model.provider import Provider
from ..model.rules import Permissions

RequestCallback = Callable[[str, float], None]  # called with the outcome and Retry-After in ms


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt at a request on one endpoint; `process` is None if the endpoint is unknown."""

    request: SidecarRequest
    number: int
    site: Site | None
    process: Provider | None
    name: str
    started_at_ms: float
    deadline_at_ms: float
    job_id: int = 0
    check_index: int = -1  # the attempt's index in the rule checker; -1: no byte was written
    connected: bool = False
    finished: bool = False
    lost_in_network: bool = False  # the attempt or its response was lost in the network


@dataclass(slots=True, eq=False)
class SidecarRequest:
    """A request that one sidecar has accepted."""

    number: int
    cls: int
    size: float
    key: str
    deadline_at_ms: float  # when the client stops waiting
    on_completed: RequestCallback
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False


def permissions_of(settings: dict[str, Any]) -> Permissions:
    """What a sidecar's settings permit, in the form that the rule checker takes."""
    permissions = settings["permissions"]
    return Permissions(
        permissions["max_attempts"], permissions["parallel_tries"], permissions["cancel"], permissions["retry_after"]
    )

"""What a layer is to the program, and what it is given."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from types import ModuleType
from typing import Any, NamedTuple

from ..config import Config
from ..fleet.hub import ComponentEvent
from ..fleet.interfaces import Component, Message
from ..load_balancer_types import DiscoveredEndpoint
from ..net.admin.queries import json_response
from ..net.admin.server import RequestHandler
from ..net.request import RequestInterceptor

RESPONSE_MARGIN_S = 1.0  # for an answer that comes by the log's own bounds


class NodeContext(NamedTuple):
    """Who this process is among the others, and the way to its parts."""

    name: str
    process_epoch: int
    voters: tuple[str, ...]  # as the settings have them
    key: bytes
    dispatch: Callable[[ComponentEvent], None]  # raises nothing
    now: Callable[[], float]  # the clock that parts are told, ms


class FleetAdapter:
    """One that does nothing; layers say what they do more. Made before the fleet begins, on the loop's thread."""

    name = ""  # among the parts that `GET /fleet` tells of
    prefix = ""  # of its messages' tags, entries and state
    is_replicated = True  # it stands on the log, and is there once that has been read
    messages: tuple[type[Message], ...] = ()

    def __init__(self) -> None:
        self.action_handlers: dict[type, Callable[[Any], None]] = {}  # actions of its part that are for the host
        self.routes: dict[str, RequestHandler] = {}  # at the operators' address
        self.interceptor: RequestInterceptor | None = None  # who has a say in calls

    def component(self, state: bytes | None, index: int) -> Component | None:
        """Its decisions, from the state that the log was found with; None: it has nothing to do here.

        Raises msgspec.DecodeError or ValueError on a state that can't be read.
        """
        return None

    def started(self) -> None:
        """Its part stands in the hub."""

    def close(self) -> None:
        """The program ends."""

    def status(self) -> dict[str, Any]:
        """For `GET /fleet`."""
        return {}

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        """Who votes on the log, when that has changed."""

    def endpoints_listed(self, providers: Iterable[DiscoveredEndpoint], whole: bool) -> None:
        """This sidecar's own directory told its whole list, or what changed."""

    def ejection_changed(self, name: str, out: bool, at_ms: float) -> None:
        """A provider is out by hand or by the rules, or back since `at_ms` of Unix time."""

    def configuration_applied(self, config: Config) -> None:
        """What is in force for the calls to come: at the start, of a file read again, by rules under a lease."""

    def connection_closed(self, origin: str) -> None:
        """A consumer's connection of which calls came has ended."""

    def unavailable_response(self, why: str) -> bytes:
        """What its paths are answered where its part is not there."""
        return json_response(503, {"ok": False, "text": why})


def message_types(module: ModuleType) -> tuple[type[Message], ...]:
    return tuple(
        kind
        for kind in vars(module).values()
        if isinstance(kind, type) and issubclass(kind, Message) and kind is not Message
    )

"""The base class of adapters, and the context that an adapter gets."""

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

RESPONSE_MARGIN_S = 1.0  # beyond the log's own time limit, until an operator's request is given up


class NodeContext(NamedTuple):
    """The identity of this process in the fleet, and access to its components."""

    name: str
    process_epoch: int
    voters: tuple[str, ...]  # as in the settings
    key: bytes
    dispatch: Callable[[ComponentEvent], None]  # raises nothing
    now: Callable[[], float]  # the clock of the components, ms


class FleetAdapter:
    """An adapter that does nothing; subclasses override. Created before the fleet starts, on the loop's thread."""

    name = ""  # key of its status in the answer to `GET /fleet`
    prefix = ""  # of its messages' tags, its log entries and its state
    is_replicated = True  # it needs the log, and starts once the log has been read
    messages: tuple[type[Message], ...] = ()

    def __init__(self) -> None:
        self.action_handlers: dict[type, Callable[[Any], None]] = {}  # of its component's actions for the host
        self.routes: dict[str, RequestHandler] = {}  # handlers of paths at the operators' address
        self.interceptor: RequestInterceptor | None = None  # intercepts requests

    def component(self, state: bytes | None, index: int) -> Component | None:
        """The adapter's component, from its state in the log's snapshot; None: it has nothing to do here.

        Raises msgspec.DecodeError or ValueError on an unreadable state.
        """
        return None

    def started(self) -> None:
        """The component has been added to the hub."""

    def close(self) -> None:
        """The program ends."""

    def status(self) -> dict[str, Any]:
        """The status for `GET /fleet`."""
        return {}

    def voters_changed(self, voters: tuple[str, ...]) -> None:
        """The voters of the log have changed."""

    def endpoints_listed(self, endpoints: Iterable[DiscoveredEndpoint], complete: bool) -> None:
        """This sidecar's own discovery sent its complete list (`complete`), or what changed."""

    def ejection_changed(self, name: str, ejected: bool, at_ms: float) -> None:
        """An endpoint is ejected by an operator or the rules, or readmitted since `at_ms` of Unix time."""

    def configuration_applied(self, config: Config) -> None:
        """The configuration for coming requests: at the start, after a reload, by rules under a lease."""

    def connection_closed(self, origin: str) -> None:
        """A client's connection that had brought requests has ended."""

    def unavailable_response(self, reason: str) -> bytes:
        """The response at its routes while its component does not run."""
        return json_response(503, {"ok": False, "text": reason})


def message_types(module: ModuleType) -> tuple[type[Message], ...]:
    """All types of messages in a module's namespace."""
    return tuple(
        item
        for item in vars(module).values()
        if isinstance(item, type) and issubclass(item, Message) and item is not Message
    )

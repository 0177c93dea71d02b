"""The interface between a client's connection and the listener that owns all of them.

Each side depends on this module alone: it refers to no connection class, so the listener chooses the type.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from .. import settings
from ..load_balancer import LoadBalancer
from .pipe import BufferBudget
from .requests import RequestManager
from .sockets import DescriptorLimits

ConnectionT = TypeVar("ConnectionT", contravariant=True)


class ClientConnections(Protocol[ConnectionT]):
    """All client connections as one of them, a `ConnectionT`, sees them."""

    budget: BufferBudget
    requests: RequestManager
    load_balancer: LoadBalancer
    descriptors: DescriptorLimits
    settings: settings.ClientSettings
    closing: bool  # draining: each connection ends with its next response, unless more of its client's has arrived
    over: bool  # each connection ends with its next response, whatever has arrived

    @property
    def ready(self) -> Callable[[], bool]:
        """Whether the sidecar is ready to serve requests."""
        ...

    @property
    def connection_ended(self) -> Callable[[str], None]:
        """Called with the address of a connection that ended, if any of its requests stated it."""
        ...

    def ended(self, connection: ConnectionT) -> None:
        """The connection is closed."""
        ...

    def set_idle(self, connection: ConnectionT, idle: bool) -> None:
        """The connection begins or ceases to wait for its next request."""
        ...

    def set_lingering(self, connection: ConnectionT) -> None:
        """The sending side of the connection is shut down; its client has not closed it yet."""
        ...

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
    """What a connection of a client, a `ConnectionT`, uses of the listener that owns all client connections."""

    budget: BufferBudget
    requests: RequestManager
    load_balancer: LoadBalancer
    descriptors: DescriptorLimits
    settings: settings.ClientSettings
    draining: bool  # each connection ends after its next response, unless bytes of a further request have arrived
    drains_unread: bool  # each connection ends after its next response, whatever has arrived

    @property
    def ready(self) -> Callable[[], bool]:
        """Called to find out whether the sidecar is ready to serve requests."""
        ...

    @property
    def connection_ended(self) -> Callable[[str], None]:
        """Called with the client's address when a connection has ended, if the address was passed with a request."""
        ...

    def ended(self, connection: ConnectionT) -> None:
        """The connection is closed."""
        ...

    def set_idle(self, connection: ConnectionT, idle: bool) -> None:
        """The connection starts (`idle`) or stops waiting for its next request."""
        ...

    def set_receiving(self, connection: ConnectionT, receiving: bool) -> None:
        """The connection starts or stops to wait for the rest of a request of which a part has arrived."""
        ...

    def set_ending(self, connection: ConnectionT) -> None:
        """Our sending side of the connection is shut down; `linger` follows."""
        ...

    def linger(self, connection: ConnectionT) -> None:
        """Takes over the socket of a connection whose sending side is shut down, and closes the connection."""
        ...

"""What a client's connection knows of all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from .. import settings
from ..load_balancer import LoadBalancer
from .pipe import BufferBudget
from .requests import RequestManager
from .sockets import DescriptorLimits

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class ClientConnections(Protocol):
    """All connections of clients, as one of them sees them."""

    budget: BufferBudget
    requests: RequestManager
    load_balancer: LoadBalancer
    descriptors: DescriptorLimits
    settings: settings.ClientSettings
    closing: bool  # each connection ends with its next answer, unless more of its client's has come
    over: bool  # ... whatever has come

    @property
    def ready(self) -> Callable[[], bool]: ...

    @property
    def connection_ended(self) -> Callable[[str], None]: ...

    def ended(self, consumer: ClientConnection) -> None: ...

    def set_idle(self, consumer: ClientConnection, waiting: bool) -> None: ...

    def set_lingering(self, consumer: ClientConnection) -> None: ...

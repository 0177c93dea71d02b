"""What a client's connection knows of all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from .. import settings
from ..load_balancer import Facade
from .pipe import Budget
from .requests import Calls
from .sockets import Sockets

if TYPE_CHECKING:
    from .client_connection import Consumer


class ClientGroup(Protocol):
    """All connections of clients, as one of them sees them."""

    budget: Budget
    calls: Calls
    facade: Facade
    sockets: Sockets
    tuning: settings.Consumers
    closing: bool  # each connection ends with its next answer, unless more of its client's has come
    over: bool  # ... whatever has come

    @property
    def ready(self) -> Callable[[], bool]: ...

    @property
    def gone(self) -> Callable[[str], None]: ...

    def left(self, consumer: Consumer) -> None: ...

    def waits(self, consumer: Consumer, waiting: bool) -> None: ...

    def lingers(self, consumer: Consumer) -> None: ...

"""The count of descriptors: who may open one more, and who gives one back first."""

from __future__ import annotations

from collections.abc import Callable

# Standard streams, the loop's own, the listener, the directory, and what the interpreter holds.
RESERVE = 24
# Of the rest, kept for consumers: one that is let in can at least be told to come back.
FOR_CONSUMERS = 0.3


class Sockets:
    """Counts the sockets of consumers and providers against the limit."""

    def __init__(self, limit: int) -> None:
        self.limit = max(limit - RESERVE, 8)
        self.for_providers = int(self.limit * (1 - FOR_CONSUMERS))
        self.used = 0
        self.idle = 0  # of providers' connections: each can serve one more invoker call, or give way
        self.drop_idle: list[Callable[[], bool]] = []  # each closes one idle connection, if it has any

    def take(self, consumer: bool = False) -> bool:
        """One more, if there is room or an idle connection gives way."""
        limit = self.limit if consumer else self.for_providers
        if self.used >= limit and not any(drop() for drop in self.drop_idle):
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        self.used -= 1

    @property
    def room(self) -> bool:
        """Whether an invoker call could get a connection of its own."""
        return self.idle > 0 or self.used < self.for_providers

"""Executes commands in order, also those that result from executing one of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..load_balancer_types import Command, Commands


class CommandQueue:
    """Commands that wait for the one that is being executed."""

    def __init__(self, execute_one: Callable[[Command], None]) -> None:
        """`execute_one` may call `execute`."""
        self._execute_one = execute_one
        self._pending: deque[Command] = deque()
        self._executing = False

    def execute(self, commands: Commands) -> None:
        """Executes commands in the order given; those that result from executing one of them come last."""
        self._pending.extend(commands)
        if self._executing:
            return
        self._executing = True
        try:
            while self._pending:
                self._execute_one(self._pending.popleft())
        finally:
            self._executing = False

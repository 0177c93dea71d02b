"""Keeps the process below its memory limit by what it measures, whoever holds the memory.

Limits by owner (`memory_limits`) say how much clients may hold; this module lowers that while the process holds more
than it should all the same, and raises it again afterwards.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from time import monotonic

from tornado.ioloop import PeriodicCallback

from .. import logs
from .memory_limits import MIN_CLIENTS
from .pipe import BufferBudget
from .process_memory import PacedRelease, resident_bytes

log = logs.get(__name__)

CHECK_INTERVAL_S = 0.01  # between two measurements
POLL_INTERVAL_S = 0.05  # between two checks without any event of clients
RELEASE_INTERVAL_S = 0.1
FILES_INTERVAL_S = 1.0  # between two measurements of files
SHED_FRACTION = 1 / 16  # of the clients, at once
RELAXED_FRACTION = 1 / 32  # of what clients may hold at once; so far below the limit it is raised again
RAISE_FRACTION = 1 / 256  # of the clients, at each check without a shortage
MAX_LOWERED = 10_000  # clients; no lowered number is above it
LOG_INTERVAL_S = 1.0


class MemoryControl:
    """Decides, by measured memory, how many clients may be connected and whether buffers may grow."""

    def __init__(
        self,
        budget: BufferBudget,
        measure: Callable[[], int] = resident_bytes,
        release: Callable[[], None] | None = None,
    ) -> None:
        """`measure`: what the process holds, in bytes. `release`: returns to the system what is not needed; None: as
        PacedRelease does.
        """
        self.high_bytes: float = math.inf  # above it memory is short
        self.severe_bytes: float = math.inf  # above it no buffer may grow
        self.max_clients: float = math.inf  # infinite unless memory is or was short
        self.files: Callable[[], int] = lambda: 0  # bytes of files that count as memory
        self.active_clients: Callable[[], int] = lambda: 0
        self.shed_clients: Callable[[], None] = lambda: None  # to be called when `max_clients` has been lowered
        self._budget = budget
        self._measure = measure
        self._release = release or PacedRelease()
        self._file_bytes = 0
        self._next_check_at = 0.0  # s
        self._next_release_at = 0.0  # s
        self._next_files_at = 0.0  # s
        self._next_log_at = 0.0  # s
        self._poll = PeriodicCallback(self.check, POLL_INTERVAL_S * 1000.0)
        budget.grown = self.check

    def start(self) -> None:
        """Checks regularly from now on."""
        self._poll.start()

    def stop(self) -> None:
        """Ends the regular checks."""
        self._poll.stop()

    @property
    def shortage(self) -> bool:
        """Whether the process holds more than it should."""
        return self._budget.shortage

    def check(self) -> None:
        """Measures, and lowers or raises what clients may hold. To be called whenever they may hold more."""
        now = monotonic()
        if now < self._next_check_at or math.isinf(self.high_bytes):
            return
        held_bytes = self.held_bytes(now)
        if held_bytes > self.high_bytes and now >= self._next_release_at:
            self._release()
            now = monotonic()
            self._next_release_at = now + RELEASE_INTERVAL_S
            held_bytes = self.held_bytes(now)
        self._next_check_at = now + CHECK_INTERVAL_S
        if held_bytes > self.high_bytes:
            self._lower(held_bytes, now)
        elif held_bytes < self.high_bytes * (1 - RELAXED_FRACTION):
            self._raise()

    def held_bytes(self, now: float) -> int:
        """What counts against the limit: the resident set, files, and the kernel's buffers of connections, in bytes."""
        if now >= self._next_files_at:
            self._next_files_at = now + FILES_INTERVAL_S
            self._file_bytes = self.files()
        return self._measure() + self._file_bytes + self._budget.gauge.measure()

    def estimated_bytes(self) -> int:
        """As `held_bytes`, with files and the kernel's buffers as they were last measured."""
        return self._measure() + self._file_bytes + self._budget.gauge.bytes

    def _lower(self, held_bytes: int, now: float) -> None:
        self._budget.shortage = True
        self._budget.severe_shortage = held_bytes > self.severe_bytes
        active = self.active_clients()
        allowed = min(self.max_clients, active - max(int(active * SHED_FRACTION), 1))
        self.max_clients = max(allowed, MIN_CLIENTS)
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            log.warning(
                "memory is short",
                held=held_bytes,
                wanted=int(self.high_bytes),
                buffered=self._budget.used,
                clients=active,
                allowed=self.max_clients,
            )
        self.shed_clients()

    def _raise(self) -> None:
        self._budget.shortage = False
        self._budget.severe_shortage = False
        self.max_clients += max(self.max_clients * RAISE_FRACTION, 1) if self.max_clients < MAX_LOWERED else math.inf

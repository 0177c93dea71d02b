"""Listening sockets, and the count of descriptors: who may open one more, and who gives one back first."""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from ..settings import DescriptorSettings


class DescriptorQuota:
    """The descriptors of one side."""

    def __init__(self) -> None:
        self.limit = 0
        self.used = 0
        self.idle = 0  # of those used: each can serve one more, or give way
        self.drop_idle: Callable[[], bool] = lambda: False  # closes one idle connection, if there is any

    def take(self) -> bool:
        """One more, if there is room or an idle connection gives way."""
        if self.used >= self.limit and not self.drop_idle():
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        self.used -= 1

    @property
    def has_capacity(self) -> bool:
        """Whether one more could be served."""
        return self.idle > 0 or self.used < self.limit


class Listener:
    """A listening socket on the loop, owned from then on; `accept` is called when somebody waits."""

    def __init__(self, sock: socket.socket, accept: Callable[[], None]) -> None:
        self.socket = sock
        self._loop = IOLoop.current()
        self._accept = accept
        self._closed, self._resting = False, False
        self._loop.add_handler(sock, lambda *_: accept(), IOLoop.READ)

    def take(self, most: int, admit: Callable[[socket.socket], None], failed: Callable[[OSError], None]) -> bool:
        """Accepts up to `most` of those that wait, each given to `admit` in turn; whether none is left.

        An accept that fails otherwise (aborted by its peer, no descriptor left) goes to `failed` and ends the turn.
        """
        for _ in range(most):
            if self._closed:
                return True
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                failed(error)
                return False
            admit(sock)
        return False

    def rest(self, wait_s: float) -> None:
        """Call `accept` no more for so long: who waits stays in the queue."""
        if not self._closed and not self._resting:
            self._resting = True
            self._loop.remove_handler(self.socket)
            self._loop.call_later(wait_s, self._wake)

    def _wake(self) -> None:
        if not self._closed:
            self._resting = False
            self._loop.add_handler(self.socket, lambda *_: self._accept(), IOLoop.READ)

    def close(self) -> None:
        self._closed = True
        if not self._resting:
            self._loop.remove_handler(self.socket)
        self.socket.close()


OPERATORS = 16  # connections of operators at once, beside everybody else's


class DescriptorLimits:
    """Shares the descriptors out to consumers and providers."""

    def __init__(self, limit: int, tuning: DescriptorSettings = DescriptorSettings(), fleet: int = 0) -> None:  # noqa: B008
        """OPERATORS are set apart, and `fleet` for other sidecars. `tuning.reserve`: standard streams, the loop's own,
        the listener, the directory, and what the interpreter holds. Neither side can use up the other's part:
        consumers that only stay connected would else leave no descriptor to reach a provider by, and every call
        would be rejected.
        """
        self._tuning, self._apart = tuning, OPERATORS + fleet
        self.consumers, self.providers = DescriptorQuota(), DescriptorQuota()
        self.limit_to(limit)

    def limit_to(self, limit: int) -> None:
        """Also under way: what is open beyond a new limit stays until it closes."""
        whole = max(limit - self._tuning.reserve - self._apart, 8)
        self.consumers.limit = int(whole * self._tuning.client_part)
        self.providers.limit = whole - self.consumers.limit
        while self.providers.used > self.providers.limit and self.providers.drop_idle():
            pass  # no consumer notices

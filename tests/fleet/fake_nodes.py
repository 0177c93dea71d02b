"""A process's worth of sockets around toy parts, for several in one loop."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from limenotch.fleet.hub import ComponentHub
from limenotch.fleet.interfaces import ShutdownStarted
from limenotch.fleet.wire import FrameCodec, Hello, with_length
from limenotch.net.peer_transport import PeerTransport

from .fake_messages import ALL, Book, Toy

KEY = b"sixteen bytes ok"
HOST = "127.0.0.1"


class One:
    """A process: its parts, and a book of who is where."""

    def __init__(self, name: str, process_epoch: int = 1, address: tuple[str, int] = (HOST, 0), **more: Any) -> None:
        self.toy, self.log, self.book = Toy(), Toy(), Book({})
        self.wire = FrameCodec(KEY, "g", ALL)
        self.hub = ComponentHub([("mb.", self.toy), ("ag.", self.log)], self.book)
        self.others = PeerTransport(address, name, process_epoch, self.hub, self.wire, **more)

    @property
    def address(self) -> tuple[str, int]:
        assert self.others.address is not None
        return self.others.address

    def act(self, *actions: Any) -> None:
        """As if a part answered these."""
        self.toy.answer = lambda now, event: list(actions) if isinstance(event, ShutdownStarted) else []
        self.others.dispatch(ShutdownStarted())
        self.toy.answer = lambda now, event: []

    @property
    def streams(self) -> dict[str, Any]:
        found: dict[str, Any] = self.others.state()["streams"]
        return found


async def until(true: Callable[[], Any]) -> None:
    """The time is a bound for a broken program; it is left as soon as what was waited for is seen."""
    async with asyncio.timeout(10):
        while not true():
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def several(*ones: One) -> AsyncIterator[None]:
    try:
        for one in ones:
            one.others.start()
        await until(lambda: all(one.toy.told for one in ones))
        for one in ones:
            one.book.known.update({other.others._name: other.address for other in ones})
        yield
    finally:
        for one in ones:
            one.others.close()


def run(case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(case())


HELLO = with_length(FrameCodec(KEY, "g", ALL).encode("a", Hello(1, (HOST, 9))))

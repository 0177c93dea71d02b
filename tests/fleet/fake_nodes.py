"""A node with real sockets around fake components; a test runs several in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from limenotch.fleet.hub import ComponentHub
from limenotch.fleet.interfaces import ShutdownStarted
from limenotch.fleet.wire import FrameCodec, Hello, with_length
from limenotch.net.peer_transport import PeerTransport

from .fake_messages import ALL_MESSAGES, FakeAddressBook, FakeComponent

KEY = b"sixteen bytes ok"
HOST = "127.0.0.1"


class FakeNode:
    """The node of one process: its components, and an address book."""

    def __init__(self, name: str, process_epoch: int = 1, address: tuple[str, int] = (HOST, 0), **more: Any) -> None:
        self.membership, self.log, self.address_book = FakeComponent(), FakeComponent(), FakeAddressBook({})
        self.codec = FrameCodec(KEY, "g", ALL_MESSAGES)
        self.hub = ComponentHub([("mb.", self.membership), ("ag.", self.log)], self.address_book)
        self.transport = PeerTransport(address, name, process_epoch, self.hub, self.codec, **more)

    @property
    def address(self) -> tuple[str, int]:
        assert self.transport.address is not None
        return self.transport.address

    def perform(self, *actions: Any) -> None:
        """Have the first component answer an event with these actions."""
        self.membership.handler = lambda now, event: list(actions) if isinstance(event, ShutdownStarted) else []
        self.transport.dispatch(ShutdownStarted())
        self.membership.handler = lambda now, event: []

    @property
    def streams(self) -> dict[str, Any]:
        counts: dict[str, Any] = self.transport.state()["streams"]
        return counts


async def wait_until(condition: Callable[[], Any]) -> None:
    """Poll until the condition holds; the time limit only ends a broken program."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def running(*nodes: FakeNode) -> AsyncIterator[None]:
    try:
        for node in nodes:
            node.transport.start()
        await wait_until(lambda: all(node.membership.events for node in nodes))
        for node in nodes:
            node.address_book.addresses.update({peer.transport._name: peer.address for peer in nodes})
        yield
    finally:
        for node in nodes:
            node.transport.close()


def run(case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(case())


HELLO = with_length(FrameCodec(KEY, "g", ALL_MESSAGES).encode("a", Hello(1, (HOST, 9))))

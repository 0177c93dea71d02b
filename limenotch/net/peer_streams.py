"""Kept streams between sidecars: each speaks on its own ones and listens on the others'.

A stream has one direction. Its first frame is a Hello, so that a stranger holds a place for moments only and may send
little; a later stream of the same process takes the place of the one before. Queues, places, frames and waits are
bounded, and whatever does not fit is dropped and counted: the parts bear a network that loses.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from .. import logs
from ..config import Address, host_port
from ..fleet.interfaces import Message
from ..fleet.wire import MOST_FRAME, FrameCodec, FrameFault, FrameReader, Hello, with_length

log = logs.get(__name__)

MOST_QUEUED = 1024  # messages that wait for one peer ...
MOST_BYTES = 4 * 1024 * 1024  # ... and their bytes
BATCH = 256 * 1024  # bytes written at once, one frame at least
STALE_S = 5.0  # a message that has waited for longer is not sent any more
CONNECT_S = 2.0
STALL_S = 5.0  # a peer that takes nothing for so long is silent: its stream is dropped
IDLE_S = 60.0  # without a message: an own stream is closed, and another's after twice that
FIRST_WAIT_S, MOST_WAIT_S = 0.1, 3.2  # between two attempts, doubled from one to the next
HELLO_S = 2.0  # from a connection to its first frame
MOST_HELLO = 1024  # bytes of that frame
READ = 64 * 1024  # bytes at once

USER_TIMEOUT: int | None = getattr(socket, "TCP_USER_TIMEOUT", None)  # Linux; RFC 5482

COUNTS = (
    "connected",
    "connect_failed",
    "lost",
    "stalled",
    "given_up",
    "sent",
    "dropped_full",
    "dropped_old",
    "accepted",
    "refused",
    "heard",
)


def counts() -> dict[str, int]:
    """All counters of streams, at 0."""
    return dict.fromkeys(COUNTS, 0)


def family(address: Address) -> socket.AddressFamily:
    """The address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class _Link:
    """What goes to one address: a queue, and a task that connects, writes and waits."""

    def __init__(self, address: Address, hello: bytes, counted: dict[str, int], ended: Callable[[_Link], None]) -> None:
        self.address, self._hello, self._counted, self._ended = address, hello, counted, ended
        self._queue: deque[tuple[float, bytes]] = deque()
        self._bytes = 0
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._stream: IOStream | None = None
        self.used = self._loop.time()  # when a message was given last
        self._task = self._loop.create_task(self._keep())

    @property
    def queued(self) -> tuple[int, int]:
        """Messages, bytes."""
        return len(self._queue), self._bytes

    @property
    def connected(self) -> bool:
        return self._stream is not None

    def put(self, frame: bytes) -> None:
        self.used = self._loop.time()
        self._queue.append((self.used, with_length(frame)))
        self._bytes += len(self._queue[-1][1])
        while len(self._queue) > MOST_QUEUED or self._bytes > MOST_BYTES:
            self._counted["dropped_full"] += 1
            self._pop()
        self._wake.set()

    def close(self) -> None:
        self._task.cancel()

    def _pop(self) -> bytes:
        data = self._queue.popleft()[1]
        self._bytes -= len(data)
        return data

    def _batch(self) -> bytes:
        """What is written next; empty if nothing waits."""
        taken: list[bytes] = []
        size, old = 0, self._loop.time() - STALE_S
        while self._queue and (not taken or size + len(self._queue[0][1]) <= BATCH):
            at = self._queue[0][0]
            data = self._pop()
            if at < old:
                self._counted["dropped_old"] += 1
                continue
            taken.append(data)
            size += len(data)
        self._counted["sent"] += len(taken)
        return b"".join(taken)

    async def _some(self) -> bool:
        """Wait for a message; False if none comes for long."""
        while not self._queue:
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), IDLE_S)
            except TimeoutError:
                return False
            if self._stream is not None and self._stream.closed():
                return True
        return True

    async def _keep(self) -> None:
        try:
            await self._run()
        except Exception:
            log.exception("fault in a stream to a sidecar", at=host_port(self.address))
        finally:
            self._ended(self)  # before anything more can be put

    async def _run(self) -> None:
        wait = FIRST_WAIT_S
        while await self._some():
            began = self._loop.time()
            stream = await self._connect()
            if stream is not None:
                try:
                    await self._write(stream)
                finally:
                    self._stream = None
                    stream.close()
                if self._loop.time() - began > MOST_WAIT_S:
                    wait = FIRST_WAIT_S  # it was kept for a while: what ended it is new
            if self._loop.time() - self.used > IDLE_S:
                break
            await asyncio.sleep(wait)  # also after a stream that ended at once: its peer may have no place for it
            wait = min(2 * wait, MOST_WAIT_S)

    async def _connect(self) -> IOStream | None:
        stream = None
        try:
            stream = IOStream(socket.socket(family(self.address), socket.SOCK_STREAM), max_buffer_size=READ)
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if USER_TIMEOUT is not None:  # what is sent into a cut would else wait for TCP's own, ever rarer attempts
                stream.socket.setsockopt(socket.IPPROTO_TCP, USER_TIMEOUT, int(STALL_S * 1000))
            async with asyncio.timeout(CONNECT_S):
                await stream.connect(self.address)
                await stream.write(with_length(self._hello))
        except (OSError, StreamClosedError, TimeoutError) as error:
            self._counted["connect_failed"] += 1
            log.debug("no stream to a sidecar", at=host_port(self.address), error=str(error) or type(error).__name__)
            if stream is not None:
                stream.close()
            return None
        except BaseException:
            if stream is not None:
                stream.close()
            raise
        self._counted["connected"] += 1
        self._stream = stream
        return stream

    async def _write(self, stream: IOStream) -> None:
        """Until the stream ends, or nothing is said on it for long."""
        watch = self._loop.create_task(self._watch(stream))
        try:
            while await self._some() and not stream.closed():
                data = self._batch()
                if data:
                    async with asyncio.timeout(STALL_S):
                        await stream.write(data)
        except TimeoutError:
            self._counted["stalled"] += 1
        except StreamClosedError:
            pass
        finally:
            watch.cancel()

    async def _watch(self, stream: IOStream) -> None:
        """The peer says nothing on a stream of ours: whatever comes is its end."""
        with contextlib.suppress(StreamClosedError):
            await stream.read_bytes(1)
        self._counted["lost"] += 1
        stream.close()
        self._wake.set()


class _Caller:
    """A stream that another process has opened."""

    def __init__(self, stream: IOStream, now: float) -> None:
        self.stream, self.heard = stream, now
        self.hello: Hello | None = None
        self.who: tuple[str, int] | None = None  # name and life


Heed = Callable[[str, Address, Message], None]


class PeerStreams:
    """Owns all kept streams of this process, `most` of its own and as many of others."""

    def __init__(self, wire: FrameCodec, hello: bytes, most: int, heed: Heed) -> None:
        """`hello`: the frame that opens each own stream. `heed` is given what was heard: sender, address, message."""
        self._wire, self._hello, self._most, self._heed = wire, hello, most, heed
        self._links: dict[Address, _Link] = {}
        self._callers: dict[_Caller, asyncio.Task[None]] = {}
        self._loop = asyncio.get_running_loop()
        self.counts = counts()

    def send(self, address: Address, frame: bytes) -> None:
        """Send a frame to the peer at this address, on its stream or a new one; dropped where it can't be."""
        link = self._links.get(address)
        if link is None:
            if len(self._links) >= self._most:
                self._give_up(min(self._links.values(), key=lambda each: each.used))
            link = self._links[address] = _Link(address, self._hello, self.counts, self._ended)
        link.put(frame)

    def _give_up(self, link: _Link) -> None:
        self.counts["given_up"] += 1
        self._links.pop(link.address, None)
        link.close()

    def _ended(self, link: _Link) -> None:
        if self._links.get(link.address) is link:
            del self._links[link.address]

    def admit(self, sock: socket.socket) -> None:
        """A connection that came; when places are out the one that was silent for longest gives way."""
        while len(self._callers) >= self._most:
            silent = min(self._callers, key=lambda each: (each.who is not None, each.heard))
            self.counts["refused"] += 1
            self._shut(silent)
        self.counts["accepted"] += 1
        caller = _Caller(IOStream(sock, max_buffer_size=2 * READ), self._loop.time())
        self._callers[caller] = self._loop.create_task(self._serve(caller))

    def _shut(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)
        caller.stream.close()

    async def _serve(self, caller: _Caller) -> None:
        frames = FrameReader(MOST_HELLO)
        until = self._loop.time() + HELLO_S
        try:
            while True:
                async with asyncio.timeout_at(until):
                    frames.feed(await caller.stream.read_bytes(READ, partial=True))
                if not self._taken(caller, frames):
                    return
                caller.heard = self._loop.time()
                if caller.who is not None:
                    until = caller.heard + 2 * IDLE_S
        except (StreamClosedError, TimeoutError):
            pass
        except Exception:
            log.exception("fault in a sidecar's stream")
        finally:
            self._shut(caller)

    def _taken(self, caller: _Caller, frames: FrameReader) -> bool:
        """All whole frames that came; False ends the stream."""
        while (frame := frames.take()) is not None:
            if isinstance(frame, FrameFault):
                self._wire.count(frame)
                return False
            said = self._wire.decode(frame)
            if isinstance(said, FrameFault):
                if said in (FrameFault.DIGEST, FrameFault.GROUP, FrameFault.SHORT) or caller.who is None:
                    return False
                continue  # a kind or a version that is not spoken here: what follows may be
            sender, message = said
            if isinstance(message, Hello):
                self._greeted(caller, sender, message)
                frames.most = MOST_FRAME
            elif caller.who is None or caller.hello is None or sender != caller.who[0]:
                return False
            else:
                self.counts["heard"] += 1
                self._heed(sender, caller.hello.address, message)
        return True

    def _greeted(self, caller: _Caller, sender: str, hello: Hello) -> None:
        caller.hello, caller.who = hello, (sender, hello.process_epoch)
        for other in [each for each in self._callers if each is not caller and each.who == caller.who]:
            self._shut(other)

    def state(self) -> dict[str, object]:
        """For operators: counts, and each own stream."""
        links = {
            host_port(address): {"connected": link.connected, "messages": link.queued[0], "bytes": link.queued[1]}
            for address, link in self._links.items()
        }
        return {**self.counts, "in": len(self._callers), "out": links}

    def close(self) -> None:
        """Close all streams, and listen no more."""
        for link in list(self._links.values()):
            link.close()
        self._links.clear()
        for caller in list(self._callers):
            self._shut(caller)

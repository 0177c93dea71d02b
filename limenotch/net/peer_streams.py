"""Persistent streams between sidecars: each process sends on streams that it opens, and receives on its peers'.

A stream has one direction. Its first frame is a Hello: until it arrives, a stranger may send little and occupies one of
the inbound streams for moments only. A later stream of the same process replaces the earlier one. Queues, numbers of
streams, frames and waits are bounded; what does not fit is dropped and counted, as components tolerate message loss.
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
from ..fleet.wire import MAX_FRAME_BYTES, FrameCodec, FrameFault, FrameReader, Hello, with_length
from .slow_peers import limit_receive_buffer

log = logs.get(__name__)

MAX_QUEUED_MESSAGES = 1024  # messages queued for one peer ...
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # ... and their bytes
MAX_BATCH_BYTES = 256 * 1024  # of one write, at least one frame
MAX_QUEUE_AGE_S = 5.0  # a message that has been queued for longer is dropped
CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0  # a stream whose peer accepts no bytes for so long is closed
IDLE_TIMEOUT_S = 60.0  # without a message an outbound stream is closed; an inbound one after twice that
MIN_RETRY_WAIT_S, MAX_RETRY_WAIT_S = 0.1, 3.2  # between two attempts to connect, doubled each time
HELLO_TIMEOUT_S = 2.0  # from accepting a connection to its first frame
MAX_HELLO_BYTES = 1024  # of that frame
READ_CHUNK_BYTES = 64 * 1024

TCP_USER_TIMEOUT: int | None = getattr(socket, "TCP_USER_TIMEOUT", None)  # Linux; RFC 5482

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


def new_counts() -> dict[str, int]:
    """All counters of streams, at 0."""
    return dict.fromkeys(COUNTS, 0)


def address_family(address: Address) -> socket.AddressFamily:
    """The address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class _OutboundStream:
    """The stream to one address: a queue, and a task that connects, writes and waits."""

    def __init__(
        self, address: Address, hello: bytes, counts: dict[str, int], on_end: Callable[[_OutboundStream], None]
    ) -> None:
        self.address, self._hello, self._counts, self._on_end = address, hello, counts, on_end
        self._queue: deque[tuple[float, bytes]] = deque()
        self._bytes = 0
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._stream: IOStream | None = None
        self.last_used_s = self._loop.time()  # when a message was queued last
        self._task = self._loop.create_task(self._run_logged())

    @property
    def queued(self) -> tuple[int, int]:
        """Numbers of queued messages and bytes."""
        return len(self._queue), self._bytes

    @property
    def connected(self) -> bool:
        return self._stream is not None

    def enqueue(self, frame: bytes) -> None:
        self.last_used_s = self._loop.time()
        self._queue.append((self.last_used_s, with_length(frame)))
        self._bytes += len(self._queue[-1][1])
        while len(self._queue) > MAX_QUEUED_MESSAGES or self._bytes > MAX_QUEUED_BYTES:
            self._counts["dropped_full"] += 1
            self._dequeue()
        self._wake.set()

    def close(self) -> None:
        self._task.cancel()

    def _dequeue(self) -> bytes:
        data = self._queue.popleft()[1]
        self._bytes -= len(data)
        return data

    def _next_batch(self) -> bytes:
        """The bytes to write next; empty if no message is queued."""
        batch: list[bytes] = []
        size, oldest_s = 0, self._loop.time() - MAX_QUEUE_AGE_S
        while self._queue and (not batch or size + len(self._queue[0][1]) <= MAX_BATCH_BYTES):
            queued_at_s = self._queue[0][0]
            data = self._dequeue()
            if queued_at_s < oldest_s:
                self._counts["dropped_old"] += 1
                continue
            batch.append(data)
            size += len(data)
        self._counts["sent"] += len(batch)
        return b"".join(batch)

    async def _wait_for_message(self) -> bool:
        """Wait for a queued message or the stream's end; False if idle for too long."""
        while not self._queue:
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), IDLE_TIMEOUT_S)
            except TimeoutError:
                return False
            if self._stream is not None and self._stream.closed():
                return True
        return True

    async def _run_logged(self) -> None:
        try:
            await self._run()
        except Exception:
            log.exception("internal error in an outbound fleet stream", at=host_port(self.address))
        finally:
            self._on_end(self)  # before another message can be queued

    async def _run(self) -> None:
        wait_s = MIN_RETRY_WAIT_S
        while await self._wait_for_message():
            connect_started_s = self._loop.time()
            stream = await self._connect()
            if stream is not None:
                try:
                    await self._write(stream)
                finally:
                    self._stream = None
                    stream.close()
                if self._loop.time() - connect_started_s > MAX_RETRY_WAIT_S:
                    wait_s = MIN_RETRY_WAIT_S  # it lasted for a while: its end is a new fault
            if self._loop.time() - self.last_used_s > IDLE_TIMEOUT_S:
                break
            # Also after a stream that ended at once: the peer may be at its limit of streams.
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_RETRY_WAIT_S)

    async def _connect(self) -> IOStream | None:
        stream = None
        try:
            stream = IOStream(
                socket.socket(address_family(self.address), socket.SOCK_STREAM), max_buffer_size=READ_CHUNK_BYTES
            )
            limit_receive_buffer(stream.socket)
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Without it, data sent into a network partition would wait for TCP's own, ever rarer retransmissions.
            if TCP_USER_TIMEOUT is not None:
                stream.socket.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, int(WRITE_TIMEOUT_S * 1000))
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(self.address)
                await stream.write(with_length(self._hello))
        except (OSError, StreamClosedError, TimeoutError) as error:
            self._counts["connect_failed"] += 1
            log.debug(
                "cannot connect a fleet stream", at=host_port(self.address), error=str(error) or type(error).__name__
            )
            if stream is not None:
                stream.close()
            return None
        except BaseException:
            if stream is not None:
                stream.close()
            raise
        self._counts["connected"] += 1
        self._stream = stream
        return stream

    async def _write(self, stream: IOStream) -> None:
        """Write queued messages until the stream ends or is idle for too long."""
        watch = self._loop.create_task(self._watch_for_end(stream))
        try:
            while await self._wait_for_message() and not stream.closed():
                data = self._next_batch()
                if data:
                    async with asyncio.timeout(WRITE_TIMEOUT_S):
                        await stream.write(data)
        except TimeoutError:
            self._counts["stalled"] += 1
        except StreamClosedError:
            pass
        finally:
            watch.cancel()

    async def _watch_for_end(self, stream: IOStream) -> None:
        """The peer never sends on an outbound stream: anything that can be read is its end."""
        with contextlib.suppress(StreamClosedError):
            await stream.read_bytes(1)
        self._counts["lost"] += 1
        stream.close()
        self._wake.set()


class _InboundStream:
    """A stream that a peer has opened."""

    def __init__(self, stream: IOStream, now: float) -> None:
        self.stream, self.last_received_s = stream, now
        self.hello: Hello | None = None
        self.process: tuple[str, int] | None = None  # name and process epoch


MessageHandler = Callable[[str, Address, Message], None]


class PeerStreams:
    """Owns all persistent streams of this process: `max_streams` outbound and as many inbound ones."""

    def __init__(self, codec: FrameCodec, hello: bytes, max_streams: int, on_message: MessageHandler) -> None:
        """`hello`: the first frame of each outbound stream. `on_message` gets sender, address and message."""
        self._codec, self._hello, self._max_streams, self._on_message = codec, hello, max_streams, on_message
        self._outbound: dict[Address, _OutboundStream] = {}
        self._inbound: dict[_InboundStream, asyncio.Task[None]] = {}
        self._loop = asyncio.get_running_loop()
        self.counts = new_counts()

    def send(self, address: Address, frame: bytes) -> None:
        """Queue a frame for the peer at this address, on its stream or a new one; dropped if it can't be sent."""
        outbound = self._outbound.get(address)
        if outbound is None:
            if len(self._outbound) >= self._max_streams:
                self._evict(min(self._outbound.values(), key=lambda each: each.last_used_s))
            outbound = self._outbound[address] = _OutboundStream(
                address, self._hello, self.counts, self._outbound_ended
            )
        outbound.enqueue(frame)

    def _evict(self, outbound: _OutboundStream) -> None:
        self.counts["given_up"] += 1
        self._outbound.pop(outbound.address, None)
        outbound.close()

    def _outbound_ended(self, outbound: _OutboundStream) -> None:
        if self._outbound.get(outbound.address) is outbound:
            del self._outbound[outbound.address]

    def accept(self, sock: socket.socket) -> None:
        """Take an accepted connection; at the limit, the stream that was silent for longest is closed."""
        while len(self._inbound) >= self._max_streams:
            longest_silent = min(self._inbound, key=lambda each: (each.process is not None, each.last_received_s))
            self.counts["refused"] += 1
            self._close_inbound(longest_silent)
        self.counts["accepted"] += 1
        inbound = _InboundStream(IOStream(sock, max_buffer_size=2 * READ_CHUNK_BYTES), self._loop.time())
        self._inbound[inbound] = self._loop.create_task(self._serve(inbound))

    def _close_inbound(self, inbound: _InboundStream) -> None:
        self._inbound.pop(inbound, None)
        inbound.stream.close()

    async def _serve(self, inbound: _InboundStream) -> None:
        frames = FrameReader(MAX_HELLO_BYTES)
        deadline_s = self._loop.time() + HELLO_TIMEOUT_S
        try:
            while True:
                async with asyncio.timeout_at(deadline_s):
                    frames.feed(await inbound.stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                if not self._process_frames(inbound, frames):
                    return
                await asyncio.sleep(0)  # clients come between, also while a peer sends all the time
                inbound.last_received_s = self._loop.time()
                if inbound.process is not None:
                    deadline_s = inbound.last_received_s + 2 * IDLE_TIMEOUT_S
        except (StreamClosedError, TimeoutError):
            pass
        except Exception:
            log.exception("internal error in an inbound fleet stream")
        finally:
            self._close_inbound(inbound)

    def _process_frames(self, inbound: _InboundStream, frames: FrameReader) -> bool:
        """Handle all complete frames; False: the stream must be closed."""
        while (frame := frames.next_frame()) is not None:
            if isinstance(frame, FrameFault):
                self._codec.count(frame)
                return False
            decoded = self._codec.decode(frame)
            if isinstance(decoded, FrameFault):
                if decoded in (FrameFault.DIGEST, FrameFault.GROUP, FrameFault.SHORT) or inbound.process is None:
                    return False
                continue  # an unknown kind or version: later frames may be known
            sender, message = decoded
            if isinstance(message, Hello):
                self._hello_received(inbound, sender, message)
                frames.max_frame_bytes = MAX_FRAME_BYTES
            elif inbound.process is None or inbound.hello is None or sender != inbound.process[0]:
                return False
            else:
                self.counts["heard"] += 1
                self._on_message(sender, inbound.hello.address, message)
        return True

    def _hello_received(self, inbound: _InboundStream, sender: str, hello: Hello) -> None:
        inbound.hello, inbound.process = hello, (sender, hello.process_epoch)
        for earlier in [each for each in self._inbound if each is not inbound and each.process == inbound.process]:
            self._close_inbound(earlier)

    def state(self) -> dict[str, object]:
        """For operators: counts, and each outbound stream."""
        streams = {
            host_port(address): {
                "connected": outbound.connected,
                "messages": outbound.queued[0],
                "bytes": outbound.queued[1],
            }
            for address, outbound in self._outbound.items()
        }
        return {**self.counts, "in": len(self._inbound), "out": streams}

    def close(self) -> None:
        """Close all streams."""
        for outbound in list(self._outbound.values()):
            outbound.close()
        self._outbound.clear()
        for inbound in list(self._inbound):
            self._close_inbound(inbound)

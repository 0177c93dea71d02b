"""Persistent streams: peers that are gone, silent, closing or unknown, and bounds of queues and streams."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from limenotch.fleet.interfaces import SendToMember
from limenotch.fleet.wire import FrameCodec, FrameFault, Hello, with_length
from limenotch.net import peer_streams

from .fake_messages import ALL_MESSAGES, Block, Line
from .fake_nodes import HELLO, HOST, KEY, FakeNode, run, running, wait_until


def test_a_peer_that_restarts_is_connected_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "MIN_RETRY_WAIT_S", 0.01)
    monkeypatch.setattr(peer_streams, "MAX_RETRY_WAIT_S", 0.04)

    async def case() -> None:
        a, b = FakeNode("a"), FakeNode("b")
        async with running(a, b):
            a.perform(SendToMember("b", Line("first")))
            await wait_until(lambda: b.log.messages)
            address = b.address
            b.transport.close()
            await wait_until(lambda: a.streams["lost"] == 1)
            a.perform(SendToMember("b", Line("while gone")))
            await wait_until(lambda: a.streams["connect_failed"] >= 3)
            restarted = FakeNode("b", process_epoch=2, address=address)
            restarted.transport.start()
            try:
                await wait_until(lambda: restarted.log.messages)
                assert (
                    restarted.log.messages == [Line("while gone")]
                    and a.streams["out"][f"{address[0]}:{address[1]}"]["connected"]
                )
            finally:
                restarted.transport.close()

    run(case)


def test_attempts_to_a_peer_that_closes_each_stream_become_rarer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "MIN_RETRY_WAIT_S", 0.01)
    monkeypatch.setattr(peer_streams, "MAX_RETRY_WAIT_S", 0.08)

    async def case() -> None:
        a, times = FakeNode("a"), []

        async def close_at_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            times.append(asyncio.get_running_loop().time())
            await reader.read(1)
            writer.close()
            a.perform(SendToMember("r", Line("again")))

        server = await asyncio.start_server(close_at_once, HOST, 0)
        async with running(a):
            a.address_book.addresses["r"] = server.sockets[0].getsockname()
            started_s = asyncio.get_running_loop().time()
            a.perform(SendToMember("r", Line("first")))
            await wait_until(lambda: len(times) == 6)
            assert times[5] - started_s >= 0.01 + 0.02 + 0.04 + 0.08 + 0.08
        server.close()

    run(case)


def test_old_messages_are_dropped_and_idle_streams_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "MIN_RETRY_WAIT_S", 0.02)
    monkeypatch.setattr(peer_streams, "IDLE_TIMEOUT_S", 1.0)
    monkeypatch.setattr(peer_streams, "MAX_QUEUE_AGE_S", 0.01)

    async def case() -> None:
        a, b = FakeNode("a"), FakeNode("b")
        async with running(a, b):
            address = b.address
            b.transport.close()
            a.perform(SendToMember("b", Line("old")))
            await wait_until(lambda: a.streams["connect_failed"])
            restarted = FakeNode("b", address=address)
            restarted.transport.start()
            try:
                await wait_until(lambda: a.streams["dropped_old"] == 1)
                await wait_until(lambda: not a.streams["out"] and not restarted.streams["in"])
                assert restarted.log.messages == []
            finally:
                restarted.transport.close()

    run(case)


def test_the_queue_for_a_peer_that_does_not_read_is_bounded_and_its_stream_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_streams, "WRITE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(peer_streams, "MAX_QUEUED_BYTES", 3_000_000)

    async def case() -> None:
        a, silent = FakeNode("a"), socket.create_server((HOST, 0))
        async with running(a):
            a.address_book.addresses["s"] = silent.getsockname()
            name = "%s:%d" % silent.getsockname()  # noqa: UP031
            for _ in range(3000):
                a.perform(SendToMember("s", Line("x")))
            assert a.streams["out"][name]["messages"] == peer_streams.MAX_QUEUED_MESSAGES
            assert a.streams["dropped_full"] == 3000 - peer_streams.MAX_QUEUED_MESSAGES
            for _ in range(40):
                a.perform(SendToMember("s", Block(bytes(500_000))))
                assert a.streams["out"][name]["bytes"] <= 3_000_000
                await asyncio.sleep(0)
            await wait_until(lambda: a.streams["stalled"] == 1)
        silent.close()

    run(case)


def test_at_the_limit_of_streams_the_least_used_is_closed() -> None:
    async def case() -> None:
        a, b, c = FakeNode("a", streams=1), FakeNode("b", streams=1), FakeNode("c")
        async with running(a, b, c):
            a.perform(SendToMember("b", Line("1")))
            await wait_until(lambda: b.log.messages)
            a.perform(SendToMember("c", Line("2")))
            await wait_until(lambda: c.log.messages)
            assert list(a.streams["out"]) == [f"{HOST}:{c.address[1]}"] and a.streams["given_up"] == 1
            strangers = [socket.create_connection(b.address) for _ in range(3)]
            await wait_until(lambda: b.streams["accepted"] == 4)
            c.perform(SendToMember("b", Line("3")))
            await wait_until(lambda: len(b.log.messages) == 2)
            assert b.streams["in"] == 1 and b.streams["refused"] >= 3
            for each in strangers:
                each.close()

    run(case)


def test_at_the_limit_strangers_are_closed_first_then_the_longest_silent_peer() -> None:
    async def case() -> None:
        b, codec = FakeNode("b", streams=2), FrameCodec(KEY, "g", ALL_MESSAGES)
        opened: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}

        async def connect(name: str, *, sends_hello: bool = True) -> None:
            message_count, accepted = len(b.log.messages), b.streams["accepted"]
            opened[name] = await asyncio.open_connection(*b.address)
            await wait_until(lambda: b.streams["accepted"] == accepted + 1)
            if sends_hello:
                opened[name][1].write(with_length(codec.encode(name, Hello(1, (HOST, 9)))))
                await speak(name, message_count)

        async def speak(name: str, message_count: int) -> None:
            opened[name][1].write(with_length(codec.encode(name, Line(name))))
            await wait_until(lambda: len(b.log.messages) == message_count + 1)

        async def ended(name: str) -> bool:
            return await asyncio.wait_for(opened[name][0].read(), 10) == b""

        async with running(b):
            await connect("old")
            await connect("stranger", sends_hello=False)  # active later than the peer, but it sent no Hello
            await connect("new")
            assert await ended("stranger")
            await speak("old", len(b.log.messages))  # so that the later one was silent for longer
            await connect("third")
            assert await ended("new")
            await speak("old", len(b.log.messages))
            assert b.streams["in"] == 2 and b.streams["refused"] == 2
            for _, writer in opened.values():
                writer.close()

    run(case)


def test_a_later_stream_of_one_process_replaces_the_earlier_one() -> None:
    async def case() -> None:
        b, codec = FakeNode("b"), FrameCodec(KEY, "g", ALL_MESSAGES)
        async with running(b):
            opened = []
            for process_epoch in (1, 2, 1):
                reader, writer = await asyncio.open_connection(*b.address)
                writer.write(with_length(codec.encode("a", Hello(process_epoch, (HOST, 9)))))
                opened.append((reader, writer))
                await wait_until(lambda: b.streams["accepted"] == len(opened))
            assert await opened[0][0].read() == b""  # the first of process epoch 1
            await wait_until(lambda: b.streams["in"] == 2)
            for _, writer in opened:
                writer.close()

    run(case)


@pytest.mark.parametrize(
    ("sent", "fault"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", FrameFault.TOO_LONG),
        (b"\0\0\0\x03abc", FrameFault.SHORT),
        (with_length(bytes(40)), FrameFault.DIGEST),
        (with_length(bytes(2000)), FrameFault.TOO_LONG),  # a peer without a valid Hello may send little
        (HELLO + with_length(bytes(2000)), FrameFault.DIGEST),
        (HELLO + (2**21).to_bytes(4, "big"), FrameFault.TOO_LONG),
        (with_length(FrameCodec(KEY, "other", ALL_MESSAGES).encode("a", Hello(1, (HOST, 9)))), FrameFault.GROUP),
        (with_length(FrameCodec(KEY, "g", ALL_MESSAGES).encode("a", Line("no hello"))), None),
        (HELLO + with_length(FrameCodec(KEY, "g", ALL_MESSAGES).encode("z", Line("another's name"))), None),
    ],
)
def test_a_stream_with_invalid_frames_is_closed_and_counted(
    sent: bytes, fault: FrameFault | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_streams, "HELLO_TIMEOUT_S", 60.0)  # so that the stream is not closed for silence

    async def case() -> None:
        b = FakeNode("b")
        async with running(b):
            reader, writer = await asyncio.open_connection(*b.address)
            writer.write(sent)
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 10) == b""
            assert {name for name, count in b.codec.faults.items() if count} == ({fault} if fault else set())
            assert not b.log.messages and not b.streams["in"]
            writer.close()

    run(case)


def test_a_stream_without_hello_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "HELLO_TIMEOUT_S", 0.02)

    async def case() -> None:
        b = FakeNode("b")
        async with running(b):
            reader, _ = await asyncio.open_connection(*b.address)
            assert await asyncio.wait_for(reader.read(), 5) == b""

    run(case)

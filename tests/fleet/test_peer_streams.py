"""Kept streams: peers gone, silent, unwilling or strange, and bounds of queues and places."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from limenotch.fleet.interfaces import SendToMember
from limenotch.fleet.wire import FrameCodec, FrameFault, Hello, with_length
from limenotch.net import peer_streams

from .fake_messages import ALL, Block, Line
from .fake_nodes import HELLO, HOST, KEY, One, run, several, until


def test_a_peer_gone_and_back_is_spoken_with_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "MIN_RETRY_WAIT_S", 0.01)
    monkeypatch.setattr(peer_streams, "MAX_RETRY_WAIT_S", 0.04)

    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            a.act(SendToMember("b", Line("first")))
            await until(lambda: b.log.heard)
            at = b.address
            b.others.close()
            await until(lambda: a.streams["lost"] == 1)
            a.act(SendToMember("b", Line("while gone")))
            await until(lambda: a.streams["connect_failed"] >= 3)
            again = One("b", process_epoch=2, address=at)
            again.others.start()
            try:
                await until(lambda: again.log.heard)
                assert again.log.heard == [Line("while gone")] and a.streams["out"][f"{at[0]}:{at[1]}"]["connected"]
            finally:
                again.others.close()

    run(case)


def test_a_peer_that_ends_each_stream_is_asked_ever_more_seldom(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "MIN_RETRY_WAIT_S", 0.01)
    monkeypatch.setattr(peer_streams, "MAX_RETRY_WAIT_S", 0.08)

    async def case() -> None:
        a, times = One("a"), []

        async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            times.append(asyncio.get_running_loop().time())
            await reader.read(1)
            writer.close()
            a.act(SendToMember("r", Line("again")))

        server = await asyncio.start_server(refuse, HOST, 0)
        async with several(a):
            a.book.known["r"] = server.sockets[0].getsockname()
            began = asyncio.get_running_loop().time()
            a.act(SendToMember("r", Line("first")))
            await until(lambda: len(times) == 6)
            assert times[5] - began >= 0.01 + 0.02 + 0.04 + 0.08 + 0.08
        server.close()

    run(case)


def test_old_messages_are_not_sent_and_unused_streams_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "MIN_RETRY_WAIT_S", 0.02)
    monkeypatch.setattr(peer_streams, "IDLE_TIMEOUT_S", 1.0)
    monkeypatch.setattr(peer_streams, "MAX_QUEUE_AGE_S", 0.01)

    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            at = b.address
            b.others.close()
            a.act(SendToMember("b", Line("old")))
            await until(lambda: a.streams["connect_failed"])
            again = One("b", address=at)
            again.others.start()
            try:
                await until(lambda: a.streams["dropped_old"] == 1)
                await until(lambda: not a.streams["out"] and not again.streams["in"])
                assert again.log.heard == []
            finally:
                again.others.close()

    run(case)


def test_a_silent_peer_s_queue_is_bounded_and_its_stream_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "WRITE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(peer_streams, "MAX_QUEUED_BYTES", 3_000_000)

    async def case() -> None:
        a, silent = One("a"), socket.create_server((HOST, 0))
        async with several(a):
            a.book.known["s"] = silent.getsockname()
            name = "%s:%d" % silent.getsockname()  # noqa: UP031
            for _ in range(3000):
                a.act(SendToMember("s", Line("x")))
            assert a.streams["out"][name]["messages"] == peer_streams.MAX_QUEUED_MESSAGES
            assert a.streams["dropped_full"] == 3000 - peer_streams.MAX_QUEUED_MESSAGES
            for _ in range(40):
                a.act(SendToMember("s", Block(bytes(500_000))))
                assert a.streams["out"][name]["bytes"] <= 3_000_000
                await asyncio.sleep(0)
            await until(lambda: a.streams["stalled"] == 1)
        silent.close()

    run(case)


def test_places_are_few_and_the_least_used_gives_way() -> None:
    async def case() -> None:
        a, b, c = One("a", streams=1), One("b", streams=1), One("c")
        async with several(a, b, c):
            a.act(SendToMember("b", Line("1")))
            await until(lambda: b.log.heard)
            a.act(SendToMember("c", Line("2")))
            await until(lambda: c.log.heard)
            assert list(a.streams["out"]) == [f"{HOST}:{c.address[1]}"] and a.streams["given_up"] == 1
            strangers = [socket.create_connection(b.address) for _ in range(3)]
            await until(lambda: b.streams["accepted"] == 4)
            c.act(SendToMember("b", Line("3")))
            await until(lambda: len(b.log.heard) == 2)
            assert b.streams["in"] == 1 and b.streams["refused"] >= 3
            for each in strangers:
                each.close()

    run(case)


def test_strangers_give_way_before_peers_and_of_these_the_longest_silent() -> None:
    async def case() -> None:
        b, wire = One("b", streams=2), FrameCodec(KEY, "g", ALL)
        opened: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}

        async def come(name: str, *, greets: bool = True) -> None:
            heard, accepted = len(b.log.heard), b.streams["accepted"]
            opened[name] = await asyncio.open_connection(*b.address)
            await until(lambda: b.streams["accepted"] == accepted + 1)
            if greets:
                opened[name][1].write(with_length(wire.encode(name, Hello(1, (HOST, 9)))))
                await speak(name, heard)

        async def speak(name: str, heard: int) -> None:
            opened[name][1].write(with_length(wire.encode(name, Line(name))))
            await until(lambda: len(b.log.heard) == heard + 1)

        async def ended(name: str) -> bool:
            return await asyncio.wait_for(opened[name][0].read(), 10) == b""

        async with several(b):
            await come("old")
            await come("stranger", greets=False)  # heard of later than the peer, but nobody knows who it is
            await come("new")
            assert await ended("stranger")
            await speak("old", len(b.log.heard))  # so that the later one is the one that was silent for longer
            await come("third")
            assert await ended("new")
            await speak("old", len(b.log.heard))
            assert b.streams["in"] == 2 and b.streams["refused"] == 2
            for _, writer in opened.values():
                writer.close()

    run(case)


def test_a_later_stream_of_one_process_takes_the_place_of_the_one_before() -> None:
    async def case() -> None:
        b, wire = One("b"), FrameCodec(KEY, "g", ALL)
        async with several(b):
            opened = []
            for process_epoch in (1, 2, 1):
                reader, writer = await asyncio.open_connection(*b.address)
                writer.write(with_length(wire.encode("a", Hello(process_epoch, (HOST, 9)))))
                opened.append((reader, writer))
                await until(lambda: b.streams["accepted"] == len(opened))
            assert await opened[0][0].read() == b""  # the first of life 1
            await until(lambda: b.streams["in"] == 2)
            for _, writer in opened:
                writer.close()

    run(case)


@pytest.mark.parametrize(
    ("sent", "fault"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", FrameFault.TOO_LONG),
        (b"\0\0\0\x03abc", FrameFault.SHORT),
        (with_length(bytes(40)), FrameFault.DIGEST),
        (with_length(bytes(2000)), FrameFault.TOO_LONG),  # who has not shown that it has the key gets little room
        (HELLO + with_length(bytes(2000)), FrameFault.DIGEST),
        (HELLO + (2**21).to_bytes(4, "big"), FrameFault.TOO_LONG),
        (with_length(FrameCodec(KEY, "other", ALL).encode("a", Hello(1, (HOST, 9)))), FrameFault.GROUP),
        (with_length(FrameCodec(KEY, "g", ALL).encode("a", Line("no hello"))), None),
        (HELLO + with_length(FrameCodec(KEY, "g", ALL).encode("z", Line("another's name"))), None),
    ],
)
def test_a_stream_with_garbage_is_ended_and_counted(
    sent: bytes, fault: FrameFault | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_streams, "HELLO_TIMEOUT_S", 60.0)  # it's not for its silence

    async def case() -> None:
        b = One("b")
        async with several(b):
            reader, writer = await asyncio.open_connection(*b.address)
            writer.write(sent)
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 10) == b""
            assert {name for name, count in b.wire.faults.items() if count} == ({fault} if fault else set())
            assert not b.log.heard and not b.streams["in"]
            writer.close()

    run(case)


def test_who_says_nothing_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_streams, "HELLO_TIMEOUT_S", 0.02)

    async def case() -> None:
        b = One("b")
        async with several(b):
            reader, _ = await asyncio.open_connection(*b.address)
            assert await asyncio.wait_for(reader.read(), 5) == b""

    run(case)

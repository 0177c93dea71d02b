"""Two processes' worth of sockets in one loop, with toy parts: what is carried and dropped, what a fault costs."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest

from limenotch.fleet.contract import (
    Carrier,
    Heard,
    Leave,
    Message,
    Note,
    Send,
    SetTimer,
    Started,
    Store,
    Stored,
    StoreFailed,
    Tell,
    TimerFired,
)
from limenotch.fleet.hub import Hub
from limenotch.fleet.wire import Fault, Hello, Wire, framed
from limenotch.net import others as module
from limenotch.net import streams
from limenotch.net.others import Others

from .toys import ALL, Block, Book, Line, Probe, Toy

KEY = b"sixteen bytes ok"
HOST = "127.0.0.1"


class One:
    """A process: its parts, and a book of who is where."""

    def __init__(self, name: str, life: int = 1, at: tuple[str, int] = (HOST, 0), **more: Any) -> None:
        self.toy, self.log, self.book = Toy(), Toy(), Book({})
        self.wire = Wire(KEY, "g", ALL)
        self.hub = Hub([("mb.", self.toy), ("ag.", self.log)], self.book)
        self.others = Others(at, name, life, self.hub, self.wire, **more)

    @property
    def at(self) -> tuple[str, int]:
        assert self.others.at is not None
        return self.others.at

    def act(self, *actions: Any) -> None:
        """As if a part answered these."""
        self.toy.answer = lambda now, event: list(actions) if isinstance(event, Leave) else []
        self.others.tell(Leave())
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
            one.book.known.update({other.others._name: other.at for other in ones})
        yield
    finally:
        for one in ones:
            one.others.close()


def run(case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(case())


def test_datagrams_and_streams_are_carried_in_order_and_whole() -> None:
    async def case() -> None:
        a, b = One("a"), One("b", life=7)
        async with several(a, b):
            assert a.toy.told == [Started()] == a.log.told
            a.act(Send(b.at, Probe(5, "x")))
            await until(lambda: b.toy.heard)
            assert b.toy.told[1] == Heard(a.at, "a", Probe(5, "x"), Carrier.DATAGRAM)
            big = Block(bytes(range(256)) * 3900)  # 998,400 bytes
            b.act(Tell("a", Line("1")), Tell("a", big), *[Tell("a", Line(str(n))) for n in range(2, 600)])
            await until(lambda: len(a.log.heard) == 600)
            assert a.log.heard == [Line("1"), big, *[Line(str(n)) for n in range(2, 600)]]
            heard = a.log.told[-1]  # the address is where b listens, not that of its connection
            assert (heard.at, heard.sender, heard.carrier) == (b.at, "b", Carrier.STREAM)
            assert b.streams["connected"] == a.streams["accepted"] == 1 and b.streams["sent"] == 600
            assert not any({**a.others.state()["dropped"], **b.others.state()["dropped"]}.values())

    run(case)


def test_what_is_too_long_or_has_no_way_is_counted() -> None:
    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            a.act(Send(b.at, Block(bytes(1200))), Tell("b", Block(bytes(1024 * 1024))), Tell("nobody", Line("x")))
            assert a.others.counts["too_long"] == 2 and a.hub.untold == 1
            bad: list[tuple[Any, int]] = [("localhost", 7), ("", 7), (HOST, 0), (HOST, 70000), ("::1", 7), ("a\0b", 1)]
            a.act(*[Send(at, Probe(1)) for at in bad], Send(b.at, Probe(2)))
            await until(lambda: b.toy.heard)
            assert a.others.counts["send_failed"] == len(bad) and a.others.counts["sent"] == 1

    run(case)


def test_a_peer_gone_and_back_is_spoken_with_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "FIRST_WAIT_S", 0.01)
    monkeypatch.setattr(streams, "MOST_WAIT_S", 0.04)

    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            a.act(Tell("b", Line("first")))
            await until(lambda: b.log.heard)
            at = b.at
            b.others.close()
            await until(lambda: a.streams["lost"] == 1)
            a.act(Tell("b", Line("while gone")))
            await until(lambda: a.streams["connect_failed"] >= 3)
            again = One("b", life=2, at=at)
            again.others.start()
            try:
                await until(lambda: again.log.heard)
                assert again.log.heard == [Line("while gone")] and a.streams["out"][f"{at[0]}:{at[1]}"]["connected"]
            finally:
                again.others.close()

    run(case)


def test_a_peer_that_ends_each_stream_is_asked_ever_more_seldom(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "FIRST_WAIT_S", 0.01)
    monkeypatch.setattr(streams, "MOST_WAIT_S", 0.08)

    async def case() -> None:
        a, times = One("a"), []

        async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            times.append(asyncio.get_running_loop().time())
            await reader.read(1)
            writer.close()
            a.act(Tell("r", Line("again")))

        server = await asyncio.start_server(refuse, HOST, 0)
        async with several(a):
            a.book.known["r"] = server.sockets[0].getsockname()
            began = asyncio.get_running_loop().time()
            a.act(Tell("r", Line("first")))
            await until(lambda: len(times) == 6)
            assert times[5] - began >= 0.01 + 0.02 + 0.04 + 0.08 + 0.08
        server.close()

    run(case)


def test_old_messages_are_not_sent_and_unused_streams_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "FIRST_WAIT_S", 0.02)
    monkeypatch.setattr(streams, "IDLE_S", 1.0)
    monkeypatch.setattr(streams, "STALE_S", 0.01)

    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            at = b.at
            b.others.close()
            a.act(Tell("b", Line("old")))
            await until(lambda: a.streams["connect_failed"])
            again = One("b", at=at)
            again.others.start()
            try:
                await until(lambda: a.streams["dropped_old"] == 1)
                await until(lambda: not a.streams["out"] and not again.streams["in"])
                assert again.log.heard == []
            finally:
                again.others.close()

    run(case)


def test_a_silent_peer_s_queue_is_bounded_and_its_stream_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "STALL_S", 0.2)
    monkeypatch.setattr(streams, "MOST_BYTES", 3_000_000)

    async def case() -> None:
        a, silent = One("a"), socket.create_server((HOST, 0))
        async with several(a):
            a.book.known["s"] = silent.getsockname()
            name = "%s:%d" % silent.getsockname()  # noqa: UP031
            for _ in range(3000):
                a.act(Tell("s", Line("x")))
            assert a.streams["out"][name]["messages"] == streams.MOST_QUEUED
            assert a.streams["dropped_full"] == 3000 - streams.MOST_QUEUED
            for _ in range(40):
                a.act(Tell("s", Block(bytes(500_000))))
                assert a.streams["out"][name]["bytes"] <= 3_000_000
                await asyncio.sleep(0)
            await until(lambda: a.streams["stalled"] == 1)
        silent.close()

    run(case)


def test_places_are_few_and_the_least_used_gives_way() -> None:
    async def case() -> None:
        a, b, c = One("a", streams=1), One("b", streams=1), One("c")
        async with several(a, b, c):
            a.act(Tell("b", Line("1")))
            await until(lambda: b.log.heard)
            a.act(Tell("c", Line("2")))
            await until(lambda: c.log.heard)
            assert list(a.streams["out"]) == [f"{HOST}:{c.at[1]}"] and a.streams["given_up"] == 1
            strangers = [socket.create_connection(b.at) for _ in range(3)]
            await until(lambda: b.streams["accepted"] == 4)
            c.act(Tell("b", Line("3")))
            await until(lambda: len(b.log.heard) == 2)
            assert b.streams["in"] == 1 and b.streams["refused"] >= 3
            for each in strangers:
                each.close()

    run(case)


def test_a_later_stream_of_one_process_takes_the_place_of_the_one_before() -> None:
    async def case() -> None:
        b, wire = One("b"), Wire(KEY, "g", ALL)
        async with several(b):
            opened = []
            for life in (1, 2, 1):
                reader, writer = await asyncio.open_connection(*b.at)
                writer.write(framed(wire.encode("a", Hello(life, (HOST, 9)))))
                opened.append((reader, writer))
                await until(lambda: b.streams["accepted"] == len(opened))
            assert await opened[0][0].read() == b""  # the first of life 1
            await until(lambda: b.streams["in"] == 2)
            for _, writer in opened:
                writer.close()

    run(case)


HELLO = framed(Wire(KEY, "g", ALL).encode("a", Hello(1, (HOST, 9))))


@pytest.mark.parametrize(("sent", "fault"), [
    (b"GET / HTTP/1.1\r\n\r\n", Fault.TOO_LONG),
    (b"\0\0\0\x03abc", Fault.SHORT),
    (framed(bytes(40)), Fault.DIGEST),
    (framed(bytes(2000)), Fault.TOO_LONG),  # who has not shown that it has the key gets little room
    (HELLO + framed(bytes(2000)), Fault.DIGEST),
    (HELLO + (2**21).to_bytes(4, "big"), Fault.TOO_LONG),
    (framed(Wire(KEY, "other", ALL).encode("a", Hello(1, (HOST, 9)))), Fault.GROUP),
    (framed(Wire(KEY, "g", ALL).encode("a", Line("no hello"))), None),
    (HELLO + framed(Wire(KEY, "g", ALL).encode("z", Line("another's name"))), None),
])
def test_a_stream_with_garbage_is_ended_and_counted(
    sent: bytes, fault: Fault | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(streams, "HELLO_S", 60.0)  # it's not for its silence

    async def case() -> None:
        b = One("b")
        async with several(b):
            reader, writer = await asyncio.open_connection(*b.at)
            writer.write(sent)
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 10) == b""
            assert {name for name, count in b.wire.faults.items() if count} == ({fault} if fault else set())
            assert not b.log.heard and not b.streams["in"]
            writer.close()

    run(case)


def test_who_says_nothing_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "HELLO_S", 0.02)

    async def case() -> None:
        b = One("b")
        async with several(b):
            reader, _ = await asyncio.open_connection(*b.at)
            assert await asyncio.wait_for(reader.read(), 5) == b""

    run(case)


def test_a_kind_of_a_newer_program_does_not_end_the_stream_and_garbage_datagrams_are_counted() -> None:
    class Newer(Message, frozen=True, tag="ag.newer"):
        number: int

    async def case() -> None:
        b, wire = One("b"), Wire(KEY, "g", (*ALL, Newer))
        async with several(b):
            _, writer = await asyncio.open_connection(*b.at)
            writer.write(HELLO + framed(wire.encode("a", Newer(1))) + framed(wire.encode("a", Line("heard"))))
            await until(lambda: b.log.heard)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in (b"", b"x", bytes(1000), bytes(1201), bytes(60000), wire.encode("a", Hello(1, (HOST, 9))),
                             wire.encode("a", Probe(1))):
                    sock.sendto(data, b.at)
            await until(lambda: b.toy.heard)
            assert b.wire.faults == {**dict.fromkeys(Fault, 0), Fault.KIND: 2, Fault.SHORT: 2, Fault.DIGEST: 1,
                                     Fault.TOO_LONG: 2}
            assert b.others.counts["received"] == 7
            writer.close()

    run(case)


def test_timers_fire_in_order_and_not_before_their_time() -> None:
    async def case() -> None:
        a = One("a")
        async with several(a):
            now = asyncio.get_running_loop().time() * 1000
            fired: list[tuple[float, int]] = []

            def answer(at: float, event: Any) -> list[Any]:
                if isinstance(event, TimerFired):
                    fired.append((at, event.token))
                return [SetTimer(now + n, n) for n in (30, 10, -5, 20)] if isinstance(event, Stored) else []

            a.log.answer = answer
            a.others.tell(Stored(1))  # ticket 1 of two parts is the second's
            assert a.others.state()["timers"] == 4
            await until(lambda: len(fired) == 4)
            assert [token for _, token in fired] == [-5, 10, 20, 30] and all(at >= now + n for at, n in fired)

    run(case)


class Disk:
    def __init__(self) -> None:
        self.asked: list[tuple[int, tuple[Any, ...], Callable[[str | None], None]]] = []
        self.closed = 0

    def submit(self, ticket: int, records: tuple[Any, ...], done: Callable[[str | None], None]) -> None:
        self.asked.append((ticket, records, done))

    def close(self) -> None:
        self.closed += 1


def test_the_store_answers_from_its_thread_and_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_STORES", 2)

    async def case() -> None:
        disk = Disk()
        a, none = One("a", disk=disk), One("b")
        async with several(a, none):
            a.act(Store(1, ("r",)), Store(2, ()), Store(3, ()))
            assert [records for _, records, _ in disk.asked] == [("r",), ()]
            await asyncio.to_thread(disk.asked[0][2], None)
            await asyncio.to_thread(disk.asked[1][2], "full")
            await until(lambda: len(a.toy.told) == 5)
            assert set(a.toy.told[2:]) == {StoreFailed(3, "slow"), Stored(1), StoreFailed(2, "full")}
            none.act(Store(1, ()))
            await until(lambda: StoreFailed(1, "no folder") in none.toy.told)
        a.others.close()
        assert disk.closed == 1
        disk.asked[0][2](None)  # an answer after the end

    run(case)


def test_a_part_that_raises_is_off_and_told_with_its_event(caplog: pytest.LogCaptureFixture) -> None:
    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            def broken(now: float, event: Any) -> list[Any]:
                raise KeyError("broken here")

            b.log.answer = broken
            a.act(Tell("b", Line("x")), Tell("b", Line("y")))
            await until(lambda: b.hub.unheard == 1)
            assert len(b.log.heard) == 1 and b.others.state()["off"] == "ag."
            a.act(Send(b.at, Probe(1)))
            await until(lambda: b.toy.heard)  # the other part goes on
            b.act(object())  # what no host can do, of membership: the end of all
            assert b.others.state()["off"] == "mb., ag."

    with caplog.at_level(logging.INFO):
        run(case)
    faults = [record for record in caplog.records if "fault in the fleet's decisions" in record.getMessage()]
    assert len(faults) == 2 and "Line(text='x')" in faults[0].getMessage() and "broken here" in faults[0].getMessage()
    assert sum("fleet off: fault" in record.getMessage() for record in caplog.records) == 2


def test_too_many_timers_put_the_fleet_off_and_close_leaves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_TIMERS", 3)

    async def case() -> None:
        a = One("a")
        async with several(a):
            a.act(*[SetTimer(1e12, n) for n in range(4)])
            assert a.others.state()["off"] == "all" and a.others.state()["timers"] == 0
            told = len(a.toy.told)
            a.act(Note("nobody hears"))
            assert len(a.toy.told) == told
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        async with asyncio.timeout(5):
            await asyncio.gather(*left, return_exceptions=True)
        assert a.others.at is None

    run(case)


def test_notes_are_log_lines(caplog: pytest.LogCaptureFixture) -> None:
    async def case() -> None:
        a = One("a")
        async with several(a):
            a.act(Note("suspects b", {"by": "c", "event": 3, "mono_ms": "not the part's to say"}))

    with caplog.at_level(logging.INFO):
        run(case)
    (record,) = [record for record in caplog.records if "suspects b" in record.getMessage()]
    said: dict[str, Any] = record.msg  # type: ignore[assignment]
    assert said["fleet"] is True and said["by"] == "c" and said["event_"] == 3 and isinstance(said["mono_ms"], float)


def test_the_address_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next process of a sidecar starts while the one before still has it."""
    monkeypatch.setattr(module, "FIRST_WAIT_S", 0.01)

    async def case() -> None:
        a = One("a")
        async with several(a):
            after = One("a", life=2, at=a.at)
            after.others.start()
            await asyncio.sleep(0)
            assert after.others.at is None and not after.toy.told and not after.others.state()["listening"]
            after.others.leave()  # nothing to say yet
            a.others.close()
            await until(lambda: after.toy.told)
            assert after.toy.told == [Started()]
            after.others.close()

    run(case)

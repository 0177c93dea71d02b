"""Two processes' worth of sockets in one loop, with toy parts: what is carried and dropped, what a fault costs."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from limenotch.fleet.interfaces import (
    Carrier,
    Fenced,
    LogLine,
    Message,
    MessageReceived,
    SendToAddress,
    SendToMember,
    SetTimer,
    ShutdownStarted,
    Started,
    Store,
    Stored,
    StoreFailed,
    TimerFired,
)
from limenotch.fleet.wire import FrameCodec, FrameFault, Hello, with_length
from limenotch.net import peer_transport as module

from .fake_messages import ALL, Block, Line, Probe
from .fake_nodes import HELLO, HOST, KEY, One, run, several, until


def test_datagrams_and_streams_are_carried_in_order_and_whole() -> None:
    async def case() -> None:
        a, b = One("a"), One("b", process_epoch=7)
        async with several(a, b):
            assert a.toy.told == [Started()] == a.log.told
            a.act(SendToAddress(b.address, Probe(5, "x")))
            await until(lambda: b.toy.heard)
            assert b.toy.told[1] == MessageReceived(a.address, "a", Probe(5, "x"), Carrier.DATAGRAM)
            big = Block(bytes(range(256)) * 3900)  # 998,400 bytes
            b.act(
                SendToMember("a", Line("1")),
                SendToMember("a", big),
                *[SendToMember("a", Line(str(n))) for n in range(2, 600)],
            )
            await until(lambda: len(a.log.heard) == 600)
            assert a.log.heard == [Line("1"), big, *[Line(str(n)) for n in range(2, 600)]]
            heard = a.log.told[-1]  # the address is where b listens, not that of its connection
            assert (heard.address, heard.sender, heard.carrier) == (b.address, "b", Carrier.STREAM)
            assert b.streams["connected"] == a.streams["accepted"] == 1 and b.streams["sent"] == 600
            assert not any({**a.others.state()["dropped"], **b.others.state()["dropped"]}.values())

    run(case)


def test_what_is_too_long_or_has_no_way_is_counted() -> None:
    async def case() -> None:
        a, b = One("a"), One("b")
        async with several(a, b):
            a.act(
                SendToAddress(b.address, Block(bytes(1200))),
                SendToMember("b", Block(bytes(1024 * 1024))),
                SendToMember("nobody", Line("x")),
            )
            assert a.others.counts["too_long"] == 2 and a.hub.undeliverable_messages == 1
            bad: list[tuple[Any, int]] = [("localhost", 7), ("", 7), (HOST, 0), (HOST, 70000), ("::1", 7), ("a\0b", 1)]
            a.act(*[SendToAddress(at, Probe(1)) for at in bad], SendToAddress(b.address, Probe(2)))
            await until(lambda: b.toy.heard)
            assert a.others.counts["send_failed"] == len(bad) and a.others.counts["sent"] == 1

    run(case)


def test_a_kind_of_a_newer_program_does_not_end_the_stream_and_garbage_datagrams_are_counted() -> None:
    class Newer(Message, frozen=True, tag="ag.newer"):
        number: int

    async def case() -> None:
        b, wire = One("b"), FrameCodec(KEY, "g", (*ALL, Newer))
        async with several(b):
            _, writer = await asyncio.open_connection(*b.address)
            writer.write(HELLO + with_length(wire.encode("a", Newer(1))) + with_length(wire.encode("a", Line("heard"))))
            await until(lambda: b.log.heard)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in (
                    b"",
                    b"x",
                    bytes(1000),
                    bytes(1201),
                    bytes(60000),
                    wire.encode("a", Hello(1, (HOST, 9))),
                    wire.encode("a", Probe(1)),
                ):
                    sock.sendto(data, b.address)
            await until(lambda: b.toy.heard)
            assert b.wire.faults == {
                **dict.fromkeys(FrameFault, 0),
                FrameFault.KIND: 2,
                FrameFault.SHORT: 2,
                FrameFault.DIGEST: 1,
                FrameFault.TOO_LONG: 2,
            }
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
            a.others.dispatch(Stored(1))  # ticket 1 of two parts is the second's
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
    monkeypatch.setattr(module, "MAX_PENDING_STORES", 2)

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
            a.act(SendToMember("b", Line("x")), SendToMember("b", Line("y")))
            await until(lambda: b.hub.unhandled_messages == 1)
            assert len(b.log.heard) == 1 and b.others.state()["off"] == "ag."
            a.act(SendToAddress(b.address, Probe(1)))
            await until(lambda: b.toy.heard)  # the other part goes on
            b.act(object())  # what no host can do, of membership: the end of all
            assert b.others.state()["off"] == "mb., ag."

    with caplog.at_level(logging.INFO):
        run(case)
    faults = [record for record in caplog.records if "internal error in a fleet component" in record.getMessage()]
    assert len(faults) == 2 and "Line(text='x')" in faults[0].getMessage() and "broken here" in faults[0].getMessage()
    assert sum("fleet off: fault" in record.getMessage() for record in caplog.records) == 2


def test_what_is_told_while_an_event_is_handled_is_handled_after_it_and_time_does_not_run_back() -> None:
    class Said(NamedTuple):
        text: str

    async def case() -> None:
        a = One("a")
        times: list[tuple[float, Any]] = []

        def answer(now: float, event: Any) -> list[Any]:
            times.append((now, event))
            return []

        # As rules that come into force make another part be told of it, while that is to hear what came with them.
        a.hub.register_action_handler(Said, lambda said: a.others.dispatch(Stored(3)))
        async with several(a):
            a.log.answer = answer
            a.act(Said("in force"), Fenced())
            assert [event for _, event in times] == [Fenced(), ShutdownStarted(), Stored(1)]
            assert [now for now, _ in times] == sorted(now for now, _ in times)

    run(case)


def test_too_many_timers_put_the_fleet_off_and_close_leaves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_TIMERS", 3)

    async def case() -> None:
        a = One("a")
        async with several(a):
            a.act(*[SetTimer(1e12, n) for n in range(4)])
            assert a.others.state()["off"] == "all" and a.others.state()["timers"] == 0
            told = len(a.toy.told)
            a.act(LogLine("nobody hears"))
            assert len(a.toy.told) == told
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        async with asyncio.timeout(5):
            await asyncio.gather(*left, return_exceptions=True)
        assert a.others.address is None

    run(case)


def test_notes_are_log_lines(caplog: pytest.LogCaptureFixture) -> None:
    async def case() -> None:
        a = One("a")
        async with several(a):
            a.act(LogLine("suspects b", {"by": "c", "event": 3, "mono_ms": "not the part's to say"}))

    with caplog.at_level(logging.INFO):
        run(case)
    (record,) = [record for record in caplog.records if "suspects b" in record.getMessage()]
    said: dict[str, Any] = record.msg  # type: ignore[assignment]
    assert said["fleet"] is True and said["by"] == "c" and said["event_"] == 3 and isinstance(said["mono_ms"], float)


def test_the_address_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next process of a sidecar starts while the one before still has it."""
    monkeypatch.setattr(module, "MIN_BIND_WAIT_S", 0.01)

    async def case() -> None:
        a = One("a")
        async with several(a):
            after = One("a", process_epoch=2, address=a.address)
            after.others.start()
            await asyncio.sleep(0)
            assert after.others.address is None and not after.toy.told and not after.others.state()["listening"]
            after.others.leave()  # nothing to say yet
            a.others.close()
            await until(lambda: after.toy.told)
            assert after.toy.told == [Started()]
            after.others.close()

    run(case)

"""Two nodes in one event loop, with fake components: what is delivered and dropped, and the effects of a fault."""

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

from .fake_messages import ALL_MESSAGES, Block, Line, Probe
from .fake_nodes import HELLO, HOST, KEY, FakeNode, run, running, wait_until


def test_datagrams_and_streams_are_delivered_complete_and_in_order() -> None:
    async def case() -> None:
        a, b = FakeNode("a"), FakeNode("b", process_epoch=7)
        async with running(a, b):
            assert a.membership.events == [Started()] == a.log.events
            a.perform(SendToAddress(b.address, Probe(5, "x")))
            await wait_until(lambda: b.membership.messages)
            assert b.membership.events[1] == MessageReceived(a.address, "a", Probe(5, "x"), Carrier.DATAGRAM)
            big = Block(bytes(range(256)) * 3900)  # 998,400 bytes
            b.perform(
                SendToMember("a", Line("1")),
                SendToMember("a", big),
                *[SendToMember("a", Line(str(n))) for n in range(2, 600)],
            )
            await wait_until(lambda: len(a.log.messages) == 600)
            assert a.log.messages == [Line("1"), big, *[Line(str(n)) for n in range(2, 600)]]
            received = a.log.events[-1]  # the address where b listens, not that of its connection
            assert (received.address, received.sender, received.carrier) == (b.address, "b", Carrier.STREAM)
            assert b.streams["connected"] == a.streams["accepted"] == 1 and b.streams["sent"] == 600
            assert not any({**a.transport.state()["dropped"], **b.transport.state()["dropped"]}.values())

    run(case)


def test_messages_too_long_or_without_address_are_counted() -> None:
    async def case() -> None:
        a, b = FakeNode("a"), FakeNode("b")
        async with running(a, b):
            a.perform(
                SendToAddress(b.address, Block(bytes(1200))),
                SendToMember("b", Block(bytes(1024 * 1024))),
                SendToMember("nobody", Line("x")),
            )
            assert a.transport.counts["too_long"] == 2 and a.hub.undeliverable_messages == 1
            invalid: list[tuple[Any, int]] = [
                ("localhost", 7),
                ("", 7),
                (HOST, 0),
                (HOST, 70000),
                ("::1", 7),
                ("a\0b", 1),
            ]
            a.perform(*[SendToAddress(at, Probe(1)) for at in invalid], SendToAddress(b.address, Probe(2)))
            await wait_until(lambda: b.membership.messages)
            assert a.transport.counts["send_failed"] == len(invalid) and a.transport.counts["sent"] == 1

    run(case)


def test_unknown_kinds_keep_the_stream_open_and_invalid_datagrams_are_counted() -> None:
    class Newer(Message, frozen=True, tag="ag.newer"):
        number: int

    async def case() -> None:
        b, codec = FakeNode("b"), FrameCodec(KEY, "g", (*ALL_MESSAGES, Newer))
        async with running(b):
            _, writer = await asyncio.open_connection(*b.address)
            writer.write(
                HELLO + with_length(codec.encode("a", Newer(1))) + with_length(codec.encode("a", Line("heard")))
            )
            await wait_until(lambda: b.log.messages)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in (
                    b"",
                    b"x",
                    bytes(1000),
                    bytes(1201),
                    bytes(60000),
                    codec.encode("a", Hello(1, (HOST, 9))),
                    codec.encode("a", Probe(1)),
                ):
                    sock.sendto(data, b.address)
            await wait_until(lambda: b.membership.messages)
            assert b.codec.faults == {
                **dict.fromkeys(FrameFault, 0),
                FrameFault.KIND: 2,
                FrameFault.SHORT: 2,
                FrameFault.DIGEST: 1,
                FrameFault.TOO_LONG: 2,
            }
            assert b.transport.counts["received"] == 7
            writer.close()

    run(case)


def test_timers_fire_in_order_and_not_early() -> None:
    async def case() -> None:
        a = FakeNode("a")
        async with running(a):
            now = asyncio.get_running_loop().time() * 1000
            fired: list[tuple[float, int]] = []

            def answer(at: float, event: Any) -> list[Any]:
                if isinstance(event, TimerFired):
                    fired.append((at, event.token))
                return [SetTimer(now + n, n) for n in (30, 10, -5, 20)] if isinstance(event, Stored) else []

            a.log.handler = answer
            a.transport.dispatch(Stored(1))  # with two components, ticket 1 is the second one's
            assert a.transport.state()["timers"] == 4
            await wait_until(lambda: len(fired) == 4)
            assert [token for _, token in fired] == [-5, 10, 20, 30] and all(at >= now + n for at, n in fired)

    run(case)


class Disk:
    def __init__(self) -> None:
        self.requests: list[tuple[int, tuple[Any, ...], Callable[[str | None], None]]] = []
        self.closed = 0

    def submit(self, ticket: int, records: tuple[Any, ...], done: Callable[[str | None], None]) -> None:
        self.requests.append((ticket, records, done))

    def close(self) -> None:
        self.closed += 1


def test_store_requests_are_answered_from_a_thread_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_PENDING_STORES", 2)

    async def case() -> None:
        disk = Disk()
        a, without_disk = FakeNode("a", disk=disk), FakeNode("b")
        async with running(a, without_disk):
            a.perform(Store(1, ("r",)), Store(2, ()), Store(3, ()))
            assert [records for _, records, _ in disk.requests] == [("r",), ()]
            await asyncio.to_thread(disk.requests[0][2], None)
            await asyncio.to_thread(disk.requests[1][2], "full")
            await wait_until(lambda: len(a.membership.events) == 5)
            assert set(a.membership.events[2:]) == {StoreFailed(3, "slow"), Stored(1), StoreFailed(2, "full")}
            without_disk.perform(Store(1, ()))
            await wait_until(lambda: StoreFailed(1, "no folder") in without_disk.membership.events)
        a.transport.close()
        assert disk.closed == 1
        disk.requests[0][2](None)  # a response after close

    run(case)


def test_a_component_that_raises_is_stopped_and_logged_with_its_event(caplog: pytest.LogCaptureFixture) -> None:
    async def case() -> None:
        a, b = FakeNode("a"), FakeNode("b")
        async with running(a, b):

            def broken(now: float, event: Any) -> list[Any]:
                raise KeyError("broken here")

            b.log.handler = broken
            a.perform(SendToMember("b", Line("x")), SendToMember("b", Line("y")))
            await wait_until(lambda: b.hub.unhandled_messages == 1)
            assert len(b.log.messages) == 1 and b.transport.state()["off"] == "ag."
            a.perform(SendToAddress(b.address, Probe(1)))
            await wait_until(lambda: b.membership.messages)  # the other component continues
            b.perform(object())  # an unknown action, of membership: stops all
            assert b.transport.state()["off"] == "mb., ag."

    with caplog.at_level(logging.INFO):
        run(case)
    faults = [record for record in caplog.records if "internal error in a fleet component" in record.getMessage()]
    assert len(faults) == 2 and "Line(text='x')" in faults[0].getMessage() and "broken here" in faults[0].getMessage()
    assert sum("fleet off: fault" in record.getMessage() for record in caplog.records) == 2


def test_an_event_dispatched_within_another_follows_it_and_time_does_not_run_backwards() -> None:
    class Announcement(NamedTuple):
        text: str

    async def case() -> None:
        a = FakeNode("a")
        times: list[tuple[float, Any]] = []

        def answer(now: float, event: Any) -> list[Any]:
            times.append((now, event))
            return []

        # As when new rules are applied: the handler dispatches an event while the current event is still being handled.
        a.hub.register_action_handler(Announcement, lambda action: a.transport.dispatch(Stored(3)))
        async with running(a):
            a.log.handler = answer
            a.perform(Announcement("in force"), Fenced())
            assert [event for _, event in times] == [Fenced(), ShutdownStarted(), Stored(1)]
            assert [now for now, _ in times] == sorted(now for now, _ in times)

    run(case)


def test_too_many_timers_stop_the_fleet_and_close_leaves_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_TIMERS", 3)

    async def case() -> None:
        a = FakeNode("a")
        async with running(a):
            a.perform(*[SetTimer(1e12, n) for n in range(4)])
            assert a.transport.state()["off"] == "all" and a.transport.state()["timers"] == 0
            before = len(a.membership.events)
            a.perform(LogLine("not handled"))
            assert len(a.membership.events) == before
        remaining = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        async with asyncio.timeout(5):
            await asyncio.gather(*remaining, return_exceptions=True)
        assert a.transport.address is None

    run(case)


def test_log_lines_are_logged_with_their_fields(caplog: pytest.LogCaptureFixture) -> None:
    async def case() -> None:
        a = FakeNode("a")
        async with running(a):
            a.perform(LogLine("suspects b", {"by": "c", "event": 3, "mono_ms": "set by the host"}))

    with caplog.at_level(logging.INFO):
        run(case)
    (record,) = [record for record in caplog.records if "suspects b" in record.getMessage()]
    event: dict[str, Any] = record.msg  # type: ignore[assignment]
    assert (
        event["fleet"] is True and event["by"] == "c" and event["event_"] == 3 and isinstance(event["mono_ms"], float)
    )


def test_binding_waits_until_the_address_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """The successor starts while its predecessor still occupies the address."""
    monkeypatch.setattr(module, "MIN_BIND_WAIT_S", 0.01)

    async def case() -> None:
        a = FakeNode("a")
        async with running(a):
            successor = FakeNode("a", process_epoch=2, address=a.address)
            successor.transport.start()
            await asyncio.sleep(0)
            assert (
                successor.transport.address is None
                and not successor.membership.events
                and not successor.transport.state()["listening"]
            )
            successor.transport.leave()  # nothing to send yet
            a.transport.close()
            await wait_until(lambda: successor.membership.events)
            assert successor.membership.events == [Started()]
            successor.transport.close()

    run(case)

"""The relay: return addresses, each fault on datagrams and streams, and equal losses for equal seeds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import pytest

from limenotch.fleet.interfaces import Carrier
from limenotch.lab.emulate.sidecars import free_port
from limenotch.lab.emulate.wire import reset
from limenotch.lab.fleet import relay as relay_module
from limenotch.lab.fleet.relay import Relay
from limenotch.lab.fleet.splice import MAX_QUEUED_BYTES

A, B = ("a", "b"), ("b", "a")  # directed links
MAX_READ_BYTES = 256 * 1024  # bytes that asyncio reads at once


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 30))


class FakePlan:
    """A fault plan that a test configures."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.counts: dict[tuple[str, str, Carrier], int] = {}
        self.loss = self.duplication = 0.0
        self.delay = (0.0, 0.0)
        self.partitioned: set[tuple[str, str]] = set()
        self.by_count: Callable[[int], list[float]] | None = None
        self.calls = 0

    def arrival_delays_ms(self, now_ms: float, sender: str, receiver: str, carrier: Carrier) -> list[float]:
        self.calls += 1
        if self.by_count is not None:
            return self.by_count(self.calls)
        key = (sender, receiver, carrier)
        self.counts[key] = self.counts.get(key, 0) + 1
        random = Random(f"{self.seed} {key} {self.counts[key]}")
        loss_draw, duplicate, delay_draw = random.random(), random.random(), random.random()
        low_ms, high_ms = self.delay
        return (
            []
            if loss_draw < self.loss
            else [low_ms + delay_draw * (high_ms - low_ms)] * (2 if duplicate < self.duplication else 1)
        )

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self.partitioned


class DatagramMember(asyncio.DatagramProtocol):
    """A member's datagram socket; with `answers`, it sends a reply to the source of each datagram."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.received: asyncio.Queue[tuple[bytes, Any]] = asyncio.Queue()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.put_nowait((data, addr))
        if self.answers:
            self.transport.sendto(b"re " + data, addr)


def parse_address(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


class TwoMembers:
    """Two members: a sends and b replies, with datagrams and streams."""

    def __init__(self, plan: FakePlan, answers: bool = True) -> None:
        self.plan, self.datagram_members = plan, {"a": DatagramMember(False), "b": DatagramMember(answers)}
        self.streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def __aenter__(self) -> TwoMembers:
        loop = asyncio.get_running_loop()
        addresses: dict[str, tuple[str, int]] = {}
        self.servers: list[asyncio.Server] = []

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.accepted.put_nowait((reader, writer))

        for name, member in self.datagram_members.items():
            await loop.create_datagram_endpoint(
                lambda member=member: member,  # type: ignore[misc]
                local_addr=("127.0.0.1", free_port()),
            )
            addresses[name] = member.transport.get_extra_info("sockname")
            self.servers.append(await asyncio.start_server(accept, *addresses[name]))
        self.relay = Relay(addresses, self.plan)
        await self.relay.open()
        self.b = parse_address(self.relay.addresses("a")["b"])
        return self

    def send(self, data: bytes) -> None:
        self.datagram_members["a"].transport.sendto(data, self.b)

    async def stream(self) -> None:
        """Opens a stream from a to b; `self.here` is the end of a, `self.there` that of b."""
        self.here = await asyncio.open_connection(*self.b)
        self.there = await self.accepted.get()
        self.streams += [self.here, self.there]

    async def __aexit__(self, *about: object) -> None:
        self.relay.close()
        for _, writer in self.streams:
            writer.close()
        for member in self.datagram_members.values():
            member.transport.abort()
        for server in self.servers:
            server.close()
        await asyncio.sleep(0)
        assert not any(door.splices for door in self.relay.doors.values())


def test_messages_have_the_relays_return_address_as_source() -> None:
    async def case() -> None:
        async with TwoMembers(FakePlan()) as members:
            a_seen_by_b = parse_address(members.relay.addresses("b")["a"])
            assert members.b[0] == "127.64.1.2" and a_seen_by_b[0] == "127.64.2.1"
            members.send(b"hello")
            assert await members.datagram_members["b"].received.get() == (b"hello", a_seen_by_b)
            assert await members.datagram_members["a"].received.get() == (b"re hello", members.b)
            await members.stream()
            assert members.there[1].get_extra_info("peername")[0] == a_seen_by_b[0]
            members.here[1].write(b"ask")
            assert await members.there[0].readexactly(3) == b"ask"
            members.there[1].write(b"answer")
            members.there[1].write_eof()
            assert await members.here[0].read() == b"answer"  # to the end of the stream; the other direction stays open
            members.here[1].write(b"more")
            members.here[1].write_eof()
            assert await members.there[0].read() == b"more"
            counts = members.relay.door("a", "b").counts
            assert (counts.datagrams, counts.lost, counts.connections, counts.sent_bytes) == (1, 0, 1, 5 + 3 + 4)

    run(case())


async def receive_datagrams(seed: int, count: int) -> tuple[list[bytes], int]:
    plan = FakePlan(seed)
    plan.loss, plan.duplication = 0.3, 0.2
    received: list[bytes] = []
    async with TwoMembers(plan, answers=False) as members:
        door = members.relay.door("a", "b")
        for number in range(count):
            members.send(b"%d" % number)
            while door.counts.datagrams <= number:
                await asyncio.sleep(0)
        expected_count = count - door.counts.lost + door.counts.duplicated
        for _ in range(expected_count):
            received.append((await members.datagram_members["b"].received.get())[0])
        return received, door.counts.duplicated


def test_equal_seeds_lose_the_same_datagrams() -> None:
    async def case() -> None:
        first, duplicated = await receive_datagrams(7, 200)
        assert (first, duplicated) == await receive_datagrams(7, 200)
        assert 110 < len(set(first)) < 170 and 15 < duplicated < 45
        assert first != (await receive_datagrams(8, 200))[0]

    run(case())


def test_delay_reorders_datagrams_and_their_queue_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        plan = FakePlan()
        plan.by_count = lambda count: [60.0 if count == 1 else 1.0]
        async with TwoMembers(plan, answers=False) as members:
            members.send(b"first")
            members.send(b"second")
            started_s = asyncio.get_running_loop().time()
            received = [(await members.datagram_members["b"].received.get())[0] for _ in range(2)]
            assert received == [b"second", b"first"]
            assert asyncio.get_running_loop().time() - started_s > 0.05
            monkeypatch.setattr(relay_module, "MAX_DELAYED_DATAGRAMS", 5)
            plan.by_count = lambda count: [20.0]
            for _ in range(9):
                members.send(b"x")
            door = members.relay.door("a", "b")
            while door.counts.datagrams < 11:
                await asyncio.sleep(0)
            assert door.counts.dropped == 4
            for _ in range(5):
                await members.datagram_members["b"].received.get()

    run(case())


def test_a_one_way_partition() -> None:
    async def case() -> None:
        plan = FakePlan()
        async with TwoMembers(plan) as members:
            plan.partitioned.add(B)
            members.send(b"one")
            assert (await members.datagram_members["b"].received.get())[0] == b"one"
            reverse_counts = members.relay.door("b", "a").counts
            while reverse_counts.datagrams < 1:
                await asyncio.sleep(0)
            assert reverse_counts.lost == 1 and members.datagram_members["a"].received.empty()
            plan.partitioned = {A}
            members.send(b"two")
            while members.relay.door("a", "b").counts.lost < 1:
                await asyncio.sleep(0)
            plan.partitioned.clear()
            members.send(b"three")
            assert (await members.datagram_members["a"].received.get())[0] == b"re three"
            assert plan.calls == 3  # not for the two blocked datagrams: one, three and its reply

    run(case())


def test_a_stream_is_blocked_by_a_partition_and_continues_after_it() -> None:
    async def case() -> None:
        plan = FakePlan()
        async with TwoMembers(plan) as members:
            await members.stream()
            plan.partitioned = {A, B}
            late = await asyncio.open_connection(*members.b)  # accepted by the relay alone
            members.streams.append(late)
            members.here[1].write(b"held")
            reset_connection(members.there[1])
            (splice,) = [found for found in members.relay.door("a", "b").splices if found.far.transport is not None]
            while splice.far.transport is not None:
                await asyncio.sleep(0)
            assert splice.near.transport is not None and not members.here[0].at_eof() and members.accepted.empty()
            members.relay.reset("a", "b")
            with pytest.raises(ConnectionResetError):
                await members.here[0].read(1)
            with pytest.raises(ConnectionResetError):
                await late[0].read(1)
            plan.partitioned = set()
            await members.stream()
            plan.partitioned = {A}
            members.here[1].write(b"held")
            members.here[1].write_eof()
            members.there[1].write(b"the other way")
            assert await members.here[0].readexactly(13) == b"the other way"
            assert not members.there[0].at_eof()
            plan.partitioned = set()
            members.relay.plan_changed()
            assert await members.there[0].read() == b"held"

    run(case())


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets the connection, as the kernel does for a killed process with unread data."""
    assert isinstance(writer.transport, asyncio.Transport)
    reset(writer.transport)


def test_the_end_of_a_process_resets_its_streams() -> None:
    async def case() -> None:
        async with TwoMembers(FakePlan()) as members:
            await members.stream()
            reset_connection(members.there[1])
            with pytest.raises(ConnectionResetError):
                await members.here[0].read(1)
            for server in members.servers:
                server.close()
            refused = await asyncio.open_connection(*members.b)
            members.streams.append(refused)
            with pytest.raises(ConnectionResetError):
                await refused[0].read(1)

    run(case())


def test_a_stream_preserves_its_order_under_loss_and_delay() -> None:
    async def case() -> None:
        plan = FakePlan(3)
        plan.loss, plan.delay = 0.1, (0.0, 20.0)
        async with TwoMembers(plan) as members:
            await members.stream()
            started_s = asyncio.get_running_loop().time()
            for number in range(40):
                members.here[1].write(b"%03d" % number)
                await asyncio.sleep(0)
            received = await members.there[0].readexactly(120)
            assert received == b"".join(b"%03d" % number for number in range(40))
            assert asyncio.get_running_loop().time() - started_s > 0.005

    run(case())


def test_a_slow_link_limits_the_rate_and_its_queue_is_bounded() -> None:
    async def case() -> None:
        async with TwoMembers(FakePlan()) as members:
            await members.stream()
            members.relay.limit_rate("a", "b", 100_000.0)
            started_s = asyncio.get_running_loop().time()
            members.here[1].write(b"x" * 20_000)
            await members.there[0].readexactly(20_000)
            duration_s = asyncio.get_running_loop().time() - started_s
            assert duration_s > 0.19, duration_s
            members.there[1].write(b"y" * 200_000)  # the other direction is not limited
            await members.here[0].readexactly(200_000)
            members.relay.limit_rate("a", "b", 1.0)
            members.here[1].write(b"z" * (8 << 20))
            (splice,) = members.relay.door("a", "b").splices
            near = splice.near.transport
            assert near is not None and splice.near.pump is not None
            while near.is_reading():
                await asyncio.sleep(0)
            assert MAX_QUEUED_BYTES < splice.near.pump.queued_bytes <= MAX_QUEUED_BYTES + MAX_READ_BYTES
            with pytest.raises(ValueError, match="more than 0"):
                members.relay.limit_rate("a", "b", 0.0)

    run(case())

"""The relay: addresses that lead back, each fault on datagrams and streams, and the same losses for the same seed."""

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

A, B = ("a", "b"), ("b", "a")  # ways
MOST_READ = 256 * 1024  # that asyncio reads at once


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 30))


class Chosen:
    """A plan whose parts a test sets."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.counts: dict[tuple[str, str, Carrier], int] = {}
        self.loss = self.double = 0.0
        self.delay = (0.0, 0.0)
        self.cuts: set[tuple[str, str]] = set()
        self.by_count: Callable[[int], list[float]] | None = None
        self.asked = 0

    def arrival_delays_ms(self, now_ms: float, sender: str, receiver: str, carrier: Carrier) -> list[float]:
        self.asked += 1
        if self.by_count is not None:
            return self.by_count(self.asked)
        key = (sender, receiver, carrier)
        self.counts[key] = self.counts.get(key, 0) + 1
        drawn = Random(f"{self.seed} {key} {self.counts[key]}")
        lost, twice, late = drawn.random(), drawn.random(), drawn.random()
        low, high = self.delay
        return [] if lost < self.loss else [low + late * (high - low)] * (2 if twice < self.double else 1)

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self.cuts


class Mouth(asyncio.DatagramProtocol):
    """A member's datagram socket; `answers`: what is heard goes back to where it came from."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.heard: asyncio.Queue[tuple[bytes, Any]] = asyncio.Queue()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.heard.put_nowait((data, addr))
        if self.answers:
            self.transport.sendto(b"re " + data, addr)


def at(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


class Toys:
    """Two members, a asks and b answers, on datagrams and on streams."""

    def __init__(self, plan: Chosen, answers: bool = True) -> None:
        self.plan, self.mouths = plan, {"a": Mouth(False), "b": Mouth(answers)}
        self.streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.met: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def __aenter__(self) -> Toys:
        loop = asyncio.get_running_loop()
        own: dict[str, tuple[str, int]] = {}
        self.servers: list[asyncio.Server] = []

        def meet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.met.put_nowait((reader, writer))

        for name, mouth in self.mouths.items():
            await loop.create_datagram_endpoint(
                lambda mouth=mouth: mouth,  # type: ignore[misc]
                local_addr=("127.0.0.1", free_port()),
            )
            own[name] = mouth.transport.get_extra_info("sockname")
            self.servers.append(await asyncio.start_server(meet, *own[name]))
        self.relay = Relay(own, self.plan)
        await self.relay.open()
        self.b = at(self.relay.addresses("a")["b"])
        return self

    def send(self, data: bytes) -> None:
        self.mouths["a"].transport.sendto(data, self.b)

    async def stream(self) -> None:
        """A stream from a to b; `self.here` and `self.there` are its ends."""
        self.here = await asyncio.open_connection(*self.b)
        self.there = await self.met.get()
        self.streams += [self.here, self.there]

    async def __aexit__(self, *about: object) -> None:
        self.relay.close()
        for _, writer in self.streams:
            writer.close()
        for mouth in self.mouths.values():
            mouth.transport.abort()
        for server in self.servers:
            server.close()
        await asyncio.sleep(0)
        assert not any(door.splices for door in self.relay.doors.values())


def test_what_comes_bears_the_address_that_leads_back() -> None:
    async def case() -> None:
        async with Toys(Chosen()) as toys:
            a_seen_by_b = at(toys.relay.addresses("b")["a"])
            assert toys.b[0] == "127.64.1.2" and a_seen_by_b[0] == "127.64.2.1"
            toys.send(b"hello")
            assert await toys.mouths["b"].heard.get() == (b"hello", a_seen_by_b)
            assert await toys.mouths["a"].heard.get() == (b"re hello", toys.b)
            await toys.stream()
            assert toys.there[1].get_extra_info("peername")[0] == a_seen_by_b[0]
            toys.here[1].write(b"ask")
            assert await toys.there[0].readexactly(3) == b"ask"
            toys.there[1].write(b"answer")
            toys.there[1].write_eof()
            assert await toys.here[0].read() == b"answer"  # to its end, while the other direction goes on
            toys.here[1].write(b"more")
            toys.here[1].write_eof()
            assert await toys.there[0].read() == b"more"
            passed = toys.relay.door("a", "b").counts
            assert (passed.datagrams, passed.lost, passed.connections, passed.sent_bytes) == (1, 0, 1, 5 + 3 + 4)

    run(case())


async def heard_of(seed: int, count: int) -> tuple[list[bytes], int]:
    plan = Chosen(seed)
    plan.loss, plan.double = 0.3, 0.2
    heard: list[bytes] = []
    async with Toys(plan, answers=False) as toys:
        door = toys.relay.door("a", "b")
        for number in range(count):
            toys.send(b"%d" % number)
            while door.counts.datagrams <= number:
                await asyncio.sleep(0)
        copies = count - door.counts.lost + door.counts.duplicated
        for _ in range(copies):
            heard.append((await toys.mouths["b"].heard.get())[0])
        return heard, door.counts.duplicated


def test_the_same_seed_loses_the_same_datagrams() -> None:
    async def case() -> None:
        first, doubled = await heard_of(7, 200)
        assert (first, doubled) == await heard_of(7, 200)
        assert 110 < len(set(first)) < 170 and 15 < doubled < 45
        assert first != (await heard_of(8, 200))[0]

    run(case())


def test_delay_turns_datagrams_about_and_what_waits_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def case() -> None:
        plan = Chosen()
        plan.by_count = lambda count: [60.0 if count == 1 else 1.0]
        async with Toys(plan, answers=False) as toys:
            toys.send(b"first")
            toys.send(b"second")
            began = asyncio.get_running_loop().time()
            heard = [(await toys.mouths["b"].heard.get())[0] for _ in range(2)]
            assert heard == [b"second", b"first"]
            assert asyncio.get_running_loop().time() - began > 0.05
            monkeypatch.setattr(relay_module, "MAX_DELAYED_DATAGRAMS", 5)
            plan.by_count = lambda count: [20.0]
            for _ in range(9):
                toys.send(b"x")
            door = toys.relay.door("a", "b")
            while door.counts.datagrams < 11:
                await asyncio.sleep(0)
            assert door.counts.dropped == 4
            for _ in range(5):
                await toys.mouths["b"].heard.get()

    run(case())


def test_a_one_way_cut() -> None:
    async def case() -> None:
        plan = Chosen()
        async with Toys(plan) as toys:
            plan.cuts.add(B)
            toys.send(b"one")
            assert (await toys.mouths["b"].heard.get())[0] == b"one"
            back = toys.relay.door("b", "a").counts
            while back.datagrams < 1:
                await asyncio.sleep(0)
            assert back.lost == 1 and toys.mouths["a"].heard.empty()
            plan.cuts = {A}
            toys.send(b"two")
            while toys.relay.door("a", "b").counts.lost < 1:
                await asyncio.sleep(0)
            plan.cuts.clear()
            toys.send(b"three")
            assert (await toys.mouths["a"].heard.get())[0] == b"re three"
            assert plan.asked == 3  # what a cut takes is not asked about: one, three and its answer

    run(case())


def test_a_cut_stream_says_nothing_and_goes_on_when_healed() -> None:
    async def case() -> None:
        plan = Chosen()
        async with Toys(plan) as toys:
            await toys.stream()
            plan.cuts = {A, B}
            late = await asyncio.open_connection(*toys.b)  # accepted, and nobody is there
            toys.streams.append(late)
            toys.here[1].write(b"held")
            die(toys.there[1])
            (splice,) = [each for each in toys.relay.door("a", "b").splices if each.far.transport is not None]
            while splice.far.transport is not None:
                await asyncio.sleep(0)
            assert splice.near.transport is not None and not toys.here[0].at_eof() and toys.met.empty()
            toys.relay.reset("a", "b")
            with pytest.raises(ConnectionResetError):
                await toys.here[0].read(1)
            with pytest.raises(ConnectionResetError):
                await late[0].read(1)
            plan.cuts = set()
            await toys.stream()
            plan.cuts = {A}
            toys.here[1].write(b"held")
            toys.here[1].write_eof()
            toys.there[1].write(b"the other way")
            assert await toys.here[0].readexactly(13) == b"the other way"
            assert not toys.there[0].at_eof()
            plan.cuts = set()
            toys.relay.plan_changed()
            assert await toys.there[0].read() == b"held"

    run(case())


def die(writer: asyncio.StreamWriter) -> None:
    """As a killed process leaves its connection with something unread."""
    assert isinstance(writer.transport, asyncio.Transport)
    reset(writer.transport)


def test_a_dead_process_resets_what_it_held() -> None:
    async def case() -> None:
        async with Toys(Chosen()) as toys:
            await toys.stream()
            die(toys.there[1])
            with pytest.raises(ConnectionResetError):
                await toys.here[0].read(1)
            for server in toys.servers:
                server.close()
            refused = await asyncio.open_connection(*toys.b)
            toys.streams.append(refused)
            with pytest.raises(ConnectionResetError):
                await refused[0].read(1)

    run(case())


def test_a_stream_keeps_its_order_under_loss_and_delay() -> None:
    async def case() -> None:
        plan = Chosen(3)
        plan.loss, plan.delay = 0.1, (0.0, 20.0)
        async with Toys(plan) as toys:
            await toys.stream()
            began = asyncio.get_running_loop().time()
            for number in range(40):
                toys.here[1].write(b"%03d" % number)
                await asyncio.sleep(0)
            got = await toys.there[0].readexactly(120)
            assert got == b"".join(b"%03d" % number for number in range(40))
            assert asyncio.get_running_loop().time() - began > 0.005

    run(case())


def test_a_slow_link_passes_bytes_at_its_rate_and_holds_no_more_than_its_bound() -> None:
    async def case() -> None:
        async with Toys(Chosen()) as toys:
            await toys.stream()
            toys.relay.limit_rate("a", "b", 100_000.0)
            began = asyncio.get_running_loop().time()
            toys.here[1].write(b"x" * 20_000)
            await toys.there[0].readexactly(20_000)
            took = asyncio.get_running_loop().time() - began
            assert took > 0.19, took
            toys.there[1].write(b"y" * 200_000)  # the other way is not slow
            await toys.here[0].readexactly(200_000)
            toys.relay.limit_rate("a", "b", 1.0)
            toys.here[1].write(b"z" * (8 << 20))
            (splice,) = toys.relay.door("a", "b").splices
            near = splice.near.transport
            assert near is not None and splice.near.pump is not None
            while near.is_reading():
                await asyncio.sleep(0)
            assert MAX_QUEUED_BYTES < splice.near.pump.queued_bytes <= MAX_QUEUED_BYTES + MOST_READ
            with pytest.raises(ValueError, match="more than 0"):
                toys.relay.limit_rate("a", "b", 0.0)

    run(case())

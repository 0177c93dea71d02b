"""The emulator: the directory, the providers' listeners, connections, and the load generator."""

from __future__ import annotations

import asyncio
import json
import socket
from math import inf
from typing import Any

import pytest

from limenotch.lab import planning, scenario
from limenotch.lab.emulate.directory import DirectoryHost
from limenotch.lab.emulate.load import LoadGenerator, encode_request, outcome_of_response
from limenotch.lab.emulate.providers import CORRUPT_RESPONSE, ProviderHost
from limenotch.lab.emulate.wire import Pool, ServerConnection, listener
from limenotch.lab.model.chance import Seeds
from limenotch.lab.model.clients import Clients
from limenotch.lab.model.directory import Directory, DirectorySpec, Entry
from limenotch.lab.model.faults import FaultAction
from limenotch.lab.model.fleet import Fleet
from limenotch.lab.model.network import Network
from limenotch.lab.model.rules import RuleChecker
from limenotch.lab.record import Record
from limenotch.net import http1
from limenotch.net.discovery import json_stream

from ..helpers.processes import run

ONE = """
name = "one"
length_s = 2
[clients]
rate_per_s = 50
[network]
same_ms = 0.01
[[tier]]
name = "only"
providers = 2
[[tier.kind]]
name = "k"
slots = 4
queue = 2
[[class]]
name = "c"
work_ms = 1
dist = "fixed"
aim_ms = 1000
deadline_ms = 3000
[[class]]
name = "k"
share = 0.2
work_ms = 1
dist = "fixed"
aim_ms = 1000
deadline_ms = 3000
effect = "deduplicated"
"""


def plan(text: str = ONE, seed: int = 1) -> planning.Plan:
    return planning.plan(scenario.parse(text, "t"), seed)


def make_components(made: planning.Plan) -> tuple[Fleet, Clients, Record, RuleChecker]:
    seeds = Seeds(made.seed)
    network = Network(made.network, seeds)
    clients = Clients(made.clients, made.classes, made.accounts, 1, made.quota_per_s, seeds)
    return Fleet(made, seeds, network, clients), clients, Record(made, []), RuleChecker()


class EmulatedProviders:
    """A provider host on a clock that the test moves; `wait_for` runs the timers of the model."""

    def __init__(self, text: str = ONE) -> None:
        self.plan = plan(text)
        self.now = 1.0
        self.fleet, _, record, self.rules = make_components(self.plan)
        self.host = ProviderHost(self.fleet, self.rules, record, lambda: self.now, lambda *_: lambda: None)
        self.site = self.fleet.sites[0][0]

    async def send_request(self, pool: Pool, name: str, work: float = 1.0) -> asyncio.Future[http1.Message | None]:
        answer: asyncio.Future[http1.Message | None] = asyncio.get_running_loop().create_future()
        self.rules.request_accepted(self.now, name, "idempotent", "all", 0, inf)
        pool.send(encode_request(self.plan, 0, None, name, "", 3000.0, work), answer.set_result)
        for _ in range(2000):
            if self.rules._open[name].attempts or answer.done():
                break
            await asyncio.sleep(0)
        return answer

    async def wait_for(self, answer: asyncio.Future[http1.Message | None]) -> http1.Message | None:
        for turn in range(20_000):
            process = self.site.process
            if answer.done():
                break
            # First the messages in the kernel's socket buffers, then the model's next event.
            if turn % 50 == 49 and process is not None and process.next_event_ms() < inf:
                self.now = max(self.now, process.next_event_ms())
                self.host._run(self.site)
            await asyncio.sleep(0)
        return await answer


def test_a_provider_answers_rejects_and_resets() -> None:
    async def case() -> None:
        providers = EmulatedProviders()
        site_listener = await providers.host.site_listener((0, 0), providers.site, 0)
        pool = Pool("127.0.0.1", site_listener.port)
        message = await providers.wait_for(await providers.send_request(pool, "a"))
        assert message is not None and (message.status, message.body) == (200, b"a only-0-0")
        assert message.fields[b"x-load-report"].startswith(b"TEXT util=")
        held = [await providers.send_request(pool, f"h{n}", 1e6) for n in range(6)]  # four slots, two waiting
        full = await providers.wait_for(await providers.send_request(pool, "full"))
        assert full is not None and full.status == 503 and full.fields[b"x-rejected"] == b"1"
        process = providers.site.process
        assert process is not None and process.job_count == 6
        for changed in providers.fleet.apply(providers.now, FaultAction(providers.now, "kill", 0, 0)):
            providers.host.stopped(changed.site, changed.job_ids)
        assert [await answer for answer in held] == [None] * 6 and not providers.host._attempts
        refused: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        pool.send(b"GET / HTTP/1.1\r\n\r\n", refused.set_result)
        assert await refused is None
        port = site_listener.port
        providers.fleet.apply(providers.now, FaultAction(providers.now, "start", 0, 0))
        await site_listener.open()  # the same address with another process
        again = await providers.wait_for(await providers.send_request(pool, "again"))
        assert site_listener.port == port and again is not None and again.body == b"again only-0-1"
        pool.close()
        providers.host.close()

    run(case())


def test_an_abandoned_call_ends_its_job_and_a_silent_machine_says_nothing() -> None:
    async def case() -> None:
        providers = EmulatedProviders()
        site_listener = await providers.host.site_listener((0, 0), providers.site, 0)
        pool, process = Pool("127.0.0.1", site_listener.port), providers.site.process
        assert process is not None
        await providers.send_request(pool, "left", 1e6)
        assert process.job_count == 1
        pool.close()
        while process.job_count:
            await asyncio.sleep(0)
        assert process.ledger.unspent > 0 and not providers.host._attempts
        pool = Pool("127.0.0.1", site_listener.port)
        providers.fleet.apply(providers.now, FaultAction(providers.now, "silent", 0, 0, 1.0))
        silent = await providers.send_request(pool, "silent")
        assert not silent.done() and process.job_count == 0
        providers.fleet.apply(providers.now, FaultAction(providers.now, "silent", 0, 0, 0.0))
        providers.host.reset_silent_connections(providers.site)
        assert await silent is None  # reset once the machine is reachable again
        providers.site.corrupt_chance = 1.0
        spoilt = await providers.send_request(pool, "spoilt")
        assert await providers.wait_for(spoilt) is None and CORRUPT_RESPONSE.startswith(b"HTTP/1.1 2OO")
        assert providers.rules.all_hold
        pool.close()
        providers.host.close()

    run(case())


def test_a_peer_that_does_not_read_is_reset() -> None:
    async def case() -> None:
        ended = asyncio.Event()

        def request(connection: ServerConnection, message: http1.Message) -> None:
            connection.answer(http1.write_response(200, [], b"x" * 100_000))

        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(request, lambda _: ended.set(), lambda _: True), sock=listener()
        )
        with socket.create_connection(server.sockets[0].getsockname()) as peer:
            peer.setblocking(False)
            while not ended.is_set():
                try:
                    peer.send(b"GET / HTTP/1.1\r\n\r\n" * 10)
                except BlockingIOError:
                    pass
                except OSError:
                    break
                await asyncio.sleep(0)
            await ended.wait()
        server.close()

    run(case())


def test_requests_of_unknown_form_are_answered_with_an_error() -> None:
    async def case() -> None:
        providers = EmulatedProviders()
        site_listener = await providers.host.site_listener((0, 0), providers.site, 0)
        pool = Pool("127.0.0.1", site_listener.port)
        for wire, status in (
            (b"GET /api HTTP/1.1\r\n\r\n", 404),
            (b"GET /api HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n", 400),
            (b"GET /alive HTTP/1.1\r\n\r\n", 200),
        ):
            answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
            pool.send(wire, answer.set_result)
            assert (await answer).status == status
        assert providers.host.unknown_requests == 2
        pool.close()
        providers.host.close()

    run(case())


def test_the_directory_is_watched_over_sockets() -> None:
    async def case() -> None:
        now = [0.0]
        directory = Directory(
            DirectorySpec(period_ms=0.0, spread_ms=0.0, call_ms=0.0, drain_ms=(5.0, 5.0)), Seeds(1).stream("d")
        )
        directory.add_initial(Entry("p-0-0"))
        told: list[str] = []
        hosted = DirectoryHost(
            [directory],
            lambda: now[0],
            lambda _, entries: [{"name": e.name, "s": e.stage} for e in entries],
            lambda _, tell: told.extend(e.stage for e in tell.entries),
        )
        port = await hosted.watcher((0, 0))
        assert port == await hosted.watcher((0, 0))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /discovery/hosts?follow=1 HTTP/1.1\r\n\r\n")
        stream = json_stream.JsonStreamResponse()

        async def line() -> dict[str, Any]:
            while True:
                for each in stream.feed(await reader.read(65536)):
                    if each.strip():
                        found: dict[str, Any] = json.loads(each)
                        return found

        first = await line()
        assert first["snapshot"] and first["endpoints"] == [{"name": "p-0-0", "s": "ready"}]
        directory.schedule_change(now[0], Entry("p-0-0", "draining"))
        now[0] = 5.0
        hosted.reschedule(0)
        change = await line()
        assert not change["snapshot"] and change["endpoints"] == [{"name": "p-0-0", "s": "draining"}]
        assert told == ["ready", "draining"]
        directory.set_down(now[0], True)
        hosted.reschedule(0)
        with pytest.raises(ConnectionError):
            assert await reader.read() == b""
            raise ConnectionResetError
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /discovery/hosts?follow=1 HTTP/1.1\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        hosted.close()

    run(case())


def test_the_load_tool_counts_from_the_intended_time_and_gives_up() -> None:
    """With a server that does not answer some requests, later requests are sent in time all the same."""

    async def case() -> None:
        made = plan(ONE.replace("deadline_ms = 3000", "deadline_ms = 400").replace("aim_ms = 1000", "aim_ms = 100"))
        _, clients, record, rules = make_components(made)
        held: list[ServerConnection] = []
        seen = [0]

        def request(connection: ServerConnection, message: http1.Message) -> None:
            seen[0] += 1
            if seen[0] % 4 == 1:
                held.append(connection)  # never answered: the client gives up at its deadline
            elif seen[0] % 4 == 2:
                connection.answer(http1.write_response(503, [(b"Retry-After", b"0.5")]))
            else:
                body = message.fields[b"x-call-id"] if seen[0] % 4 == 3 else b"somebody else's"
                connection.answer(http1.write_response(200, [], body))

        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(request, lambda _: None, lambda _: True), sock=listener()
        )
        pool = Pool("127.0.0.1", server.sockets[0].getsockname()[1])
        loop = asyncio.get_running_loop()
        began = loop.time()
        load = LoadGenerator(made, clients, record, rules, lambda: (loop.time() - began) * 1000.0, lambda _: pool)
        await load.run(500.0)
        asked = load.progress.asked
        assert asked == seen[0] > 8 and record.finals["timed out"] == (asked + 3) // 4
        assert record.finals["rejected"] == (asked + 2) // 4 and record.finals["served"] == (asked + 1) // 4
        assert load.foreign_responses == asked // 4 == record.finals["failed"]
        # Requests without a response by their deadline are counted as violations.
        assert rules.counts["one final answer in time"] == record.finals["timed out"]
        pool.close()
        server.close()

    run(case())


def test_outcomes_of_responses() -> None:
    def answer(status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> http1.Message:
        return http1.Message(list(headers), dict(headers), status=status, body=body)

    assert outcome_of_response(answer(200, b"c1 p"), "c1") == ("served", 0.0)
    assert outcome_of_response(answer(200, b"c11 p"), "c1") == ("failed", 0.0)
    assert outcome_of_response(answer(503, b"", (b"retry-after", b"1.5")), "c1") == ("rejected", 1500.0)
    assert outcome_of_response(answer(429, b"", (b"retry-after", b"x")), "c1") == ("rejected", 0.0)
    assert outcome_of_response(answer(504), "c1") == outcome_of_response(None, "c1") == ("failed", 0.0)

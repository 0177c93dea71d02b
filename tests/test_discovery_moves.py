"""Discovery moves to another address: updates from the old one are used until the new one has sent its list."""

from __future__ import annotations

import asyncio
import math
import socket
import time

import pytest

from limenotch.net.discovery import schedule
from limenotch.net.discovery.watch import RetiredWatches

from .helpers.discovery_peer import CHUNKED, ScriptedDiscovery, WatchRecorder, chunk, list_document, run_case

PAUSE_S = 0.2


@pytest.mark.parametrize("turns", range(6))
def test_a_change_from_the_old_address_is_used_until_the_new_one_has_sent_its_list(turns: int) -> None:
    """The move follows so many turns of the event loop after the change is in the kernel: unread, read or processed.

    A change that discovery has written counts as sent; closing the connection with unread bytes would lose it.
    """

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(CHUNKED, chunk(list_document(7, "a")))
        assert await held.lists.get() == (["a"], True)
        other = ScriptedDiscovery()
        at = await other.start()
        call.send_immediately(chunk(list_document(8, "before", complete=False)))
        for _ in range(turns):
            await asyncio.sleep(0)
        held.client.move(at)
        moved = await other.requests.get()
        assert moved.target == b"/discovery/hosts?follow=1"  # versions may be numbered anew
        assert await held.lists.get() == (["before"], False)
        call.send(chunk(list_document(9, "beside", complete=False)))
        assert await held.lists.get() == (["beside"], False)
        moved.send(CHUNKED, chunk(list_document(2, "new")))
        assert await held.lists.get() == (["new"], True)
        call.send(chunk(list_document(10, "after", complete=False)))
        await call.wait_closed()
        moved.send(chunk(list_document(3, "next", complete=False)))
        assert await held.lists.get() == (["next"], False)
        assert held.lists.empty() and held.broken_watches.empty()

    run_case(body, silence_s=3.0)


def test_after_consecutive_moves_the_latest_list_counts() -> None:
    """A query that a later move has retired may receive its list first; older watches are closed then."""

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        first = await peer.requests.get()
        first.send(CHUNKED, chunk(list_document(7, "a")))
        assert await held.lists.get() == (["a"], True)
        second, third = ScriptedDiscovery(), ScriptedDiscovery()
        at_second, at_third = await second.start(), await third.start()
        held.client.move(at_second)
        call = await second.requests.get()
        began = time.monotonic()
        held.client.move(at_third)
        call.send(CHUNKED, chunk(list_document(2, "b")))
        assert await held.lists.get() == (["b"], True)
        first.send(chunk(list_document(8, "late", complete=False)))
        await first.wait_closed()
        last = await third.requests.get()
        assert time.monotonic() - began >= 0.5 * schedule.MOVE_SETTLE_S  # consecutive moves share a query
        last.send(CHUNKED, chunk(list_document(1, "c")))
        assert await held.lists.get() == (["c"], True)
        await call.wait_closed()
        assert held.client.position()[:3] == (at_third, 1, True)
        assert held.lists.empty() and held.broken_watches.empty()

    run_case(body, silence_s=3.0)


def test_the_watch_of_an_old_address_that_falls_silent_is_closed() -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(CHUNKED, chunk(list_document(7, "a")))
        await held.lists.get()
        with socket.socket() as silent:  # connections are established, but nothing is sent on them
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            held.client.move(silent.getsockname())
            await call.wait_closed()

    run_case(body)


def test_only_a_few_old_addresses_are_watched(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "MOVE_SETTLE_S", 0.05)

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        calls = [await peer.requests.get()]
        calls[0].send(CHUNKED, chunk(list_document(7, "a")))
        await held.lists.get()
        for _ in range(RetiredWatches.MAX_WATCHES + 1):
            await asyncio.sleep(2 * schedule.MOVE_SETTLE_S)
            other = ScriptedDiscovery()
            held.client.move(await other.start())
            calls.append(await other.requests.get())
        await calls[1].wait_closed()  # the oldest that has sent no list
        calls[0].send(chunk(list_document(8, "b", complete=False)))
        assert await held.lists.get() == (["b"], False)

    run_case(body, silence_s=3.0)


def test_a_move_back_to_an_earlier_address_starts_a_new_query() -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        first = await peer.requests.get()
        first.send(CHUNKED, chunk(list_document(7, "a")))
        assert await held.lists.get() == (["a"], True)
        second, third = ScriptedDiscovery(), ScriptedDiscovery()
        old = peer_at = first.writer.get_extra_info("sockname")
        at_second, at_third = await second.start(), await third.start()
        held.client.move(at_second)
        held.client.move(at_third)  # at once
        call = await third.requests.get()
        held.client.move(at_second)  # and during the query
        held.client.move(peer_at)
        again = await peer.requests.get()
        assert again.target == b"/discovery/hosts?follow=1" and held.client.position()[0] == old
        again.send(CHUNKED, chunk(list_document(9, "b")))
        assert await held.lists.get() == (["b"], True) and held.broken_watches.empty()
        await call.wait_closed()
        await first.wait_closed()
        assert second.requests.qsize() == 1  # after the first move; the query after the third one was delayed

    run_case(body, silence_s=3.0)


def test_after_a_move_to_an_unreachable_address_and_back_there_is_a_query_at_once() -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        at = (await peer.requests.get()).writer.get_extra_info("sockname")
        with socket.socket() as dead:
            dead.bind(("127.0.0.1", 0))  # bound but not listening: connections are refused
            held.client.move(dead.getsockname())
            for _ in range(20):  # for one refused connection or more; their number does not matter
                await asyncio.sleep(0)
            begun = time.monotonic()
            held.client.move(at)
            await peer.requests.get()
            assert time.monotonic() - begun < 1.0 and held.broken_watches.empty()

    run_case(body, silence_s=3.0)


def test_the_silence_before_an_update_lasts_until_that_update_is_complete() -> None:
    """The silence tells a new endpoint from one that existed before; an incomplete list does not end it."""

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        assert held.client.silence_ms() == math.inf
        start, rest = list_document(7, "a")[:10], list_document(7, "a")[10:]
        call.send(CHUNKED, chunk(start))
        await asyncio.sleep(PAUSE_S)
        assert held.client.silence_ms() == math.inf
        call.send(chunk(rest))
        await held.lists.get()
        for line in (list_document(8, "b", complete=False), b"\n"):
            await asyncio.sleep(PAUSE_S)
            before = held.client.silence_ms()
            assert before >= PAUSE_S * 1000.0
            call.send(chunk(line))
            while held.client.silence_ms() >= before:
                await asyncio.sleep(0)

    run_case(body, silence_s=3.0)

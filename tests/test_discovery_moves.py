"""Discovery moves to another address: which word counts until the new one has told its list."""

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
def test_a_line_of_the_old_address_counts_until_the_new_one_has_told_its_list(turns: int) -> None:
    """The move comes so many turns of the loop after the line is in the kernel: unread, read, or just looked at.

    What discovery has written counts as told; to close over it would lose it.
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


def test_of_moves_in_a_row_the_latest_list_counts() -> None:
    """A call that a later move leaves behind may bring its list first; what is older than that counts no more."""

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
        assert time.monotonic() - began >= 0.5 * schedule.MOVE_SETTLE_S  # put together one list, not three
        last.send(CHUNKED, chunk(list_document(1, "c")))
        assert await held.lists.get() == (["c"], True)
        await call.wait_closed()
        assert held.client.position()[:3] == (at_third, 1, True)
        assert held.lists.empty() and held.broken_watches.empty()

    run_case(body, silence_s=3.0)


def test_an_old_address_that_falls_silent_is_given_up() -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        call.send(CHUNKED, chunk(list_document(7, "a")))
        await held.lists.get()
        with socket.socket() as jammed:  # a connection comes up, and nothing else
            jammed.bind(("127.0.0.1", 0))
            jammed.listen()
            held.client.move(jammed.getsockname())
            await call.wait_closed()

    run_case(body)


def test_no_more_than_a_few_old_addresses_are_followed(monkeypatch: pytest.MonkeyPatch) -> None:
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
        await calls[1].wait_closed()  # the oldest that has told nothing
        calls[0].send(chunk(list_document(8, "b", complete=False)))
        assert await held.lists.get() == (["b"], False)

    run_case(body, silence_s=3.0)


def test_a_move_to_an_address_asked_before_begins_anew() -> None:
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
        held.client.move(at_second)  # and while the call is out
        held.client.move(peer_at)
        again = await peer.requests.get()
        assert again.target == b"/discovery/hosts?follow=1" and held.client.position()[0] == old
        again.send(CHUNKED, chunk(list_document(9, "b")))
        assert await held.lists.get() == (["b"], True) and held.broken_watches.empty()
        await call.wait_closed()
        await first.wait_closed()
        assert second.requests.qsize() == 1  # by the first move; the third was one of a row

    run_case(body, silence_s=3.0)


def test_a_move_to_a_dead_address_and_back_is_answered_at_once() -> None:
    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        at = (await peer.requests.get()).writer.get_extra_info("sockname")
        with socket.socket() as dead:
            dead.bind(("127.0.0.1", 0))  # bound and not listening: refused
            held.client.move(dead.getsockname())
            for _ in range(20):  # a refusal or more; how many does not matter
                await asyncio.sleep(0)
            begun = time.monotonic()
            held.client.move(at)
            await peer.requests.get()
            assert time.monotonic() - begun < 1.0 and held.broken_watches.empty()

    run_case(body, silence_s=3.0)


def test_for_how_long_nothing_was_heard_is_told_until_the_line_that_is_told() -> None:
    """By it a fresh endpoint is told from one that was there before; half a list is no word yet."""

    async def body(peer: ScriptedDiscovery, held: WatchRecorder) -> None:
        call = await peer.requests.get()
        assert held.client.silence_ms() == math.inf
        begun, rest = list_document(7, "a")[:10], list_document(7, "a")[10:]
        call.send(CHUNKED, chunk(begun))
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

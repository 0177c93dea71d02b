"""Discovery moves to another address: updates from the old one are used until the new one has sent its list."""

from __future__ import annotations

import asyncio
import math
import socket
import time

import pytest

from limenotch.net.discovery import schedule
from limenotch.net.discovery.watch import RetiredWatches

from .helpers.discovery_peer import CHUNKED, Discovery, Held, case, chunk, listing

PAUSE_S = 0.2


@pytest.mark.parametrize("turns", range(6))
def test_a_change_from_the_old_address_is_used_until_the_new_one_has_sent_its_list(turns: int) -> None:
    """The move follows so many turns of the event loop after the change is in the kernel: unread, read or processed.

    A change that discovery has written counts as sent; closing the connection with unread bytes would lose it.
    """

    async def body(peer: Discovery, held: Held) -> None:
        call = await peer.calls.get()
        call.send(CHUNKED, chunk(listing(7, "a")))
        assert await held.heard.get() == (["a"], True)
        other = Discovery()
        at = await other.begin()
        call.send_now(chunk(listing(8, "before", whole=False)))
        for _ in range(turns):
            await asyncio.sleep(0)
        held.directory.move(at)
        moved = await other.calls.get()
        assert moved.target == b"/discovery/hosts?follow=1"  # versions may be numbered anew
        assert await held.heard.get() == (["before"], False)
        call.send(chunk(listing(9, "beside", whole=False)))
        assert await held.heard.get() == (["beside"], False)
        moved.send(CHUNKED, chunk(listing(2, "new")))
        assert await held.heard.get() == (["new"], True)
        call.send(chunk(listing(10, "after", whole=False)))
        await call.ended()
        moved.send(chunk(listing(3, "next", whole=False)))
        assert await held.heard.get() == (["next"], False)
        assert held.heard.empty() and held.broken.empty()

    case(body, silence_s=3.0)


def test_after_consecutive_moves_the_latest_list_counts() -> None:
    """A query that a later move has retired may receive its list first; older watches are closed then."""

    async def body(peer: Discovery, held: Held) -> None:
        first = await peer.calls.get()
        first.send(CHUNKED, chunk(listing(7, "a")))
        assert await held.heard.get() == (["a"], True)
        second, third = Discovery(), Discovery()
        at_second, at_third = await second.begin(), await third.begin()
        held.directory.move(at_second)
        call = await second.calls.get()
        began = time.monotonic()
        held.directory.move(at_third)
        call.send(CHUNKED, chunk(listing(2, "b")))
        assert await held.heard.get() == (["b"], True)
        first.send(chunk(listing(8, "late", whole=False)))
        await first.ended()
        last = await third.calls.get()
        assert time.monotonic() - began >= 0.5 * schedule.MOVE_SETTLE_S  # consecutive moves share a query
        last.send(CHUNKED, chunk(listing(1, "c")))
        assert await held.heard.get() == (["c"], True)
        await call.ended()
        assert held.directory.position()[:3] == (at_third, 1, True)
        assert held.heard.empty() and held.broken.empty()

    case(body, silence_s=3.0)


def test_the_watch_of_an_old_address_that_falls_silent_is_closed() -> None:
    async def body(peer: Discovery, held: Held) -> None:
        call = await peer.calls.get()
        call.send(CHUNKED, chunk(listing(7, "a")))
        await held.heard.get()
        with socket.socket() as silent:  # connections are established, but nothing is sent on them
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            held.directory.move(silent.getsockname())
            await call.ended()

    case(body)


def test_only_a_few_old_addresses_are_watched(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(schedule, "MOVE_SETTLE_S", 0.05)

    async def body(peer: Discovery, held: Held) -> None:
        calls = [await peer.calls.get()]
        calls[0].send(CHUNKED, chunk(listing(7, "a")))
        await held.heard.get()
        for _ in range(RetiredWatches.MAX_WATCHES + 1):
            await asyncio.sleep(2 * schedule.MOVE_SETTLE_S)
            other = Discovery()
            held.directory.move(await other.begin())
            calls.append(await other.calls.get())
        await calls[1].ended()  # the oldest that has sent no list
        calls[0].send(chunk(listing(8, "b", whole=False)))
        assert await held.heard.get() == (["b"], False)

    case(body, silence_s=3.0)


def test_a_move_back_to_an_earlier_address_starts_a_new_query() -> None:
    async def body(peer: Discovery, held: Held) -> None:
        first = await peer.calls.get()
        first.send(CHUNKED, chunk(listing(7, "a")))
        assert await held.heard.get() == (["a"], True)
        second, third = Discovery(), Discovery()
        old = peer_at = first.writer.get_extra_info("sockname")
        at_second, at_third = await second.begin(), await third.begin()
        held.directory.move(at_second)
        held.directory.move(at_third)  # at once
        call = await third.calls.get()
        held.directory.move(at_second)  # and during the query
        held.directory.move(peer_at)
        again = await peer.calls.get()
        assert again.target == b"/discovery/hosts?follow=1" and held.directory.position()[0] == old
        again.send(CHUNKED, chunk(listing(9, "b")))
        assert await held.heard.get() == (["b"], True) and held.broken.empty()
        await call.ended()
        await first.ended()
        assert second.calls.qsize() == 1  # after the first move; the query after the third one was delayed

    case(body, silence_s=3.0)


def test_after_a_move_to_an_unreachable_address_and_back_there_is_a_query_at_once() -> None:
    async def body(peer: Discovery, held: Held) -> None:
        at = (await peer.calls.get()).writer.get_extra_info("sockname")
        with socket.socket() as dead:
            dead.bind(("127.0.0.1", 0))  # bound but not listening: connections are refused
            held.directory.move(dead.getsockname())
            for _ in range(20):  # for one refused connection or more; their number does not matter
                await asyncio.sleep(0)
            begun = time.monotonic()
            held.directory.move(at)
            await peer.calls.get()
            assert time.monotonic() - begun < 1.0 and held.broken.empty()

    case(body, silence_s=3.0)


def test_the_silence_before_an_update_lasts_until_that_update_is_complete() -> None:
    """The silence tells a new endpoint from one that existed before; an incomplete list does not end it."""

    async def body(peer: Discovery, held: Held) -> None:
        call = await peer.calls.get()
        assert held.directory.silence_ms() == math.inf
        start, rest = listing(7, "a")[:10], listing(7, "a")[10:]
        call.send(CHUNKED, chunk(start))
        await asyncio.sleep(PAUSE_S)
        assert held.directory.silence_ms() == math.inf
        call.send(chunk(rest))
        await held.heard.get()
        for line in (listing(8, "b", whole=False), b"\n"):
            await asyncio.sleep(PAUSE_S)
            before = held.directory.silence_ms()
            assert before >= PAUSE_S * 1000.0
            call.send(chunk(line))
            while held.directory.silence_ms() >= before:
                await asyncio.sleep(0)

    case(body, silence_s=3.0)

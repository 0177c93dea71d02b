"""Discovery moves to another address: which word counts until the new one has told its list."""

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
def test_a_line_of_the_old_address_counts_until_the_new_one_has_told_its_list(turns: int) -> None:
    """The move comes so many turns of the loop after the line is in the kernel: unread, read, or just looked at.

    What discovery has written counts as told; to close over it would lose it.
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


def test_of_moves_in_a_row_the_latest_list_counts() -> None:
    """A call that a later move leaves behind may bring its list first; what is older than that counts no more."""

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
        assert time.monotonic() - began >= 0.5 * schedule.MOVE_SETTLE_S  # put together one list, not three
        last.send(CHUNKED, chunk(listing(1, "c")))
        assert await held.heard.get() == (["c"], True)
        await call.ended()
        assert held.directory.position()[:3] == (at_third, 1, True)
        assert held.heard.empty() and held.broken.empty()

    case(body, silence_s=3.0)


def test_an_old_address_that_falls_silent_is_given_up() -> None:
    async def body(peer: Discovery, held: Held) -> None:
        call = await peer.calls.get()
        call.send(CHUNKED, chunk(listing(7, "a")))
        await held.heard.get()
        with socket.socket() as jammed:  # a connection comes up, and nothing else
            jammed.bind(("127.0.0.1", 0))
            jammed.listen()
            held.directory.move(jammed.getsockname())
            await call.ended()

    case(body)


def test_no_more_than_a_few_old_addresses_are_followed(monkeypatch: pytest.MonkeyPatch) -> None:
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
        await calls[1].ended()  # the oldest that has told nothing
        calls[0].send(chunk(listing(8, "b", whole=False)))
        assert await held.heard.get() == (["b"], False)

    case(body, silence_s=3.0)


def test_a_move_to_an_address_asked_before_begins_anew() -> None:
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
        held.directory.move(at_second)  # and while the call is out
        held.directory.move(peer_at)
        again = await peer.calls.get()
        assert again.target == b"/discovery/hosts?follow=1" and held.directory.position()[0] == old
        again.send(CHUNKED, chunk(listing(9, "b")))
        assert await held.heard.get() == (["b"], True) and held.broken.empty()
        await call.ended()
        await first.ended()
        assert second.calls.qsize() == 1  # by the first move; the third was one of a row

    case(body, silence_s=3.0)


def test_a_move_to_a_dead_address_and_back_is_answered_at_once() -> None:
    async def body(peer: Discovery, held: Held) -> None:
        at = (await peer.calls.get()).writer.get_extra_info("sockname")
        with socket.socket() as dead:
            dead.bind(("127.0.0.1", 0))  # bound and not listening: refused
            held.directory.move(dead.getsockname())
            for _ in range(20):  # a refusal or more; how many does not matter
                await asyncio.sleep(0)
            begun = time.monotonic()
            held.directory.move(at)
            await peer.calls.get()
            assert time.monotonic() - begun < 1.0 and held.broken.empty()

    case(body, silence_s=3.0)


def test_for_how_long_nothing_was_heard_is_told_until_the_line_that_is_told() -> None:
    """By it a fresh endpoint is told from one that was there before; half a list is no word yet."""

    async def body(peer: Discovery, held: Held) -> None:
        call = await peer.calls.get()
        assert held.directory.silence_ms() == math.inf
        begun, rest = listing(7, "a")[:10], listing(7, "a")[10:]
        call.send(CHUNKED, chunk(begun))
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

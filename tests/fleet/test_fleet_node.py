"""Processes of the program among each other: who is there, who left, who died, and one that follows another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from limenotch.lab.emulate.sidecars import free_port
from tests.helpers.http_peers import LOOK, ask

from .test_fleet_off import Sidecar, of_the_fleet, serving

FAST = "[fleet.membership]\nperiod_ms = 300\ntimeout_ms = 90\n"


async def states(sidecar: Sidecar) -> dict[str, str]:
    return {member["name"]: member["state"] for member in (await sidecar.told())["members"]}


async def seen(sidecars: list[Sidecar], **expected: str) -> None:
    """The time is a bound for a broken program only."""
    async with asyncio.timeout(20):
        for sidecar in sidecars:
            while await states(sidecar) != expected:
                await asyncio.sleep(0.02)


def run(case: Callable[[AsyncExitStack], Any]) -> None:
    async def whole() -> None:
        async with AsyncExitStack() as stack:
            await case(stack)

    asyncio.run(whole())


def test_three_find_each_other_and_see_one_leave_and_one_die(tmp_path: Path) -> None:
    async def case(stack: AsyncExitStack) -> None:
        seed = free_port()
        seeds = f'seeds = ["127.0.0.1:{seed}"]\n' + FAST
        ports = {"a": seed, "b": free_port(), "c": free_port()}
        a, b, c = [await stack.enter_async_context(serving(tmp_path, name, seeds, ports[name])) for name in ports]
        await seen([a, b, c], a="alive", b="alive", c="alive")
        told = await a.told()
        (of_b,) = [member for member in told["members"] if member["name"] == "b"]
        assert of_b["address"] == f"127.0.0.1:{ports['b']}" and of_b["since_ms"] >= 0
        assert told["parts"]["membership"]["alive"] == 2 and told["untold"] == 0 == told["datagrams"]["too_long"]
        assert not any(told["dropped"].values()) and told["off"] == ""
        assert of_the_fleet(await b.end())
        await seen([a, c], a="alive", b="left", c="alive")
        c.process.kill()
        await seen([a], a="alive", b="left", c="dead")
        assert (await ask(a.port, LOOK)).status == 200

    run(case)


def test_the_next_process_of_a_sidecar_joins_when_the_one_before_left(tmp_path: Path) -> None:
    async def case(stack: AsyncExitStack) -> None:
        seed, own = free_port(), free_port()
        seeds = f'seeds = ["127.0.0.1:{seed}"]\n' + FAST
        a = await stack.enter_async_context(serving(tmp_path, "a", seeds, seed))
        before = await stack.enter_async_context(serving(tmp_path, "b", seeds, own))
        await seen([a, before], a="alive", b="alive")
        after = await stack.enter_async_context(serving(tmp_path, "b", seeds, own))
        told = await after.told()
        assert not told["listening"] and told["members"] == []
        await before.end()
        await seen([a, after], a="alive", b="alive")
        process_epochs = {member["name"]: member["life"] for member in (await a.told())["members"]}
        assert process_epochs["b"] == (await after.told())["parts"]["membership"]["life"] >= told["life"]

    run(case)


def test_one_with_another_key_is_not_heard(tmp_path: Path) -> None:
    async def case(stack: AsyncExitStack) -> None:
        seed = free_port()
        seeds = f'seeds = ["127.0.0.1:{seed}"]\n' + FAST
        a = await stack.enter_async_context(serving(tmp_path, "a", seeds, seed))
        (tmp_path / "other").mkdir()
        stranger = await stack.enter_async_context(serving(tmp_path / "other", "b", seeds, key="another key, as long"))
        async with asyncio.timeout(20):
            while not (await a.told())["dropped"]["digest"]:
                await asyncio.sleep(0.02)
        await seen([a], a="alive")
        await seen([stranger], b="alive")

    run(case)

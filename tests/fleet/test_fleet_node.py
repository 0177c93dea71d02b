"""Processes of the program in one fleet: members that join, leave and die, and a process that succeeds another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from limenotch.lab.emulate.sidecars import free_port
from tests.helpers.http_peers import LOOK, fetch

from .test_fleet_off import Sidecar, fleet_modules, serving

FAST = "[fleet.membership]\nperiod_ms = 300\ntimeout_ms = 90\n"


async def states(sidecar: Sidecar) -> dict[str, str]:
    return {member["name"]: member["state"] for member in (await sidecar.status())["members"]}


async def wait_for_states(sidecars: list[Sidecar], **expected: str) -> None:
    """Poll until all see these states; the time limit only ends a broken program."""
    async with asyncio.timeout(20):
        for sidecar in sidecars:
            while await states(sidecar) != expected:
                await asyncio.sleep(0.02)


def run(case: Callable[[AsyncExitStack], Any]) -> None:
    async def run_case() -> None:
        async with AsyncExitStack() as stack:
            await case(stack)

    asyncio.run(run_case())


def test_three_members_find_each_other_and_see_one_leave_and_one_die(tmp_path: Path) -> None:
    async def case(stack: AsyncExitStack) -> None:
        seed = free_port()
        seeds = f'seeds = ["127.0.0.1:{seed}"]\n' + FAST
        ports = {"a": seed, "b": free_port(), "c": free_port()}
        a, b, c = [await stack.enter_async_context(serving(tmp_path, name, seeds, ports[name])) for name in ports]
        await wait_for_states([a, b, c], a="alive", b="alive", c="alive")
        status = await a.status()
        (member_b,) = [member for member in status["members"] if member["name"] == "b"]
        assert member_b["address"] == f"127.0.0.1:{ports['b']}" and member_b["since_ms"] >= 0
        assert status["parts"]["membership"]["alive"] == 2 and status["untold"] == 0 == status["datagrams"]["too_long"]
        assert not any(status["dropped"].values()) and status["off"] == ""
        assert fleet_modules(await b.end())
        await wait_for_states([a, c], a="alive", b="left", c="alive")
        c.process.kill()
        await wait_for_states([a], a="alive", b="left", c="dead")
        assert (await fetch(a.port, LOOK)).status == 200

    run(case)


def test_a_successor_joins_when_its_predecessor_has_left(tmp_path: Path) -> None:
    async def case(stack: AsyncExitStack) -> None:
        seed, own = free_port(), free_port()
        seeds = f'seeds = ["127.0.0.1:{seed}"]\n' + FAST
        a = await stack.enter_async_context(serving(tmp_path, "a", seeds, seed))
        predecessor = await stack.enter_async_context(serving(tmp_path, "b", seeds, own))
        await wait_for_states([a, predecessor], a="alive", b="alive")
        successor = await stack.enter_async_context(serving(tmp_path, "b", seeds, own))
        status = await successor.status()
        assert not status["listening"] and status["members"] == []
        await predecessor.end()
        await wait_for_states([a, successor], a="alive", b="alive")
        process_epochs = {member["name"]: member["life"] for member in (await a.status())["members"]}
        assert process_epochs["b"] == (await successor.status())["parts"]["membership"]["life"] >= status["life"]

    run(case)


def test_a_process_with_another_key_is_not_accepted(tmp_path: Path) -> None:
    async def case(stack: AsyncExitStack) -> None:
        seed = free_port()
        seeds = f'seeds = ["127.0.0.1:{seed}"]\n' + FAST
        a = await stack.enter_async_context(serving(tmp_path, "a", seeds, seed))
        (tmp_path / "other").mkdir()
        stranger = await stack.enter_async_context(serving(tmp_path / "other", "b", seeds, key="another key, as long"))
        async with asyncio.timeout(20):
            while not (await a.status())["dropped"]["digest"]:
                await asyncio.sleep(0.02)
        await wait_for_states([a], a="alive")
        await wait_for_states([stranger], b="alive")

    run(case)

"""The processes of an upgrade hold the limits on memory and descriptors together, from the first to the last moment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from math import ceil
from pathlib import Path
from time import monotonic

import pytest

from limenotch.idle_memory import idle_memory
from limenotch.net.memory_limits import process_needs
from limenotch.net.process_shares import ProcessShares

from .helpers.hostile_clients import MIXED, head
from .helpers.http_peers import GET_HEALTH, fetch
from .helpers.measured_sidecar import (
    LEAST_MEMORY_MB,
    PLAIN_SIDECAR,
    SOCKETS,
    Measured,
    Sidecar,
    UsualClient,
    end_process,
    sample_memory,
    serving,
    start_hostile_clients,
)
from .helpers.processes import ROOT, free_port, run
from .test_admin_server import GET_STATS, metrics_of, post
from .test_hostile_clients import OBJECTIVE_S

CLIENTS = 400
BEFORE_S = 1.5  # that the crowd has before the first upgrade
AFTER_S = 1.0  # that is followed after the last one
MORE_S = 60.0  # that a crowd would go on
START_LIMIT_S = 6.0  # the platform's
USUAL_CLIENTS = 4
UNSHARED_SIDECAR = "tests.helpers.unshared_sidecar"
ONE_AT_A_TIME_MB = 64  # too little for two processes that serve at once
TWO_AT_ONCE_MB = 192
AMPLE_MB = 1024  # so that descriptors are short first


def least_memory_mb() -> int:
    """The least limit of the platform's pages, or the one at which `check-config` says that an upgrade is possible."""
    idle = idle_memory()
    needs = process_needs(LEAST_MEMORY_MB * 1e6, idle.base, idle.standby, idle.standby_private)
    return max(LEAST_MEMORY_MB, ceil(needs.replaceable / 1e6) + 1)


@contextlib.asynccontextmanager
async def beside_clients(
    folder: Path, memory_mb: int, form: str = MIXED, clients: int = CLIENTS, sockets: int = SOCKETS
) -> AsyncIterator[tuple[Sidecar, Measured]]:
    """A sidecar beside a crowd and usual clients, all measured; checks both limits and that all requests are answered.

    At the least limit pages of files count once for all processes, as the sum of the resident sets can't be held.
    """
    measured = Measured()
    async with serving(folder, memory_mb, sockets) as sidecar:
        sampling = asyncio.create_task(sample_memory(sidecar.processes, folder / "tmp", measured))
        crowd = await start_hostile_clients(form, sidecar.port, clients, MORE_S, True) if clients else None
        end = monotonic() + MORE_S
        usual = [UsualClient(sidecar.port, f"usual{number}", measured) for number in range(USUAL_CLIENTS)]
        tasks = [asyncio.create_task(client.run(end)) for client in usual]
        await asyncio.sleep(BEFORE_S)
        yield sidecar, measured
        await asyncio.sleep(AFTER_S)
        assert sidecar.processes.all[-1].returncode is None
        for task in [sampling, *tasks]:
            assert not task.done(), task
            task.cancel()
        if crowd is not None:
            crowd.kill()
            await crowd.wait()
    peak = measured.peak
    held = measured.peak_own if memory_mb == least_memory_mb() else max(peak.held, peak.total)
    assert held <= memory_mb * 1e6, (held, measured.peak_own, str(peak))
    assert measured.peak_descriptors <= sockets
    assert set(measured.statuses) <= {"200", "503"}, (measured.statuses, measured.reasons)


@pytest.mark.parametrize("clients", [0, CLIENTS])
@pytest.mark.parametrize("memory_mb", [None, ONE_AT_A_TIME_MB, 96, TWO_AT_ONCE_MB])
def test_both_processes_of_an_upgrade_hold_the_limits(memory_mb: int | None, clients: int, tmp_path: Path) -> None:
    async def case() -> None:
        async with beside_clients(tmp_path, memory_mb or least_memory_mb(), clients=clients) as (sidecar, measured):
            before = sidecar.processes.all[-1]
            begun = monotonic()
            await sidecar.start_process()
            assert monotonic() - begun <= START_LIMIT_S
            await end_process(before)
            served = measured.statuses["200"]
            await asyncio.sleep(1.0)
            assert measured.statuses["200"] > served

    run(case())


@pytest.mark.parametrize("memory_mb", [ONE_AT_A_TIME_MB, 128, TWO_AT_ONCE_MB])
def test_upgrades_that_follow_before_the_last_one_has_ended_hold_the_limits(memory_mb: int, tmp_path: Path) -> None:
    async def case() -> None:
        async with beside_clients(tmp_path, memory_mb) as (sidecar, _):
            ends = []
            for _ in range(3):
                before = sidecar.processes.all[-1]
                begun = monotonic()
                await sidecar.start_process()
                assert monotonic() - begun <= START_LIMIT_S
                ends.append(asyncio.create_task(end_process(before)))
                await asyncio.sleep(1.0)
            await asyncio.gather(*ends)

    run(case())


def test_slow_readers_do_not_make_both_processes_hold_more_descriptors_than_one_may(tmp_path: Path) -> None:
    async def case() -> None:
        async with beside_clients(tmp_path, AMPLE_MB, "slow_reader", 900) as (sidecar, _):
            await sidecar.replace_process()

    run(case())


async def start_without_waiting(sidecar: Sidecar) -> asyncio.subprocess.Process:
    """Starts a process and returns it at once; its readiness is not awaited."""
    starting = asyncio.create_task(sidecar.start_process())
    count = len(sidecar.processes.all)
    while len(sidecar.processes.all) == count:
        await asyncio.sleep(0)
    starting.cancel()
    return sidecar.processes.all[-1]


async def remove(sidecar: Sidecar, process: asyncio.subprocess.Process) -> None:
    process.kill()
    await process.wait()
    sidecar.processes.all.remove(process)


@pytest.mark.parametrize("memory_mb", [ONE_AT_A_TIME_MB, TWO_AT_ONCE_MB])
@pytest.mark.parametrize("after_s", [0.03, 0.15, 0.25])
def test_a_process_that_hangs_within_its_start_does_not_exceed_the_limits(
    memory_mb: int, after_s: float, tmp_path: Path
) -> None:
    async def case() -> None:
        async with beside_clients(tmp_path, memory_mb) as (sidecar, _):
            hanging = await start_without_waiting(sidecar)
            await asyncio.sleep(after_s)
            hanging.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.5)
            await remove(sidecar, hanging)
            await sidecar.replace_process()

    run(case())


@pytest.mark.parametrize("memory_mb", [ONE_AT_A_TIME_MB, TWO_AT_ONCE_MB])
def test_a_process_that_fails_to_start_leaves_the_old_one_as_it_was(memory_mb: int, tmp_path: Path) -> None:
    async def case() -> None:
        async with beside_clients(tmp_path, memory_mb) as (sidecar, measured):
            settings = sidecar.raw.pop("settings")
            failing = await start_without_waiting(sidecar)
            assert await failing.wait() == 2
            sidecar.processes.all.remove(failing)
            sidecar.raw["settings"] = settings
            served = measured.statuses["200"]
            await asyncio.sleep(1.0)
            assert measured.statuses["200"] > served
            await sidecar.replace_process()

    run(case())


@pytest.mark.parametrize("memory_mb", [ONE_AT_A_TIME_MB, TWO_AT_ONCE_MB])
def test_a_process_is_ready_in_time_beside_one_that_hangs_and_serves_after_it(memory_mb: int, tmp_path: Path) -> None:
    async def case() -> None:
        async with serving(tmp_path, memory_mb, SOCKETS) as sidecar:
            hanging = sidecar.processes.all[0]
            hanging.send_signal(signal.SIGSTOP)
            begun = monotonic()
            await sidecar.start_process()
            assert monotonic() - begun <= START_LIMIT_S
            hanging.kill()
            await hanging.wait()
            while True:
                with contextlib.suppress(ConnectionRefusedError):
                    assert (await fetch(sidecar.port, head("a") + b"\r\n")).status == 200
                    break

    run(case())


def test_a_process_that_is_stopped_while_it_has_the_lock_holds_up_neither_requests_nor_a_start(tmp_path: Path) -> None:
    async def case() -> None:
        async with serving(tmp_path, TWO_AT_ONCE_MB, SOCKETS) as sidecar:
            shares = ProcessShares.join(str(next((tmp_path / "tmp").glob("*.shares-1"))))
            assert shares is not None and shares.lock()
            measured = Measured()
            await UsualClient(sidecar.port, "usual", measured).run(monotonic() + 1.0)
            assert set(measured.statuses) == {"200"} and measured.latency(1.0) <= OBJECTIVE_S
            begun = monotonic()
            await sidecar.start_process()
            assert monotonic() - begun <= START_LIMIT_S
            shares.close()
            await end_process(sidecar.processes.all[0])
            assert (await fetch(sidecar.port, head("a") + b"\r\n")).status == 200

    run(case())


@pytest.mark.parametrize("modules", [(PLAIN_SIDECAR, UNSHARED_SIDECAR), (UNSHARED_SIDECAR, PLAIN_SIDECAR)])
def test_a_process_and_one_of_an_earlier_version_take_over_from_each_other(
    modules: tuple[str, str], tmp_path: Path
) -> None:
    async def case() -> None:
        async with serving(tmp_path, TWO_AT_ONCE_MB, SOCKETS) as sidecar:
            measured = Measured()
            usual = asyncio.create_task(UsualClient(sidecar.port, "usual", measured).run(monotonic() + MORE_S))
            for module in modules:
                before = sidecar.processes.all[-1]
                await sidecar.start_process(module)
                await end_process(before)
            await asyncio.sleep(0.5)
            usual.cancel()
            assert set(measured.statuses) == {"200"} and sidecar.processes.all[-1].returncode is None

    run(case())


def run_on_standby(folder: Path, use: Callable[[Sidecar, int], Awaitable[None]]) -> None:
    """Has a sidecar serve with another process on standby; `use` gets the port of that one's operators."""

    async def case() -> None:
        async with serving(folder, ONE_AT_A_TIME_MB, SOCKETS) as sidecar:
            _, admin = await sidecar.processes.serve(sidecar.raw, module=PLAIN_SIDECAR, environment=sidecar.environment)
            await use(sidecar, admin)

    run(case())


def test_operators_of_a_process_on_standby_are_answered_and_their_ejections_hold(tmp_path: Path) -> None:
    async def use(sidecar: Sidecar, admin: int) -> None:
        silent = [await asyncio.open_connection("127.0.0.1", admin) for _ in range(30)]
        assert (await fetch(admin, post("a", "maint"))).status == 200
        assert (await fetch(admin, post("nobody", "maint"))).status == 404
        assert metrics_of(await fetch(admin, GET_STATS))["lb.cluster_unhealthy"][0] == 1
        await end_process(sidecar.processes.all[0])
        assert (await fetch(admin, GET_HEALTH)).status == 200
        metrics = metrics_of(await fetch(admin, GET_STATS))
        assert metrics["lb.cluster_size"][0] == 2 and metrics["lb.cluster_unhealthy"][0] == 1
        for _, writer in silent:
            writer.close()

    run_on_standby(tmp_path, use)


def test_an_id_that_ran_does_not_run_again_in_a_process_that_was_on_standby(tmp_path: Path) -> None:
    async def use(sidecar: Sidecar, _: int) -> None:
        once = head("r1", traffic_class="once") + b"\r\n"
        assert (await fetch(sidecar.port, once)).status == 200
        await end_process(sidecar.processes.all[0])
        assert (await fetch(sidecar.port, once)).status == 409
        assert (await fetch(sidecar.port, once.replace(b"r1", b"r2"))).status == 200

    run_on_standby(tmp_path, use)


def test_a_process_on_standby_that_is_ended_exits_with_0_and_the_old_one_serves_on(tmp_path: Path) -> None:
    async def use(sidecar: Sidecar, _: int) -> None:
        waiting = sidecar.processes.all[-1]
        waiting.terminate()
        assert await waiting.wait() == 0
        assert (await fetch(sidecar.port, head("a") + b"\r\n")).status == 200

    run_on_standby(tmp_path, use)


def test_a_process_on_standby_whose_operators_address_is_taken_ends_with_an_error(tmp_path: Path) -> None:
    async def use(sidecar: Sidecar, admin: int) -> None:
        path = tmp_path / f"{free_port()}.json"
        path.write_text(json.dumps({**sidecar.raw, "admin_addr": f"127.0.0.1:{admin}"}))
        environ = {"LB_CONFIG": str(path), **sidecar.environment}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", PLAIN_SIDECAR, "serve", cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
        )
        _, error = await process.communicate()
        assert process.returncode == 1 and b"listen" in error

    run_on_standby(tmp_path, use)

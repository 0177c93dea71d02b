"""One voter alone: its folder through the life of processes, damaged, held by another; what a learner has without."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from limenotch.net.log_storage import MemoryStorage
from limenotch.store.files import RealFiles
from limenotch.store.records import Append, LogEntry, Snapshot, TermVote
from tests.helpers.http_peers import LOOK, ask

from .test_fleet_off import Sidecar, serving

QUICK = "[fleet.agreement]\nheartbeat_ms = 50\nelection_least_ms = 200\nelection_most_ms = 400\n"


def table(folder: Path) -> str:
    return f'voters = ["n"]\nfolder = "{folder / "kept"}"\n{QUICK}'


async def said(sidecar: Sidecar, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    answer = await ask(sidecar.admin, head + body)
    return answer.status, answer.body


async def until(sidecar: Sidecar, **expected: Any) -> dict[str, Any]:
    """The time is a bound for a broken program only."""
    async with asyncio.timeout(20):
        while True:
            told: dict[str, Any] = (await sidecar.status())["parts"]["agreement"]
            if expected.items() <= told.items():
                return told
            await asyncio.sleep(0.02)


def test_what_is_promised_outlives_processes_and_a_damaged_folder_costs_the_log_alone(tmp_path: Path) -> None:
    async def case() -> None:
        async with serving(tmp_path, "n", table(tmp_path)) as first:
            told = await until(first, role="leader")
            assert told["disk"] == "ok" and told["voters"] == ["n"] and "kept" in told["store"]
            assert await said(first, "POST", "/fleet/promises/x.1", b"why") == (200, b"kept\n")
            assert await said(first, "POST", "/fleet/promises/x.1", b"why") == (200, b"kept\n")
            assert (await said(first, "POST", "/fleet/promises/x.1", b"other"))[0] == 409
            assert await said(first, "GET", "/fleet/promises/x.1") == (200, b"why")
            assert (await said(first, "GET", "/fleet/promises/y"))[0] == 404
            listed = json.loads((await said(first, "GET", "/fleet/promises/"))[1])
            assert [each["id"] for each in listed] == ["x.1"]
            for method, path, body, status in [
                ("POST", "/fleet/promises/" + "x" * 101, b"", 400),
                ("POST", "/fleet/promises/a/b", b"", 404),
                ("POST", "/fleet/promises/x", bytes(4097), 413),
                ("PUT", "/fleet/promises/x", b"", 405),
                ("GET", "/fleet/voters", b"", 405),
                ("POST", "/fleet/voters", b'{"ad": "x"}', 400),
                ("POST", "/fleet/voters", b'{"remove": "n"}', 503),
                ("POST", "/fleet/voters", b"{}", 503),
            ]:
                assert (await said(first, method, path, body))[0] == status, path
            async with serving(tmp_path, "n", table(tmp_path), first.fleet) as second:  # waits for the first to go
                assert (await until(second, role="none"))["why"] == "the log is not read yet"
                assert (await said(second, "GET", "/fleet/promises/x.1"))[0] == 503
                await first.end()
                await until(second, role="leader")
                assert await said(second, "GET", "/fleet/promises/x.1") == (200, b"why")
                second.process.kill()
                await second.process.wait()
        log = max((tmp_path / "kept").glob("log-*"))
        data = bytearray(log.read_bytes())
        data[60] ^= 1
        log.write_bytes(data)
        async with serving(tmp_path, "n", table(tmp_path)) as third:
            async with asyncio.timeout(20):
                while not (await third.status())["members"]:
                    await asyncio.sleep(0.02)
            told = await until(third, role="none")
            assert "damaged" in told["why"] and log.name in told["why"]
            assert (await said(third, "POST", "/fleet/promises/z", b""))[0] == 503
            assert (await ask(third.port, LOOK)).status == 200

    asyncio.run(case())


def test_a_folder_that_another_process_holds_is_waited_for(tmp_path: Path) -> None:
    async def case() -> None:
        held = RealFiles(tmp_path / "kept")
        async with serving(tmp_path, "n", table(tmp_path)) as one:
            assert (await until(one, role="none"))["why"] == "the log is not read yet"
            held.release()
            await until(one, role="leader")

    asyncio.run(case())


@pytest.mark.parametrize(
    ("record", "says"),
    [
        (TermVote(3), None),
        (
            Append((LogEntry(1, 1, "command", b"d"), LogEntry(2, 1, "voters", b"\x92\x82\xa1a\xa2dd\xa1b\xa1c\x90"))),
            None,
        ),
        (Append((LogEntry(1, 1, "voters", b"\x92\x82\xa1a\xa1x\xa1d\xa1y\x90"),)), "no folder"),
        (Snapshot(1, 1, b"", ("a", "d")), "no folder"),
        (Snapshot(1, 1, b"", ("a", "dd")), None),
    ],
)
def test_memory_never_says_yes_to_what_makes_a_voter(record: Any, says: str | None) -> None:
    answers: list[str | None] = []
    memory = MemoryStorage("d")
    memory.submit(1, (record,), answers.append)
    memory.submit(2, (), answers.append)
    assert answers == [says, says] and memory.state() == "memory"

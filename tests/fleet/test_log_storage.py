"""A single voter and its folder: across processes, damaged, locked by another process; a learner without a folder."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from limenotch.net.log_storage import MemoryStorage
from limenotch.store.files import RealFiles
from limenotch.store.records import Append, LogEntry, Snapshot, TermVote
from tests.helpers.http_peers import LOOK, fetch

from .test_fleet_off import Sidecar, serving

FAST_SETTINGS = "[fleet.agreement]\nheartbeat_ms = 50\nelection_least_ms = 200\nelection_most_ms = 400\n"


def table(folder: Path) -> str:
    return f'voters = ["n"]\nfolder = "{folder / "kept"}"\n{FAST_SETTINGS}'


async def operator_request(sidecar: Sidecar, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    answer = await fetch(sidecar.admin, head + body)
    return answer.status, answer.body


async def wait_for_status(sidecar: Sidecar, **expected: Any) -> dict[str, Any]:
    """Polls GET /fleet until it shows the expected values; the time limit only stops a broken program."""
    async with asyncio.timeout(20):
        while True:
            status: dict[str, Any] = (await sidecar.status())["parts"]["agreement"]
            if expected.items() <= status.items():
                return status
            await asyncio.sleep(0.02)


def test_notes_outlive_processes_and_a_damaged_folder_disables_only_the_log(tmp_path: Path) -> None:
    async def case() -> None:
        async with serving(tmp_path, "n", table(tmp_path)) as first:
            state = await wait_for_status(first, role="leader")
            assert state["disk"] == "ok" and state["voters"] == ["n"] and "kept" in state["store"]
            assert await operator_request(first, "POST", "/fleet/promises/x.1", b"why") == (200, b"kept\n")
            assert await operator_request(first, "POST", "/fleet/promises/x.1", b"why") == (200, b"kept\n")
            assert (await operator_request(first, "POST", "/fleet/promises/x.1", b"other"))[0] == 409
            assert await operator_request(first, "GET", "/fleet/promises/x.1") == (200, b"why")
            assert (await operator_request(first, "GET", "/fleet/promises/y"))[0] == 404
            listed = json.loads((await operator_request(first, "GET", "/fleet/promises/"))[1])
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
                assert (await operator_request(first, method, path, body))[0] == status, path
            async with serving(tmp_path, "n", table(tmp_path), first.fleet) as second:  # waits for the first to end
                assert (await wait_for_status(second, role="none"))["why"] == "the log is not read yet"
                assert (await operator_request(second, "GET", "/fleet/promises/x.1"))[0] == 503
                await first.end()
                await wait_for_status(second, role="leader")
                assert await operator_request(second, "GET", "/fleet/promises/x.1") == (200, b"why")
                second.process.kill()
                await second.process.wait()
        segment = max((tmp_path / "kept").glob("log-*"))
        data = bytearray(segment.read_bytes())
        data[60] ^= 1
        segment.write_bytes(data)
        async with serving(tmp_path, "n", table(tmp_path)) as third:
            async with asyncio.timeout(20):
                while not (await third.status())["members"]:
                    await asyncio.sleep(0.02)
            state = await wait_for_status(third, role="none")
            assert "damaged" in state["why"] and segment.name in state["why"]
            assert (await operator_request(third, "POST", "/fleet/promises/z", b""))[0] == 503
            assert (await fetch(third.port, LOOK)).status == 200

    asyncio.run(case())


def test_waits_for_a_folder_that_another_process_has_locked(tmp_path: Path) -> None:
    async def case() -> None:
        locked_files = RealFiles(tmp_path / "kept")
        async with serving(tmp_path, "n", table(tmp_path)) as sidecar:
            assert (await wait_for_status(sidecar, role="none"))["why"] == "the log is not read yet"
            locked_files.release()
            await wait_for_status(sidecar, role="leader")

    asyncio.run(case())


@pytest.mark.parametrize(
    ("record", "failure"),
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
def test_memory_storage_fails_writes_that_make_a_voter(record: Any, failure: str | None) -> None:
    results: list[str | None] = []
    memory = MemoryStorage("d")
    memory.submit(1, (record,), results.append)
    memory.submit(2, (), results.append)
    assert results == [failure, failure] and memory.state() == "memory"

"""A sidecar process under the least memory, measured from outside while other clients use it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from time import monotonic
from typing import Any

from limenotch.net import http1
from limenotch.net.shutdown_schedule import KILL_GRACE_S, MAX_KILL_DELAY_S

from .endpoint_process import LONG_PATH as LONG_PATH
from .endpoint_process import SHORT_PATH as SHORT_PATH
from .hostile_clients import head
from .http_peers import Reader, Writer
from .process_memory import MemorySample, files_bytes, sample, sample_with_sockets
from .processes import ROOT, Processes, free_port

LEAST_MEMORY_MB = 32  # of the platform's pages
SOCKETS = 1024
PLAIN_SIDECAR = "tests.helpers.plain_sidecar"
SAMPLE_S = 0.01
SAMPLES_A_SOCKET_SAMPLE = 20  # a sample of the sockets takes some milliseconds
REQUEST_INTERVAL_S = 0.05
USUAL_CLIENTS = 4

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "look", "effect": "idempotent", "target_ms": 1000.0, "hard_limit_ms": 6000.0},
        {"name": "once", "effect": "at_most_once", "target_ms": 1000.0, "hard_limit_ms": 6000.0},
    ],
    "permissions": {"cancel": True, "parallel_tries": True, "max_attempts": 3, "connect_timeout_ms": 1000.0},
    "registry_mode": "ask",
}


@dataclass
class Measured:
    """What was seen of the process and by its usual clients."""

    statuses: Counter[str] = field(default_factory=Counter)  # of usual requests; also "none" and "closed"
    long_statuses: Counter[str] = field(default_factory=Counter)  # the same of requests with long responses
    reasons: Counter[str] = field(default_factory=Counter)  # the texts of errors
    latencies_s: list[float] = field(default_factory=list)
    peak: MemorySample = MemorySample()
    peak_own: int = 0  # bytes of anonymous pages of all processes, and of pages of files once for all of them
    peak_descriptors: int = 0  # of all processes together
    at_rest: MemorySample = MemorySample()

    @property
    def served(self) -> float:
        """The fraction of usual requests that were served."""
        return self.statuses["200"] / max(sum(self.statuses.values()), 1)

    def latency(self, fraction: float) -> float:
        """The latency in s that this fraction of the usual requests does not exceed."""
        ordered = sorted(self.latencies_s)
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] if ordered else float("inf")


class UsualClient:
    """Sends a request at a time and connects again when its connection ends, as the platform's clients do."""

    def __init__(self, port: int, name: str, measured: Measured, path: str = SHORT_PATH) -> None:
        self._port = port
        self._path = path
        self._name = name
        self._measured = measured
        self._statuses = measured.statuses if path == SHORT_PATH else measured.long_statuses
        self._streams: tuple[Reader, Writer] | None = None

    async def run(self, end: float) -> None:
        """Sends requests until `end`."""
        number = 0
        while monotonic() < end:
            number += 1
            started_at = monotonic()
            status = await self._request(f"{self._name}-{number}")
            if status == "closed" and monotonic() - started_at < REQUEST_INTERVAL_S:
                status = await self._request(f"{self._name}-{number}")  # the close crossed the request
            self._statuses[status] += 1
            if self._path == SHORT_PATH:
                self._measured.latencies_s.append(monotonic() - started_at)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        if self._streams is not None:
            self._streams[1].close()

    async def _request(self, name: str) -> str:
        parser = http1.ResponseParser(http1.MAX_STREAMED_BODY_BYTES)
        try:
            async with asyncio.timeout(6.5):
                if self._streams is None:
                    self._streams = await asyncio.open_connection("127.0.0.1", self._port)
                reader, writer = self._streams
                writer.write(head(name, path=self._path) + b"\r\n")
                while (response := parser.take()) is None:
                    data = await reader.read(65536)
                    if not data:
                        raise ConnectionResetError
                    parser.feed(data)
        except TimeoutError:
            self._drop()
            return "none"
        except OSError:
            self._drop()
            return "closed"
        if not response.keep_alive:
            self._drop()
        if response.status != 200:
            self._measured.reasons[response.body.decode().strip()] += 1
        return str(response.status)

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


async def sample_memory(processes: Processes, folder: Path, measured: Measured) -> None:
    """Follows the peaks of the memory of all processes together until this is cancelled."""
    for number in count():
        with_sockets = number % SAMPLES_A_SOCKET_SAMPLE == 0
        samples = []
        descriptors = 0
        for process in processes.all:
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                samples.append((sample_with_sockets if with_sockets else sample)(process.pid, None))
                descriptors += len(os.listdir(f"/proc/{process.pid}/fd"))
        if not samples:
            return
        in_files = max(each.resident - each.private for each in samples)
        measured.peak_own = max(measured.peak_own, in_files + sum(each.private for each in samples))
        measured.peak_descriptors = max(measured.peak_descriptors, descriptors)
        together = MemorySample(*map(sum, zip(*(each.values() for each in samples), strict=True)))
        measured.peak = measured.peak.peak(together.with_files(files_bytes(folder)))
        await asyncio.sleep(SAMPLE_S)


@dataclass
class Sidecar:
    """A sidecar of one process, or of two during an upgrade."""

    processes: Processes
    raw: dict[str, Any]
    port: int
    environment: dict[str, str]

    async def start_process(self, module: str = PLAIN_SIDECAR) -> asyncio.subprocess.Process:
        """Starts a process, which takes over from the one that runs; returns it when it is ready."""
        process, _ = await self.processes.serve(self.raw, module=module, environment=self.environment)
        return process

    async def replace_process(self) -> None:
        """Replaces the process as the platform does: the old one is killed some time after SIGTERM."""
        before = self.processes.all[-1]
        await self.start_process()
        await end_process(before)

    async def upgrade(self) -> None:
        """Replaces the process by another one."""
        before = self.processes.all[-1]
        await self.start_process()
        before.terminate()
        await before.wait()


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Ends a process as the platform does."""
    process.terminate()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_KILL_DELAY_S + KILL_GRACE_S):
            await process.wait()
            return
    process.kill()
    await process.wait()


@contextlib.asynccontextmanager
async def serving(folder: Path, memory_mb: int, sockets: int) -> AsyncIterator[Sidecar]:
    """Runs a sidecar with two endpoints; `folder` is for its files."""
    endpoints = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.helpers.endpoint_process", cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    assert endpoints.stdout is not None
    address = f"127.0.0.1:{int(await endpoints.stdout.readline())}"
    port = free_port()
    listed = [{"name": name, "address": address, "zone": "a", "status": "in_service"} for name in "ab"]
    raw = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "limits": {"memory_mb": memory_mb, "sockets": sockets},
        "known": {"index": 3, "snapshot": True, "endpoints": listed},
        "settings": SETTINGS,
    }
    temporary = folder / "tmp"
    temporary.mkdir(exist_ok=True)
    sidecar = Sidecar(Processes(folder), raw, port, {"TMPDIR": str(temporary)})
    try:
        await sidecar.start_process()
        yield sidecar
    finally:
        await sidecar.processes.kill_all()
        endpoints.kill()
        await endpoints.wait()


async def start_hostile_clients(
    form: str, port: int, clients: int, seconds: float, returning: bool = False
) -> asyncio.subprocess.Process:
    """Starts a crowd or a flood in a process of its own, with its output piped."""
    command = [sys.executable, "-m", "tests.helpers.hostile_clients", form, str(port), str(clients), str(seconds)]
    return await asyncio.create_subprocess_exec(
        *command,
        *(["return"] if returning else []),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def beside_hostile_clients(
    folder: Path,
    form: str,
    clients: int,
    seconds: float,
    memory_mb: int = LEAST_MEMORY_MB,
    returning: bool = False,
    sockets: int = SOCKETS,
    usual_paths: Sequence[str] = (SHORT_PATH,) * USUAL_CLIENTS,
    upgrade_after_s: float | None = None,
) -> tuple[Measured, str]:
    """Usual clients beside a crowd or a flood: what was measured, and what the hostile clients printed.

    `upgrade_after_s`: when another process takes over; None: never.
    """
    measured = Measured()
    async with serving(folder, memory_mb, sockets) as sidecar:
        temporary = folder / "tmp"
        measured.at_rest = sample(sidecar.processes.all[0].pid, temporary)
        sampling = asyncio.create_task(sample_memory(sidecar.processes, temporary, measured))
        hostile = await start_hostile_clients(form, sidecar.port, clients, seconds, returning)
        end = monotonic() + seconds + 1.0
        usual = [
            UsualClient(sidecar.port, f"usual{number}", measured, path).run(end)
            for number, path in enumerate(usual_paths)
        ]
        await asyncio.gather(*usual, *([upgrade_later(sidecar, upgrade_after_s)] if upgrade_after_s else []))
        output, _ = await hostile.communicate()
        sampling.cancel()
        assert sidecar.processes.all[-1].returncode is None
        assert all(process.returncode == 0 for process in sidecar.processes.all[:-1])
    return measured, output.decode().strip()


async def upgrade_later(sidecar: Sidecar, after_s: float) -> None:
    """Has another process take over after so many seconds."""
    await asyncio.sleep(after_s)
    await sidecar.upgrade()

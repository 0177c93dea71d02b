"""Both processes of an upgrade together hold more memory than the sidecar may, beside clients that are slow."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import rig as r  # noqa: E402

MEMORY_MB = 64
SOCKETS = 1024
SLOW_CLIENTS = 600
CROWD_S = 16
UPGRADES = 2  # one after the other has ended
BEFORE_S = 4.0
KILL_S = 3.7  # SIGKILL follows SIGTERM after the longest deadline, 3 s at most, and 0.7 s
SAMPLE_S = 0.02
LONG_BYTES = 2 * 1024 * 1024  # of an answer at the path of those who read slowly


class Held:
    """What processes hold together: their own pages, and the pages of files once for all of them."""

    def __init__(self, rig: r.Rig) -> None:
        self._rig = rig
        self.peak = 0
        self.peak_resident = 0

    def sample(self) -> None:
        """Measures all processes that run."""
        own = shared = resident = 0
        for process in self._rig.processes:
            with contextlib.suppress(OSError, ProcessLookupError):
                text = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
                sizes = {line.split(":")[0]: line.split()[1] for line in text.splitlines() if line.startswith("Rss")}
                if sizes:
                    own += int(sizes["RssAnon"]) * 1024
                    in_files = (int(sizes["RssFile"]) + int(sizes["RssShmem"])) * 1024
                    shared = max(shared, in_files)
                    resident += int(sizes["RssAnon"]) * 1024 + in_files
        if own + shared > self.peak:
            self._rig.record(
                f"held {(own + shared) / 1e6:.1f} MB, own pages {own / 1e6:.1f}, resident {resident / 1e6:.1f}"
            )
        self.peak = max(self.peak, own + shared)
        self.peak_resident = max(self.peak_resident, resident)

    async def follow(self) -> None:
        """Samples until it is cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)


async def case(rig: r.Rig) -> int:
    """One sidecar, three endpoints, a crowd of slow clients of the project's own; the process is replaced."""
    endpoints = [r.Endpoint(f"s-{number}", rig.record) for number in range(3)]

    async def answer(call: r.Call) -> None:
        await asyncio.sleep(0.01)
        call.answer(b"l" * LONG_BYTES if call.head.words[1] == "/api/long" else b"short")

    for endpoint in endpoints:
        endpoint.handler = answer
        await endpoint.start()
    discovery = r.Discovery(rig.record)
    await discovery.start(*endpoints)
    settings = copy.deepcopy(r.PORT_LOUIS)
    settings["classes"].append({**settings["classes"][0], "name": "look"})  # the class and the account of the crowd
    settings["tenants"].append({"name": "acme", "quota_per_s": 95.0, "share": 0.4})
    port, admin = r.free_port(), r.free_port()
    raw = rig.configuration(discovery.port, port, settings)
    raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config = rig.write("config.json", raw)
    process = rig.start(config, rig.folder / "tmp", admin)
    if not await r.wait_up(port, process):
        return r.NOT_RUN
    held = Held(rig)
    sampling = asyncio.create_task(held.follow())
    command = ["-m", "tests.helpers.hostile_clients", "mixed", str(port), str(SLOW_CLIENTS), str(CROWD_S), "return"]
    crowd = await asyncio.create_subprocess_exec(
        sys.executable, *command, cwd=r.ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        await asyncio.sleep(BEFORE_S)
        before = held.peak
        for _ in range(UPGRADES if r.TROUBLE else 0):
            admin = r.free_port()
            old, process = process, rig.start(config, rig.folder / "tmp", admin)
            if not await r.wait_up(admin, process, "/healthcheck", wait_s=15.0):
                return r.NOT_RUN
            rig.record("yes of the new process; SIGTERM to the old one")
            old.terminate()
            await asyncio.sleep(KILL_S)
            if old.poll() is None:
                rig.record("SIGKILL to the old one")
                old.kill()
                old.wait()
        if not r.TROUBLE:
            await asyncio.sleep(2 * KILL_S + 1.0)
    finally:
        sampling.cancel()
        crowd.kill()
        await crowd.wait()
    if process.poll() is not None:
        return r.NOT_RUN
    summary = (
        f"limit {MEMORY_MB} MB; held {held.peak / 1e6:.1f} MB at most ({before / 1e6:.1f} before the upgrade), "
        f"{held.peak_resident / 1e6:.1f} MB as the sum of the resident sets"
    )
    rig.record(summary)
    print(summary)
    return r.BROKEN if held.peak > MEMORY_MB * 1e6 else r.HELD


r.main(HERE, case)

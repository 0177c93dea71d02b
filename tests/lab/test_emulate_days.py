"""Short runs on loopback sockets with real sidecars, and their ends."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from limenotch.cli import main
from limenotch.lab import planning, scenario
from limenotch.lab.emulate import host, sidecars
from limenotch.lab.emulate.host import Rehearsal, TooLargeError, rehearse
from limenotch.lab.emulate.sidecars import SidecarError, SidecarProcess

from ..helpers.processes import run_command, running_module
from .test_emulate import ONE, plan


def test_a_short_day_with_real_sidecars(tmp_path: Path) -> None:
    """Three seconds of two tiers with a killed provider: requests are answered, the rules hold, all processes end."""
    low = '[[tier]]\nname = "low"\nproviders = 2\n[[tier.kind]]\nname = "l"\nslots = 4\n'
    text = ONE.replace("length_s = 2", "length_s = 3").replace("[[class]]", low + "[[class]]", 1)
    text += '[[fault]]\nkind = "kill"\nat_s = 1\nlength_s = 0.2\nvictims = [0]\n'
    started: list[Rehearsal] = []

    async def watch(rehearsal: Rehearsal) -> None:
        started.append(rehearsal)

    figures = asyncio.run(asyncio.wait_for(rehearse(plan(text), lambda _: None, watch), 90))
    assert figures["rules"]["kept"], figures["rules"]
    requests = figures["requests"]
    assert requests["asked"] > 100 and requests["served"] > 0.9 * requests["asked"]
    assert figures["machine"]["requests_not_understood"] == figures["machine"]["foreign_answers"] == 0
    assert [event[1] for event in figures["events"]][:2] == ["stopped", "started"]
    ended = [s.process.poll() for s in started[0].sidecars.values() if s.process is not None]
    assert len(ended) == 6 and None not in ended


def test_a_taken_port_is_left_to_its_owner(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        ports = [taken.getsockname()[1], sidecars.free_port()]
        monkeypatch.setattr(sidecars, "free_port", lambda: ports.pop(0))
        settings = planning.settings_of(plan(), 0, 0, 1, 0)
        sidecar = SidecarProcess("s", tmp_path, settings, 9, 1, {"index": 0, "snapshot": True, "endpoints": []})
        sidecar.spawn()
        try:
            asyncio.run(sidecar.ready())
            assert not ports and sidecar.port != taken.getsockname()[1] and sidecar.memory_kb() > 1000
        finally:
            sidecar.terminate()
            assert sidecar.end() == 0
    monkeypatch.undo()
    bad = SidecarProcess("bad", tmp_path, {"classes": []}, 9, 1, {})
    bad.spawn()
    with pytest.raises(SidecarError, match="ended with 2: limenotch: settings.classes"):
        asyncio.run(bad.ready())


def test_what_is_too_large_for_sockets_is_said_before_anything_starts(tmp_path: Path) -> None:
    rehearsal = Rehearsal(planning.plan(scenario.load("thousand"), 1), tmp_path)
    with pytest.raises(TooLargeError, match="650 sidecars"):
        asyncio.run(rehearsal.start())
    assert not rehearsal.sidecars and host.MAX_SIDECARS < 650
    assert main(["lab", "rehearse", "thousand", "--quiet"]) == 2


def test_ctrl_c_ends_everything(tmp_path: Path) -> None:
    path = tmp_path / "one.toml"
    path.write_text(ONE.replace("length_s = 2", "length_s = 600"))
    with running_module(
        "limenotch", "lab", "emulate", str(path), env={**os.environ, "TMPDIR": str(tmp_path)}
    ) as process:
        assert process.stdout is not None
        lines = []
        while (line := process.stdout.readline().strip()) != "ready":
            lines.append(line)
        port = int(lines[0].rpartition(":")[2])
        assert len(lines) == 4
        done = run_command(
            [
                sys.executable,
                "-m",
                "limenotch",
                "lab",
                "load",
                *lines,
                "--scenario",
                str(path),
                "--seconds",
                "1",
                "--rate",
                "40",
                "--json",
                str(tmp_path / "l.json"),
            ]
        )
        figures = json.loads((tmp_path / "l.json").read_text())
        assert done.returncode == 0 and figures["requests"]["served"] == figures["requests"]["asked"] > 10
        process.send_signal(signal.SIGINT)
        assert process.wait(30) == 0
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port), 5)
    assert not list(tmp_path.glob("limenotch-lab-*"))


def test_only_loopback_is_loaded(capsys: pytest.CaptureFixture[str]) -> None:
    for text in ("10.0.0.1:80", "example.org:80", "127.0.0.1"):
        assert main(["lab", "load", text, "--scenario", "calm"]) == 2
    assert "only loopback addresses are loaded" in capsys.readouterr().err

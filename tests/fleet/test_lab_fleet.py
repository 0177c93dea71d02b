"""`limenotch lab fleet`: a fleet on loopback, a drawing of one's own, and an end that leaves nothing behind."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from limenotch.cli.lab import fleet
from limenotch.lab.fleet import drills

from ..helpers.processes import LIMIT_S, ROOT
from .test_processes import children

DRAWINGS = Path(__file__).parent / "drawings" / "membership"


def test_a_fleet_of_three_loses_one_and_gets_it_back(capsys: pytest.CaptureFixture[str]) -> None:
    for _ in range(drills.TRIES):  # a machine too busy to keep time is no finding; see drills.tried
        code = fleet.command(["lab", "fleet", "--seed", "2"])
        said = capsys.readouterr().out
        if code == 0:
            break
    assert code == 0, said
    for words in ("kill c", "c dead", "start c", "c alive", "the drawing came out", "rules for calls held"):
        assert words in said
    assert said.index("kill c") < said.index("c dead") < said.index("start c") < said.index("c alive")
    assert said.count("start c") == 1 and not children()


def test_drawings_in_simulated_time(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert fleet.command(["lab", "fleet", "--simulated"]) == 0
    assert "c dead" in capsys.readouterr().out
    assert fleet.command(["lab", "fleet", str(DRAWINGS / "cut-one-way-alone.txt")]) == 0
    wrong = tmp_path / "wrong.txt"
    wrong.write_text((DRAWINGS / "death.txt").read_text().replace("5357", "5356"))
    assert fleet.command(["lab", "fleet", "--simulated", str(wrong)]) == 3
    assert "> 5356" in capsys.readouterr().out
    for arguments in (["lab", "fleet", str(tmp_path / "none.txt")], ["lab", "fleet", "--members", "2"]):
        assert fleet.command(arguments) == 2


def test_ctrl_c_ends_all_of_it(tmp_path: Path) -> None:
    process = subprocess.Popen([sys.executable, "-m", "limenotch", "lab", "fleet"], cwd=ROOT, stdout=subprocess.PIPE,
                               stderr=subprocess.PIPE, text=True, env={**os.environ, "TMPDIR": str(tmp_path),
                                                                       "PYTHONUNBUFFERED": "1"})
    try:
        assert process.stdout is not None
        while "kill c" not in (line := process.stdout.readline()):
            assert line
        sidecars = [path.parent for path in tmp_path.rglob("c.json")]
        assert len(sidecars) == 1
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate(timeout=LIMIT_S)
        assert process.returncode == 4 and "all processes are ended" in errors
        assert not list(tmp_path.glob("limenotch-lab-*")) and not named(str(tmp_path))
    finally:
        process.kill()
        process.communicate(timeout=LIMIT_S)


def named(text: str) -> list[str]:
    """Processes whose environment has this."""
    found = []
    for place in Path("/proc").glob("[0-9]*"):
        try:
            if text.encode() in (place / "environ").read_bytes() and place.name != str(os.getpid()):
                found.append(place.name)
        except OSError:
            continue
    return found

"""`limenotch lab fleet`: a fleet on loopback, a timeline from a file, and an end without leftover processes."""

from __future__ import annotations

import io
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from rich.console import Console

from limenotch.cli.lab import fleet
from limenotch.lab.fleet import drawing, drills
from limenotch.lab.fleet.processes import ObservedLine

from ..helpers.processes import ROOT, TIME_LIMIT_S
from .test_processes import children

TIMELINES = Path(__file__).parent / "drawings" / "membership"


def test_a_fleet_of_three_loses_a_member_that_returns(capsys: pytest.CaptureFixture[str]) -> None:
    for _ in range(drills.MAX_ATTEMPTS):  # an overloaded machine shows no fault; see drills.run_with_retries
        code = fleet.command(["lab", "fleet", "--seed", "2"])
        output = capsys.readouterr().out
        if code == 0:
            break
    assert code == 0, output
    for words in ("kill c", "c dead", "start c", "c alive", "the drawing came out", "rules for calls held"):
        assert words in output
    assert output.index("kill c") < output.index("c dead") < output.index("start c") < output.index("c alive")
    assert output.count("start c") == 1 and not children()


class FakeStage:
    """Fake of a stage after the run of a death and a restart: `c` was ready 250 ms after the beginning of its start."""

    def __init__(self, timeline: drawing.ExpectedTimeline) -> None:
        self.timeline, self.timeline_start_ms = timeline, 0.0
        self.applied_ms, self.fault_times_ms = [200.0, 2200.0], [200.0, 2450.0]
        self.processes = self

    def observed_lines(self) -> list[ObservedLine]:
        return [
            ObservedLine(1250.0, "a", "c dead", {}),
            ObservedLine(2400.0, "c", "a alive", {}),
            ObservedLine(2420.0, "a", "c alive", {}),
        ]


@pytest.mark.parametrize("until_times_ms", [(5000.0,), (2210.0, 5000.0), (2410.0, 5000.0)])
def test_a_start_is_shown_at_its_beginning_whenever_its_process_was_ready(until_times_ms: tuple[float, ...]) -> None:
    timeline = drawing.parse_timeline(drills.death_and_return(3, 1), "fleet")
    console = Console(highlight=False, file=io.StringIO(), width=200)
    live = fleet.LiveTable(timeline, console)
    for until_ms in until_times_ms:
        live.print_rows(FakeStage(timeline), until_ms)  # type: ignore[arg-type]
    assert isinstance(console.file, io.StringIO)
    rows = [line.split(maxsplit=1) for line in console.file.getvalue().splitlines()]
    assert rows == [
        ["200", "kill c"],
        ["1250", "c dead"],
        ["2200", "start c"],
        ["2400", "a alive"],
        ["2420", "c alive"],
    ]


def test_timelines_in_simulated_time(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert fleet.command(["lab", "fleet", "--simulated"]) == 0
    assert "c dead" in capsys.readouterr().out
    assert fleet.command(["lab", "fleet", str(TIMELINES / "cut-one-way-alone.txt")]) == 0
    changed_file = tmp_path / "wrong.txt"
    changed_file.write_text((TIMELINES / "death.txt").read_text().replace("5357", "5356"))
    assert fleet.command(["lab", "fleet", "--simulated", str(changed_file)]) == 3
    assert "> 5356" in capsys.readouterr().out
    for arguments in (["lab", "fleet", str(tmp_path / "none.txt")], ["lab", "fleet", "--members", "2"]):
        assert fleet.command(arguments) == 2


def test_ctrl_c_ends_all_processes(tmp_path: Path) -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "limenotch", "lab", "fleet"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "TMPDIR": str(tmp_path), "PYTHONUNBUFFERED": "1"},
    )
    try:
        assert process.stdout is not None
        while "kill c" not in (line := process.stdout.readline()):
            assert line
        config_folders = [path.parent for path in tmp_path.rglob("c.json")]
        assert len(config_folders) == 1
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate(timeout=TIME_LIMIT_S)
        assert process.returncode == 4 and "all processes are ended" in errors
        assert not list(tmp_path.glob("limenotch-lab-*")) and not processes_with_environment(str(tmp_path))
    finally:
        process.kill()
        process.communicate(timeout=TIME_LIMIT_S)


def processes_with_environment(text: str) -> list[str]:
    """Returns the processes whose environment contains the text."""
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            if text.encode() in (folder / "environ").read_bytes() and folder.name != str(os.getpid()):
                found.append(folder.name)
        except OSError:
            continue
    return found

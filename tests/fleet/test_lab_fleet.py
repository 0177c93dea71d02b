"""`limenotch lab fleet`: a fleet on loopback, a drawing of one's own, and an end that leaves nothing behind."""

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
from limenotch.lab.fleet.processes import Seen

from ..helpers.processes import ROOT, TIME_LIMIT_S
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


class Played:
    """A stage that has played a drawing of a death and a return: `c` was ready 250 ms after its start was begun."""

    def __init__(self, drawn: drawing.Scenario) -> None:
        self.drawing, self.began_ms = drawn, 0.0
        self.begun, self.happened = [200.0, 2200.0], [200.0, 2450.0]
        self.processes = self

    def seen(self) -> list[Seen]:
        return [Seen(1250.0, "a", "c dead", {}), Seen(2400.0, "c", "a alive", {}), Seen(2420.0, "a", "c alive", {})]


@pytest.mark.parametrize("looked", [(5000.0,), (2210.0, 5000.0), (2410.0, 5000.0)])
def test_a_start_is_shown_where_it_was_begun_whenever_its_process_was_ready(looked: tuple[float, ...]) -> None:
    drawn = drawing.read(drills.death_and_return(3, 1), "fleet")
    console = Console(highlight=False, file=io.StringIO(), width=200)
    live = fleet.LiveTable(drawn, console)
    for until in looked:
        live.print_rows(Played(drawn), until)  # type: ignore[arg-type]
    assert isinstance(console.file, io.StringIO)
    rows = [line.split(maxsplit=1) for line in console.file.getvalue().splitlines()]
    assert rows == [
        ["200", "kill c"],
        ["1250", "c dead"],
        ["2200", "start c"],
        ["2400", "a alive"],
        ["2420", "c alive"],
    ]


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
        sidecars = [path.parent for path in tmp_path.rglob("c.json")]
        assert len(sidecars) == 1
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate(timeout=TIME_LIMIT_S)
        assert process.returncode == 4 and "all processes are ended" in errors
        assert not list(tmp_path.glob("limenotch-lab-*")) and not named(str(tmp_path))
    finally:
        process.kill()
        process.communicate(timeout=TIME_LIMIT_S)


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

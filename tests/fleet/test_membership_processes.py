"""The drawings of membership on real processes, under consumers' calls: both verdicts are of the same run."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from limenotch.lab.fleet import drills
from limenotch.lab.fleet.scenario import load

FOLDER = Path(__file__).parent / "drawings" / "membership"
PLAYED = [path for path in sorted(FOLDER.glob("*.txt")) if "window" in load(path).head]


@pytest.mark.parametrize("path", PLAYED, ids=lambda path: path.stem)
def test_drawing_on_processes(path: Path, tmp_path: Path) -> None:
    drawn = load(path)
    outcome = asyncio.run(asyncio.wait_for(drills.play(drawn, tmp_path), 60)).check()
    assert outcome.calls["served"] > 20 * outcome.ran_s

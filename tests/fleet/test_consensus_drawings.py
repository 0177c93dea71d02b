"""The expected timelines of the log: each must come out exactly in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.log_drawings import outcome
from limenotch.lab.fleet.scenario import load

TIMELINES_FOLDER = Path(__file__).parent / "drawings" / "agreement"
TIMELINES = sorted(TIMELINES_FOLDER.glob("*.txt"))


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_timeline_comes_out_exactly(path: Path) -> None:
    outcome(load(path))


def test_there_are_as_many_timelines_as_documented() -> None:
    assert len(TIMELINES) >= 10

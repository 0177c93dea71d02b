"""The log's drawings, each of which must come out exactly in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.log_drawings import outcome
from limenotch.lab.fleet.scenario import load

FOLDER = Path(__file__).parent / "drawings" / "agreement"
FILES = sorted(FOLDER.glob("*.txt"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_comes_out(path: Path) -> None:
    outcome(load(path))


def test_there_are_as_many_as_the_page_shows() -> None:
    assert len(FILES) >= 10

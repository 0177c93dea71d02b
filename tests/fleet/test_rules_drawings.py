"""The expected timelines of the rules, each of which must come out exactly in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.rules_drawings import outcome
from limenotch.lab.fleet.scenario import load

TIMELINES = sorted((Path(__file__).parent / "drawings" / "rules").glob("*.txt"))


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_timeline_comes_out_as_expected(path: Path) -> None:
    outcome(load(path))


def test_the_page_shows_the_timelines() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "rules.md").read_text(encoding="utf-8")
    assert len(TIMELINES) >= 12
    assert all(path.name in page for path in TIMELINES)

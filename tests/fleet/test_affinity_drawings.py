"""Expected timelines of the affinity table: simulated runs have to match them exactly."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.bindings_drawings import outcome
from limenotch.lab.fleet.scenario import load

TIMELINES = sorted((Path(__file__).parent / "drawings" / "bindings").glob("*.txt"))


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_timeline_is_as_expected(path: Path) -> None:
    outcome(load(path))


def test_the_documentation_lists_all_timelines() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "bindings.md").read_text(encoding="utf-8")
    assert len(TIMELINES) >= 14
    assert all(path.name in page for path in TIMELINES)

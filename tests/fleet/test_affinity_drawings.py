"""The bindings' drawings, each of which must come out exactly in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.bindings_drawings import outcome
from limenotch.lab.fleet.scenario import load

FILES = sorted((Path(__file__).parent / "drawings" / "bindings").glob("*.txt"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_comes_out(path: Path) -> None:
    outcome(load(path))


def test_there_are_as_many_as_the_page_shows() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "bindings.md").read_text(encoding="utf-8")
    assert len(FILES) >= 14
    assert all(path.name in page for path in FILES)

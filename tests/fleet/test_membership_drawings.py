"""Each drawing of membership comes out exactly, in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.members import component_factory_for
from limenotch.lab.fleet.scenario import check, load

DRAWINGS = sorted((Path(__file__).parent / "drawings" / "membership").glob("*.txt"))


@pytest.mark.parametrize("path", DRAWINGS, ids=lambda path: path.stem)
def test_drawing(path: Path) -> None:
    scenario = load(path)
    check(scenario, component_factory_for(scenario))


def test_there_are_drawings() -> None:
    assert len(DRAWINGS) >= 12

"""Each drawing of membership comes out exactly, in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.drawing import Scenario
from limenotch.lab.fleet.scenario import check, load
from limenotch.lab.fleet.world import Make

from .members import maker

DRAWINGS = sorted((Path(__file__).parent / "drawings" / "membership").glob("*.txt"))


def make_for(scenario: Scenario) -> Make:
    """Of the head: `seeds` (a b), `twins` (node=name), `lives` (grow)."""
    head = scenario.head
    twins = dict(pair.split("=") for pair in head.get("twins", "").split())
    return maker(head.get("seeds", "a b").split(), names=twins, lives=head.get("lives", "grow"))


@pytest.mark.parametrize("path", DRAWINGS, ids=lambda path: path.stem)
def test_drawing(path: Path) -> None:
    scenario = load(path)
    check(scenario, make_for(scenario))


def test_there_are_drawings() -> None:
    assert len(DRAWINGS) >= 12

"""The expected timelines of membership are reproduced exactly, in simulated time."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.members import component_factory_for
from limenotch.lab.fleet.scenario import check, load

TIMELINES = sorted((Path(__file__).parent / "drawings" / "membership").glob("*.txt"))


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_timeline(path: Path) -> None:
    scenario = load(path)
    check(scenario, component_factory_for(scenario))


def test_timelines_exist() -> None:
    assert len(TIMELINES) >= 12

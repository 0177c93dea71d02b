"""The wallet's expected timelines, each of which must occur exactly in simulated time, without a fault by the
checker.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab.fleet.scenario import load
from limenotch.lab.fleet.wallet_drawings import outcome

FILES = sorted((Path(__file__).parent / "drawings" / "wallet").glob("*.txt"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_comes_out(path: Path) -> None:
    outcome(load(path))


def test_there_are_as_many_as_the_page_shows() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "wallet.md").read_text(encoding="utf-8")
    assert len(FILES) >= 10
    assert all(path.name in page for path in FILES)

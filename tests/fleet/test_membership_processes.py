"""The drawings of membership on real processes, under consumers' calls: both verdicts are of the same run.

Two at a time: each is an interpreter of its own with the consumers, the providers and the relays of one drawing.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

import pytest

from limenotch.lab.fleet import drills
from limenotch.lab.fleet.drawing import parse_timeline
from limenotch.lab.fleet.scenario import load
from limenotch.lab.fleet.stage import Outcome

FOLDER = Path(__file__).parent / "drawings" / "membership"
PLAYED = [path for path in sorted(FOLDER.glob("*.txt")) if "window" in load(path).header]
AT_A_TIME = 2
LIMIT_S = 90.0


def perform(path: Path, folder: Path) -> Outcome:
    outcome = asyncio.run(asyncio.wait_for(drills.run_with_retries(load(path), folder), LIMIT_S))
    if (
        load(path).header.get("lives") == "same"
    ):  # the process that came back had its clock set back, and so a lower life
        told = [json.loads(line) for line in next(folder.glob("*/c/c.log")).read_text().splitlines()]
        first, second = [line["life"] for line in told if line["event"] == "joined"]
        assert second == first + 1, (first, second)
    return outcome


@pytest.fixture(scope="module")
def outcomes(
    tmp_path_factory: pytest.TempPathFactory, request: pytest.FixtureRequest
) -> Iterator[dict[str, Future[Outcome]]]:
    wanted = {
        item.callspec.params["path"]
        for item in request.session.items
        if isinstance(item, pytest.Function) and hasattr(item, "callspec") and "path" in item.callspec.params
    }
    with ProcessPoolExecutor(AT_A_TIME, multiprocessing.get_context("spawn")) as pool:
        yield {
            path.stem: pool.submit(perform, path, tmp_path_factory.mktemp(path.stem))
            for path in PLAYED
            if path in wanted
        }


@pytest.mark.parametrize("path", PLAYED, ids=lambda path: path.stem)
def test_drawing_on_processes(path: Path, outcomes: dict[str, Future[Outcome]]) -> None:
    outcome = outcomes[path.stem].result(LIMIT_S * len(PLAYED)).check()
    assert outcome.calls["served"] > 20 * outcome.duration_s  # of 60 a second, some at nodes that are stopped


def test_what_is_played() -> None:
    assert {len(load(path).nodes) for path in PLAYED} >= {3, 4, 5, 9} and len(PLAYED) >= 12


DOUBTED = parse_timeline(
    """
window: 300
nodes: a b c
show: suspects dead alive

ms     a               b               faults
100                                    pause c
300    suspects c
900    c alive
2000
""",
    "doubted",
)


@pytest.mark.parametrize(
    ("seen", "left"),
    [
        ("suspects b, b alive, suspects c, c alive", "suspects c, c alive"),
        ("suspects c, c alive, suspects c, c alive", "suspects c, c alive"),
        ("c alive", "c alive"),
        ("suspects c, c dead, c alive", "suspects c, c dead, c alive"),
        ("suspects b, suspects c, b dead, c alive", "suspects b, suspects c, b dead, c alive"),
        ("suspects c, suspects b, c alive", "suspects c, suspects b, c alive"),
    ],
)
def test_doubts_that_were_refuted_count_for_nothing_and_deaths_do(seen: str, left: str) -> None:
    told = [(float(at), "a", text) for at, text in enumerate(seen.split(", "))]
    assert [text for _, _, text in drills.without_refuted_suspicions(DOUBTED, told)] == left.split(", ")


def test_a_drawing_is_played_quicker_and_begins_before_its_first_fault() -> None:
    played = DOUBTED.rescaled(0.5, 200.0)
    assert [(note.at_ms, note.text) for note in played.entries] == [(300, "suspects c"), (600, "c alive")]
    assert [(at, str(fault)) for at, fault in played.faults] == [(200, "pause c")] and played.end_ms == 1150


def test_a_failing_row_shows_both_drawings() -> None:
    played = DOUBTED.rescaled(0.5, 200.0)
    compare = drills.comparison_of(DOUBTED, played)
    told = compare([(300.0, "a", "suspects c"), (650.0, "b", "c dead")], [200.0])
    assert told is not None and "c alive' was not logged" in told and "| pause c" in told and "c dead" in told
    calm = [(300.0, "a", "suspects c"), (600.0, "a", "c alive")]
    assert compare(calm, [200.0]) is None
    told = compare([*calm, (played.end_ms - 1.0, "b", "c dead")], [200.0])
    assert told is not None and "b: 'c dead' at 1149 is not expected" in told
    late = parse_timeline("nodes: a\n\nms   a      faults\n3    joined\n9           heal\n", "late")
    assert "'joined'" in (drills.comparison_of(late, late.rescaled(1.0, 0.0))([], []) or "")

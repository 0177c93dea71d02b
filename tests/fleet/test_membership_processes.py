"""The expected timelines of membership on real processes that serve requests: one run yields both verdicts.

Two at a time: each is an interpreter of its own with the clients, the endpoints and the relays of one timeline.
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
TIMELINES = [path for path in sorted(FOLDER.glob("*.txt")) if "window" in load(path).header]
PARALLEL_RUNS = 2
LIMIT_S = 90.0


def perform(path: Path, folder: Path) -> Outcome:
    outcome = asyncio.run(asyncio.wait_for(drills.run_with_retries(load(path), folder), LIMIT_S))
    if load(path).header.get("lives") == "same":  # the process came back with its clock set back, so with a lower epoch
        lines = [json.loads(line) for line in next(folder.glob("*/c/c.log")).read_text().splitlines()]
        first, second = [line["life"] for line in lines if line["event"] == "joined"]
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
    with ProcessPoolExecutor(PARALLEL_RUNS, multiprocessing.get_context("spawn")) as pool:
        yield {
            path.stem: pool.submit(perform, path, tmp_path_factory.mktemp(path.stem))
            for path in TIMELINES
            if path in wanted
        }


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_timeline_on_processes(path: Path, outcomes: dict[str, Future[Outcome]]) -> None:
    outcome = outcomes[path.stem].result(LIMIT_S * len(TIMELINES)).check()
    assert outcome.calls["served"] > 20 * outcome.duration_s  # of 60 a second; some go to stopped nodes


def test_timelines_cover_several_sizes() -> None:
    assert {len(load(path).nodes) for path in TIMELINES} >= {3, 4, 5, 9} and len(TIMELINES) >= 12


SUSPECTED = parse_timeline(
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
def test_refuted_suspicions_are_removed_and_deaths_kept(seen: str, left: str) -> None:
    lines = [(float(at), "a", text) for at, text in enumerate(seen.split(", "))]
    assert [text for _, _, text in drills.without_refuted_suspicions(SUSPECTED, lines)] == left.split(", ")


def test_a_timeline_is_scaled_and_starts_before_its_first_fault() -> None:
    played = SUSPECTED.rescaled(0.5, 200.0)
    assert [(note.at_ms, note.text) for note in played.entries] == [(300, "suspects c"), (600, "c alive")]
    assert [(at, str(fault)) for at, fault in played.faults] == [(200, "pause c")] and played.end_ms == 1150


def test_a_failing_row_shows_both_timelines() -> None:
    played = SUSPECTED.rescaled(0.5, 200.0)
    compare = drills.comparison_of(SUSPECTED, played)
    report = compare([(300.0, "a", "suspects c"), (650.0, "b", "c dead")], [200.0])
    assert report is not None and "c alive' was not logged" in report and "| pause c" in report and "c dead" in report
    calm = [(300.0, "a", "suspects c"), (600.0, "a", "c alive")]
    assert compare(calm, [200.0]) is None
    report = compare([*calm, (played.end_ms - 1.0, "b", "c dead")], [200.0])
    assert report is not None and "b: 'c dead' at 1149 is not expected" in report
    late = parse_timeline("nodes: a\n\nms   a      faults\n3    joined\n9           heal\n", "late")
    assert "'joined'" in (drills.comparison_of(late, late.rescaled(1.0, 0.0))([], []) or "")

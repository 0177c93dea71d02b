"""Comparisons: verdicts that hold, pairs by seed, runs kept and taken up again; and the pages made of them."""

from __future__ import annotations

import json
import re
from html.parser import HTMLParser
from pathlib import Path
from typing import Any

import numpy as np
import pytest

import limenotch.balancing
from limenotch.cli import main
from limenotch.lab import compare as module
from limenotch.lab import experiment
from limenotch.lab.compare import Store, Variant, compare, difference, parse_variant, play_variants
from limenotch.lab.experiment import Job, play
from limenotch.lab.report import write_run
from limenotch.toml import FaultError

from .test_world import TWO_TIERS, fault


@pytest.fixture(scope="module")
def two(tmp_path_factory: pytest.TempPathFactory) -> str:
    path = tmp_path_factory.mktemp("s") / "two.toml"
    slow = fault("slow", at_s=2, length_s=2, part=0.5, size=4.0)
    path.write_text(TWO_TIERS.replace("length_s = 12", "length_s = 6") + slow)
    return str(path)


def test_a_difference_and_its_interval() -> None:
    draw = np.random.default_rng(3)
    base = draw.random(30)
    clear = difference("score", [(x, x + 0.1 + 0.02 * draw.standard_normal()) for x in base])
    assert clear.verdict == "better" and clear.low < 0.1 < clear.high and clear.high - clear.low < 0.03
    assert difference("p99_ms", [(x, x + 1 + 0.1 * draw.random()) for x in base]).verdict == "worse"
    assert difference("score", [(x, x + draw.standard_normal()) for x in base]).verdict == "can't tell"
    assert difference("score", [(0.5, 0.6)] * 3).verdict == "can't tell"  # three pairs know nothing of their spread
    assert difference("score", [(0.5, 0.5)] * 9).verdict == "same"
    assert difference("again", [(0.0, 1.0)] * 9).verdict == ""  # neither good nor bad


def test_equal_variants_are_seldom_told_apart() -> None:
    """Without a difference about one comparison in twenty shows one, as 95% promises; small samples a little more."""
    draw = np.random.default_rng(5)
    told = sum(
        difference("score", [(0.0, d) for d in draw.standard_normal(12)]).verdict in ("better", "worse")
        for _ in range(120)
    )
    assert told <= 18


@pytest.mark.parametrize("text", ["a", "=installed", "a=", "a=installed,copies"])
def test_a_variant_that_is_none(text: str) -> None:
    with pytest.raises(FaultError, match="--variant: expected"):
        parse_variant(text)


def test_variants_are_parsed() -> None:
    assert parse_variant("b=git:HEAD,sidecars.copies=false,clients.load=0.5") == Variant(
        "b", "git:HEAD", "sidecars.copies=false\nclients.load=0.5"
    )


def test_runs_are_kept_and_taken_up_again(two: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    variants = [Variant("a"), Variant("b", over="sidecars.copies=false")]
    store = Store(tmp_path / "out")
    real = experiment.play_all

    def interrupted(jobs: Any, processes: Any, done: Any) -> Any:
        real(list(jobs)[:3], 1, done)
        raise KeyboardInterrupt

    monkeypatch.setattr(module, "play_all", interrupted)
    runs, whole = play_variants(variants, [two], [1, 2], 1, store, False)
    assert not whole and sorted(runs) == [("a", two, 1), ("a", two, 2), ("b", two, 1)]
    assert [c.seeds for c in compare(variants, runs)] == [(1,)]  # whole pairs only
    played: list[Job] = []

    def counted(jobs: Any, processes: Any, done: Any) -> Any:
        played.extend(jobs)
        return real(list(jobs), 1, done)

    monkeypatch.setattr(module, "play_all", counted)
    again, whole = play_variants(variants, [two], [1, 2], 1, store, True)
    assert whole and [(job.seed, job.over) for job in played] == [(2, "sidecars.copies=false")]
    assert again["a", two, 1] == runs["a", two, 1] == json.loads(json.dumps(play(Job(two, 1)).figures))
    next((tmp_path / "out").glob("two-1-*")).write_text("torn {")
    played.clear()
    play_variants(variants, [two], [1, 2], 1, store, True)
    assert len(played) == 1 and not list((tmp_path / "out").glob("*.part"))


class Page(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.count: dict[str, int] = {}
        self.links: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.count[tag] = self.count.get(tag, 0) + 1
        for name, value in attrs:
            if name in ("src", "href", "xlink:href") and value and not value.startswith(("#", "data:")):
                self.links.append(value)


def test_the_page_of_a_run_stands_by_itself(two: str, tmp_path: Path) -> None:
    figures = play(Job(two, 1)).figures
    figures["rules"]["kept"] = False
    figures["rules"]["violations"] = [
        {"rule": "r", "at_ms": 5.0, "text": "<b>call</b>", "history": ["1.0 ms: <taken>"]}
    ]
    write_run(tmp_path / "a.html", figures, tmp_path / "png")
    write_run(tmp_path / "b.html", figures)
    text = (tmp_path / "a.html").read_text()
    assert text == (tmp_path / "b.html").read_text()  # the same figures, the same page
    page = Page()
    page.feed(text)
    assert page.count["svg"] == 6 and not page.links and "script" not in page.count
    assert "&lt;b&gt;call&lt;/b&gt;" in text and "1.0 ms: &lt;taken&gt;" in text
    assert 'name="viewport"' in text and not re.search(r"\bnan\b", text)
    images = sorted(path.name for path in (tmp_path / "png").iterdir())
    assert images == ["again.png", "goodput.png", "latency.png", "outcomes.png", "tier-low.png", "tier-top.png"]
    assert all((tmp_path / "png" / name).read_bytes().startswith(b"\x89PNG") for name in images)


def test_the_command(two: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(limenotch.balancing.__file__).parent / "weights.py").read_text()
    assert "FLOOR = 0.02" in text
    worse = tmp_path / "weights.py"
    worse.write_text(text.replace("FLOOR = 0.02", "FLOOR = 5.0"))
    line = [
        "lab",
        "compare",
        "--scenario",
        two,
        "--variant",
        "a=installed",
        "--variant",
        f"b={worse}",
        "--seeds",
        "4",
        "--json",
        str(tmp_path / "c.json"),
        "--report",
        str(tmp_path / "c.html"),
        "--out",
        str(tmp_path / "runs"),
    ]
    assert main(line) == 0
    out = capsys.readouterr().out
    assert "two" in out and "b against a, 4 pairs" in out and "p99_ms" in out
    found = json.loads((tmp_path / "c.json").read_text())
    assert found["whole"] and len(found["comparisons"][0]["differences"]) == len(module.METRICS)
    page = Page()
    page.feed((tmp_path / "c.html").read_text())
    assert page.count["svg"] == 2 and not page.links
    assert main([*line[:6], "--resume"]) == 2
    assert main([*line[:5], "a=installed", "--variant", "a=installed"]) == 2
    assert main(["lab", "run", two, "--report", str(tmp_path / "none" / "r.html")]) == 2

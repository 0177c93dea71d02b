"""The reader of a fleet's logs: its counts, and that no content of a log stops it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.cli import main
from limenotch.lab import timeline

START = 1_790_000_000.0


def line(at: float, event: str, **fields: Any) -> str:
    stamp = f"2026-09-21T14:13:{at:09.6f}Z"  # START is 14:13:20
    return json.dumps({"event": event, "timestamp": stamp, **fields})


def logs(folder: Path, before: bool) -> list[Path]:
    one = [
        (0.0, line(20.0, "listening", layer=1)),
        (0.1, line(20.1, "directory: asked", since=0)),
        (
            0.2,
            line(
                20.2,
                "told",
                version=3,
                whole=True,
                entries=[
                    ["old", "in_service", 0.0, "k", "z", 1.0],
                    ["new", "in_service", (START + 1.0) * 1000, "k", "z", 1.0],
                ],
            ),
        ),
        (1.5, line(21.5, "taken", call=1, kind="look", account="", left_ms=100, resent=True)),
        (1.9, line(21.9, "invoked", call=1, number=0, provider="new", ending="served", spent_ms=400.0)),
        (1.9, line(21.9, "final", call=1, verdict="served", invoked=1, out=2, limit=10.0)),
        (5.2, line(25.2, "invoked", call=2, number=1, provider="new", ending="abandoned", spent_ms=100.0)),
        (5.2, line(25.2, "invoked", call=2, number=0, provider="old", ending="timed out", spent_ms=900.0)),
    ]
    two = [
        (0.0, line(20.0, "listening", layer=0)),
        (5.0, line(25.0, "final", call=1, verdict="rejected", invoked=0, out=0, limit=4.0)),
    ]
    for name, rows in (("n0.log", one), ("n1.log", two)):
        text = "\n".join(f"{at:.3f} {row}" if before else row for at, row in rows)
        (folder / name).write_text(text + "\nTraceback (most recent call last):\n\n")
    return sorted(folder.iterdir())


@pytest.mark.parametrize("before", [True, False])
def test_what_a_fleet_did_is_counted_by_tier_second_and_age(before: bool, tmp_path: Path) -> None:
    read = timeline.read(logs(tmp_path, before))
    assert read.skipped == 2 and read.sidecars == {1: 1, 0: 1}
    below = {row["s"]: row for row in timeline.figures(read, 1)}
    assert below[0]["watches"] == 1 and below[0]["list lines"] == 2
    assert (below[1]["taken"], below[1]["limit"], below[1]["out"], below[1]["p50 ms"]) == (1, 10.0, 2.0, 400)
    assert below[1]["<1s"] == 1  # sent half a second after the provider's start, which the list told
    assert (below[5]["<6s"], below[5]["warm"]) == (1, 1)
    assert (below[5]["abandoned"], below[5]["timed out"], below[5]["further"]) == (1, 1, 1)
    assert (below[5]["most"], below[5]["used"]) == (1, 2)
    assert [row["rejected"] for row in timeline.figures(read, 0)] == [0, 1]


def test_the_command_prints_a_table_or_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    logs(tmp_path, True)
    assert main(["lab", "timeline", str(tmp_path)]) == 0
    printed = capsys.readouterr()
    assert "tier 1, 1 sidecars" in printed.out and "2 lines could not be read" in printed.err
    assert main(["lab", "timeline", "--json", "--tier", "0", str(tmp_path)]) == 0
    assert [row["rejected"] for row in json.loads(capsys.readouterr().out)["tiers"]["0"]] == [0, 1]


@pytest.mark.parametrize("arguments", [["nowhere"], ["--tier", "-1", "."], ["--tier", "x", "."]])
def test_faults_are_told(arguments: list[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "n0.log").write_text("")
    assert main(["lab", "timeline", *arguments]) == 2


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.text(max_size=40),
            st.dictionaries(
                st.sampled_from(["event", "timestamp", "entries", "spent_ms", "number", "provider", "limit"]),
                st.one_of(
                    st.sampled_from(["told", "invoked", "final", "2026-09-21T14:13:20Z"]),
                    st.integers(),
                    st.none(),
                    st.lists(st.integers(), max_size=2),
                ),
            ).map(json.dumps),
        ),
        max_size=6,
    )
)
def test_no_line_stops_it(tmp_path_factory: pytest.TempPathFactory, lines: list[str]) -> None:
    path = tmp_path_factory.mktemp("logs") / "n0.log"
    path.write_text("\n".join(lines), encoding="utf-8")
    read = timeline.read([path])
    assert read.skipped <= sum(len(text.splitlines()) + 1 for text in lines)
    for layer in list(read.layers):
        timeline.table(read, layer)

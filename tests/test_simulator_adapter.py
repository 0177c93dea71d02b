"""The adapter through the real `sim` command: a hand-written transcript, bad input, clean ends."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib

import pytest

from limenotch.balancing.settings import read_settings

from .helpers.processes import ROOT, finished

ENV = {
    "balancers": 3,
    "rank": 0,
    "classes": [
        {"name": "look", "effect": "idempotent", "target_ms": 400.0, "hard_limit_ms": 900.0},
        {
            "name": "pay",
            "effect": "at_most_once",
            "target_ms": 400.0,
            "hard_limit_ms": 900.0,
            "worth": 4,
        },
    ],
    "permissions": {"cancel": True, "parallel_tries": True, "max_attempts": 3},
    "registry_mode": "ask",
    "rules": {"start_capacity": 0.2, "cold_ms": 5000.0, "fall_multiple": 2.0, "overload_for_ms": 1000.0},
    "weights": "nominal",
    "a_key_of_tomorrow": [1, 2],
}


def sim(text: str) -> subprocess.CompletedProcess[str]:
    """Start what deploy/balancer.toml names; the tests' own interpreter stands in where nothing was built."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    if not (ROOT / ".venv" / "bin" / "python").exists():
        command = command.replace(".venv/bin/python", sys.executable)
    return finished(["/bin/sh", "-c", command], text)


def batch(now: float, *lines: str) -> str:
    return "\n".join([f"BATCH at_time_ms={now}", *lines, "EOF_BATCH", ""])


def transcript(numbers: tuple[int, ...]) -> str:
    """The same story for each instance; every process hears of its own instances only."""
    rows = [f"ROW nominal=1.5 hw=0 locality=0 upstream=10.1.0.{i}:80 stage_state=ready" for i in range(5)]
    text = batch(100.0)
    text += batch(
        101.0,
        "REGISTER sheet=2 hosts=5",
        *rows,
        *[
            line
            for n in numbers
            for line in (
                f"LAUNCH balancer_id={n} seed={n + 7} env={json.dumps(ENV | {'rank': n})}",
                f"MEMBERSHIP balancer_id={n} how=stale_copy serial=1 sheet=2",
            )
        ],
    )
    for turn in range(12):
        now = 110.0 + 50 * turn
        text += batch(
            now,
            *[f"KNOCK balancer_id={n} handle=call-{n}-{turn} kind={turn % 2} party=0 budget_ms=900.0" for n in numbers],
        )
    text += batch(750.0, *[f"LEFT balancer_id={n} handle=call-{n}-11" for n in numbers])
    text += batch(
        760.0,
        "REGISTER sheet=2 hosts=1",
        "ROW nominal=1.5 upstream=10.1.0.4:80 stage_state=draining",
        *[
            line
            for n in numbers
            for line in (
                f"MEMBERSHIP balancer_id={n} how=patch serial=2 sheet=2",
                f"MEMBERSHIP balancer_id={n} how=broken serial=2",
                f"TIMER balancer_id={n} ctx=1",
                f"CHECKED balancer_id={n} how=100 spent_ms=1.0 upstream=10.1.0.4:80",
            )
        ],
    )
    return text + batch(770.0, *[f"TEARDOWN balancer_id={n}" for n in numbers])


def actions(output: str) -> dict[str, list[tuple[int, str]]]:
    """Each instance's actions with the batch they answer."""
    found: dict[str, list[tuple[int, str]]] = {}
    number = 0
    for line in output.splitlines():
        if line == "DONE":
            number += 1
        else:
            owner = next(part for part in line.split() if part.startswith("balancer_id="))
            found.setdefault(owner, []).append((number, line))
    return found


def test_transcript_in_one_process_and_in_three() -> None:
    whole = sim(transcript((0, 1, 2)))
    assert whole.returncode == 0 and whole.stderr == ""
    apart: dict[str, list[tuple[int, str]]] = {}
    for number in range(3):
        apart |= actions(sim(transcript((number,))).stdout)
    assert actions(whole.stdout) == apart
    mine = [line for _, line in apart["balancer_id=0"]]
    assert mine[0] == "WATCH balancer_id=0 active=1"
    assert {f"call-0-{turn}" for turn in range(12)} <= {
        line.split("handle=")[1].split()[0] for line in mine if line.startswith("RELAY")
    }
    assert "WITHDRAW balancer_id=0 handle=call-0-11 copy=0" in mine
    assert whole.stdout.count("DONE\n") == transcript((0,)).count("EOF_BATCH")


START = (
    f"LAUNCH balancer_id=0 seed=1 env={json.dumps(ENV)}",
    "REGISTER sheet=0 hosts=1",
    "ROW upstream=10.1.0.1:80 stage_state=ready",
    "MEMBERSHIP balancer_id=0 how=whole serial=1 sheet=0",
)


@pytest.mark.parametrize(
    ("text", "line", "word"),
    [
        ("HELLO\n", 1, "expected BATCH"),
        ("BATCH at_time_ms=1.0\n", 1, "expected EOF_BATCH"),
        ("BATCH at_time_ms=soon\nEOF_BATCH\n", 1, "soon"),
        ("BATCH\nEOF_BATCH\n", 1, "expected BATCH"),
        (batch(1.0, *START, "NONSENSE balancer_id=0"), 6, "expected an event"),
        (batch(1.0, *START, "KNOCK balancer_id=0 handle"), 6, "expected name=value"),
        (batch(1.0, *START, "KNOCK balancer_id=0 handle=a kind=9 budget_ms=5.0"), 6, "traffic_class"),
        (batch(1.0, *START, "KNOCK balancer_id=0 handle=a kind=0"), 6, "budget_ms"),
        (batch(1.0, *START, "RESULT balancer_id=0 handle=a upstream=b copy=0 spent_ms=1 how=999"), 6, "999"),
        (batch(1.0, *START, "MEMBERSHIP balancer_id=0 how=whole serial=1 sheet=5"), 6, "registered sheet"),
        (batch(1.0, *START, "TIMER balancer_id=4 ctx=1"), 6, "expected LAUNCH"),
        (batch(1.0, "LAUNCH balancer_id=0 seed=1 env={"), 2, ""),
        (batch(1.0, 'LAUNCH balancer_id=0 seed=1 env={"classes": []}'), 2, "classes"),
        (batch(1.0, "REGISTER sheet=16 hosts=0"), 2, "0 to 15"),
        ("BATCH at_time_ms=1.0\nREGISTER sheet=0 hosts=3\n", 2, "expected ROW"),
        (batch(5.0, *START) + batch(4.0, "TIMER balancer_id=0 ctx=1"), 8, "backwards"),
    ],
)
def test_malformed_wire(text: str, line: int, word: str) -> None:
    """One plain line with the place and what was expected; never a traceback."""
    done = sim(text)
    assert done.returncode == 2
    assert done.stderr.startswith(f"line {line}: ") and word in done.stderr
    assert done.stderr.count("\n") == 1
    assert all(part in ("", "DONE") or "balancer_id=" in part for part in done.stdout.splitlines())


def test_clean_end() -> None:
    assert sim("").returncode == 0
    assert sim(batch(1.0)).stdout == "DONE\n"


def test_start_twice_in_one_batch_forgets_the_first() -> None:
    done = sim(batch(1.0, *START, "TEARDOWN balancer_id=0", *START))
    assert done.returncode == 0


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"classes": None}, "classes"),
        ({"classes": [{"effect": "idempotent", "hard_limit_ms": 5.0}]}, "target_ms"),
        ({"classes": [{"effect": "odd", "target_ms": 5.0, "hard_limit_ms": 5.0}]}, "effect"),
        ({"classes": [{"effect": "idempotent", "target_ms": "x", "hard_limit_ms": 5.0}]}, "target_ms"),
        ({"classes": [{"effect": "idempotent", "target_ms": -1.0, "hard_limit_ms": 5.0}]}, "target_ms"),
        ({"balancers": 0}, "balancers"),
        ({"rules": {"start_capacity": 0.0}}, "capacity"),
        ({"permissions": {"max_attempts": 0}}, "max_attempts"),
        ({"permissions": 3}, "permissions"),
    ],
)
def test_settings_that_are_off_are_named(change: dict[str, object], word: str) -> None:
    with pytest.raises(ValueError, match=word):
        read_settings(ENV | change)


def test_absent_settings_take_their_defaults() -> None:
    given = read_settings({"classes": ENV["classes"]})
    assert (given.balancers, given.tier_index, given.max_attempts, given.must_subscribe) == (1, 0, 3, False)

"""The simulator adapter, run with the `sim` command of deploy/balancer.toml: a transcript, malformed input, its end."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib

import pytest

from limenotch.balancing.settings import read_settings

from .helpers.processes import ROOT, run_command

INSTANCE_SETTINGS = {
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


def run_adapter(wire_input: str) -> subprocess.CompletedProcess[str]:
    """Run the `sim` command of deploy/balancer.toml, with the tests' interpreter if there is no .venv."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    if not (ROOT / ".venv" / "bin" / "python").exists():
        command = command.replace(".venv/bin/python", sys.executable)
    return run_command(["/bin/sh", "-c", command], wire_input)


def batch(now: float, *lines: str) -> str:
    return "\n".join([f"BATCH at_time_ms={now}", *lines, "EOF_BATCH", ""])


def transcript(instances: tuple[int, ...]) -> str:
    """The input for these instances. All instances get the same events."""
    rows = [f"ROW nominal=1.5 hw=0 locality=0 upstream=10.1.0.{i}:80 stage_state=ready" for i in range(5)]
    wire_input = batch(100.0)
    wire_input += batch(
        101.0,
        "REGISTER sheet=2 hosts=5",
        *rows,
        *[
            line
            for instance in instances
            for line in (
                f"LAUNCH balancer_id={instance} seed={instance + 7} "
                f"env={json.dumps(INSTANCE_SETTINGS | {'rank': instance})}",
                f"MEMBERSHIP balancer_id={instance} how=stale_copy serial=1 sheet=2",
            )
        ],
    )
    for turn in range(12):
        now = 110.0 + 50 * turn
        wire_input += batch(
            now,
            *[
                f"KNOCK balancer_id={instance} handle=call-{instance}-{turn} kind={turn % 2} party=0 budget_ms=900.0"
                for instance in instances
            ],
        )
    wire_input += batch(750.0, *[f"LEFT balancer_id={instance} handle=call-{instance}-11" for instance in instances])
    wire_input += batch(
        760.0,
        "REGISTER sheet=2 hosts=1",
        "ROW nominal=1.5 upstream=10.1.0.4:80 stage_state=draining",
        *[
            line
            for instance in instances
            for line in (
                f"MEMBERSHIP balancer_id={instance} how=patch serial=2 sheet=2",
                f"MEMBERSHIP balancer_id={instance} how=broken serial=2",
                f"TIMER balancer_id={instance} ctx=1",
                f"CHECKED balancer_id={instance} how=100 spent_ms=1.0 upstream=10.1.0.4:80",
            )
        ],
    )
    return wire_input + batch(770.0, *[f"TEARDOWN balancer_id={instance}" for instance in instances])


def actions_by_instance(output: str) -> dict[str, list[tuple[int, str]]]:
    """Actions by instance, each with the number of its batch."""
    actions: dict[str, list[tuple[int, str]]] = {}
    number = 0
    for line in output.splitlines():
        if line == "DONE":
            number += 1
        else:
            instance = next(part for part in line.split() if part.startswith("balancer_id="))
            actions.setdefault(instance, []).append((number, line))
    return actions


def test_instances_behave_the_same_in_one_process_and_in_three() -> None:
    combined = run_adapter(transcript((0, 1, 2)))
    assert combined.returncode == 0 and combined.stderr == ""
    separate: dict[str, list[tuple[int, str]]] = {}
    for number in range(3):
        separate |= actions_by_instance(run_adapter(transcript((number,))).stdout)
    assert actions_by_instance(combined.stdout) == separate
    first_instance_lines = [line for _, line in separate["balancer_id=0"]]
    assert first_instance_lines[0] == "WATCH balancer_id=0 active=1"
    assert {f"call-0-{turn}" for turn in range(12)} <= {
        line.split("handle=")[1].split()[0] for line in first_instance_lines if line.startswith("RELAY")
    }
    assert "WITHDRAW balancer_id=0 handle=call-0-11 copy=0" in first_instance_lines
    assert combined.stdout.count("DONE\n") == transcript((0,)).count("EOF_BATCH")


START_LINES = (
    f"LAUNCH balancer_id=0 seed=1 env={json.dumps(INSTANCE_SETTINGS)}",
    "REGISTER sheet=0 hosts=1",
    "ROW upstream=10.1.0.1:80 stage_state=ready",
    "MEMBERSHIP balancer_id=0 how=whole serial=1 sheet=0",
)


@pytest.mark.parametrize(
    ("wire_input", "line", "expected_text"),
    [
        ("HELLO\n", 1, "expected BATCH"),
        ("BATCH at_time_ms=1.0\n", 1, "expected EOF_BATCH"),
        ("BATCH at_time_ms=soon\nEOF_BATCH\n", 1, "soon"),
        ("BATCH\nEOF_BATCH\n", 1, "expected BATCH"),
        (batch(1.0, *START_LINES, "NONSENSE balancer_id=0"), 6, "expected an event"),
        (batch(1.0, *START_LINES, "KNOCK balancer_id=0 handle"), 6, "expected name=value"),
        (batch(1.0, *START_LINES, "KNOCK balancer_id=0 handle=a kind=9 budget_ms=5.0"), 6, "traffic_class"),
        (batch(1.0, *START_LINES, "KNOCK balancer_id=0 handle=a kind=0"), 6, "budget_ms"),
        (batch(1.0, *START_LINES, "RESULT balancer_id=0 handle=a upstream=b copy=0 spent_ms=1 how=999"), 6, "999"),
        (batch(1.0, *START_LINES, "MEMBERSHIP balancer_id=0 how=whole serial=1 sheet=5"), 6, "registered sheet"),
        (batch(1.0, *START_LINES, "TIMER balancer_id=4 ctx=1"), 6, "expected LAUNCH"),
        (batch(1.0, "LAUNCH balancer_id=0 seed=1 env={"), 2, ""),
        (batch(1.0, 'LAUNCH balancer_id=0 seed=1 env={"classes": []}'), 2, "classes"),
        (batch(1.0, "REGISTER sheet=16 hosts=0"), 2, "0 to 15"),
        ("BATCH at_time_ms=1.0\nREGISTER sheet=0 hosts=3\n", 2, "expected ROW"),
        (batch(5.0, *START_LINES) + batch(4.0, "TIMER balancer_id=0 ctx=1"), 8, "backwards"),
    ],
)
def test_malformed_input_ends_with_one_line_that_says_where_and_what(
    wire_input: str, line: int, expected_text: str
) -> None:
    """The line has the input's line number and what was expected. There is no traceback."""
    finished_process = run_adapter(wire_input)
    assert finished_process.returncode == 2
    assert finished_process.stderr.startswith(f"line {line}: ") and expected_text in finished_process.stderr
    assert finished_process.stderr.count("\n") == 1
    assert all(part in ("", "DONE") or "balancer_id=" in part for part in finished_process.stdout.splitlines())


def test_the_adapter_ends_cleanly_at_the_end_of_input() -> None:
    assert run_adapter("").returncode == 0
    assert run_adapter(batch(1.0)).stdout == "DONE\n"


def test_an_instance_can_be_started_again_in_the_same_batch() -> None:
    finished_process = run_adapter(batch(1.0, *START_LINES, "TEARDOWN balancer_id=0", *START_LINES))
    assert finished_process.returncode == 0


@pytest.mark.parametrize(
    ("changes", "expected_text"),
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
def test_invalid_settings_are_named_in_the_error(changes: dict[str, object], expected_text: str) -> None:
    with pytest.raises(ValueError, match=expected_text):
        read_settings(INSTANCE_SETTINGS | changes)


def test_missing_settings_have_defaults() -> None:
    settings = read_settings({"classes": INSTANCE_SETTINGS["classes"]})
    assert (settings.balancers, settings.tier_index, settings.max_attempts, settings.must_subscribe) == (1, 0, 3, False)

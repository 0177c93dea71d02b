"""Members and operators for expected timelines of the rules. The first three nodes are the voters of the log.

`ask a WORDS`: `attempts 5`, `pay at_most_once` (or another effect), `worth 2`, `class c1`, `directory 127.0.0.1:7701`,
`limit 50`, `back 1`, `ban u1`, `return u1`, `fenced`. Responses are log lines: `yes 2`, `no: why`. The header
`objects: c` gives that voter an older program: it can't read the class `c1`.
"""

from __future__ import annotations

from typing import Any

from limenotch.fleet.interfaces import Fenced
from limenotch.fleet.rules import Tuning, api
from limenotch.fleet.rules.document import Document
from limenotch.lab.fleet.drawing import ExpectedTimeline
from limenotch.lab.fleet.rules_run import RulesRun, settings_check
from limenotch.lab.fleet.scenario import Outcome, check, simulate
from limenotch.lab.fleet.world import World

TUNING = Tuning(lease_ms=900, drift=0.02, grace_ms=50, check_ms=300, ask_ms=3000)


def _check_of_old_program(document: Document) -> str | None:
    for number, entry in enumerate(document["settings"]["classes"]):
        if entry["name"] == "c1":
            return f"settings.classes[{number}].effect: not one of the known values"
    return settings_check(document)


def _settings_change(**settings: Any) -> dict[str, Any]:
    return {"change": {"settings": settings}}


def _operator_request(name: str, value: str) -> tuple[str, dict[str, Any]]:
    if name == "attempts":
        return "propose", _settings_change(permissions={"max_attempts": int(value)})
    if name == "pay":
        return "propose", _settings_change(classes={"pay": {"effect": value}})
    if name == "worth":
        return "propose", _settings_change(classes={"pay": {"worth": float(value)}})
    if name == "class":
        entry = {"effect": "idempotent", "target_ms": 50, "hard_limit_ms": 500}
        return "propose", _settings_change(classes={value: entry})
    if name == "limit":
        return "propose", _settings_change(tenants={"t1": {"quota_per_s": float(value)}})
    if name == "directory":
        return "propose", {"change": {"directory": value}}
    if name == "back":
        return "back", {"to": int(value)}
    return name, {"upstream": value}


def ask(world: World, node: str, words: str) -> None:
    name, _, value = words.partition(" ")
    if name == "fenced":
        world.deliver_event(node, Fenced())
        return
    ticket = int(world.now)
    operation, document = _operator_request(name, value)
    world.deliver_event(node, api.OperatorRequest(ticket, operation, document))


def outcome(scenario: ExpectedTimeline, exact: bool = True) -> Outcome:
    """Play the scenario. If `exact`, AssertionError where it did not come out as expected."""
    old_voter = scenario.header.get("objects")
    run = RulesRun(
        scenario.nodes,
        tuple(scenario.nodes[:3]),
        None,
        tuning=TUNING,
        checks={old_voter: _check_of_old_program} if old_voter else {},
    )
    return (check if exact else simulate)(scenario, run.make, ask)

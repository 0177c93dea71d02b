"""Members and operators for drawings of the rules. The first three nodes vote on the log.

`ask a WORDS`: `attempts 5`, `pay at_most_once` (or another effect), `worth 2`, `class c1`, `directory 127.0.0.1:7701`,
`limit 50`, `back 1`, `ban u1`, `return u1`, `fenced`. Answers are notes: `yes 2`, `no: why`. Head `objects: c`
makes that voter one of an older program: it can't read the class `c1`.
"""

from __future__ import annotations

from typing import Any

from limenotch.fleet.interfaces import Fenced
from limenotch.fleet.rules import Tuning, api
from limenotch.fleet.rules.document import Document
from limenotch.lab.fleet.drawing import Scenario
from limenotch.lab.fleet.rules_run import Run, settings_check
from limenotch.lab.fleet.scenario import Outcome, check, play
from limenotch.lab.fleet.world import World

TUNING = Tuning(lease_ms=900, drift=0.02, grace_ms=50, check_ms=300, ask_ms=3000)


def _old_program(document: Document) -> str | None:
    for number, entry in enumerate(document["settings"]["classes"]):
        if entry["name"] == "c1":
            return f"settings.classes[{number}].effect: not one of the known values"
    return settings_check(document)


def _settings(**settings: Any) -> dict[str, Any]:
    return {"change": {"settings": settings}}


def _document(word: str, value: str) -> tuple[str, dict[str, Any]]:
    if word == "attempts":
        return "propose", _settings(permissions={"max_attempts": int(value)})
    if word == "pay":
        return "propose", _settings(classes={"pay": {"effect": value}})
    if word == "worth":
        return "propose", _settings(classes={"pay": {"worth": float(value)}})
    if word == "class":
        entry = {"effect": "idempotent", "target_ms": 50, "hard_limit_ms": 500}
        return "propose", _settings(classes={value: entry})
    if word == "limit":
        return "propose", _settings(tenants={"t1": {"quota_per_s": float(value)}})
    if word == "directory":
        return "propose", {"change": {"directory": value}}
    if word == "back":
        return "back", {"to": int(value)}
    return word, {"upstream": value}


def ask(world: World, node: str, words: str) -> None:
    word, _, value = words.partition(" ")
    if word == "fenced":
        world.poke(node, Fenced())
        return
    ticket = int(world.now)
    what, document = _document(word, value)
    world.poke(node, api.OperatorRequest(ticket, what, document))


def outcome(scenario: Scenario, exact: bool = True) -> Outcome:
    """AssertionError where it did not come out, if `exact`."""
    old = scenario.head.get("objects")
    run = Run(scenario.nodes, tuple(scenario.nodes[:3]), None, tuning=TUNING, checks={old: _old_program} if old else {})
    return (check if exact else play)(scenario, run.make, ask)

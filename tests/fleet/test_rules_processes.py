"""Rules on processes: they are agreed on, act, narrow and widen while consumers call and faults come between.

Words of `ask`: `set N` (attempts, told 200), `set N late` (not told 200), `ban P`, `back P`, `all N` (all that are
there hold version N actively under a lease), `out K` (K providers are left out, at every node), `narrow`, `leased`.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from limenotch.lab import planning, scenario
from limenotch.lab.fleet import drawing, weather
from limenotch.lab.fleet.processes import NodeProcess, Processes
from limenotch.lab.fleet.stage import Outcome, Stage, together
from tests.helpers.promised import call

from .test_log_processes import AGREEMENT, MEMBERSHIP
from .test_processes import TRAFFIC

RULES = "\n[fleet.rules]\nlease_ms = 900.0\ndrift = 0.02\ngrace_ms = 200.0\nask_ms = 3000.0\ncheck_ms = 400.0\n"


class Hands:
    """Operators of a stage; each `ask` of a drawing is one of theirs."""

    def __init__(self) -> None:
        self.stage: Stage | None = None
        self.there: list[str] = []

    @property
    def processes(self) -> Processes:
        assert self.stage is not None
        return self.stage.processes

    async def rules(self, node: NodeProcess, what: str, document: dict[str, Any], ident: str) -> tuple[int, Any]:
        body = json.dumps({"what": what, "document": document, "id": ident}).encode()
        answer = await call(node, "POST", "/fleet/rules", body)
        assert answer is not None, f"{node.name}: no answer to {what}"
        return answer.status, json.loads(answer.body)

    async def asked(self, node: NodeProcess, words: str) -> None:
        word, *rest = words.split()
        if word == "set":
            change = {"change": {"settings": {"permissions": {"max_attempts": int(rest[0])}}}}
            status, said = await self.rules(node, "propose", change, f"set {rest[0]}")
            assert (status == 200) == ("late" not in rest), (words, status, said)
        elif word in ("ban", "back"):
            name = await self.provider(int(rest[0]))
            document: dict[str, Any] = {"upstream": name} if word == "ban" else {"upstream": name, "at_ms": 1.0}
            status, said = await self.rules(node, "ban" if word == "ban" else "return", document, words)
            assert status == 200, (words, status, said)
        elif word == "all":
            await self.until(lambda state: (state["state"], state["active"]) == ("leased", int(rest[0])), words)
        elif word == "out":
            await self.out(int(rest[0]))
        else:
            await self.until(lambda state: state["state"] == word, words, [node.name])

    async def until(self, holds: Any, what: str, nodes: list[str] | None = None) -> None:
        await self.processes.until_all(
            lambda name, state: bool(holds(state["parts"].get("rules", {}))), 15, what, nodes or self.there)

    async def provider(self, number: int) -> str:
        assert self.stage is not None
        return self.stage.fleet.sites[0][number].name

    async def out(self, count: int) -> None:
        """As each one's own figures tell."""
        async with asyncio.timeout(10):
            for name in self.there:
                while await self.left_out(self.processes.nodes[name]) != count:
                    await asyncio.sleep(0.02)

    async def left_out(self, node: NodeProcess) -> int:
        answer = await call(node, "GET", "/stats")
        lines = answer.body.decode().splitlines() if answer is not None else []
        found = [line for line in lines if line.startswith("lb.cluster_unhealthy:")]
        return int(found[0].partition(":")[2].partition("|")[0]) if found else -1


def play(text: str, folder: Path) -> tuple[Outcome, dict[str, dict[str, Any]]]:
    drawn = drawing.read(text)
    traffic = TRAFFIC.replace("length_s = 3", f"length_s = {drawn.ends / 1000.0}")
    traffic = traffic.replace("count = 3", f"count = {len(drawn.nodes)}")
    plan = planning.plan(scenario.parse(traffic, "rules"), 3)
    key = folder / "key"
    key.write_text("a key for tests, of 16 bytes or more")
    hands = Hands()

    async def case() -> tuple[Outcome, dict[str, dict[str, Any]]]:
        with_log = together(drawn.nodes, key, tuple("abc"), membership=MEMBERSHIP, agreement=AGREEMENT)
        stage = Stage(plan, folder, drawn, weather.Weather(drawn.seed), ask=hands.asked, spoils=True,
                      fleet=lambda stage, node: with_log(stage, node) + RULES)
        hands.stage = stage
        hands.there = [name for name in drawn.nodes if name not in drawn.later]

        async def settled(processes: Processes) -> None:
            await hands.until(lambda state: state.get("state") == "leased", "all hold leases")

        try:
            outcome = await stage.perform(settled)
            states = {name: await node.state() or {} for name, node in stage.processes.nodes.items()}
            return outcome, states
        finally:
            await stage.close()

    outcome, states = asyncio.run(asyncio.wait_for(case(), 120))
    outcome.check()
    assert outcome.calls["served"] > 50
    return outcome, states


def notes(outcome: Outcome, node: str) -> list[str]:
    return [text for at, name, text in outcome.seen if name == node and at >= 0]


def test_a_change_and_a_ban_reach_all_whoever_is_asked(tmp_path: Path) -> None:
    outcome, states = play("""
nodes: a b c

ms     faults
200    ask b set 2
201    ask a all 2
400    ask c ban 1
401    ask a out 1
600    ask a back 1
601    ask b out 0
2500
""", tmp_path)
    versions = {(state["parts"]["rules"]["newest"], state["parts"]["rules"]["active"]) for state in states.values()}
    assert len(versions) == 1 and min(versions)[0] >= 3


def test_one_that_is_cut_off_becomes_narrow_and_a_change_waits_for_its_lease_alone(tmp_path: Path) -> None:
    outcome, states = play("""
nodes: a b c

ms     faults
200    cut c | a b
201    ask a set 2
202    ask c narrow
203    ask c set 3 late
1200   heal
1201   ask a all 2
4500
""", tmp_path)
    assert "narrow" in notes(outcome, "c")
    assert "narrow" not in notes(outcome, "b")
    assert {state["parts"]["rules"]["active"] for state in states.values()} == {2}


def test_one_that_wakes_after_its_lease_is_narrow_before_it_acts(tmp_path: Path) -> None:
    outcome, _ = play("""
nodes: a b c

ms     faults
200    pause b
2000   wake b
2001   ask b leased
4000
""", tmp_path)
    texts = notes(outcome, "b")
    assert "narrow" in texts
    assert any(text.startswith("rules ") for text in texts[texts.index("narrow"):])

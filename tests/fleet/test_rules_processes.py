"""Rules on processes: they are agreed on, act, narrow and widen while consumers call and faults come between.

Words of `ask`: `set N` (attempts, told 200), `set N late` (not told 200), `set N surely` (asked until told 200),
`ban P`, `back P`, `all N` (all that are there hold version N actively under a lease), `out K` (K providers are left
out, at every node), `narrow`, `leased`, `two N M` (attempts, proposed here and at the next node at once: one wins, the
other hears which), `undo N` (back to the body of version N), `ban P alone` (it can't be agreed, and acts here).
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
from limenotch.lab.model.rules import COLD
from tests.helpers.log_operators import call

from .test_log_processes import AGREEMENT, MEMBERSHIP, leader
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
            for _ in range(10 if "surely" in rest else 0):  # the same id counts once
                if status != 200:
                    status, said = await self.rules(node, "propose", change, f"set {rest[0]}")
                    await asyncio.sleep(0.1)
            assert (status == 200) == ("late" not in rest), (words, status, said)
        elif word == "two":
            await self.two(node, int(rest[0]), int(rest[1]))
        elif word == "undo":
            status, said = await self.rules(node, "back", {"to": int(rest[0])}, words)
            assert status == 200, said
        elif word == "ban" and "alone" in rest:
            status, said = await self.rules(node, "ban", {"upstream": await self.provider(int(rest[0]))}, words)
            assert status != 200 and said["text"].startswith("told, not agreed"), said
            assert await self.left_out(node) == 1
        elif word in ("ban", "back"):
            name = await self.provider(int(rest[0]))
            document: dict[str, Any] = {"upstream": name} if word == "ban" else {"upstream": name, "at_ms": 1.0}
            status, said = await self.rules(node, "ban" if word == "ban" else "return", document, words)
            assert status == 200, (words, status, said)
        elif word == "all":
            await self.until(lambda state: (state["state"], state.get("active")) == ("leased", int(rest[0])), words)
        elif word == "out":
            await self.out(int(rest[0]))
        elif word == "led":
            await self.processes.until_all(lambda name, state: leader(state) is None, 15, words, [node.name])
        else:
            await self.until(lambda state: state["state"] == word, words, [node.name])

    async def two(self, node: NodeProcess, one: int, other: int) -> None:
        state = await node.state()
        assert state is not None
        base = state["parts"]["rules"]["newest"]
        second = self.processes.nodes[self.there[(self.there.index(node.name) + 1) % len(self.there)]]
        made = [
            {"change": {"settings": {"permissions": {"max_attempts": number}}}, "base": base} for number in (one, other)
        ]
        said = await asyncio.gather(
            self.rules(node, "propose", made[0], "one"), self.rules(second, "propose", made[1], "other")
        )
        assert sorted(status for status, _ in said) == [200, 409], said
        lost = next(told for status, told in said if status == 409)
        assert lost["text"].startswith(f"version {base + 1} won"), said

    async def until(self, holds: Any, what: str, nodes: list[str] | None = None) -> None:
        await self.processes.until_all(
            lambda name, state: bool(holds(state["parts"].get("rules", {}))), 15, what, nodes or self.there
        )

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


def play(text: str, folder: Path, more: str = "", kind: str = "") -> tuple[Outcome, dict[str, dict[str, Any]]]:
    drawn = drawing.read(text)
    traffic = TRAFFIC.replace("length_s = 3", f"length_s = {drawn.ends / 1000.0}")
    traffic = traffic.replace("count = 3", f"count = {len(drawn.nodes)}")
    traffic = traffic.replace("queue = 4\n", f"queue = 4\n{kind}")
    plan = planning.plan(scenario.parse(traffic + more, "rules"), 3)
    key = folder / "key"
    key.write_text("a key for tests, of 16 bytes or more")
    hands = Hands()

    async def case() -> tuple[Outcome, dict[str, dict[str, Any]]]:
        with_log = together(drawn.nodes, key, tuple("abc"), membership=MEMBERSHIP, agreement=AGREEMENT)
        stage = Stage(
            plan,
            folder,
            drawn,
            weather.Weather(drawn.seed),
            ask=hands.asked,
            spoils=True,
            fleet=lambda stage, node: with_log(stage, node) + RULES,
        )
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
    outcome, states = play(
        """
nodes: a b c

ms     faults
200    ask b set 2
201    ask a all 2
400    ask c ban 1
401    ask a out 1
600    ask a back 1
601    ask b out 0
2500
""",
        tmp_path,
    )
    versions = {(state["parts"]["rules"]["newest"], state["parts"]["rules"]["active"]) for state in states.values()}
    assert len(versions) == 1 and min(versions)[0] >= 3


def test_one_that_is_cut_off_becomes_narrow_and_a_change_waits_for_its_lease_alone(tmp_path: Path) -> None:
    """Its lease may run out before it misses its leader, or after.

    A change that it is asked for in between waits for 3 s, and with it the heal. All are held dead by then, and all are
    narrow once they hear of that.
    """
    outcome, states = play(
        """
nodes: a b c

ms     faults
200    cut c | a b
201    ask a set 2
202    ask c narrow
203    ask c led no more
204    ask c set 3 late
1200   heal
1201   ask a all 2
4500
""",
        tmp_path,
    )
    assert "narrow" in notes(outcome, "c")
    assert "narrow" not in notes(outcome, "b")
    assert {state["parts"]["rules"]["active"] for state in states.values()} == {2}


def test_one_that_wakes_after_its_lease_is_narrow_before_it_acts(tmp_path: Path) -> None:
    outcome, _ = play(
        """
nodes: a b c

ms     faults
200    pause b
2000   wake b
2001   ask b leased
4000
""",
        tmp_path,
    )
    texts = notes(outcome, "b")
    assert "narrow" in texts
    assert any(text.startswith("rules ") for text in texts[texts.index("narrow") :])


def test_of_two_changes_at_once_one_wins_and_going_back_is_a_new_version(tmp_path: Path) -> None:
    outcome, states = play(
        """
nodes: a b c

ms     faults
200    ask b two 4 5
201    ask a all 2
400    ask c undo 1
401    ask a all 3
1500
""",
        tmp_path,
    )
    assert {state["parts"]["rules"]["newest"] for state in states.values()} == {3}


def test_a_change_outlives_its_leader_and_a_ban_in_a_cut_is_agreed_after_it(tmp_path: Path) -> None:
    outcome, states = play(
        """
nodes: a b c

ms     faults
200    ask b set 2
250    kill a
260    ask b set 4 surely
1500   start a
3000   ask c all 3
3001   cut c | a b
3002   ask c ban 1 alone
3003   ask c narrow
4000   heal
4001   ask a out 1
4002   ask a all 4
6500
""",
        tmp_path,
    )
    assert "narrow" in notes(outcome, "c")
    assert len({state["parts"]["rules"]["active"] for state in states.values()}) == 1


def test_three_divide_the_cold_budget_of_a_provider_that_restarts_twice(tmp_path: Path) -> None:
    outcome, states = play(
        """
nodes: a b c

ms     faults
100    ask a all 1
7000
""",
        tmp_path,
        """
[[fault]]
kind = "kill"
at_s = 0.5
length_s = 0.7
victims = [0]
[[fault]]
kind = "kill"
at_s = 3.5
length_s = 0.7
victims = [0]
""",
        "cold_from = 0.1\ncold_s = 4.0\n",
    )
    assert outcome.counts[COLD] == 0
    assert {state["parts"]["rules"]["parts"] for state in states.values()} == {3}

"""Rules on processes: they are agreed on, applied, narrowed and widened while clients send requests and faults occur.

Words of `ask`: `set N` (attempts, answered 200), `set N late` (not answered 200), `set N surely` (repeated until
answered 200), `ban P`, `back P`, `all N` (all running nodes use version N, active, under a lease), `out K` (K endpoints
are left out, at every node), `narrow`, `leased`, `two N M` (attempts, proposed here and at the next node at once: one
wins, the other is told which), `undo N` (restore version N), `ban P alone` (it can't be agreed on, and applies here).
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from limenotch.lab import planning, scenario
from limenotch.lab.fleet import drawing, weather
from limenotch.lab.fleet.processes import NodeProcess, Processes
from limenotch.lab.fleet.stage import Outcome, Stage, relayed_fleet_settings
from limenotch.lab.model.rules import COLD
from tests.helpers.log_operators import call

from .test_log_processes import AGREEMENT, MEMBERSHIP, leader
from .test_processes import TRAFFIC

RULES_TABLE = "\n[fleet.rules]\nlease_ms = 900.0\ndrift = 0.02\ngrace_ms = 200.0\nask_ms = 3000.0\ncheck_ms = 400.0\n"


class Operators:
    """Operators of a stage; each `ask` of a timeline is one request of theirs."""

    def __init__(self) -> None:
        self.stage: Stage | None = None
        self.running: list[str] = []

    @property
    def processes(self) -> Processes:
        assert self.stage is not None
        return self.stage.processes

    async def request(self, node: NodeProcess, what: str, document: dict[str, Any], ident: str) -> tuple[int, Any]:
        body = json.dumps({"what": what, "document": document, "id": ident}).encode()
        answer = await call(node, "POST", "/fleet/rules", body)
        assert answer is not None, f"{node.name}: no answer to {what}"
        return answer.status, json.loads(answer.body)

    async def execute(self, node: NodeProcess, words: str) -> None:
        command, *arguments = words.split()
        if command == "set":
            change = {"change": {"settings": {"permissions": {"max_attempts": int(arguments[0])}}}}
            status, response = await self.request(node, "propose", change, f"set {arguments[0]}")
            for _ in range(10 if "surely" in arguments else 0):  # the same id counts once
                if status != 200:
                    status, response = await self.request(node, "propose", change, f"set {arguments[0]}")
                    await asyncio.sleep(0.1)
            assert (status == 200) == ("late" not in arguments), (words, status, response)
        elif command == "two":
            await self.propose_two(node, int(arguments[0]), int(arguments[1]))
        elif command == "undo":
            status, response = await self.request(node, "back", {"to": int(arguments[0])}, words)
            assert status == 200, response
        elif command == "ban" and "alone" in arguments:
            status, response = await self.request(
                node, "ban", {"upstream": await self.endpoint_name(int(arguments[0]))}, words
            )
            assert status != 200 and response["text"].startswith("told, not agreed"), response
            assert await self.left_out_count(node) == 1
        elif command in ("ban", "back"):
            name = await self.endpoint_name(int(arguments[0]))
            document: dict[str, Any] = {"upstream": name} if command == "ban" else {"upstream": name, "at_ms": 1.0}
            status, response = await self.request(node, "ban" if command == "ban" else "return", document, words)
            assert status == 200, (words, status, response)
        elif command == "all":
            await self.wait_until(
                lambda state: (state["state"], state.get("active")) == ("leased", int(arguments[0])), words
            )
        elif command == "out":
            await self.wait_left_out(int(arguments[0]))
        elif command == "led":
            await self.processes.wait_until_all(lambda name, state: leader(state) is None, 15, words, [node.name])
        else:
            await self.wait_until(lambda state: state["state"] == command, words, [node.name])

    async def propose_two(self, node: NodeProcess, first: int, second: int) -> None:
        state = await node.fleet_status()
        assert state is not None
        base = state["parts"]["rules"]["newest"]
        peer = self.processes.nodes[self.running[(self.running.index(node.name) + 1) % len(self.running)]]
        documents = [
            {"change": {"settings": {"permissions": {"max_attempts": number}}}, "base": base}
            for number in (first, second)
        ]
        responses = await asyncio.gather(
            self.request(node, "propose", documents[0], "one"), self.request(peer, "propose", documents[1], "other")
        )
        assert sorted(status for status, _ in responses) == [200, 409], responses
        loser = next(response for status, response in responses if status == 409)
        assert loser["text"].startswith(f"version {base + 1} won"), responses

    async def wait_until(self, condition: Any, what: str, nodes: list[str] | None = None) -> None:
        await self.processes.wait_until_all(
            lambda name, state: bool(condition(state["parts"].get("rules", {}))), 15, what, nodes or self.running
        )

    async def endpoint_name(self, number: int) -> str:
        assert self.stage is not None
        return self.stage.fleet.sites[0][number].name

    async def wait_left_out(self, count: int) -> None:
        """By each node's own metrics."""
        async with asyncio.timeout(10):
            for name in self.running:
                while await self.left_out_count(self.processes.nodes[name]) != count:
                    await asyncio.sleep(0.02)

    async def left_out_count(self, node: NodeProcess) -> int:
        answer = await call(node, "GET", "/stats")
        lines = answer.body.decode().splitlines() if answer is not None else []
        matches = [line for line in lines if line.startswith("lb.cluster_unhealthy:")]
        return int(matches[0].partition(":")[2].partition("|")[0]) if matches else -1


def play(
    text: str, folder: Path, faults: str = "", endpoint_keys: str = ""
) -> tuple[Outcome, dict[str, dict[str, Any]]]:
    timeline = drawing.parse_timeline(text)
    traffic = TRAFFIC.replace("length_s = 3", f"length_s = {timeline.end_ms / 1000.0}")
    traffic = traffic.replace("count = 3", f"count = {len(timeline.nodes)}")
    traffic = traffic.replace("queue = 4\n", f"queue = 4\n{endpoint_keys}")
    plan = planning.plan(scenario.parse(traffic + faults, "rules"), 3)
    key_file = folder / "key"
    key_file.write_text("a key for tests, of 16 bytes or more")
    operators = Operators()

    async def case() -> tuple[Outcome, dict[str, dict[str, Any]]]:
        fleet_settings = relayed_fleet_settings(
            timeline.nodes, key_file, tuple("abc"), membership=MEMBERSHIP, agreement=AGREEMENT
        )
        stage = Stage(
            plan,
            folder,
            timeline,
            weather.NetworkConditions(timeline.seed),
            handle_request=operators.execute,
            faulty_disks=True,
            fleet_settings=lambda stage, node: fleet_settings(stage, node) + RULES_TABLE,
        )
        operators.stage = stage
        operators.running = [name for name in timeline.nodes if name not in timeline.started_later]

        async def leases_held(processes: Processes) -> None:
            await operators.wait_until(lambda state: state.get("state") == "leased", "all hold leases")

        try:
            outcome = await stage.run_timeline(leases_held)
            states = {name: await node.fleet_status() or {} for name, node in stage.processes.nodes.items()}
            return outcome, states
        finally:
            await stage.close()

    outcome, states = asyncio.run(asyncio.wait_for(case(), 120))
    outcome.check()
    assert outcome.calls["served"] > 50
    return outcome, states


def log_lines(outcome: Outcome, node: str) -> list[str]:
    return [text for at_ms, name, text in outcome.observed_lines if name == node and at_ms >= 0]


def test_a_change_and_an_ejection_reach_all_whichever_sidecar_gets_them(tmp_path: Path) -> None:
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


def test_an_isolated_sidecar_becomes_restricted_and_a_change_waits_only_for_its_lease(tmp_path: Path) -> None:
    """Its lease may expire before it notices that its leader is missing, or after.

    A change that it is asked for in between waits for 3 s, and with it the heal. By then all members are considered
    dead by each other, and all are restricted once they learn that.
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
    assert "narrow" in log_lines(outcome, "c")
    assert "narrow" not in log_lines(outcome, "b")
    assert {state["parts"]["rules"]["active"] for state in states.values()} == {2}


def test_a_sidecar_that_wakes_after_its_lease_is_restricted_at_once(tmp_path: Path) -> None:
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
    texts = log_lines(outcome, "b")
    assert "narrow" in texts
    assert any(text.startswith("rules ") for text in texts[texts.index("narrow") :])


def test_of_two_concurrent_changes_one_wins_and_restoring_is_a_new_version(tmp_path: Path) -> None:
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


def test_a_change_survives_its_leader_and_an_ejection_in_a_partition_is_agreed_on_after_it(tmp_path: Path) -> None:
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
    assert "narrow" in log_lines(outcome, "c")
    assert len({state["parts"]["rules"]["active"] for state in states.values()}) == 1


def test_three_sidecars_divide_the_slow_start_allowance_of_an_endpoint_that_restarts_twice(tmp_path: Path) -> None:
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

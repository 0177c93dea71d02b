"""The log on real processes: operators store and read notes, clients send requests, and faults occur meanwhile.

Each run checks what operators were answered and find at the end (`helpers/log_operators.py`), the rules for requests,
and that nothing crashed. `a` leads when a timeline begins: it bootstraps the group as the first voter by name.

Words of `ask`: `keep X` (answered 200), `no X` (not answered 200), `in time X` (repeated until answered 200), `read X`
(found), `leads` (a leader is known here), `tear` (appends bytes of a record without its end to the log of a stopped
process), `put X for Y` (X becomes a voter instead of Y).
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
from tests.helpers.log_operators import Operators, call

from .test_processes import TRAFFIC

MEMBERSHIP = {"period_ms": 400.0, "timeout_ms": 120.0}
AGREEMENT = {
    "heartbeat_ms": 80.0,
    "election_least_ms": 500.0,
    "election_most_ms": 900.0,
    "learner_ms": 300.0,
    "retry_ms": 100.0,
    "ask_ms": 2000.0,
    "snapshot_entries": 40,
    "tail_entries": 10,
}


class PlayedRun:
    def __init__(self, outcome: Outcome, operators: Operators, states: dict[str, dict[str, Any]]) -> None:
        self.outcome, self.operators, self.states = outcome, operators, states

    def log_lines(self, node: str) -> list[str]:
        return [text for at, name, text in self.outcome.observed_lines if name == node and at >= 0]


def play(text: str, folder: Path, voters: str = "abc", without_folder: str = "") -> PlayedRun:
    timeline = drawing.parse_timeline(text)
    traffic = TRAFFIC.replace("length_s = 3", f"length_s = {timeline.end_ms / 1000.0}")
    traffic = traffic.replace("count = 3", f"count = {len(timeline.nodes)}")
    plan = planning.plan(scenario.parse(traffic, "log"), 3)
    key = folder / "key"
    key.write_text("a key for tests, of 16 bytes or more")

    async def case() -> PlayedRun:
        async def ask(node: NodeProcess, words: str) -> None:
            await carry_out(operators, node, words)

        with_folder = relayed_fleet_settings(
            timeline.nodes, key, tuple(voters), membership=MEMBERSHIP, agreement=AGREEMENT
        )

        def fleet(stage: Stage, node: NodeProcess) -> str:
            lines = with_folder(stage, node).splitlines(keepends=True)
            return "".join(line for line in lines if node.name not in without_folder or not line.startswith("folder"))

        stage = Stage(
            plan,
            folder,
            timeline,
            weather.NetworkConditions(timeline.seed),
            handle_request=ask,
            faulty_disks=True,
            fleet_settings=fleet,
        )
        operators = Operators(stage.processes)

        async def leader_elected(processes: Processes) -> None:
            running_nodes = [name for name in timeline.nodes if name not in timeline.started_later]
            await processes.wait_until_all(lambda name, state: leader(state) == "a", 20, "a leads", running_nodes)
            operators.begin(timeline.nodes)

        try:
            outcome = await stage.run_timeline(leader_elected)
            await operators.end()
            await operators.check(timeline.nodes)
            states = {name: await node.fleet_status() or {} for name, node in stage.processes.nodes.items()}
            return PlayedRun(outcome, operators, states)
        finally:
            await operators.end()
            await stage.close()

    played = asyncio.run(asyncio.wait_for(case(), 120))
    played.outcome.check()
    counts = played.operators.count()
    assert counts[200] > 20 and counts[409] == 0 and played.outcome.calls["served"] > 80
    return played


def leader(state: dict[str, Any]) -> Any:
    return state["parts"]["agreement"].get("leader")


async def carry_out(operators: Operators, node: NodeProcess, words: str) -> None:
    command, _, argument = words.partition(" ")
    if command == "keep":
        response = await operators.keep(node.name, argument)
        assert response.status == 200, response
    elif command == "no":
        response = await operators.keep(node.name, argument)
        assert response.status in (503, 504), response
    elif command == "in":
        await operators.keep_until_confirmed(node.name, argument.removeprefix("time "))
    elif command == "read":
        response = await operators.read(node.name, argument)
        assert (response.status, response.body) == (200, f"why {argument}".encode()), response
    elif command == "leads":
        await operators.processes.wait_until_all(
            lambda name, state: leader(state) is not None, 15, "a leader", [node.name]
        )
    elif command == "tear":
        last = max(node.data.glob("log-*"))
        with last.open("ab") as file:
            file.write(last.read_bytes()[-60:-7])
    elif command == "put":
        added, _, removed = argument.partition(" for ")
        body = json.dumps({"add": added, "remove": removed}).encode()
        answer = await call(node, "POST", "/fleet/voters", body)
        assert answer is not None and answer.status in (200, 504), answer

        def votes(name: str, state: dict[str, Any]) -> bool:
            voters = state["parts"]["agreement"]["voters"]
            return added in voters and removed not in voters

        await operators.processes.wait_until_all(votes, 15, f"{added} votes", [node.name])
    else:
        raise AssertionError(words)


def test_leader_loses_its_disk_right_after_a_commit_and_returns_empty(tmp_path: Path) -> None:
    played = play(
        """
nodes: a b c

ms     faults
300    ask a keep x
301    wipe a
302    ask b leads
303    ask b in time y
304    ask b read x, ask c read x
1500   start a
3500
""",
        tmp_path,
    )
    voters = {tuple(state["parts"]["agreement"]["voters"]) for state in played.states.values()}
    assert voters == {("a", "b", "c")}


def test_leader_is_paused_for_three_seconds_and_resumes(tmp_path: Path) -> None:
    played = play(
        """
nodes: a b c

ms     faults
300    ask a keep x
301    pause a
1500   ask b in time y
1600   ask c read x
3301   wake a
4200   ask a in time z
5000
""",
        tmp_path,
    )
    assert "no leader" in played.log_lines("a") or any(note.startswith("follows") for note in played.log_lines("a"))


def test_isolated_leader_commits_nothing_and_the_other_voters_do(tmp_path: Path) -> None:
    play(
        """
nodes: a b c

ms     faults
300    cut a | b c
301    ask a no x
302    ask b in time y
303    ask c read y
2800   heal
2801   ask a in time z
4500
""",
        tmp_path,
    )


def test_leader_whose_messages_are_lost_and_leader_that_receives_none(tmp_path: Path) -> None:
    play(
        """
nodes: a b c

ms     faults
300    cut a > b c
301    ask b in time x
302    ask c read x
2200   heal
2201   ask a in time y
2300   cut b c > a
2301   ask c in time z
4500   heal
5500
""",
        tmp_path,
    )


def test_all_voters_restart_at_once_one_with_a_torn_log(tmp_path: Path) -> None:
    played = play(
        """
nodes: a b c

ms     faults
300    ask c keep x
301    kill a b c
302    ask b tear
400    start a b c
2500   ask b in time y
2501   ask a read x, ask c read x
3500
""",
        tmp_path,
    )
    log = (tmp_path / "b" / "b.log").read_text()
    assert log.count("truncated incomplete records at the end of the log") == 1
    assert played.operators.count()[None] > 0


def test_full_disk_is_refused_clearly_and_requests_are_still_served(tmp_path: Path) -> None:
    played = play(
        """
nodes: a b c

ms     faults
200    disk b full
201    ask c keep x
900    ask b in time u
1000   disk b ok
1500   disk a full
1501   ask b in time y
2200   disk b full, disk c full
2201   ask a no z
2202   ask b no z, ask c no z
3000   disk a ok, disk b ok, disk c ok
3001   ask a in time w
4000
""",
        tmp_path,
    )
    for node in "abc":
        assert {"disk full", "disk full no more"} <= set(played.log_lines(node))
    refused = [response for response in played.operators.calls if response.note_id == "z"]
    assert any(b"disk full" in response.body for response in refused) and {response.status for response in refused} <= {
        503,
        504,
    }


def test_one_voter_of_five_nodes_is_replaced_under_load_and_one_node_has_no_folder(tmp_path: Path) -> None:
    played = play(
        """
nodes: a b c d e

ms     faults
300    ask b keep x
301    ask b put d for c
302    wipe c
303    ask d in time y
304    ask e read y
1000   start c
2200   ask c in time z
3200
""",
        tmp_path,
        without_folder="e",
    )
    assert played.states["e"]["parts"]["agreement"]["store"] == "memory"
    assert played.states["e"]["parts"]["agreement"]["snapshot"] > 0
    voters = {tuple(state["parts"]["agreement"]["voters"]) for state in played.states.values()}
    assert voters == {("a", "b", "d")}

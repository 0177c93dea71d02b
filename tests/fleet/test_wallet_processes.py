"""Wallets on real processes: all members spend credit and never overspend, while clients send requests and faults
occur.

Each run is judged four times: by the timeline's words, the rules for requests, the checker of
`helpers/wallet_clients.py`, and what the test looks for in clients' responses. `ann` and `bob` have wallets, `cid` has
none; bob has credit for the whole run and must not be affected by ann's. Words of `ask`: `pay T N I` (N units under the
id I, answered 200 and added), `again T N I` (answered 200, counted before), `other T N I` (409), `late T N I` (not
answered 200), `dry T` (all is spent), `spends T` (this node has served T since), `resumes T` (each node has served T
since; it is sent requests until then), `leased`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

import msgspec

from limenotch.fleet.wallet.tuning import Tuning
from limenotch.lab import planning, scenario
from limenotch.lab.fleet import drawing, weather
from limenotch.lab.fleet.processes import NodeProcess, NotReachedError, Processes
from limenotch.lab.fleet.stage import Outcome, relayed_fleet_settings
from tests.helpers.wallet_clients import COST, ClientResponse, PayingStage, Reading

from .test_log_processes import AGREEMENT, MEMBERSHIP, leader
from .test_processes import TRAFFIC

WALLET = {
    "tenants": ["ann", "bob"],
    "lease_ms": 600.0,
    "slice_ms": 600.0,
    "least_slice": 5,
    "record_ms": 40.0,
    "idle_ms": 700.0,
    "retry_after_ms": 300.0,
    "ask_ms": 3000.0,
}
TUNING = msgspec.convert(WALLET, Tuning)
DEAREST = max(COST.values())
FIRST_ALLOCATIONS_MS = 700.0  # each sidecar has its first allocations by then
CLOCK_RESOLUTION_MS = 50.0  # resolution of this test's own clock
COMMIT_MS = 300.0  # what a commit, a message and a busy machine may take beside the wallet's own times
LEADERLESS_MS = AGREEMENT["election_least_ms"]  # a leader without contact for so long knows that it has no followers
ELECTION_MS = AGREEMENT["election_most_ms"] * 1.5
ACCOUNTS = "".join(f'[[account]]\nname = "{name}"\nshare = 1\n' for name in ("ann", "bob", "cid"))
BOB_CREDIT = 100_000
MAX_RUNS, LATE_TIMERS_MS = 3, 60.0


class CompletedRun:
    def __init__(self, stage: PayingStage, outcome: Outcome, ends: dict[str, Reading], states: dict[str, Any]) -> None:
        self.stage, self.outcome, self.ends, self.states = stage, outcome, ends, states

    def fault_at_ms(self, number: int) -> float:
        """Time of the fault with that number in the timeline."""
        return self.outcome.fault_times_ms[number]

    def log_texts(self, node: str) -> list[str]:
        return [text for at_ms, name, text in self.outcome.observed_lines if name == node and at_ms >= 0]

    def statuses(self, tenant: str, node: str, since_ms: float, until_ms: float = 1e12) -> set[int | None]:
        return {response.status for response in self.stage.answered(tenant, node, since_ms, until_ms)}

    def max_overcounted(self, tenant: str) -> int:
        """What may count as spent though no client was served: a step for each allocation that expired, and requests
        whose client did not wait.
        """
        texts = {node: [text.split() for text in self.log_texts(node)] for node in self.states}
        expired = max(
            sum(words[0] in ("back", "lost") and words[1] == tenant for words in words_by_line)
            for words_by_line in texts.values()
        )
        sizes = [
            int(words[2])
            for words_by_line in texts.values()
            for words in words_by_line
            if words[:2] == ["holds", tenant]
        ]
        broken = sum(response.cost for response in self.stage.answered(tenant) if response.status is None)
        unawaited = DEAREST * (self.outcome.calls["timed out"] + self.outcome.excused)
        return TUNING.step_of(max(sizes), DEAREST) * expired + broken + unawaited

    def first_served(self, tenant: str, node: str, since_ms: float) -> ClientResponse:
        served = self.stage.served(tenant, node, since_ms)
        assert served, f"{node} does not serve {tenant} since {since_ms:.0f}"
        return served[0]


class TimelineOperator:
    """Carries out each `ask` of a timeline on its stage."""

    stage: PayingStage

    async def handle_ask(self, node: NodeProcess, words: str) -> None:
        word, *arguments = words.split()
        if word in ("pay", "again", "other", "late"):
            status, reply = await self.stage.add(node, arguments[0], int(arguments[1]), arguments[2])
            expected = {"pay": (200, False), "again": (200, True), "other": (409, None)}
            if word == "late":
                assert status in (503, 504), (words, status, reply)
            else:
                assert (status, reply.get("counted")) == expected[word], (words, status, reply)
        elif word == "dry":
            async with asyncio.timeout(15):
                while (wallet := await self.stage.wallet(node, arguments[0])) is None or wallet.left or wallet.held:
                    await asyncio.sleep(0.02)
            self.stage.empty_readings.append(wallet)
        elif word == "spends":
            since_ms = self.stage.clock()
            await self.stage.processes.wait_until(
                lambda: bool(self.stage.served(arguments[0], node.name, since_ms)), 15, words
            )
        elif word == "resumes":
            async with asyncio.timeout(15):
                nodes = self.stage.timeline.nodes
                await asyncio.gather(*(self.stage.send_until_served(name, arguments[0]) for name in nodes))
        else:
            await self.stage.processes.wait_until_all(is_leased, 15, words, [node.name])


def is_leased(name: str, state: dict[str, Any]) -> bool:
    return bool(state["parts"].get("wallet", {}).get("state") == "leased")


def play(
    text: str, folder: Path, judge: Callable[[CompletedRun], None], error_rate: float = 0.0, **overrides: Any
) -> None:
    """One run, and `judge` of it. Repeated, MAX_RUNS at most, if it failed while the host's own timers were late by
    LATE_TIMERS_MS or more, which says something of the machine, or if it did not start: another process took a port
    that was free. What the checker finds counts whatever the timers were.
    """
    for number in range(MAX_RUNS):
        run_folder = folder / str(number)
        run_folder.mkdir()
        late_timers_ms: list[float] = []
        try:
            judge(
                asyncio.run(
                    asyncio.wait_for(_complete_run(text, run_folder, late_timers_ms, error_rate, overrides), 60)
                )
            )
            return
        except (AssertionError, TimeoutError, NotReachedError):
            if max(late_timers_ms, default=0.0) < LATE_TIMERS_MS or number == MAX_RUNS - 1:
                raise


async def _complete_run(
    text: str, folder: Path, late_timers_ms: list[float], error_rate: float, overrides: dict[str, Any]
) -> CompletedRun:
    timeline = drawing.parse_timeline(text)
    traffic = (
        TRAFFIC.replace("length_s = 3", f"length_s = {timeline.end_ms / 1000.0}")
        .replace("rate_per_s = 60", "rate_per_s = 150")
        .replace('name = "k"', f'name = "k"\nerror_rate = {error_rate}')
    )
    traffic = traffic.replace("count = 3", f"count = {len(timeline.nodes)}") + ACCOUNTS
    key = folder / "key"
    key.write_text("a key for tests, of 16 bytes or more")
    operator = TimelineOperator()
    table = {**WALLET, **overrides}
    costs = "\n[fleet.wallet.cost]\n" + "".join(f"{name} = {units}\n" for name, units in COST.items())
    fleet = relayed_fleet_settings(
        timeline.nodes, key, tuple("abc"), membership=MEMBERSHIP, agreement=AGREEMENT, wallet=table
    )
    stage = operator.stage = PayingStage(
        planning.plan(scenario.parse(traffic, "wallet"), 3),
        folder,
        timeline,
        weather.NetworkConditions(timeline.seed),
        handle_request=operator.handle_ask,
        faulty_disks=True,
        fleet_settings=lambda stage, node: fleet(stage, node) + costs,
    )

    async def start(processes: Processes) -> None:
        await processes.wait_until_all(
            lambda name, state: leader(state) == "a" and is_leased(name, state), 20, "a leads, all have leases"
        )
        assert (await stage.add(processes.nodes["a"], "bob", BOB_CREDIT, "bob"))[0] == 200
        stage.begin()

    try:
        outcome = await stage.run_timeline(start)
        ends = await stage.audit(len(timeline.nodes) * table.get("advance", 0))
        states = {name: await node.fleet_status() or {} for name, node in stage.processes.nodes.items()}
        outcome.check()
        assert len(stage.served("cid")) > 50 and len(stage.served("bob")) > 50
        assert not any(state["off"] for state in states.values() if state)
        return CompletedRun(stage, outcome, ends, states)
    finally:
        late_timers_ms.append(stage.late_ms if stage.timeline_start_ms is not None else inf)
        for node in stage.processes.nodes.values():
            node.kill()  # their shutdown is not part of the test
        await stage.close()


def test_credit_is_spent_at_all_counted_once_runs_dry_and_resumes_and_the_leader_dies(tmp_path: Path) -> None:
    def judge(completed: CompletedRun) -> None:
        stage, ends = completed.stage, completed.ends
        credited_ms, added_ms, killed_ms = completed.fault_at_ms(0), completed.fault_at_ms(4), completed.fault_at_ms(8)
        assert ends["ann"].credit == 1060
        assert {response.node for response in stage.served("ann", since_ms=credited_ms, until_ms=added_ms)} == {
            "a",
            "b",
            "c",
        }
        # Nothing left: from then on it takes so long until all reject it, and no other tenant is rejected. The reader
        # may have read no node in the moment between that and the next credit; the operator did.
        readings = [*stage.readings, *stage.empty_readings]
        emptied_ms = min(
            response.at_ms
            for response in readings
            if response.tenant == "ann" and response.credit and not response.left
        )
        first_rejection_ms = next(
            response.at_ms for response in stage.answered("ann", since_ms=credited_ms) if response.status == 429
        )
        last_served_ms = stage.served("ann", until_ms=added_ms)[-1].asked_ms
        assert last_served_ms - max(emptied_ms, first_rejection_ms) <= TUNING.pause_ms + COMMIT_MS
        assert sum(response.cost for response in stage.served("ann", until_ms=added_ms)) == 60
        assert completed.statuses("bob", "", FIRST_ALLOCATIONS_MS, completed.fault_at_ms(7)) <= {200}
        for node in "abc":
            assert completed.first_served("ann", node, added_ms).asked_ms - added_ms <= TUNING.resume_ms + COMMIT_MS
        for tenant in ("ann", "bob"):
            for node in "bc":
                # A new leader waits for leases that the old one may have granted; existing allocations are spent
                # meanwhile.
                after = killed_ms + ELECTION_MS + TUNING.max_lease_ms
                assert completed.statuses(tenant, node, after) <= {200}, (tenant, node)
                assert completed.first_served(tenant, node, after)

    play(
        """
nodes: a b c

ms     faults
300    ask b pay ann 60 one
301    ask c again ann 60 one
302    ask a other ann 50 one
303    ask a dry ann
304    ask c pay ann 1000 two
1500   ask a spends ann
1501   ask b spends ann
1502   ask c spends ann
2900   kill a
5800
""",
        tmp_path,
        judge,
    )


def test_paused_holder_stops_after_its_lease_and_dead_holders_units_return(tmp_path: Path) -> None:
    def judge(completed: CompletedRun) -> None:
        stage, end = completed.stage, completed.ends["ann"]
        paused_ms, credited_ms = completed.fault_at_ms(1), completed.fault_at_ms(5)
        assert stage.served("ann", "b", until_ms=paused_ms) and stage.served("ann", "c", since_ms=credited_ms)
        assert not stage.served("ann", "b", paused_ms + 1.0, credited_ms)
        assert completed.statuses("ann", "b", paused_ms + 1.0, credited_ms) == {
            429
        }  # also the requests that arrived before it woke
        assert completed.first_served("ann", "b", credited_ms)
        assert (end.credit, end.spent, end.left, end.held) == (230, 230, 0, 0)
        returned = [
            (seen.node, seen.text.split()[0], seen.fields["of"])
            for seen in stage.processes.observed_lines()
            if seen.text.split()[:2] in (["back", "ann"], ["lost", "ann"])
        ]
        assert {("a", "back", "b"), ("a", "back", "c")} <= set(returned) and not [
            line for line in returned if line[1] == "lost"
        ]
        assert end.spent - stage.units("ann") <= completed.max_overcounted("ann")

    play(
        """
nodes: a b c

ms     faults
300    ask a pay ann 90 one
800    pause b
801    ask a dry ann
802    wake b
803    ask b leased
3200   ask c pay ann 140 two
3900   kill c
3901   ask a dry ann
6800
""",
        tmp_path,
        judge,
    )


NO_QUORUM = """
nodes: a b c

ms     faults
300    ask a pay ann 2000 one
1200   cut a | b | c
1300   ask b late ann 5 two
4200   heal
4201   ask a leased
4202   ask b leased
4203   ask c leased
5800
"""


def test_without_a_quorum_spending_stops_at_lease_expiry(tmp_path: Path) -> None:
    def judge(completed: CompletedRun) -> None:
        stage, cut_ms, healed_ms = completed.stage, completed.fault_at_ms(1), completed.fault_at_ms(3)
        expired_ms = cut_ms + LEADERLESS_MS + TUNING.lease_ms + CLOCK_RESOLUTION_MS
        for node in "abc":
            assert stage.served("ann", node, cut_ms, expired_ms) and stage.served("cid", node, expired_ms, healed_ms)
            for tenant in ("ann", "bob"):
                assert completed.statuses(tenant, node, expired_ms, healed_ms) == {429}
                assert (
                    completed.first_served(tenant, node, healed_ms).asked_ms
                    <= healed_ms + ELECTION_MS + TUNING.max_lease_ms + COMMIT_MS
                )

    play(NO_QUORUM, tmp_path, judge)


def test_without_a_quorum_an_advance_is_served_and_recorded_later(tmp_path: Path) -> None:
    advance = 10

    def judge(completed: CompletedRun) -> None:
        stage, cut_ms, healed_ms = completed.stage, completed.fault_at_ms(1), completed.fault_at_ms(3)
        expired_ms = cut_ms + LEADERLESS_MS + TUNING.lease_ms + CLOCK_RESOLUTION_MS
        for node in "abc":
            for tenant in ("ann", "bob"):
                assert sum(response.cost for response in stage.served(tenant, node, expired_ms, healed_ms)) <= advance
                assert completed.statuses(tenant, node, healed_ms - 300.0, healed_ms) == {429}
                assert (
                    completed.first_served(tenant, node, healed_ms).asked_ms
                    <= healed_ms + ELECTION_MS + TUNING.max_lease_ms + COMMIT_MS
                )
            assert completed.states[node]["parts"]["wallet"]["purse"]["counts"]["advanced"] > 2 * (advance - DEAREST)
        for tenant in ("ann", "bob"):  # all is recorded, and nothing twice
            end = completed.ends[tenant]
            assert stage.units(tenant) <= end.spent <= stage.units(tenant) + completed.max_overcounted(tenant)

    play(NO_QUORUM, tmp_path, judge, without_lease="advance", advance=advance)


def test_failed_requests_are_free_and_retries_and_hedges_cost_once(tmp_path: Path) -> None:
    def judge(completed: CompletedRun) -> None:
        stage, added_ms = completed.stage, completed.fault_at_ms(5)
        assert {status.node for status in stage.served("ann", until_ms=added_ms)} == set("abcde")
        repeated, calls = stage.record.tiers[0].again, completed.outcome.calls
        assert repeated > 20 and calls["failed"] > 5, (repeated, calls)
        for tenant in ("ann", "bob"):
            end = completed.ends[tenant]
            assert not any(text.startswith(("back", "lost")) for node in "abcde" for text in completed.log_texts(node))
            assert stage.units(tenant) <= end.spent <= stage.units(tenant) + completed.max_overcounted(tenant)
        wallet_status = [state["parts"]["wallet"]["calls"] for state in completed.states.values()]
        assert sum(status["given_back"] for status in wallet_status) > 5 and not any(
            status["reserved"] for status in wallet_status
        )
        assert sum(status["charged"] for status in wallet_status) == sum(end.spent for end in completed.ends.values())
        for node in "abcde":
            assert completed.first_served("ann", node, added_ms).asked_ms - added_ms <= TUNING.resume_ms + COMMIT_MS

    play(
        """
nodes: a b c d e

ms     faults
300    ask d pay ann 60 one
301    ask e again ann 60 one
302    ask b spends ann
303    ask e spends ann
304    ask a dry ann
305    ask e pay ann 1000 two
306    ask e resumes ann
5600
""",
        tmp_path,
        judge,
        error_rate=0.2,
    )

"""Runs expected timelines of the wallet on simulated members, operators and clients.

The first three nodes vote on the log.

| `ask a ...` | what | log lines |
| --- | --- | --- |
| `credit t1 100 x` | an operator adds credit with the id `x` | `done`, `counted`, `refused`, `unknown` |
| `show t1` | an operator requests the wallet's totals | `t1: credit 100; spent 40; left 60` |
| `calls t1 50` | clients send 50 per s, evenly, from now on; 0: none | `serves t1`, `turns away t1` on a change |
| `at_once t1 30 400` | clients send 30 requests at once, each ends after 400 ms | `takes 20 of 30` |

A request that was admitted is charged after 20 ms by default. In the head, `advance` lets sidecars without a lease
spend that much in advance; `least` is `least_slice`, `span` is `slice_ms`. Each run is checked by checks_wallet.
"""

from __future__ import annotations

from typing import Any

import msgspec

from limenotch.fleet import consensus
from limenotch.fleet.membership import Tuning as MembershipTuning
from limenotch.fleet.wallet.tuning import Tuning
from limenotch.lab.fleet.comparing import compare_exactly
from limenotch.lab.fleet.drawing import ExpectedTimeline
from limenotch.lab.fleet.faults import Fault, ScriptedRequest
from limenotch.lab.fleet.scenario import Outcome
from limenotch.lab.fleet.wallet_run import ClientRequest, RequestBurst, Run

TUNING = Tuning(
    lease_ms=900,
    drift=0.02,
    slice_ms=500,
    least_slice=10,
    record_ms=100,
    idle_ms=1000,
    ask_ms=3000,
    retry_after_ms=1000,
)
LOG_TUNING = consensus.Tuning(
    heartbeat_ms=50,
    election_least_ms=200,
    election_most_ms=400,
    learner_ms=200,
    learner_batch_ms=10,
    retry_ms=100,
    ask_ms=1000,
)
MEMBERSHIP_TUNING = MembershipTuning(period_ms=300, timeout_ms=60, gossip_ms=20)


def create_run(scenario: ExpectedTimeline) -> Run:
    """The simulated fleet with the settings in the timeline's head."""
    changes: dict[str, Any] = {}
    if "advance" in scenario.header:
        changes.update(without_lease="advance", advance=int(scenario.number("advance", 0)))
    changes["least_slice"] = int(scenario.number("least", TUNING.least_slice))
    changes["slice_ms"] = scenario.number("span", TUNING.slice_ms)
    tuning = msgspec.structs.replace(TUNING, **changes)
    return Run(
        scenario.nodes, tuple(scenario.nodes[:3]), tuning, log_tuning=LOG_TUNING, member_tuning=MEMBERSHIP_TUNING
    )


def _handle_ask(run: Run, node: str, words: str) -> None:
    word, tenant, *rest = words.split()
    if word == "credit":
        run.operator_request(node, "add", tenant, int(rest[0]), rest[1])
    elif word == "show":
        run.operator_request(node, "show", tenant)
    elif word == "calls":
        run.send_stream(node, tenant, float(rest[0]))
    elif word == "at_once":
        count, duration_ms = int(rest[0]), float(rest[1])
        run.request_count += count
        run.world.deliver_event(
            node,
            RequestBurst(
                tuple(
                    ClientRequest(run.request_count - number, tenant, duration_ms=duration_ms)
                    for number in range(count)
                )
            ),
        )
    else:
        raise ValueError(f"unknown request: {words!r}")


def _apply_fault(run: Run, fault: Fault) -> None:
    if isinstance(fault, ScriptedRequest):
        _handle_ask(run, fault.node, fault.words)
    else:
        run.fault(str(fault))


def outcome(scenario: ExpectedTimeline, judge: bool = True) -> Outcome:
    """Runs the timeline. AssertionError if it differs from what is expected and `judge` is set, or if the checker finds
    a fault.
    """
    run = create_run(scenario)
    run.begin(
        scenario.seed,
        started_later=scenario.started_later,
        drift_ppm=scenario.number("drift", 0.0),
        delay_ms=scenario.number("delay", 1.0),
        fsync_ms=scenario.number("fsync", 2.0),
    )
    for at_ms, fault in scenario.faults:
        run.world.kernel.schedule(float(at_ms), _apply_fault, run, fault)
    run.world.run(scenario.end_ms + 0.4999)
    seen = [(note.at_ms, note.node, note.text) for note in run.world.observed_lines]
    result = Outcome(scenario, run.world, scenario.compared_entries(seen), compare_exactly(scenario, seen))
    if judge and result.difference is not None:
        raise AssertionError(f"{result.difference}\n\nThe timeline as it occurred:\n\n{result.format_observed()}")
    return result

"""Nodes and requests for the log's expected timelines (tests/fleet/drawings/agreement).

`ask a WORDS` proposes WORDS at node a; `voters +d -a` changes the voters; `many` proposes 300 entries at once. The
answers are log lines of that node: `promised x`, `refused x: why`, `unknown x`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from limenotch.fleet import consensus
from limenotch.fleet.consensus import api
from limenotch.fleet.interfaces import LogLine
from limenotch.lab.fleet.drawing import ExpectedTimeline
from limenotch.lab.fleet.scenario import Outcome, check, simulate
from limenotch.lab.fleet.world import World
from limenotch.store.records import StoredLog

BULK_PROPOSALS = 300
TUNING = consensus.Tuning(snapshot_entries=100, tail_entries=10)


class LoggingConsensus:
    """Consensus with a counter on top, whose answers are log lines."""

    def __init__(self, name: str, voters: tuple[str, ...], seed: int, stored_log: StoredLog) -> None:
        self.consensus = consensus.Consensus(name, voters, stored_log, TUNING, seed)
        self.words_by_ticket: dict[int, str] = {}
        state = self.consensus.state
        self.count: int = msgspec.msgpack.decode(state) if state else 0

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handles one event of the node; returns the actions to carry out."""
        out: list[Any] = []
        for action in self.consensus.handle(now, event):
            words = self.words_by_ticket.get(getattr(action, "ticket", 0), "")
            if isinstance(action, api.EntryCommitted):
                self.count += 1
            elif isinstance(action, api.SnapshotInstalled):
                self.count = msgspec.msgpack.decode(action.state, type=int)
            elif isinstance(action, api.SnapshotRequested):
                out += self.handle(now, api.SnapshotState(action.index, msgspec.msgpack.encode(self.count)))
            elif isinstance(action, api.ProposalCommitted):
                out += [LogLine(f"promised {words}")] if words else []
            elif isinstance(action, api.ProposalRejected):
                out.append(LogLine(f"refused {words}: {action.why}"))
            elif isinstance(action, api.OutcomeUnknown):
                out.append(LogLine(f"unknown {words}"))
            elif not isinstance(action, (api.LeaderChanged, api.ReadReady)):
                out.append(action)
        return out


def ask(world: World, node: str, words: str) -> None:
    """Carries out `ask NODE WORDS` of a timeline."""
    component = world.component(node)
    if component is None:
        return
    first_ticket = len(component.words_by_ticket) + 1
    if words.startswith("voters "):
        changes = words.split()[1:]
        add = next((change[1:] for change in changes if change.startswith("+")), "")
        remove = next((change[1:] for change in changes if change.startswith("-")), "")
        component.words_by_ticket[first_ticket] = words
        world.deliver_event(node, api.ChangeVoters(first_ticket, add, remove))
        return
    for number in range(BULK_PROPOSALS if words == "many" else 1):
        component.words_by_ticket[first_ticket + number] = "" if words == "many" else words
        world.deliver_event(node, api.Propose(first_ticket + number, b"x", f"{words}{number}"))


def outcome(scenario: ExpectedTimeline, exact: bool = True) -> Outcome:
    """Plays the scenario; its first three nodes are the voters. With `exact`, AssertionError on any difference."""
    voters = scenario.nodes[:3]

    def make(name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> LoggingConsensus:
        return LoggingConsensus(name, tuple(voters), seed, stored_log)

    return (check if exact else simulate)(scenario, make, ask)

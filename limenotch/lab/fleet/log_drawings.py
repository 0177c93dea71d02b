"""Members and askers for drawings of the log: `ask a WORDS` proposes WORDS; `voters +d -a` changes voters; `many`
proposes 300 at once. Answers are notes of the asker: `promised x`, `refused x: why`, `unknown x`."""

from __future__ import annotations

from typing import Any

import msgspec

from limenotch.fleet import consensus
from limenotch.fleet.consensus import api
from limenotch.fleet.interfaces import LogLine
from limenotch.lab.fleet.drawing import Scenario
from limenotch.lab.fleet.scenario import Outcome, check, play
from limenotch.lab.fleet.world import World
from limenotch.store.records import StoredLog

MANY = 300
TUNING = consensus.Tuning(snapshot_entries=100, tail_entries=10)


class Told:
    """Agreement with a counter above it, whose answers are notes."""

    def __init__(self, name: str, voters: tuple[str, ...], seed: int, held: StoredLog) -> None:
        self.agreement = consensus.Agreement(name, voters, held, TUNING, seed)
        self.words: dict[int, str] = {}
        state = self.agreement.state
        self.count: int = msgspec.msgpack.decode(state) if state else 0

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = []
        for action in self.agreement.handle(now, event):
            word = self.words.get(getattr(action, "ticket", 0), "")
            if isinstance(action, api.EntryCommitted):
                self.count += 1
            elif isinstance(action, api.SnapshotInstalled):
                self.count = msgspec.msgpack.decode(action.state, type=int)
            elif isinstance(action, api.SnapshotRequested):
                out += self.handle(now, api.SnapshotState(action.index, msgspec.msgpack.encode(self.count)))
            elif isinstance(action, api.ProposalCommitted):
                out += [LogLine(f"promised {word}")] if word else []
            elif isinstance(action, api.ProposalRejected):
                out.append(LogLine(f"refused {word}: {action.why}"))
            elif isinstance(action, api.OutcomeUnknown):
                out.append(LogLine(f"unknown {word}"))
            elif not isinstance(action, (api.LeaderChanged, api.ReadReady)):
                out.append(action)
        return out


def ask(world: World, node: str, words: str) -> None:
    part = world.part(node)
    if part is None:
        return
    first = len(part.words) + 1
    if words.startswith("voters "):
        changes = words.split()[1:]
        add = next((change[1:] for change in changes if change.startswith("+")), "")
        remove = next((change[1:] for change in changes if change.startswith("-")), "")
        part.words[first] = words
        world.poke(node, api.ChangeVoters(first, add, remove))
        return
    for number in range(MANY if words == "many" else 1):
        part.words[first + number] = "" if words == "many" else words
        world.poke(node, api.Propose(first + number, b"x", f"{words}{number}"))


def outcome(scenario: Scenario, exact: bool = True) -> Outcome:
    """The first three nodes are the voters named. AssertionError where it did not come out, if `exact`."""
    voters = scenario.nodes[:3]

    def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Told:
        return Told(name, tuple(voters), seed, held)

    return (check if exact else play)(scenario, make, ask)

"""Members and directories for drawings of lists: membership, the log and the lists of each node, in one hub.

`ask a WORDS` is what a's own directory does: `whole 5 u v -w` is its list at index 5 (`u` ready, `-w` draining, `~w`
gone), `change 6 -u` what changed; `... at d2` names another directory than `d1`; `silent` ends the watch. Notes are the
lists' own. The first three nodes vote on the log.
"""

from __future__ import annotations

from typing import Any

from limenotch.fleet import consensus
from limenotch.fleet.hub import LOG_PREFIX, ComponentEvent, ComponentHub
from limenotch.fleet.log_multiplexer import split_states
from limenotch.fleet.membership import Membership, Tuning
from limenotch.fleet.rules.endpoint_list_messages import Arrived, DirectorySilent, Listed, Named, PeerDrain
from limenotch.fleet.rules.endpoint_lists import Lists
from limenotch.lab.fleet.drawing import Scenario
from limenotch.lab.fleet.rules_run import LOG as OF_THE_LOG
from limenotch.lab.fleet.scenario import Outcome, check, play
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIX = "li."
STAGES = {"-": "draining", "~": "gone"}
MEMBERS = Tuning(period_ms=300.0, timeout_ms=90.0, gossip_ms=20.0)


def named(name: str) -> Named:
    return Named(name, f"10.0.0.1:{1000 + sum(name.encode())}")


def event_of(words: str) -> Listed | DirectorySilent:
    """Raises ValueError on words that say nothing."""
    parts = words.split()
    directory = "d1"
    if "at" in parts:
        directory = parts[parts.index("at") + 1]
        parts = parts[: parts.index("at")]
    if parts[0] == "silent":
        return DirectorySilent(directory)
    if parts[0] not in ("whole", "change"):
        raise ValueError(f"{words!r}: none of whole, change, silent")
    stages = {word.lstrip("-~"): STAGES.get(word[0], "ready") for word in parts[2:]}
    ready = tuple(named(name) for name, stage in stages.items() if stage == "ready")
    return Listed(directory, int(parts[1]), parts[0] == "whole", stages, ready)


def ask(world: World, node: str, words: str) -> None:
    world.poke(node, ComponentEvent(PREFIX, event_of(words)))


class Run:
    """`made` has each node's lists of its process now; `uses` what its host was told last: drained, arrived."""

    def __init__(self, nodes: tuple[str, ...], voters: tuple[str, ...] | None = None) -> None:
        self.nodes, self.voters = nodes, voters if voters is not None else nodes[:3]
        self.made: dict[str, Lists] = {}
        self.uses: dict[str, tuple[dict[str, str], set[str]]] = {}

    def make(self, name: str, seed: int, process_epoch: int, held: StoredLog) -> ComponentHub:
        members = Membership(
            name, address(name), process_epoch, [address(one) for one in self.nodes[:3]], MEMBERS, seed
        )
        log = consensus.Agreement(name, self.voters, held, OF_THE_LOG, seed)
        states = split_states(log.state)
        lists = self.made[name] = Lists(name, process_epoch, "d1", self.voters, state=states.get(PREFIX))
        hub = ComponentHub([("mb.", members), (LOG_PREFIX, log), (PREFIX, lists)], members)
        hub.record_snapshot_prefixes(states)
        self.uses[name] = ({}, set())

        def heard(said: Any) -> None:
            drained, arrived = self.uses[name]
            if isinstance(said, PeerDrain):
                drained = said.names
            else:
                arrived = {entry.name for entry in said.entries}
            self.uses[name] = (drained, arrived)

        hub.register_action_handler(PeerDrain, heard)
        hub.register_action_handler(Arrived, heard)
        return hub


def outcome(scenario: Scenario, exact: bool = True) -> Outcome:
    """AssertionError where it did not come out, if `exact`."""
    return (check if exact else play)(scenario, Run(tuple(scenario.nodes)).make, ask)

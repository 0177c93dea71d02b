"""Members and directories for expected timelines of endpoint lists: membership, log and lists of each node in one hub.

`ask a WORDS` is an event of a's own directory: `whole 5 u v -w` is its complete list at index 5 (`u` ready, `-w`
draining, `~w` gone), `change 6 -u` a change; `... at d2` names another directory than `d1`; `silent` ends the watch.
Log lines are those of the lists. The first three nodes are the voters of the log.
"""

from __future__ import annotations

from typing import Any

from limenotch.fleet import consensus
from limenotch.fleet.hub import LOG_PREFIX, ComponentEvent, ComponentHub
from limenotch.fleet.log_multiplexer import split_states
from limenotch.fleet.membership import Membership, Tuning
from limenotch.fleet.rules.endpoint_list_messages import (
    AgreedEndpointsChanged,
    DirectoryListed,
    DirectorySilent,
    ListedEndpoint,
    PeerDrainsChanged,
)
from limenotch.fleet.rules.endpoint_lists import EndpointLists
from limenotch.lab.fleet.drawing import ExpectedTimeline
from limenotch.lab.fleet.rules_run import LOG_TUNING
from limenotch.lab.fleet.scenario import Outcome, check, simulate
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIX = "li."
STAGES = {"-": "draining", "~": "gone"}
MEMBERSHIP_TUNING = Tuning(period_ms=300.0, timeout_ms=90.0, gossip_ms=20.0)


def listed_endpoint(name: str) -> ListedEndpoint:
    return ListedEndpoint(name, f"10.0.0.1:{1000 + sum(name.encode())}")


def event_of(text: str) -> DirectoryListed | DirectorySilent:
    """Raises ValueError on words that are none of these."""
    words = text.split()
    directory = "d1"
    if "at" in words:
        directory = words[words.index("at") + 1]
        words = words[: words.index("at")]
    if words[0] == "silent":
        return DirectorySilent(directory)
    if words[0] not in ("whole", "change"):
        raise ValueError(f"{text!r}: none of whole, change, silent")
    stages = {word.lstrip("-~"): STAGES.get(word[0], "ready") for word in words[2:]}
    ready = tuple(listed_endpoint(name) for name, stage in stages.items() if stage == "ready")
    return DirectoryListed(directory, int(words[1]), words[0] == "whole", stages, ready)


def ask(world: World, node: str, text: str) -> None:
    world.deliver_event(node, ComponentEvent(PREFIX, event_of(text)))


class ListsRun:
    """The nodes of one timeline.

    `components` has the list component of each node's current process, `reported` what it reported to its host last:
    endpoints restricted by peers, endpoints agreed on.
    """

    def __init__(self, nodes: tuple[str, ...], voters: tuple[str, ...] | None = None) -> None:
        self.nodes, self.voters = nodes, voters if voters is not None else nodes[:3]
        self.components: dict[str, EndpointLists] = {}
        self.reported: dict[str, tuple[dict[str, str], set[str]]] = {}

    def make(self, name: str, seed: int, process_epoch: int, stored: StoredLog) -> ComponentHub:
        membership = Membership(
            name, address(name), process_epoch, [address(node) for node in self.nodes[:3]], MEMBERSHIP_TUNING, seed
        )
        log = consensus.Consensus(name, self.voters, stored, LOG_TUNING, seed)
        states = split_states(log.state)
        lists = self.components[name] = EndpointLists(name, process_epoch, "d1", self.voters, state=states.get(PREFIX))
        hub = ComponentHub([("mb.", membership), (LOG_PREFIX, log), (PREFIX, lists)], membership)
        hub.record_snapshot_prefixes(states)
        self.reported[name] = ({}, set())

        def record(action: Any) -> None:
            restricted, agreed = self.reported[name]
            if isinstance(action, PeerDrainsChanged):
                restricted = action.restricted
            else:
                agreed = {entry.name for entry in action.endpoints}
            self.reported[name] = (restricted, agreed)

        hub.register_action_handler(PeerDrainsChanged, record)
        hub.register_action_handler(AgreedEndpointsChanged, record)
        return hub


def outcome(scenario: ExpectedTimeline, exact: bool = True) -> Outcome:
    """Play the scenario. If `exact`, AssertionError where it did not come out as expected."""
    return (check if exact else simulate)(scenario, ListsRun(tuple(scenario.nodes)).make, ask)

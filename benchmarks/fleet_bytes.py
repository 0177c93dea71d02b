"""Bytes and messages of each fleet component a member and second while nothing happens, in simulated time.

    python -m benchmarks.fleet_bytes [--members 9,50,200] [--seconds 20]

Membership, the log (three voters), rules and endpoint lists of each member behind one hub, with default settings; one
discovery that all follow, 20 endpoints. Measured over the last seconds, after 20 in which all have joined; bytes are of
messages alone, without frames. The leader is shown separately: the log and the rules cost it most.
"""

from __future__ import annotations

import argparse
from functools import partial

from limenotch.fleet import consensus
from limenotch.fleet.hub import LOG_PREFIX, ComponentEvent, ComponentHub
from limenotch.fleet.membership import Membership, Tuning
from limenotch.fleet.rules import Rules
from limenotch.fleet.rules.api import RestrictedRules, RulesInForce
from limenotch.fleet.rules.endpoint_list_messages import AgreedEndpointsChanged, PeerDrainsChanged
from limenotch.fleet.rules.endpoint_lists import EndpointLists
from limenotch.lab.fleet.lists_drawings import event_of
from limenotch.lab.fleet.rules_run import FIRST_DOCUMENT, settings_check
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIXES = ("mb.", LOG_PREFIX, "ru.", "li.")
JOIN_MS = 20_000.0


def make_hub(names: list[str], name: str, seed: int, process_epoch: int, held: StoredLog) -> ComponentHub:
    voters = tuple(names[:3])
    members = Membership(name, address(name), process_epoch, [address(one) for one in names[:2]], Tuning(), seed)
    log = consensus.Consensus(name, voters, held, consensus.Tuning(), seed)
    hub = ComponentHub(
        [
            ("mb.", members),
            (LOG_PREFIX, log),
            ("ru.", Rules(name, process_epoch, voters, FIRST_DOCUMENT, settings_check)),
            ("li.", EndpointLists(name, process_epoch, "d1", voters)),
        ],
        members,
    )
    for kind in (RulesInForce, RestrictedRules, PeerDrainsChanged, AgreedEndpointsChanged):
        hub.register_action_handler(kind, lambda said: None)
    return hub


def traffic_by_prefix(world: World, name: str) -> dict[str, tuple[int, int]]:
    traffic = dict.fromkeys(PREFIXES, (0, 0))
    for tag, (messages, size) in world.nodes[name].traffic.by_tag.items():
        prefix = tag[: tag.find(".") + 1]
        traffic[prefix] = traffic[prefix][0] + messages, traffic[prefix][1] + size
    return traffic


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--members", default="9,50,200")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    print("| members | layer | bytes/s, mean | messages/s, mean | bytes/s of the leader |")
    print("| --- | --- | --- | --- | --- |")
    for count in map(int, arguments.members.split(",")):
        names = [f"m{number:03}" for number in range(count)]
        world = World(names, partial(make_hub, names), 1)
        world.run(JOIN_MS / 2)
        for name in names:
            world.deliver_event(
                name, ComponentEvent("li.", event_of("whole 5 " + " ".join(f"p{number}" for number in range(20))))
            )
        world.run(JOIN_MS)
        before = {name: traffic_by_prefix(world, name) for name in names}
        world.run(JOIN_MS + arguments.seconds * 1000.0)
        leader_name = [seen.node for seen in world.observed_lines if seen.text.startswith("leads ")][-1]
        for prefix in PREFIXES:
            now = {name: traffic_by_prefix(world, name)[prefix] for name in names}
            messages = sum(now[name][0] - before[name][prefix][0] for name in names) / count / arguments.seconds
            size = sum(now[name][1] - before[name][prefix][1] for name in names) / count / arguments.seconds
            leader = (now[leader_name][1] - before[leader_name][prefix][1]) / arguments.seconds
            print(f"| {count} | {prefix[:-1]} | {size:.0f} | {messages:.1f} | {leader:.0f} |", flush=True)


if __name__ == "__main__":
    main()

"""What each layer of the fleet says while nothing happens: bytes and messages a member and second, simulated time.

    python -m benchmarks.fleet_bytes [--members 9,50,200] [--seconds 20]

Membership, the log (three voters), rules and lists of each member behind one hub, with their usual settings; one
directory that all follow, 20 providers. Counted over the last seconds, after 20 in which all have joined; bytes are of
messages alone, without frames. The leader is told apart: of the log and the rules it bears most.
"""

from __future__ import annotations

import argparse
from functools import partial

from limenotch.fleet import consensus
from limenotch.fleet.hub import LOG, ComponentEvent, ComponentHub
from limenotch.fleet.membership import Membership, Tuning
from limenotch.fleet.rules import Rules
from limenotch.fleet.rules.api import RestrictedRules, RulesInForce
from limenotch.fleet.rules.endpoint_list_messages import AgreedEndpointsChanged, PeerDrainsChanged
from limenotch.fleet.rules.endpoint_lists import EndpointLists
from limenotch.lab.fleet.lists_drawings import event_of
from limenotch.lab.fleet.rules_run import FIRST_DOCUMENT, settings_check
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

LAYERS = ("mb.", LOG, "ru.", "li.")
SETTLE_MS = 20_000.0


def hub_of(names: list[str], name: str, seed: int, process_epoch: int, held: StoredLog) -> ComponentHub:
    voters = tuple(names[:3])
    members = Membership(name, address(name), process_epoch, [address(one) for one in names[:2]], Tuning(), seed)
    log = consensus.Consensus(name, voters, held, consensus.Tuning(), seed)
    hub = ComponentHub(
        [
            ("mb.", members),
            (LOG, log),
            ("ru.", Rules(name, process_epoch, voters, FIRST_DOCUMENT, settings_check)),
            ("li.", EndpointLists(name, process_epoch, "d1", voters)),
        ],
        members,
    )
    for kind in (RulesInForce, RestrictedRules, PeerDrainsChanged, AgreedEndpointsChanged):
        hub.register_action_handler(kind, lambda said: None)
    return hub


def spent(world: World, name: str) -> dict[str, tuple[int, int]]:
    found = dict.fromkeys(LAYERS, (0, 0))
    for tag, (many, size) in world.nodes[name].traffic.by_tag.items():
        layer = tag[: tag.find(".") + 1]
        found[layer] = found[layer][0] + many, found[layer][1] + size
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--members", default="9,50,200")
    parser.add_argument("--seconds", type=float, default=20.0)
    given = parser.parse_args()
    print("| members | layer | bytes/s, mean | messages/s, mean | bytes/s of the leader |")
    print("| --- | --- | --- | --- | --- |")
    for count in map(int, given.members.split(",")):
        names = [f"m{number:03}" for number in range(count)]
        world = World(names, partial(hub_of, names), 1)
        world.run(SETTLE_MS / 2)
        for name in names:
            world.deliver_event(
                name, ComponentEvent("li.", event_of("whole 5 " + " ".join(f"p{number}" for number in range(20))))
            )
        world.run(SETTLE_MS)
        before = {name: spent(world, name) for name in names}
        world.run(SETTLE_MS + given.seconds * 1000.0)
        leads = [seen.node for seen in world.observed_lines if seen.text.startswith("leads ")][-1]
        for layer in LAYERS:
            now = {name: spent(world, name)[layer] for name in names}
            many = sum(now[name][0] - before[name][layer][0] for name in names) / count / given.seconds
            size = sum(now[name][1] - before[name][layer][1] for name in names) / count / given.seconds
            leader = (now[leads][1] - before[leads][layer][1]) / given.seconds
            print(f"| {count} | {layer[:-1]} | {size:.0f} | {many:.1f} | {leader:.0f} |", flush=True)


if __name__ == "__main__":
    main()

"""Detection and false deaths by loss rate and number of members, and what membership costs; in simulated time.

    python -m benchmarks.membership [--seeds 20] [--members 3,9,50,200] [--loss 0,10,20,30]

One run a seed: all join at 0; from 4 s on the loss holds for datagrams both ways and for streams' segments; at 8 s plus
a part of a period one is killed, 8 s later another is paused for two periods, and the run ends 8 s after that.
`first` and `all`: from the kill to the first and the last member that holds it dead, in periods. `suspected`, `false`:
members that ran all the time and were suspected (each incarnation counts once), or declared dead, by anybody. `paused`:
runs in which the paused one was declared dead.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass, field
from statistics import quantiles
from time import process_time
from typing import Any

from msgspec import convert, json

from limenotch.fleet.interfaces import MemberChanged
from limenotch.fleet.membership import Membership, Tuning
from limenotch.lab.fleet.faults import DatagramFault
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

LOSS_MS, KILL_MS, SPAN_MS = 4000.0, 8000.0, 8000.0


@dataclass
class Found:
    first: list[float] = field(default_factory=list)
    everybody: list[float] = field(default_factory=list)
    unknown: int = 0  # members that never learned
    suspected: int = 0
    false: int = 0
    paused: int = 0
    bytes: float = 0.0  # a member and second, in the calm seconds before the loss
    messages: float = 0.0
    cpu: float = 0.0

    def one(self, count: int, loss: float, seed: int, tuning: Tuning) -> None:
        names = [f"m{number}" for number in range(count)]

        def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Membership:
            return Membership(name, address(name), process_epoch, [address(one) for one in names[:2]], tuning, seed)

        began = process_time()
        world = World(names, make, seed)
        world.run(LOSS_MS / 2)
        before = [(node.traffic.bytes, node.traffic.messages) for node in world.nodes.values()]
        world.run(LOSS_MS)
        spent = [(node.traffic.bytes, node.traffic.messages) for node in world.nodes.values()]
        world.apply_fault(DatagramFault("loss", loss))
        victim, sleeper = names[seed % count], names[(seed + 1) % count]
        kill = KILL_MS + tuning.period_ms * (seed % 10) / 10
        world.run(kill)
        world.kill(victim)
        world.run(kill + SPAN_MS)
        world.pause(sleeper)
        world.run(kill + SPAN_MS + 2 * tuning.period_ms)
        world.wake(sleeper)
        world.run(kill + 2 * SPAN_MS + 2 * tuning.period_ms)
        self.cpu += (process_time() - began) / count / world.now * 1000
        self._judge(world, victim, sleeper, kill, tuning)
        scale = count * (LOSS_MS / 2) / 1000
        self.bytes += sum(now[0] - then[0] for now, then in zip(spent, before, strict=True)) / scale
        self.messages += sum(now[1] - then[1] for now, then in zip(spent, before, strict=True)) / scale

    def _judge(self, world: World, victim: str, sleeper: str, kill: float, tuning: Tuning) -> None:
        deaths: list[Any] = [
            change
            for change in world.observed_changes
            if isinstance(change.action, MemberChanged) and change.action.state == "dead"
        ]
        known = {
            change.node: change.at_ms
            for change in reversed(deaths)
            if change.what.name == victim and change.at_ms >= kill
        }
        self.unknown += len(world.nodes) - 1 - len(known)
        self.first.append((min(known.values(), default=float("inf")) - kill) / tuning.period_ms)
        self.everybody.append((max(known.values(), default=float("inf")) - kill) / tuning.period_ms)
        suspected = {
            (change.action.name, change.action.incarnation)
            for change in world.observed_changes
            if isinstance(change.action, MemberChanged) and change.action.state == "suspect"
        }
        self.suspected += sum(name not in (victim, sleeper) for name, _ in suspected)
        others = {change.what.name for change in deaths if change.what.name != victim or change.at_ms < kill}
        self.paused += sleeper in others
        self.false += len(others - {sleeper})


def part(values: list[float], percent: int) -> float:
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--members", default="3,9,50,200")
    parser.add_argument("--loss", default="0,10,20,30")
    parser.add_argument("--set", action="append", default=[], metavar="KEY=NUMBER", help="of the tuning")
    given = parser.parse_args()
    tuning = convert({key: json.decode(value) for key, value in (one.split("=") for one in given.set)}, Tuning)
    print(
        "members  loss   first p50  p99    all p50  p99   worst   not told  suspected  false  paused"
        "   bytes/s  messages/s  CPU us/s"
    )
    for count in map(int, given.members.split(",")):
        for loss in map(float, given.loss.split(",")):
            found = Found()
            for seed in range(given.seeds):
                found.one(count, loss, seed, tuning)
            runs = given.seeds
            print(
                f"{count:7}  {loss:3.0f}%  {part(found.first, 50):10.2f} {part(found.first, 99):4.2f} "
                f"{part(found.everybody, 50):10.2f} {part(found.everybody, 99):4.2f} {max(found.everybody):7.2f} "
                f"{found.unknown:10} {found.suspected:10} {found.false:6} {found.paused:3} of {runs:<3}"
                f"{found.bytes / runs:8.0f} {found.messages / runs:11.1f} {found.cpu / runs * 1e6:9.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()

"""Failure detection and false deaths by loss rate and number of members, and the cost of membership; simulated time.

    python -m benchmarks.membership [--seeds 20] [--members 3,9,50,200] [--loss 0,10,20,30]

One run a seed: all join at 0; from 4 s on the loss applies to datagrams both ways and to segments of streams; at 8 s
plus a fraction of a period one member is killed, 8 s later another is paused for two periods, and the run
ends 8 s after that. `first` and `all`: from the kill until the first and the last member considers it dead, in periods.
`suspected`, `false`: members that ran all the time and were suspected (each incarnation counts once), or declared dead,
by any member. `paused`: runs in which the paused member was declared dead.
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
class Results:
    first: list[float] = field(default_factory=list)
    last: list[float] = field(default_factory=list)
    unknown: int = 0  # members that never learned of the death
    suspected: int = 0
    false: int = 0
    paused: int = 0
    bytes: float = 0.0  # a member and second, in the seconds before the loss
    messages: float = 0.0
    cpu: float = 0.0

    def add_run(self, count: int, loss: float, seed: int, tuning: Tuning) -> None:
        names = [f"m{number}" for number in range(count)]

        def make(name: str, seed: int, process_epoch: int, held: StoredLog) -> Membership:
            return Membership(name, address(name), process_epoch, [address(one) for one in names[:2]], tuning, seed)

        started_s = process_time()
        world = World(names, make, seed)
        world.run(LOSS_MS / 2)
        before = [(node.traffic.bytes, node.traffic.messages) for node in world.nodes.values()]
        world.run(LOSS_MS)
        after = [(node.traffic.bytes, node.traffic.messages) for node in world.nodes.values()]
        world.apply_fault(DatagramFault("loss", loss))
        victim, paused = names[seed % count], names[(seed + 1) % count]
        kill = KILL_MS + tuning.period_ms * (seed % 10) / 10
        world.run(kill)
        world.kill(victim)
        world.run(kill + SPAN_MS)
        world.pause(paused)
        world.run(kill + SPAN_MS + 2 * tuning.period_ms)
        world.wake(paused)
        world.run(kill + 2 * SPAN_MS + 2 * tuning.period_ms)
        self.cpu += (process_time() - started_s) / count / world.now * 1000
        self._judge(world, victim, paused, kill, tuning)
        scale = count * (LOSS_MS / 2) / 1000
        self.bytes += sum(now[0] - then[0] for now, then in zip(after, before, strict=True)) / scale
        self.messages += sum(now[1] - then[1] for now, then in zip(after, before, strict=True)) / scale

    def _judge(self, world: World, victim: str, paused: str, kill: float, tuning: Tuning) -> None:
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
        self.last.append((max(known.values(), default=float("inf")) - kill) / tuning.period_ms)
        suspected = {
            (change.action.name, change.action.incarnation)
            for change in world.observed_changes
            if isinstance(change.action, MemberChanged) and change.action.state == "suspect"
        }
        self.suspected += sum(name not in (victim, paused) for name, _ in suspected)
        falsely_dead = {change.what.name for change in deaths if change.what.name != victim or change.at_ms < kill}
        self.paused += paused in falsely_dead
        self.false += len(falsely_dead - {paused})


def percentile(values: list[float], percent: int) -> float:
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--members", default="3,9,50,200")
    parser.add_argument("--loss", default="0,10,20,30")
    parser.add_argument("--set", action="append", default=[], metavar="KEY=NUMBER", help="of the tuning")
    arguments = parser.parse_args()
    tuning = convert({key: json.decode(value) for key, value in (one.split("=") for one in arguments.set)}, Tuning)
    print(
        "members  loss   first p50  p99    all p50  p99   worst   not told  suspected  false  paused"
        "   bytes/s  messages/s  CPU us/s"
    )
    for count in map(int, arguments.members.split(",")):
        for loss in map(float, arguments.loss.split(",")):
            results = Results()
            for seed in range(arguments.seeds):
                results.add_run(count, loss, seed, tuning)
            runs = arguments.seeds
            print(
                f"{count:7}  {loss:3.0f}%  {percentile(results.first, 50):10.2f} {percentile(results.first, 99):4.2f} "
                f"{percentile(results.last, 50):10.2f} {percentile(results.last, 99):4.2f} {max(results.last):7.2f} "
                f"{results.unknown:10} {results.suspected:10} {results.false:6} {results.paused:3} of {runs:<3}"
                f"{results.bytes / runs:8.0f} {results.messages / runs:11.1f} {results.cpu / runs * 1e6:9.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()

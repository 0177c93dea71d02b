"""Cost of the affinity table: memory and time per binding, updates per second, state transfer, traffic of members.

    python -m benchmarks.affinity [entries sights takeover together traffic] [--most 1000000] [--members 9,50,200]

- `entries`: n flows are bound in one table, in a process of its own. bytes: growth of the process, over n. `bind`,
  `find`, `again` (a use of a bound key): us each.
  `over`: all expire in one ms; us per binding, and the longest turn of the component's timer during the removal.
- `sights`: two members, messages encoded and decoded as between processes: us of CPU per announced use at the sender
  and at the receiver, and how many of each a core can handle per second.
- `takeover`: a member joins one with a table of n: simulated ms until it is complete, bytes, CPU seconds of both.
- `together`: members in calm with clients that return elsewhere: the longest time for which two members found different
  endpoints, the longest time a binding was found beyond its idle time, and the guaranteed values.
- `traffic`: bytes per member and second of the component's messages, at a rate of new bindings per member.
"""

from __future__ import annotations

import argparse
import multiprocessing
import resource
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from time import perf_counter, process_time
from typing import Any

from msgspec.msgpack import Decoder, Encoder

from limenotch.fleet.affinity import messages
from limenotch.fleet.affinity.api import AvailableEndpoints, Kind, State
from limenotch.fleet.affinity.core import Bindings
from limenotch.fleet.affinity.tuning import Ages, Tuning
from limenotch.fleet.interfaces import MemberChanged, MessageReceived, SendToMember, SetTimer, Started, TimerFired
from limenotch.lab.fleet.bindings_run import PREFIX, Run
from limenotch.lab.fleet.bindings_storms import ReturningClient

BINDINGS_PER_BATCH = 2000  # keys bound between two batches
AGES = Ages(open=600_000.0)
SECRET = b"a benchmark's"
ENDPOINTS = {f"p{number}": (f"cell{number % 4}", f"z{number % 2}") for number in range(20)}
NAMES = sorted(ENDPOINTS)


class Pair:
    """Members that exchange encoded messages with a delay of 1 ms; counts the CPU time of each member."""

    def __init__(self, names: str, tuning: Tuning) -> None:
        self.bindings = {name: Bindings(name, 1, SECRET, tuning, 1) for name in names}
        self.cpu = dict.fromkeys(names, 0.0)
        self.longest = dict.fromkeys(names, 0.0)  # of one turn, s
        self.bytes = dict.fromkeys(names, 0)
        self.messages = dict.fromkeys(names, 0)
        self.now = 0.0
        self._due: list[tuple[float, int, str, Any]] = []
        self._count = 0
        self._encoder = Encoder()
        self._decoder: Decoder[Any] = Decoder(messages.AffinityMessage)

    def begin(self, name: str) -> None:
        self.deliver(name, Started())
        self.deliver(name, AvailableEndpoints(ENDPOINTS))

    def connect(self, one: str, two: str) -> None:
        for name in (one, two):
            self.deliver(name, MemberChanged(name, "alive", (name, 1), 1, 1))
        for name, other in ((one, two), (two, one)):
            self.deliver(name, MemberChanged(other, "alive", (other, 1), 1, 1))

    def deliver(self, name: str, event: Any) -> None:
        started_at = process_time()
        if isinstance(event, bytes):
            sender, event = event[:1].decode(), self._decoder.decode(event[1:])
            event = MessageReceived((sender, 1), sender, event)
        actions = self.bindings[name].handle(self.now, event)
        out = [
            (action.member, name.encode() + self._encoder.encode(action.message))
            for action in actions
            if isinstance(action, SendToMember)
        ]
        spent = process_time() - started_at
        self.cpu[name] += spent
        self.longest[name] = max(self.longest[name], spent)
        for action in actions:
            if isinstance(action, SetTimer):
                self._schedule(action.at_ms, name, TimerFired(action.token))
        for to, packed in out:
            self.bytes[name] += len(packed) - 1
            self.messages[name] += 1
            self._schedule(self.now + 1, to, packed)

    def _schedule(self, at: float, name: str, event: Any) -> None:
        self._count += 1
        heappush(self._due, (at, self._count, name, event))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            at, _, name, event = heappop(self._due)
            self.now = max(self.now, at)
            self.deliver(name, event)
        self.now = until

    def run_until_complete(self, name: str, max_ms: float) -> float:
        started_at = self.now
        while not self.bindings[name].table.complete:
            self.run(self.now + 1)
            if self.now - started_at > max_ms:
                raise AssertionError(f"{name} is not complete within {max_ms:g} ms")
        return self.now - started_at


def resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def bind(bindings: Bindings, now: float, first: int, last: int) -> None:
    record_use = bindings.table.record_use
    for number in range(first, last):
        record_use(now, Kind.FLOW, b"%d" % number, NAMES[number % 20], State.OPEN)


def bind_all(pair: Pair, count: int) -> float:
    """Binds all at one member, BINDINGS_PER_BATCH each 100 ms. Returns the seconds that the calls took."""
    spent = 0.0
    for first in range(0, count, BINDINGS_PER_BATCH):
        started_at = perf_counter()
        bind(pair.bindings["a"], pair.now, first, min(first + BINDINGS_PER_BATCH, count))
        spent += perf_counter() - started_at
        pair.run(pair.now + 100)
    pair.run(pair.now + 2000)
    return spent


def entries_of(count: int) -> tuple[float, ...]:
    pair = Pair("a", Tuning(most=max(count, 16), flow=AGES))
    pair.begin("a")
    pair.run(500)
    table = pair.bindings["a"].table
    before = resident_bytes()
    bound = bind_all(pair, count)
    size = (resident_bytes() - before) / count
    started_at = perf_counter()
    for number in range(count):
        table.find(pair.now, Kind.FLOW, b"%d" % number)
    found = perf_counter() - started_at
    started_at = perf_counter()
    for number in range(count):
        table.record_use(pair.now, Kind.FLOW, b"%d" % number, NAMES[number % 20], State.OPEN)
    again = perf_counter() - started_at
    pair.run(pair.now + 500_000)
    pair.longest["a"] = pair.cpu["a"] = 0.0
    pair.run(pair.now + 200_000)
    assert not table.status()["held"], table.status()
    return (size, *(1e6 * spent / count for spent in (bound, found, again, pair.cpu["a"])), 1e3 * pair.longest["a"])


def entries(max_entries: int) -> None:
    print("entries    bytes each   bind us  find us  again us   over us   longest turn ms")
    for count in (10_000, 100_000, 1_000_000):
        if count <= max_entries:
            with multiprocessing.get_context("spawn").Pool(1) as pool:
                size, bound, found, again, over, turn = pool.apply(entries_of, (count,))
            print(f"{count:9} {size:11.0f} {bound:9.2f} {found:8.2f} {again:9.2f} {over:9.2f} {turn:13.1f}", flush=True)


def last_seen_updates(count: int = 100_000) -> None:
    pair = Pair("ab", Tuning(most=2 * count))
    for name in "ab":
        pair.begin(name)
    pair.connect("a", "b")
    pair.run(2000)
    for what in ("new", "again"):
        cpu, size = dict(pair.cpu), pair.bytes["a"]
        started_at = process_time()
        bind(pair.bindings["a"], pair.now, 0, count)
        seen = process_time() - started_at
        pair.run(pair.now + 60_000)
        told, heard = (1e6 * (pair.cpu[name] - cpu[name]) / count for name in "ab")
        seen *= 1e6 / count
        print(
            f"sights, {what:5}: seen {seen:.2f} us, told {told:.2f} us, heard {heard:.2f} us, "
            f"{(pair.bytes['a'] - size) / count:.0f} bytes each; a core's second: {1e6 / (seen + told):,.0f} "
            f"own, or {1e6 / heard:,.0f} of others",
            flush=True,
        )
    assert pair.bindings["b"].table.status()["held"] == count


def state_transfer(max_entries: int) -> None:
    print("takeover   whole after ms   MB   CPU s of who gives  of who joins   longest turn ms")
    for count in (10_000, 100_000, 1_000_000):
        if count > max_entries:
            continue
        pair = Pair("ab", Tuning(most=max(count, 16), flow=AGES))
        pair.begin("a")
        pair.run(500)
        bind_all(pair, count)
        cpu, size = dict(pair.cpu), pair.bytes["a"]
        pair.longest = dict.fromkeys("ab", 0.0)
        pair.begin("b")
        pair.connect("a", "b")
        took = pair.run_until_complete("b", 120_000)
        assert pair.bindings["b"].table.status()["held"] == count
        print(
            f"{count:8} {took:16.0f} {(pair.bytes['a'] - size) / 1e6:6.1f} {pair.cpu['a'] - cpu['a']:15.2f} "
            f"{pair.cpu['b'] - cpu['b']:15.2f} {1e3 * max(pair.longest.values()):15.1f}",
            flush=True,
        )


def disagreement(count: int, seed: int, span_ms: float = 8000.0) -> Run:
    """A run with returning clients and without faults; all members look up all keys each 5 ms."""
    run = Run([f"m{number}" for number in range(count)], seed, drift_ppm=200.0)
    run.wait_until_joined(20_000)
    random = Random(seed)
    clients = [ReturningClient(random, number) for number in range(8)]
    until, number = run.world.now + span_ms, 0
    while run.world.now < until:
        number += 1
        if number % 20 == 0:  # one key at two members at once
            one, two = random.sample(run.names, 2)
            run.record_use(one, (Kind.SESSION, b"x%d" % number), "p1")
            run.record_use(two, (Kind.SESSION, b"x%d" % number), "p2")
        for client in sorted(
            (one for one in clients if one.due_at_ms < run.world.now + 5), key=lambda one: one.due_at_ms
        ):
            run.world.run(max(run.world.now, client.due_at_ms))
            client.send_request(run)
        run.run(run.world.now + 5, sweep_ms=5)
    run.checker.check()
    return run


def disagreements(members: list[int], seeds: int) -> None:
    print("members   disagreed ms (stated)   found beyond idle ms (stated)")
    for count in members:
        if count > 50:
            continue
        runs = [disagreement(count, seed) for seed in range(seeds if count < 20 else 1)]
        guarantees = runs[0].checker.guarantees
        beyond = f"{2 * guarantees.drift:.2f} x idle + {guarantees.margin_ms:.0f}"
        print(
            f"{count:7} {max(run.checker.max_disagreement_ms for run in runs):13.0f} ({guarantees.agreement_ms:.0f})"
            f"{max(run.checker.max_overdue_ms for run in runs):18.0f} ({beyond})",
            flush=True,
        )


def traffic(members: list[int], each: float = 5.0, span_ms: float = 5000.0) -> None:
    print(f"members   bytes/s of bindings, idle   with {each:g} new bindings a second and member   messages/s")
    for count in members:
        run = Run([f"m{number}" for number in range(count)], 1, tuning=Tuning())
        run.wait_until_joined(20_000)
        found = []
        for rate in (0.0, each):
            run.world.run(run.world.now + 2000)
            before = sent_traffic(run)
            random, begin = Random(1), run.world.now
            while run.world.now < begin + span_ms:
                if rate:
                    run.world.run(run.world.now + 1000 / rate / count)
                    run.record_use(random.choice(run.names), (3, b"%d" % len(run.keys)), random.choice(NAMES))
                else:
                    run.world.run(begin + span_ms)
            scale = count * (run.world.now - begin) / 1000
            found += [(now - then) / scale for now, then in zip(sent_traffic(run), before, strict=True)]
        print(f"{count:7} {found[1]:20.0f} {found[3]:40.0f} {found[2]:20.1f}", flush=True)


def sent_traffic(run: Run) -> tuple[int, int]:
    """Messages and bytes that the affinity components of all nodes have sent."""
    both = [
        each for node in run.world.nodes.values() for tag, each in node.traffic.by_tag.items() if tag.startswith(PREFIX)
    ]
    return sum(one for one, _ in both), sum(two for _, two in both)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", nargs="*", default=["entries", "sights", "takeover", "together", "traffic"])
    parser.add_argument("--most", type=int, default=1_000_000)
    parser.add_argument("--members", default="9,50,200")
    parser.add_argument("--seeds", type=int, default=5)
    given = parser.parse_args()
    members = [int(one) for one in given.members.split(",")]
    benches: dict[str, Callable[[], None]] = {
        "entries": lambda: entries(given.most),
        "sights": last_seen_updates,
        "takeover": lambda: state_transfer(given.most),
        "together": lambda: disagreements(members, given.seeds),
        "traffic": lambda: traffic(members),
    }
    for what in given.what:
        benches[what]()


if __name__ == "__main__":
    main()

"""Runs of bindings under everything at once, the same for the same seed.

A *consumer* here is a key that comes to some sidecar, is found or bound there, and comes again after a while that is a
part of its idle time, often close to the whole of it. Flows go through all states, as a stand-in replica of a
layer-four balancer has them. `storm` has faults of all kinds; `crowd` has none, and tables that are too small.
"""

from __future__ import annotations

from random import Random

from msgspec.structs import replace

from limenotch.fleet.affinity.api import Kind, Providers, State
from limenotch.fleet.affinity.tuning import Ages, Tuning
from limenotch.lab.fleet.bindings_history import Key
from limenotch.lab.fleet.bindings_run import QUICK, SWEEP_MS, THERE, Run

LONG = Ages(opening=60_000, open=60_000, closing=60_000, lingering=60_000)


class Consumer:
    """A key that comes again and again, for a flow through all its states."""

    def __init__(self, random: Random, number: int) -> None:
        self.random = random
        kind = random.choice((Kind.KEY, Kind.SESSION, Kind.CONN, Kind.FLOW, Kind.FLOW))
        self.key: Key = (int(kind), f"{kind.name.lower()}{number}".encode())
        self.state = int(State.OPENING if kind in (Kind.KEY, Kind.FLOW) else State.OPEN)
        self.due = random.uniform(0, 1500)
        self.part = random.choice((0.1, 0.3, 0.6))  # of the idle time, usually

    def come(self, run: Run) -> None:
        random = self.random
        name = random.choice(run.names)
        provider = random.choice(sorted(run.there)) if run.there else "none"
        if self.state < State.CLOSING and random.random() < 0.1:
            # At two sidecars at once: neither can have heard of the other's.
            run.come(random.choice(run.names), self.key, random.choice(sorted(run.there) or ["none"]), self.state)
        run.come(name, self.key, provider, self.state)
        idle = run.checker.stated.idle(self.key[0], self.state)
        part = self.part if random.random() < 0.8 else random.choice((0.9, 0.98, 1.0, 1.02, 1.1, 1.3, 3.0))
        self.due = run.world.now + idle * part
        if self.key[0] == Kind.FLOW and random.random() < 0.25 or self.state == State.OPENING:
            self.state += 1
        if self.state > State.LINGERING:  # the five numbers are used again, now and then too soon
            self.state = int(State.OPENING)
            self.due = run.world.now + idle * random.choice((0.5, 1.5, 4.0))


def storm(seed: int, span_ms: float = 6000.0, tuning: Tuning = QUICK, consumers: int = 12) -> Run:
    """Clocks differ by up to the bound of drift: each is out by a little less than half of it."""
    random = Random(f"{seed} bindings")
    names = list("abcdef"[: random.choice((3, 3, 4, 5))])
    delay = random.choice((1, 1, 5, 20))
    run = Run(
        names,
        seed,
        tuning=tuning,
        delay_ms=max(1.0, delay),
        drift_ppm=tuning.drift * 0.49e6,
        wake_order=random.choice(("timers", "heard")),
    )
    run.joined()
    run.looked()
    run.fault(f"loss {random.choice((0, 0, 5, 20))}%")
    run.fault(f"delay 1..{delay}")
    run.fault(f"double {random.choice((0, 0, 10))}%")
    run.fault(f"reorder {random.choice((0, 0, 10))}%")
    there = [Consumer(random, number) for number in range(consumers)]
    begin, worst = run.world.now, random.choice((0.0, 0.03, 0.08))  # chance of a fault in each step
    while run.world.now < begin + span_ms:
        _step(run, there, run.world.now + SWEEP_MS)
        if random.random() < worst:
            _fault(run, random)
        if random.random() < 0.01:
            _go_or_come(run, random)
    run.calm()
    stated_ms = run.checker.stated
    until = max(run.world.now, run.checker.lossy_until) + stated_ms.mend_ms + 2500
    while run.world.now < until:
        _step(run, there, run.world.now + SWEEP_MS)
    # All go silent: all must forget.
    longest = max(stated_ms.idle(key[0], state) for key in run.keys for state in State)
    run.run(run.world.now + longest * 1.2 + 500)
    left = [key for key in run.keys if any(run.find(name, key) is not None for name in run.names)]
    assert not left, f"never forgotten: {left}"
    run.checker.check()
    return run


def _step(run: Run, consumers: list[Consumer], until: float) -> None:
    for consumer in sorted((one for one in consumers if one.due < until), key=lambda one: one.due):
        run.world.run(max(run.world.now, consumer.due))
        consumer.come(run)
    run.run(until)
    run.checker.check()


def _go_or_come(run: Run, random: Random) -> None:
    """Providers, each sidecar's own directory at its own time."""
    name = random.choice(sorted(THERE))
    if name in run.there:
        del run.there[name]
    else:
        run.there[name] = THERE[name]
    for node in run.names:
        if run.world.alive(node):
            run.world.kernel.at(run.world.now + random.uniform(0, 30), run.tell, node, Providers(dict(run.there)))


def _fault(run: Run, random: Random) -> None:
    world, name = run.world, random.choice(run.names)
    kind = random.choice(
        (
            "kill",
            "start",
            "start",
            "pause",
            "wake",
            "wake",
            "cut",
            "halves",
            "one way",
            "link",
            "mute",
            "slow",
            "heal",
            "heal",
            "heal",
        )
    )
    rest = [other for other in run.names if other != name]
    others = " ".join(rest)
    if kind == "kill" and world.alive(name):
        run.kill(name)
    elif kind == "start" and not world.alive(name):
        run.fault(f"start {name}")
    elif kind == "pause" and world.alive(name):
        run.fault(f"pause {name}")
        world.kernel.at(world.now + random.choice((50, 150, 400, 4000)), _wake, run, name)
    elif kind == "wake" and world.alive(name):
        run.fault(f"wake {name}")
    elif kind == "cut":
        run.fault(f"cut {name} | {others}")
    elif kind == "halves" and len(rest) > 2:
        run.fault(f"cut {name} {rest[0]} | {' '.join(rest[1:])}")
    elif kind == "one way":
        run.fault(random.choice((f"cut {name} > {others}", f"cut {others} > {name}")))
    elif kind == "link":
        run.fault(f"cut {name} | {rest[0]}")
    elif kind == "mute":
        run.fault(f"mute {name}")
    elif kind == "slow":
        run.fault(f"slow {name} > {others} {random.choice((50, 300))}")
    elif kind == "heal":
        run.fault("heal")


def _wake(run: Run, name: str) -> None:
    if run.world.alive(name):
        run.fault(f"wake {name}")


def crowd(seed: int, most: int = 24, rounds: int = 120) -> Run:
    """Tables of `most` rows, and more seen; between two sights all hear of all, nothing gets old: equal replicas."""
    random = Random(f"{seed} crowd")
    run = Run("abc", seed, tuning=replace(QUICK, flow=LONG, sessions=LONG, conn=LONG, most=most), window_ms=60_000.0)
    run.joined()
    kinds = (Kind.KEY, Kind.SESSION, Kind.CONN, Kind.FLOW, Kind.FLOW, Kind.FLOW)
    for number in range(rounds):
        kind = random.choice(kinds)
        if kind == Kind.KEY and random.random() < 0.5:
            kind = Kind.FLOW
        key = (int(kind), b"%s%d" % (kind.name.lower().encode(), random.randrange(number + 10)))
        state = random.choice((State.OPENING, State.OPEN, State.OPEN, State.CLOSING, State.LINGERING))
        run.come(random.choice(run.names), key, random.choice(sorted(THERE)), int(state))
        run.run(run.world.now + 25, sweep_ms=25)
    run.checker.same_order(run.world.now)
    run.checker.check()
    return run

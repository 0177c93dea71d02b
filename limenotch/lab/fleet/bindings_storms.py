"""Randomized runs of the affinity table, reproducible by seed.

A *client* is a key that arrives at some sidecar, is found or bound there, and returns after a share of its idle time,
often almost all of it. Flows go through all states, as in a layer-four load balancer. `fault_run` injects faults of all
kinds; `crowded_run` injects none and has tables that are too small.
"""

from __future__ import annotations

from random import Random

from msgspec.structs import replace

from limenotch.fleet.affinity.api import AvailableEndpoints, Kind, State
from limenotch.fleet.affinity.tuning import Ages, Tuning
from limenotch.lab.fleet.bindings_history import Key
from limenotch.lab.fleet.bindings_run import ENDPOINTS, FAST, SWEEP_MS, Run

LONG_AGES = Ages(opening=60_000, open=60_000, closing=60_000, lingering=60_000)


class ReturningClient:
    """A key that returns again and again; a flow goes through all its states."""

    def __init__(self, random: Random, number: int) -> None:
        self.random = random
        kind = random.choice((Kind.KEY, Kind.SESSION, Kind.CONN, Kind.FLOW, Kind.FLOW))
        self.key: Key = (int(kind), f"{kind.name.lower()}{number}".encode())
        self.state = int(State.OPENING if kind in (Kind.KEY, Kind.FLOW) else State.OPEN)
        self.due_at_ms = random.uniform(0, 1500)
        self.idle_share = random.choice((0.1, 0.3, 0.6))  # usual share of the idle time between two requests

    def send_request(self, run: Run) -> None:
        random = self.random
        name = random.choice(run.names)
        endpoint = random.choice(sorted(run.endpoints)) if run.endpoints else "none"
        if self.state < State.CLOSING and random.random() < 0.1:
            # At two sidecars at once: neither can have received the other's update.
            run.client_request(
                random.choice(run.names), self.key, random.choice(sorted(run.endpoints) or ["none"]), self.state
            )
        run.client_request(name, self.key, endpoint, self.state)
        idle = run.checker.guarantees.idle_ms(self.key[0], self.state)
        share = self.idle_share if random.random() < 0.8 else random.choice((0.9, 0.98, 1.0, 1.02, 1.1, 1.3, 3.0))
        self.due_at_ms = run.world.now + idle * share
        # `and` binds first: a flow advances with probability 0.25, and any binding that is opening always advances.
        if self.key[0] == Kind.FLOW and random.random() < 0.25 or self.state == State.OPENING:
            self.state += 1
        if self.state > State.LINGERING:  # the same five-tuple is reused, sometimes too soon
            self.state = int(State.OPENING)
            self.due_at_ms = run.world.now + idle * random.choice((0.5, 1.5, 4.0))


def fault_run(seed: int, span_ms: float = 6000.0, tuning: Tuning = FAST, client_count: int = 12) -> Run:
    """Returns a checked run of random requests and faults, all drawn from the seed.

    The run has three phases: requests and faults for `span_ms`; requests without faults, until the tables must be
    equal; no requests, until all bindings must be removed. Clocks drift apart by up to the configured bound: each is
    off by a little less than half of it.
    """
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
    run.wait_until_joined()
    run.report_impairments()
    run.fault(f"loss {random.choice((0, 0, 5, 20))}%")
    run.fault(f"delay 1..{delay}")
    run.fault(f"double {random.choice((0, 0, 10))}%")
    run.fault(f"reorder {random.choice((0, 0, 10))}%")
    clients = [ReturningClient(random, number) for number in range(client_count)]
    begin, fault_chance = run.world.now, random.choice((0.0, 0.03, 0.08))  # in each step
    while run.world.now < begin + span_ms:
        _step(run, clients, run.world.now + SWEEP_MS)
        if random.random() < fault_chance:
            _inject_random_fault(run, random)
        if random.random() < 0.01:
            _change_endpoints(run, random)
    run.end_faults()
    guarantees = run.checker.guarantees
    until_ms = max(run.world.now, run.checker.lossy_until) + guarantees.convergence_ms + 2500
    while run.world.now < until_ms:
        _step(run, clients, run.world.now + SWEEP_MS)
    # No client sends any more: all bindings must be removed.
    longest_idle_ms = max(guarantees.idle_ms(key[0], state) for key in run.keys for state in State)
    run.run(run.world.now + longest_idle_ms * 1.2 + 500)
    found_keys = [key for key in run.keys if any(run.find(name, key) is not None for name in run.names)]
    assert not found_keys, f"never removed: {found_keys}"
    run.checker.check()
    return run


def _step(run: Run, clients: list[ReturningClient], until_ms: float) -> None:
    for client in sorted(
        (candidate for candidate in clients if candidate.due_at_ms < until_ms),
        key=lambda candidate: candidate.due_at_ms,
    ):
        run.world.run(max(run.world.now, client.due_at_ms))
        client.send_request(run)
    run.run(until_ms)
    run.checker.check()


def _change_endpoints(run: Run, random: Random) -> None:
    """Removes or adds an endpoint; each sidecar learns of it at its own time."""
    name = random.choice(sorted(ENDPOINTS))
    if name in run.endpoints:
        del run.endpoints[name]
    else:
        run.endpoints[name] = ENDPOINTS[name]
    for node in run.names:
        if run.world.alive(node):
            run.world.kernel.schedule(
                run.world.now + random.uniform(0, 30), run.notify, node, AvailableEndpoints(dict(run.endpoints))
            )


def _inject_random_fault(run: Run, random: Random) -> None:
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
    other_names = [other for other in run.names if other != name]
    others = " ".join(other_names)
    if kind == "kill" and world.alive(name):
        run.kill(name)
    elif kind == "start" and not world.alive(name):
        run.fault(f"start {name}")
    elif kind == "pause" and world.alive(name):
        run.fault(f"pause {name}")
        world.kernel.schedule(world.now + random.choice((50, 150, 400, 4000)), _wake, run, name)
    elif kind == "wake" and world.alive(name):
        run.fault(f"wake {name}")
    elif kind == "cut":
        run.fault(f"cut {name} | {others}")
    elif kind == "halves" and len(other_names) > 2:
        run.fault(f"cut {name} {other_names[0]} | {' '.join(other_names[1:])}")
    elif kind == "one way":
        run.fault(random.choice((f"cut {name} > {others}", f"cut {others} > {name}")))
    elif kind == "link":
        run.fault(f"cut {name} | {other_names[0]}")
    elif kind == "mute":
        run.fault(f"mute {name}")
    elif kind == "slow":
        run.fault(f"slow {name} > {others} {random.choice((50, 300))}")
    elif kind == "heal":
        run.fault("heal")


def _wake(run: Run, name: str) -> None:
    if run.world.alive(name):
        run.fault(f"wake {name}")


def crowded_run(seed: int, max_rows: int = 24, rounds: int = 120) -> Run:
    """More bindings than tables of `most` rows can store. Between two uses all updates arrive and nothing expires, so
    that replicas are equal.
    """
    random = Random(f"{seed} crowd")
    run = Run(
        "abc",
        seed,
        tuning=replace(FAST, flow=LONG_AGES, sessions=LONG_AGES, conn=LONG_AGES, most=max_rows),
        window_ms=60_000.0,
    )
    run.wait_until_joined()
    kinds = (Kind.KEY, Kind.SESSION, Kind.CONN, Kind.FLOW, Kind.FLOW, Kind.FLOW)
    for number in range(rounds):
        kind = random.choice(kinds)
        if kind == Kind.KEY and random.random() < 0.5:  # half of the KEY draws become FLOW: KEY is the rarest
            kind = Kind.FLOW
        key = (int(kind), b"%s%d" % (kind.name.lower().encode(), random.randrange(number + 10)))
        state = random.choice((State.OPENING, State.OPEN, State.OPEN, State.CLOSING, State.LINGERING))
        run.client_request(random.choice(run.names), key, random.choice(sorted(ENDPOINTS)), int(state))
        run.run(run.world.now + 25, sweep_ms=25)
    run.checker.check_eviction_order(run.world.now)
    run.checker.check()
    return run

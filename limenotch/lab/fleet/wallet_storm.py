"""One run of the wallet under everything at once, the same for the same seed: calls everywhere, one sidecar with nine
tenths of them, operators on both sides of cuts with repeated ids, cuts, one-way cuts, pauses, kills, wipes, leaders
gone, clocks that drift as far as the settings allow. Then a calm in which all must come out exactly.
"""

from __future__ import annotations

from random import Random

import msgspec

from limenotch.fleet.wallet.tuning import Tuning
from limenotch.lab.fleet.wallet_run import QUICK, Run

TENANTS = ("t1", "t2")
LONG = msgspec.structs.replace(QUICK, slice_ms=3000, step=0.02)  # slices outlast a lease, marks come often
LATE_MS = 20_000.0  # for all to settle in the calm: a failing run's bound


def storm(seed: int, span_ms: float = 2000.0, tuning: Tuning = QUICK) -> Run:
    """AssertionError with what did not hold."""
    random = Random(f"{seed} wallet")
    voters = random.choice((3, 3, 5))
    names = list("abcdefg"[: voters + random.choice((0, 1, 2))])
    if random.random() < 0.25:
        tuning = msgspec.structs.replace(tuning, without_lease="advance", advance=random.choice((3, 20)))
    run = Run(names, tuple(names[:voters]), tuning)
    run.begin(seed, drift_ppm=tuning.drift * 0.49e6, wake=random.choice(("timers", "heard")))
    run.begun()
    ids: list[tuple[str, str, int]] = []
    for tenant in TENANTS:
        _credit(run, random, ids, names[0], tenant, random.choice((3, 40, 300, 2000)))
    _consumers(run, random)
    run.fault(f"loss {random.choice((0, 0, 5, 20))}%")
    run.fault(f"delay 1..{random.choice((1, 5, 40))}")
    run.fault(f"double {random.choice((0, 10))}%")
    world = run.world
    begin, wiped = world.now, False
    while world.now < begin + span_ms:
        world.run(world.now + random.choice((5, 20, 60, 150)))
        what, name = random.random(), random.choice(names)
        if what < 0.2:
            _operator(run, random, ids)
        elif what < 0.3:
            _consumers(run, random)
        elif what < 0.4:
            for _ in range(random.choice((1, 10, 30))):
                run.call(
                    name, random.choice(TENANTS), span_ms=random.choice((1, 50, 700)), served=random.random() < 0.8
                )
        elif what > 0.75:
            wiped = _fault(run, random, name, wiped)
    calm(run)
    run.world.run(run.now() + 700)
    ended(run, ids)
    return run


def aside(seed: int, rounds: int = 2, tuning: Tuning = LONG) -> Run:
    """A busy holder that its witnesses hear, and the leader, or the next one, doesn't; half of the time it is paused
    for about a lease, with a grant on its way. What a lease is for shows here: the leader takes it for gone while it
    could go on, mark after mark."""
    random = Random(f"{seed} aside")
    names = list("abcdef")
    run = Run(names, tuple("abcde"), tuning)
    run.begin(seed, drift_ppm=tuning.drift * 0.49e6, wake=random.choice(("timers", "heard")))
    run.begun()
    run.add("t1", 100_000, "x")
    run.stream("f", "t1", 250.0, random, span_ms=5.0)
    run.stream("a", "t1", 20.0, random)
    for _ in range(rounds):
        run.fault(f"delay 1..{random.choice((10, 30))}")
        run.world.run(run.now() + 1000 + random.random() * 200)
        leader = run.leader() or "a"
        other = random.choice([name for name in run.voters if name != leader])
        paused = random.random() < 0.5
        if paused:
            run.fault("pause f")
            run.world.run(run.now() + random.random() * 150)
        run.fault(f"cut f | {leader} {other}")
        if random.random() < 0.5:
            run.fault(f"kill {leader}")
        if paused:
            run.world.run(run.now() + tuning.lease_ms * (0.4 + 0.6 * random.random()))
            run.fault("wake f")
        run.world.run(run.now() + 2 * tuning.lease_ms)
        calm(run)
    run.world.run(run.now() + 700)
    ended(run, [("t1", "x", 100_000)])
    return run


def ended(run: Run, ids: list[tuple[str, str, int]]) -> None:
    """In the calm: no further calls, all slices come in, every id is counted once, all agree."""
    run.quiet()
    run.settled(LATE_MS)
    for tenant, ident, amount in dict.fromkeys(ids):
        run.add(tenant, amount, ident, LATE_MS)
    # Who was turned away asks again with the credit, and gives back what nobody wants any more.
    run.world.run(run.now() + 3 * (run.tuning.idle_ms + run.tuning.lease_ms))
    run.settled(LATE_MS)
    for tenant, sums in run.checker.sums.items():
        kept = run.checker.latest[tenant]
        asked = sum(sums.ids.values())
        assert kept.credit == asked, f"{tenant}: credit {kept.credit}, the ids make {asked}"
    run.checker.finished()


def pauses(run: Run, tenant: str = "dry", amount: int = 150, per_s: float = 200.0) -> tuple[float, float]:
    """In a calm: a wallet that runs dry under calls at all members, nine tenths at the first, and new credit.

    ms to pause and to resume, of which at most the time between two calls is their own; AssertionError where that is
    more than the settings say.
    """
    begin = run.add(tenant, amount, f"{tenant} first")
    rest = per_s * 0.1 / (len(run.names) - 1)
    for number, name in enumerate(run.names):
        run.stream(name, tenant, rest if number else per_s * 0.9)
    sums, gap = run.checker.sums[tenant], 1000 / rest
    run.until(lambda: sums.charged + sums.reserved >= amount, LATE_MS, "all of the credit is spent")
    run.world.run(run.now() + 500)
    paused = run.checker.paused_ms(tenant, begin)
    since = run.add(tenant, 20 * amount, f"{tenant} second")
    run.until(lambda: run.checker.resumed_ms(tenant, since, run.names) < float("inf"), LATE_MS, "all serve again")
    resumed = run.checker.resumed_ms(tenant, since, run.names)
    for name in run.names:
        run.stream(name, tenant, 0)
    for what, ms, most in (("pause", paused, run.tuning.pause_ms), ("resume", resumed, run.tuning.resume_ms)):
        if ms > most + gap:
            raise AssertionError(f"{what} after {ms:.0f} ms; stated are {most:.0f}, and {gap:.0f} between two calls")
    return paused, resumed


def _credit(run: Run, random: Random, ids: list[tuple[str, str, int]], name: str, tenant: str, amount: int) -> None:
    ident = f"x{len(ids)}"
    ids.append((tenant, ident, amount))
    run.ask(name, "add", tenant, amount, ident)


def _operator(run: Run, random: Random, ids: list[tuple[str, str, int]]) -> None:
    """At one sidecar, or at two with one id; or an id of before again."""
    here, there = random.choice(run.names), random.choice(run.names)
    kind = random.random()
    if kind < 0.5:
        _credit(run, random, ids, here, random.choice(TENANTS), random.choice((1, 5, 50, 200)))
    elif kind < 0.7:
        _credit(run, random, ids, here, random.choice(TENANTS), random.choice((1, 50)))
        tenant, ident, amount = ids[-1]
        run.ask(there, "add", tenant, amount, ident)
    elif kind < 0.9 and ids:
        tenant, ident, amount = random.choice(ids)
        run.ask(here, "add", tenant, amount, ident)
    else:
        run.ask(here, "show", random.choice((*TENANTS, "")))


def _consumers(run: Run, random: Random) -> None:
    busy = random.choice(run.names)
    for name in run.names:
        for tenant in TENANTS:
            whole = random.choice((20.0, 60.0, 200.0))
            rate = whole * (0.9 if name == busy else 0.1 / len(run.names))
            run.stream(
                name,
                tenant,
                rate,
                Random(f"{random.random()}"),
                dear=0.1,
                failed=0.1,
                span_ms=random.choice((2.0, 20.0, 200.0)),
            )


def _fault(run: Run, random: Random, name: str, wiped: bool) -> bool:
    world = run.world
    kind = random.choice(
        (
            "kill",
            "kill",
            "start",
            "start",
            "pause",
            "pause",
            "wake",
            "wake",
            "cut",
            "two",
            "one way",
            "heal",
            "heal",
            "leader",
            "wipe",
            "all",
            "aside",
            "aside",
        )
    )
    if kind == "leader":
        name = run.leader() or name
        kind = random.choice(("pause", "kill", "one way", "cut"))
    rest = " ".join(other for other in run.names if other != name)
    if kind == "kill" and world.alive(name):
        run.fault(f"kill {name}")
    elif kind == "start" and not world.alive(name):
        run.fault(f"start {name}")
    elif kind in ("pause", "wake") and world.alive(name):
        run.fault(f"{kind} {name}")
    elif kind == "cut":
        run.fault(f"cut {name} | {rest}")
    elif kind == "two":
        side = random.sample(run.names, len(run.names) // 2)
        run.fault(f"cut {' '.join(side)} | {' '.join(one for one in run.names if one not in side)}")
    elif kind == "one way":
        run.fault(random.choice((f"cut {name} > {rest}", f"cut {rest} > {name}")))
    elif kind == "aside":
        leader = run.leader() or run.names[0]
        if name != leader:
            run.fault(random.choice((f"cut {name} > {leader}", f"cut {name} | {leader}")))
    elif kind == "heal":
        run.fault("heal")
    elif kind == "wipe" and not wiped:
        run.fault(f"wipe {name}")
        run.fault(f"start {name}")
        return True
    elif kind == "all" and random.random() < 0.3:
        run.fault(f"kill {' '.join(run.names)}")
        run.fault(f"start {' '.join(run.names)}")
    return wiped


def calm(run: Run) -> None:
    for text in ("heal", "loss 0%", "double 0%", "delay 1..1"):
        run.fault(text)
    for name, node in run.world.nodes.items():
        if not run.world.alive(name):
            run.fault(f"start {name}")
        elif node.paused:
            run.fault(f"wake {name}")

"""One randomized fault run of the wallet, the same for the same seed: requests everywhere, one sidecar with nine tenths
of them, operators on both sides of network partitions with repeated ids, partitions, one-way partitions, pauses,
crashes, wiped disks, lost leaders, clocks that drift as far as the settings allow. Then a quiet phase in which all must
add up.
"""

from __future__ import annotations

from random import Random

import msgspec

from limenotch.fleet.wallet.tuning import Tuning
from limenotch.lab.fleet.wallet_run import FAST_TUNING, Run

TENANTS = ("t1", "t2")
LONG_ALLOCATIONS = msgspec.structs.replace(
    FAST_TUNING, slice_ms=3000, step=0.02
)  # allocations outlast a lease, spend limits are raised often
SETTLE_LIMIT_MS = 20_000.0  # for all to settle in the quiet phase: the bound of a failing run


def random_fault_run(seed: int, duration_ms: float = 2000.0, tuning: Tuning = FAST_TUNING) -> Run:
    """AssertionError with the violated rule."""
    random = Random(f"{seed} wallet")
    voters = random.choice((3, 3, 5))
    names = list("abcdefg"[: voters + random.choice((0, 1, 2))])
    if random.random() < 0.25:
        tuning = msgspec.structs.replace(tuning, without_lease="advance", advance=random.choice((3, 20)))
    run = Run(names, tuple(names[:voters]), tuning)
    run.begin(seed, drift_ppm=tuning.drift * 0.49e6, wake_order=random.choice(("timers", "heard")))
    run.wait_for_leader()
    ids: list[tuple[str, str, int]] = []
    for tenant in TENANTS:
        _add_credit(run, random, ids, names[0], tenant, random.choice((3, 40, 300, 2000)))
    _random_streams(run, random)
    run.fault(f"loss {random.choice((0, 0, 5, 20))}%")
    run.fault(f"delay 1..{random.choice((1, 5, 40))}")
    run.fault(f"double {random.choice((0, 10))}%")
    world = run.world
    begin_ms, wiped = world.now, False
    while world.now < begin_ms + duration_ms:
        world.run(world.now + random.choice((5, 20, 60, 150)))
        chance, name = random.random(), random.choice(names)
        if chance < 0.2:
            _random_operator_request(run, random, ids)
        elif chance < 0.3:
            _random_streams(run, random)
        elif chance < 0.4:
            for _ in range(random.choice((1, 10, 30))):
                run.send_request(
                    name, random.choice(TENANTS), duration_ms=random.choice((1, 50, 700)), served=random.random() < 0.8
                )
        elif chance > 0.75:
            wiped = _random_fault(run, random, name, wiped)
    end_faults(run)
    run.world.run(run.now() + 700)
    check_end(run, ids)
    return run


def isolated_holder_run(seed: int, rounds: int = 2, tuning: Tuning = LONG_ALLOCATIONS) -> Run:
    """A busy holder that reaches its witnesses, but not the leader, or the next one; half of the time it is also paused
    for about the span of a lease, with a grant in flight.

    This shows what the lease is for: the leader considers the holder gone while it could go on spending, raising limit
    after limit.
    """
    random = Random(f"{seed} aside")
    names = list("abcdef")
    run = Run(names, tuple("abcde"), tuning)
    run.begin(seed, drift_ppm=tuning.drift * 0.49e6, wake_order=random.choice(("timers", "heard")))
    run.wait_for_leader()
    run.add_credit("t1", 100_000, "x")
    run.send_stream("f", "t1", 250.0, random, duration_ms=5.0)
    run.send_stream("a", "t1", 20.0, random)
    for _ in range(rounds):
        run.fault(f"delay 1..{random.choice((10, 30))}")
        run.world.run(run.now() + 1000 + random.random() * 200)
        leader = run.leader() or "a"
        peer = random.choice([name for name in run.voters if name != leader])
        paused = random.random() < 0.5
        if paused:
            run.fault("pause f")
            run.world.run(run.now() + random.random() * 150)
        run.fault(f"cut f | {leader} {peer}")
        if random.random() < 0.5:
            run.fault(f"kill {leader}")
        if paused:
            run.world.run(run.now() + tuning.lease_ms * (0.4 + 0.6 * random.random()))
            run.fault("wake f")
        run.world.run(run.now() + 2 * tuning.lease_ms)
        end_faults(run)
    run.world.run(run.now() + 700)
    check_end(run, [("t1", "x", 100_000)])
    return run


def check_end(run: Run, ids: list[tuple[str, str, int]]) -> None:
    """In the quiet phase: no further requests, all allocations are settled, each id is counted once, all members
    agree.
    """
    run.stop_streams()
    run.wait_until_settled(SETTLE_LIMIT_MS)
    for tenant, credit_id, amount in dict.fromkeys(ids):
        run.add_credit(tenant, amount, credit_id, SETTLE_LIMIT_MS)
    # A client that was rejected tries again with the credit, and allocations that are no longer needed are returned.
    run.world.run(run.now() + 3 * (run.tuning.idle_ms + run.tuning.lease_ms))
    run.wait_until_settled(SETTLE_LIMIT_MS)
    for tenant, totals in run.checker.totals.items():
        wallet = run.checker.latest_state[tenant]
        requested = sum(totals.requested_credits.values())
        assert wallet.credit == requested, f"{tenant}: credit {wallet.credit}, the ids make {requested}"
    run.checker.check_final_state()


def measure_pause(run: Run, tenant: str = "dry", amount: int = 150, per_s: float = 200.0) -> tuple[float, float]:
    """In a quiet phase: a wallet that runs out under requests at all members, nine tenths at the first, and new credit.

    Returns the ms to pause and to resume, of which at most the time between two requests is their own; AssertionError
    if that is more than the settings state.
    """
    begin_ms = run.add_credit(tenant, amount, f"{tenant} first")
    rest = per_s * 0.1 / (len(run.names) - 1)
    for number, name in enumerate(run.names):
        run.send_stream(name, tenant, rest if number else per_s * 0.9)
    totals, gap_ms = run.checker.totals[tenant], 1000 / rest
    run.run_until(lambda: totals.charged + totals.reserved >= amount, SETTLE_LIMIT_MS, "all of the credit is spent")
    run.world.run(run.now() + 500)
    paused = run.checker.paused_ms(tenant, begin_ms)
    since_ms = run.add_credit(tenant, 20 * amount, f"{tenant} second")
    run.run_until(
        lambda: run.checker.resumed_ms(tenant, since_ms, run.names) < float("inf"), SETTLE_LIMIT_MS, "all serve again"
    )
    resumed = run.checker.resumed_ms(tenant, since_ms, run.names)
    for name in run.names:
        run.send_stream(name, tenant, 0)
    for phase, ms, limit_ms in (("pause", paused, run.tuning.pause_ms), ("resume", resumed, run.tuning.resume_ms)):
        if ms > limit_ms + gap_ms:
            raise AssertionError(
                f"{phase} after {ms:.0f} ms; stated are {limit_ms:.0f}, and {gap_ms:.0f} between two requests"
            )
    return paused, resumed


def _add_credit(run: Run, random: Random, ids: list[tuple[str, str, int]], name: str, tenant: str, amount: int) -> None:
    credit_id = f"x{len(ids)}"
    ids.append((tenant, credit_id, amount))
    run.operator_request(name, "add", tenant, amount, credit_id)


def _random_operator_request(run: Run, random: Random, ids: list[tuple[str, str, int]]) -> None:
    """A credit at one sidecar, or at two with one id; or an earlier id again."""
    first, second = random.choice(run.names), random.choice(run.names)
    chance = random.random()
    if chance < 0.5:
        _add_credit(run, random, ids, first, random.choice(TENANTS), random.choice((1, 5, 50, 200)))
    elif chance < 0.7:
        _add_credit(run, random, ids, first, random.choice(TENANTS), random.choice((1, 50)))
        tenant, credit_id, amount = ids[-1]
        run.operator_request(second, "add", tenant, amount, credit_id)
    elif chance < 0.9 and ids:
        tenant, credit_id, amount = random.choice(ids)
        run.operator_request(first, "add", tenant, amount, credit_id)
    else:
        run.operator_request(first, "show", random.choice((*TENANTS, "")))


def _random_streams(run: Run, random: Random) -> None:
    busy = random.choice(run.names)
    for name in run.names:
        for tenant in TENANTS:
            total = random.choice((20.0, 60.0, 200.0))
            rate = total * (0.9 if name == busy else 0.1 / len(run.names))
            run.send_stream(
                name,
                tenant,
                rate,
                Random(f"{random.random()}"),
                dear=0.1,
                failed=0.1,
                duration_ms=random.choice((2.0, 20.0, 200.0)),
            )


def _random_fault(run: Run, random: Random, name: str, wiped: bool) -> bool:
    world = run.world
    fault_kind = random.choice(
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
    if fault_kind == "leader":
        name = run.leader() or name
        fault_kind = random.choice(("pause", "kill", "one way", "cut"))
    others = " ".join(member for member in run.names if member != name)
    if fault_kind == "kill" and world.alive(name):
        run.fault(f"kill {name}")
    elif fault_kind == "start" and not world.alive(name):
        run.fault(f"start {name}")
    elif fault_kind in ("pause", "wake") and world.alive(name):
        run.fault(f"{fault_kind} {name}")
    elif fault_kind == "cut":
        run.fault(f"cut {name} | {others}")
    elif fault_kind == "two":
        side = random.sample(run.names, len(run.names) // 2)
        run.fault(f"cut {' '.join(side)} | {' '.join(node for node in run.names if node not in side)}")
    elif fault_kind == "one way":
        run.fault(random.choice((f"cut {name} > {others}", f"cut {others} > {name}")))
    elif fault_kind == "aside":
        leader = run.leader() or run.names[0]
        if name != leader:
            run.fault(random.choice((f"cut {name} > {leader}", f"cut {name} | {leader}")))
    elif fault_kind == "heal":
        run.fault("heal")
    elif fault_kind == "wipe" and not wiped:
        run.fault(f"wipe {name}")
        run.fault(f"start {name}")
        return True
    elif fault_kind == "all" and random.random() < 0.3:
        run.fault(f"kill {' '.join(run.names)}")
        run.fault(f"start {' '.join(run.names)}")
    return wiped


def end_faults(run: Run) -> None:
    """Ends all faults and starts or wakes all members."""
    for text in ("heal", "loss 0%", "double 0%", "delay 1..1"):
        run.fault(text)
    for name, node in run.world.nodes.items():
        if not run.world.alive(name):
            run.fault(f"start {name}")
        elif node.paused:
            run.fault(f"wake {name}")

"""Send calls to sidecars, open loop, and say how long they took from the moment they were meant to leave.

Usage:
  limenotch lab load <address>... --scenario NAME [--rate R] [--seconds S] [--connections N] [--seed N] [--json FILE]

Options:
  --scenario NAME   Whose classes, accounts and clients are played.
  --rate R          Calls a second, 0.1 to 20000; default: the scenario's.
  --seconds S       How long, 0.1 to 600 [default: 10].
  --connections N   At most, for each address [default: 500].
  --seed N          [default: 1].
  --json FILE       Write all figures there; `-`: standard output.

<address> is HOST:PORT; only loopback hosts are accepted. Exit code 3: a call had no answer in time, or two.
"""

from __future__ import annotations

import asyncio
import ipaddress
import sys
from time import monotonic, process_time
from typing import Any

from docopt import docopt
from rich.console import Console

from ...config import ConfigError, address
from ...lab import planning, scenario
from ...lab.emulate.load import SLACK_MS, LoadGenerator
from ...lab.emulate.wire import Pool
from ...lab.model.chance import Seeds
from ...lab.model.clients import Clients, Request
from ...lab.model.rules import Limits, RuleChecker
from ...lab.planning import Plan
from ...lab.record import Record
from ...lab.tallies import histogram, quantiles
from ...toml import FaultError
from ..arguments import number, whole_number
from .run import write_json

PROGRESS_INTERVAL_S = 0.5


def loopback_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT. Raises FaultError unless the host is a loopback address."""
    try:
        host, port = address(text, "<address>")
        if not ipaddress.ip_address(host).is_loopback:
            raise FaultError(f"<address>: {text}: only loopback addresses are loaded")
    except (ConfigError, ValueError) as error:
        raise FaultError(f"{error}") from None
    return host, port


async def send(plan: Plan, addresses: list[tuple[str, int]], connections: int, console: Console) -> dict[str, Any]:
    """Sends the plan's calls to the sidecars at `addresses` in turn, and returns the results.

    `connections`: how many may be open to each address at once.
    """
    seeds = Seeds(plan.seed)
    clients = Clients(
        plan.clients, plan.classes, plan.accounts, len(plan.network.zones), plan.quota_per_s, seeds, plan.trace
    )
    record, rules = Record(plan, []), RuleChecker(Limits(slack_ms=SLACK_MS))
    pools = [Pool(host, port, connections) for host, port in addresses]
    started_at, cpu_started = monotonic(), process_time()
    calls_chosen = [0]

    def clock() -> float:
        return (monotonic() - started_at) * 1000.0

    def choose(request: Request) -> Pool:
        calls_chosen[0] += 1
        return pools[calls_chosen[0] % len(pools)]

    # The ids are unique to this run, as calls of another run may still be open at the sidecars.
    load = LoadGenerator(plan, clients, record, rules, clock, choose, f"l{plan.seed}-{int(started_at * 1000) % 10**9}-")

    async def show_progress() -> None:
        with console.status("") as status:
            while True:
                p = load.progress
                status.update(
                    f"{clock() / 1000:5.1f} of {plan.length_ms / 1000:g} s  asked {p.asked}  open {p.open}  "
                    f"served {p.served}  rejected {p.rejected}  failed {p.failed}"
                )
                await asyncio.sleep(PROGRESS_INTERVAL_S)

    progress_task = asyncio.get_running_loop().create_task(show_progress())
    try:
        await load.run(plan.length_ms)
        spent_s = clock() / 1000.0
    finally:
        progress_task.cancel()
        load.stop()
        for pool in pools:
            pool.close()
    rules.run_ended(clock())
    record.rules = rules
    delays_us = histogram()
    for delay_us in load.lateness_us:
        delays_us.record_value(max(delay_us, 1))
    machine = {
        "sent_late_ms": quantiles(delays_us),
        "cpu_s": round(process_time() - cpu_started, 3),
        "seconds": round(spent_s, 3),
        "connections": sum(pool.opened for pool in pools),
        "foreign_answers": load.foreign_responses,
    }
    return {**record.result(), "host": "load", "machine": machine}


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        addresses = [loopback_address(text) for text in options["<address>"]]
        overrides = [f"length_s = {number(options, '--seconds', 0.1, 600)!r}", "fault = []"]
        if options["--rate"] is not None:
            overrides.append(f"clients.rate_per_s = {number(options, '--rate', 0.1, 20_000)!r}")
        chosen = scenario.load_for_load(options["--scenario"], overrides)
        plan = planning.plan(chosen, whole_number(options, "--seed", 0))
        results = asyncio.run(send(plan, addresses, whole_number(options, "--connections", 1), Console(stderr=True)))
        if options["--json"] is not None:
            write_json(options["--json"], results)
    except FaultError as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("limenotch: interrupted", file=sys.stderr)
        return 4
    output = sys.stderr if options["--json"] == "-" else sys.stdout
    m, machine, requests = results["metrics"], results["machine"], results["requests"]
    print(
        f"asked {requests['asked']}, tries {requests['tries']}, served {requests['served']}, "
        f"rejected {requests['rejected']}, failed {requests['failed']}, timed out {requests['timed out']}",
        file=output,
    )
    print(
        f"in time {m['in_time']:.2%}; ms from the intended time: p50 {m['p50_ms']:.1f}, p95 {m['p95_ms']:.1f}, "
        f"p99 {m['p99_ms']:.1f}",
        file=output,
    )
    delays_ms = machine["sent_late_ms"]
    print(
        f"this tool: sent late by {delays_ms.get('p50', 0):.2f} ms (p50), {delays_ms.get('p99', 0):.2f} ms (p99); "
        f"{requests['tries'] / max(machine['seconds'], 1e-9):.0f} calls a second on {machine['connections']} "
        f"connections, {machine['cpu_s'] / max(requests['tries'], 1) * 1e6:.0f} us of CPU a call",
        file=output,
    )
    return 3 if m["rules_broken"] else 0

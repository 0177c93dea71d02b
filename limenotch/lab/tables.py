"""Tables of runs and comparisons for the terminal."""

from __future__ import annotations

from typing import IO

from rich.console import Console
from rich.table import Table

from .compare import SHOWN, Comparison
from .experiment import Result

COLUMNS = (
    ("score", "score", "{:.3f}"),
    ("in time", "in_time", "{:.1%}"),
    ("worst 10 s", "worst_10s", "{:.3f}"),
    ("worst class", "worst_class", "{:.3f}"),
    ("rejected", "rejected", "{:.1%}"),
    ("failed", "failed", "{:.1%}"),
    ("again", "again", "{:.1%}"),
    ("wasted", "wasted_work", "{:.1%}"),
    ("p50 ms", "p50_ms", "{:.0f}"),
    ("p95 ms", "p95_ms", "{:.0f}"),
    ("p99 ms", "p99_ms", "{:.0f}"),
)


def print_runs(results: list[Result], to: IO[str]) -> None:
    console = Console(file=to, highlight=False, width=None if to.isatty() else 120)
    first = results[0].figures
    providers = "+".join(map(str, first["providers"]))
    console.print(
        f"{first['scenario']}: {providers} providers, {first['sidecars']} sidecars, "
        f"{first['length_ms'] / 1000:g} s, policy {first['policy']}",
        markup=False,
    )
    if first["look_for"]:
        console.print(f"look for: {first['look_for']}", markup=False)
    table = Table(box=None, pad_edge=False)
    table.add_column("seed", justify="right")
    table.add_column("calls", justify="right")
    for title, _, _ in COLUMNS:
        table.add_column(title, justify="right")
    table.add_column("rules", justify="right")
    for result in results:
        metrics = result.figures["metrics"]
        broken = metrics["rules_broken"]
        table.add_row(
            str(result.figures["seed"]),
            str(result.figures["requests"]["asked"]),
            *(form.format(metrics[key]) for _, key, form in COLUMNS),
            f"{broken} broken" if broken else "kept",
        )
    console.print(table)
    for result in results:
        for violation in result.figures["rules"]["violations"][:3]:
            console.print(
                f"seed {result.figures['seed']}: rule broken at {violation['at_ms']:.0f} ms: "
                f"{violation['rule']}: {violation['text']}",
                markup=False,
            )
            for line in violation["history"]:
                console.print(f"    {line}", markup=False)
        if result.figures["cut_short"]:
            console.print(f"seed {result.figures['seed']}: cut short, too many calls were open at once")
    if results[0].job.timed:
        cpu = sum(r.cost["cpu_s"] for r in results)
        calls = sum(r.cost["calls"] for r in results)
        console.print(
            f"{calls:.0f} calls of sidecars in {cpu:.2f} s of CPU: {calls / cpu:.0f} a second and core, "
            f"{sum(r.cost['deciding_s'] for r in results) / cpu:.0%} of it decisions, "
            f"{sum(r.cost['events'] for r in results) / cpu:.0f} events a second"
        )


STYLES = {"better": "green", "worse": "red"}


def print_comparisons(comparisons: list[Comparison], to: IO[str]) -> None:
    console = Console(file=to, highlight=False, width=None if to.isatty() else 110)
    for each in comparisons:
        console.print(
            f"\n{each.scenario}: {each.other} against {each.first}, {len(each.seeds)} pairs: {each.verdict}",
            markup=False,
        )
        table = Table(box=None, pad_edge=False)
        for title in ("metric", each.first, each.other, "difference", "95% interval", ""):
            table.add_column(title, justify="left" if title in ("metric", "") else "right")
        for found in each.differences:
            if found.metric in SHOWN:
                digits = ".0f" if found.metric.endswith("_ms") else ".4f"
                table.add_row(
                    found.metric,
                    f"{found.first:{digits}}",
                    f"{found.other:{digits}}",
                    f"{found.mean:+{digits}}",
                    f"{found.low:+{digits}} to {found.high:+{digits}}",
                    found.verdict,
                    style=STYLES.get(found.verdict, ""),
                )
        console.print(table)

"""What a fleet of sidecars did, counted over all of their logs: a line a second beside a script of faults.

Reads the JSON lines that `serve --log json` writes at level `debug`, one file a sidecar. A time in seconds may stand
before each line, as some collectors put it there; else the line's own time counts, from the earliest one on.
Lines that are not such JSON are counted and skipped.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

AGES_S = (1.0, 3.0, 6.0, 12.0, 24.0)  # bounds of how long ago a provider had started when it was sent to


@dataclass
class Second:
    """Counts of one second, over all sidecars of one layer."""

    counts: Counter[str] = field(default_factory=Counter)
    ages: Counter[str] = field(default_factory=Counter)
    providers: Counter[str] = field(default_factory=Counter)
    limits: list[float] = field(default_factory=list)
    outs: list[float] = field(default_factory=list)
    spent_ms: list[float] = field(default_factory=list)


@dataclass
class Timeline:
    """By layer and second. `skipped` counts lines that could not be read."""

    layers: dict[int, dict[int, Second]] = field(default_factory=lambda: defaultdict(lambda: defaultdict(Second)))
    sidecars: Counter[int] = field(default_factory=Counter)
    skipped: int = 0


def _age(seconds: float) -> str:
    """Name of the span that an age lies in; providers that started long ago are `warm`."""
    return next((f"<{bound:g}s" for bound in AGES_S if seconds < bound), "warm")


def lines_of(lines: Iterable[str]) -> Iterator[tuple[float, float, dict[str, Any]] | None]:
    """Of each line: the seconds before it (or its own time), its own Unix time, its fields; None if unread."""
    for line in lines:
        if not line.strip():
            continue
        before, brace, rest = line.partition("{")
        try:
            event = json.loads(brace + rest)
            own = datetime.fromisoformat(event["timestamp"]).timestamp()
            yield (float(before) if before.strip() else own), own, event
        except (ValueError, KeyError, TypeError):
            yield None


def read(files: Iterable[Path]) -> Timeline:
    """Counts every file of the fleet. Raises OSError if one can't be read."""
    parsed: list[tuple[float, float, dict[str, Any], int]] = []
    timeline = Timeline()
    for path in files:
        layer = 0
        with open(path, encoding="utf-8", errors="replace") as file:
            for found in lines_of(file):
                if found is None:
                    timeline.skipped += 1
                    continue
                at, own, event = found
                if event.get("event") == "listening" and isinstance(event.get("layer"), int):
                    layer = event["layer"]
                parsed.append((at, own, event, layer))
        timeline.sidecars[layer] += 1
    # Seconds that stand before the lines count from the day's begin; Unix times from the earliest line.
    start = 0.0 if parsed and parsed[0][0] < 1e8 else min((p[0] for p in parsed), default=0.0)
    starts: dict[str, set[float]] = defaultdict(set)
    for _, _, event, _ in parsed:
        if event.get("event") == "told":
            with suppress(KeyError, TypeError, ValueError):  # counted below, where it is skipped
                for name, _status, since_ms, *_ in event["entries"]:
                    starts[name].add(since_ms / 1000.0)
    for at, own, event, layer in parsed:
        try:
            _count(timeline.layers[layer][int(at - start)], own, event, starts)
        except (KeyError, TypeError, ValueError):
            timeline.skipped += 1
    return timeline


def _count(second: Second, own: float, event: dict[str, Any], starts: dict[str, set[float]]) -> None:
    name = event.get("event")
    if name == "taken":
        second.counts["taken"] += 1
        second.counts["resent"] += bool(event.get("resent"))
    elif name == "invoked":
        provider, spent_ms, further = str(event["provider"]), float(event["spent_ms"]), event["number"] > 0
        second.counts["invoked"] += 1
        second.counts[str(event["ending"])] += 1
        second.counts["further"] += further
        sent = own - spent_ms / 1000.0
        begun = max((start for start in starts[provider] if start <= sent), default=0.0)  # one may restart
        second.ages[_age(sent - begun)] += 1  # 0 stands for long ago
        second.providers[provider] += 1
        second.spent_ms.append(spent_ms)
    elif name == "final":
        limit, out = float(event["limit"]), float(event["out"])
        second.counts["final " + event["verdict"]] += 1
        second.limits.append(limit)
        second.outs.append(out)
    elif name == "told":
        second.counts["list lines"] += len(event["entries"])
    elif name == "directory: asked":
        second.counts["watches"] += 1


COLUMNS = (
    "taken",
    "final rejected",
    "final failed",
    "further",
    "turned away",
    "timed out",
    "connect failed",
    "reset",
    "abandoned",
    "not sent",
    "watches",
    "list lines",
)
SPANS = (*(f"<{bound:g}s" for bound in AGES_S), "warm")


def figures(timeline: Timeline, layer: int) -> list[dict[str, float]]:
    """A dict a second: counts by their names in the log, means of limit and calls out, invoker calls by the provider's
    age, `most` to one provider and how many providers were `used`; times in ms.
    """
    rows = []
    for number, second in sorted(timeline.layers[layer].items()):
        spent = sorted(second.spent_ms)
        limit, out = (sum(v) / len(v) if v else 0.0 for v in (second.limits, second.outs))
        rows.append(
            {
                "s": number,
                **{c.replace("final ", ""): second.counts[c] for c in COLUMNS},
                "limit": round(limit, 1),
                "out": round(out, 1),
                "p50 ms": round(spent[len(spent) // 2]) if spent else 0,
                **{span: second.ages[span] for span in SPANS},
                "most": max(second.providers.values(), default=0),
                "used": len(second.providers),
            }
        )
    return rows


def table(timeline: Timeline, layer: int) -> str:
    """`figures` as text, one line a second."""
    rows = figures(timeline, layer)
    if not rows:
        return "nothing was logged"
    cells = [[*rows[0]], *([f"{value:g}" for value in row.values()] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    return "\n".join("  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in cells)

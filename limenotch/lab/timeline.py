"""Counts of the events in the logs of all sidecars of a fleet, one row per second.

Reads the JSON lines that `serve --log json` writes at level `debug`, one file per sidecar. A time in seconds may stand
before each line, as some collectors add it; otherwise the line's timestamp counts, relative to the earliest one.
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

AGE_BOUNDS_S = (1.0, 3.0, 6.0, 12.0, 24.0)  # bounds of the age of a provider when an attempt is sent to it


@dataclass
class Second:
    """The counts of one second, over all sidecars of one layer."""

    counts: Counter[str] = field(default_factory=Counter)
    ages: Counter[str] = field(default_factory=Counter)
    providers: Counter[str] = field(default_factory=Counter)
    limits: list[float] = field(default_factory=list)
    in_flight: list[float] = field(default_factory=list)
    spent_ms: list[float] = field(default_factory=list)


@dataclass
class Timeline:
    """The counts by layer and second. `skipped` counts unreadable lines."""

    layers: dict[int, dict[int, Second]] = field(default_factory=lambda: defaultdict(lambda: defaultdict(Second)))
    sidecars: Counter[int] = field(default_factory=Counter)
    skipped: int = 0


def _age(seconds: float) -> str:
    """The name of the span that contains an age; providers that started long ago are `warm`."""
    return next((f"<{bound:g}s" for bound in AGE_BOUNDS_S if seconds < bound), "warm")


def lines_of(lines: Iterable[str]) -> Iterator[tuple[float, float, dict[str, Any]] | None]:
    """Yields for each line the time before it (or its timestamp), its timestamp and its fields; None if unreadable."""
    for line in lines:
        if not line.strip():
            continue
        prefix, brace, rest = line.partition("{")
        try:
            event = json.loads(brace + rest)
            logged_at = datetime.fromisoformat(event["timestamp"]).timestamp()
            yield (float(prefix) if prefix.strip() else logged_at), logged_at, event
        except (ValueError, KeyError, TypeError):
            yield None


def read(files: Iterable[Path]) -> Timeline:
    """Counts every file of the fleet. Raises OSError if one can't be read."""
    parsed: list[tuple[float, float, dict[str, Any], int]] = []
    timeline = Timeline()
    for path in files:
        layer = 0
        with open(path, encoding="utf-8", errors="replace") as file:
            for parsed_line in lines_of(file):
                if parsed_line is None:
                    timeline.skipped += 1
                    continue
                at_s, logged_at, event = parsed_line
                if event.get("event") == "listening" and isinstance(event.get("layer"), int):
                    layer = event["layer"]
                parsed.append((at_s, logged_at, event, layer))
        timeline.sidecars[layer] += 1
    # Times before the lines count from the start of the run; Unix times count from the earliest line.
    start = 0.0 if parsed and parsed[0][0] < 1e8 else min((p[0] for p in parsed), default=0.0)
    starts: dict[str, set[float]] = defaultdict(set)
    for _, _, event, _ in parsed:
        if event.get("event") == "told":
            with suppress(KeyError, TypeError, ValueError):  # counted as skipped below
                for name, _status, since_ms, *_ in event["entries"]:
                    starts[name].add(since_ms / 1000.0)
    for at_s, logged_at, event, layer in parsed:
        try:
            _count(timeline.layers[layer][int(at_s - start)], logged_at, event, starts)
        except (KeyError, TypeError, ValueError):
            timeline.skipped += 1
    return timeline


def _count(second: Second, logged_at: float, event: dict[str, Any], starts: dict[str, set[float]]) -> None:
    name = event.get("event")
    if name == "taken":
        second.counts["taken"] += 1
        second.counts["resent"] += bool(event.get("resent"))
    elif name == "invoked":
        provider, spent_ms, further = str(event["provider"]), float(event["spent_ms"]), event["number"] > 0
        second.counts["invoked"] += 1
        second.counts[str(event["ending"])] += 1
        second.counts["further"] += further
        sent = logged_at - spent_ms / 1000.0
        started_at = max((start for start in starts[provider] if start <= sent), default=0.0)  # a provider may restart
        second.ages[_age(sent - started_at)] += 1  # 0 means long ago
        second.providers[provider] += 1
        second.spent_ms.append(spent_ms)
    elif name == "final":
        limit, in_flight = float(event["limit"]), float(event["out"])
        second.counts["final " + event["verdict"]] += 1
        second.limits.append(limit)
        second.in_flight.append(in_flight)
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
AGE_SPANS = (*(f"<{bound:g}s" for bound in AGE_BOUNDS_S), "warm")


def figures(timeline: Timeline, layer: int) -> list[dict[str, float]]:
    """A dict per second: counts by their names in the log, means of the limit and of attempts in flight, attempts by
    the provider's age, `most` to one provider and the number of `used` providers; times in ms.
    """
    rows = []
    for number, second in sorted(timeline.layers[layer].items()):
        spent = sorted(second.spent_ms)
        limit, in_flight = (sum(v) / len(v) if v else 0.0 for v in (second.limits, second.in_flight))
        rows.append(
            {
                "s": number,
                **{c.replace("final ", ""): second.counts[c] for c in COLUMNS},
                "limit": round(limit, 1),
                "out": round(in_flight, 1),
                "p50 ms": round(spent[len(spent) // 2]) if spent else 0,
                **{span: second.ages[span] for span in AGE_SPANS},
                "most": max(second.providers.values(), default=0),
                "used": len(second.providers),
            }
        )
    return rows


def table(timeline: Timeline, layer: int) -> str:
    """The result of `figures` as text, one line per second."""
    rows = figures(timeline, layer)
    if not rows:
        return "nothing was logged"
    cells = [[*rows[0]], *([f"{value:g}" for value in row.values()] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    return "\n".join("  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in cells)

"""Compares observed log lines with an expected timeline: exactly, or as a partial order with a time window.

Exactly (simulated time): at each ms each node has the expected log lines, in their order, and no others.
With a window (real processes): each node has the expected log lines, in their order, and no others; each is at most
`window_ms` before or after its row's time, relative to the actual time of the preceding fault. Within the window, rows
of different nodes may be in any order. Both ignore lines that `show` excludes and nodes without a column.

Entries bound by `&` may be in any order: on processes, each within its window. In the exact comparison only entries of
the same ms may change their order; each keeps its ms, so that such a timeline is as strict as any in simulated time.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from limenotch.lab.fleet.drawing import (
    ExpectedTimeline,
    TimelineEntry,
    column_widths,
    format_row,
    normalize,
    table_rows,
)


def compare_exactly(timeline: ExpectedTimeline, observed: Iterable[tuple[float, str, str]]) -> str | None:
    """Returns None if they match, else both side by side with a mark at the first different row."""
    found = _in_expected_order(timeline.entries, timeline.compared_entries(observed))
    if list(timeline.entries) == found:
        return None
    return _side_by_side(timeline, found, _first_difference_ms(timeline.entries, found), "")


def compare_within_window(
    timeline: ExpectedTimeline,
    observed: Iterable[tuple[float, str, str]],
    fault_times_ms: Sequence[float] = (),
    window_ms: float | None = None,
    grace_ms: float | None = None,
) -> str | None:
    """As `compare_exactly`, with a window. `fault_times_ms`: the actual times of the timeline's faults, in its order.

    `grace_ms`: unexpected lines this long before the end are ignored; default: the window. 0 is for timelines with a
    quiet end, where no line of the time after the end could be early. Raises ValueError on a wrong number of times.
    """
    if fault_times_ms and len(fault_times_ms) != len(timeline.faults):
        raise ValueError(f"{len(fault_times_ms)} times for {len(timeline.faults)} faults")
    max_deviation_ms = timeline.window_ms if window_ms is None else window_ms
    shifts = [
        (at_ms, (actual_ms - at_ms)) for (at_ms, _), actual_ms in zip(timeline.faults, fault_times_ms, strict=False)
    ]
    compared = [
        (at_ms, node, text) for at_ms, node, text in observed if node in timeline.columns and timeline.is_compared(text)
    ]
    grace_ms = max_deviation_ms if grace_ms is None else grace_ms  # lines from after the end may be early
    differences: list[tuple[int, str]] = []
    for node in timeline.columns:
        expected = [entry for entry in timeline.entries if entry.node == node]
        lines = [(at_ms, text) for at_ms, name, text in compared if name == node]
        lines = _reorder_bound(expected, lines)
        for number, entry in enumerate(expected):
            due_ms = entry.at_ms + _shift_ms(shifts, entry.at_ms)
            if number >= len(lines):
                differences.append((entry.at_ms, f"{node}: {entry.text!r} was not logged"))
                break
            at_ms, text = lines[number]
            if normalize(text) != entry.text:
                differences.append((entry.at_ms, f"{node}: {text!r} at {at_ms:.0f} where {entry.text!r} is expected"))
                break
            if abs(at_ms - due_ms) > max_deviation_ms:
                differences.append(
                    (
                        entry.at_ms,
                        f"{node}: {text!r} at {at_ms:.0f}, {abs(at_ms - due_ms):.0f} ms from {due_ms:.0f}; "
                        f"the window is {max_deviation_ms:.0f}",
                    )
                )
                break
        else:
            last = timeline.end_ms + _shift_ms(shifts, timeline.end_ms)
            unexpected = [(at_ms, text) for at_ms, text in lines[len(expected) :] if at_ms <= last - grace_ms]
            if unexpected:
                differences.append(
                    (int(unexpected[0][0]), f"{node}: {unexpected[0][1]!r} at {unexpected[0][0]:.0f} is not expected")
                )
    if not differences:
        return None
    first, reason = min(differences)
    return _side_by_side(timeline, timeline.compared_entries(compared), first, reason)


def _bound_ranges(expected: Sequence[TimelineEntry]) -> list[tuple[int, int]]:
    """Returns the ranges of a node's entries that `&` binds, of two or more entries each."""
    starts = [number for number, entry in enumerate(expected) if not entry.any_order or not number]
    return [(one, two) for one, two in zip(starts, [*starts[1:], len(expected)], strict=False) if two - one > 1]


def _reorder_bound(expected: Sequence[TimelineEntry], lines: Sequence[tuple[float, str]]) -> list[tuple[float, str]]:
    """Returns a node's observed lines; a bound range with the expected texts is put into the expected order."""
    found = list(lines)
    for begin, end in _bound_ranges(expected):
        candidates = found[begin:end]
        if sorted(normalize(text) for _, text in candidates) == sorted(entry.text for entry in expected[begin:end]):
            for position, entry in enumerate(expected[begin:end], begin):
                found[position] = candidates.pop(
                    next(n for n, (_, text) in enumerate(candidates) if normalize(text) == entry.text)
                )
    return found


def _in_expected_order(expected: Sequence[TimelineEntry], observed: list[TimelineEntry]) -> list[TimelineEntry]:
    """Returns the observed entries; those of one node and ms that `&` binds are in the expected order."""
    cells: dict[tuple[int, str], list[TimelineEntry]] = {}
    for entry in expected:
        cells.setdefault((entry.at_ms, entry.node), []).append(entry)
    found: list[TimelineEntry] = []
    for (at_ms, node), entries in itertools.groupby(observed, lambda entry: (entry.at_ms, entry.node)):
        found += [
            TimelineEntry(at_ms, node, text)
            for _, text in _reorder_bound(cells.get((at_ms, node), []), [(at_ms, entry.text) for entry in entries])
        ]
    return found


def _shift_ms(shifts: list[tuple[int, float]], at_ms: float) -> float:
    """Returns by how many ms the last fault until `at_ms` was late."""
    before = [shift for when, shift in shifts if when <= at_ms]
    return before[-1] if before else 0.0


def _first_difference_ms(expected: Sequence[TimelineEntry], observed: Sequence[TimelineEntry]) -> int:
    for one, two in zip(expected, observed, strict=False):
        if one != two:
            return min(one.at_ms, two.at_ms)
    return (expected if len(expected) > len(observed) else observed)[min(len(expected), len(observed))].at_ms


def _side_by_side(timeline: ExpectedTimeline, observed: Sequence[TimelineEntry], first: int, reason: str) -> str:
    """Formats both row by row, with the faults between them and `>` at the first different row."""
    expected, found = (dict(table_rows(timeline, entries, faults=False)) for entries in (timeline.entries, observed))
    faults = {at_ms: cells[-1] for at_ms, cells in table_rows(timeline, ())}
    widths = column_widths(timeline, [*expected.values(), *found.values()])
    empty = [""] * len(timeline.columns)
    gap = max([6, *map(len, faults.values())]) + 2
    left_width = 8 + sum(widths)

    def format_both(marker: str, left: list[str], middle: str, right: list[str]) -> str:
        return (
            f"{format_row(marker, left, widths).ljust(left_width)}| {middle.ljust(gap)}| "
            f"{format_row('', right, widths)[8:]}"
        ).rstrip()

    titles = list(timeline.columns)
    output = [f"{timeline.name}: expected (left) and observed (right) differ; the first row that differs is marked >"]
    if reason:
        output.append(reason)
    output.append(format_both("  ms", titles, "faults", titles))
    for at_ms in sorted({*expected, *found, *faults, first}):
        output.append(
            format_both(
                f"{'>' if at_ms == first else ' '} {at_ms}",
                expected.get(at_ms, empty),
                faults.get(at_ms, ""),
                found.get(at_ms, empty),
            )
        )
    return "\n".join(output)

"""Expected timelines as text: parsed from a file, and formatted from observed log lines. Format: docs/fleet/lab.md.

A file is a header of `key: value` lines, then a table: a heading that begins with `ms`, and rows that begin with a
time. Two spaces or more separate the cells of a row; a cell belongs to the last column whose heading starts at or
before it. Commas separate the entries of a cell, or `&` where they may come in any order; a cell that begins with `&`
binds its first entry in this way to the previous entry of its column, in an earlier row. Lines that begin with `#` are
comments.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from limenotch.lab.fleet.faults import Fault, named_nodes, parse_cell

FAULTS = "faults"
MIN_COLUMN_WIDTH = 14  # characters of a formatted column
_HEADER_LINE = re.compile(r"([a-z][a-z0-9_-]*):(?:\s+(.*))?")
_RANGE = re.compile(r"([A-Za-z][A-Za-z_-]*)(\d+)\.\.([A-Za-z_-]*)(\d+)")
_TIME = re.compile(r"\d+(\.\d+)?")
_CELL = re.compile(r"\S+(?: \S+)*")


@dataclass(frozen=True)
class TimelineEntry:
    """A log line, expected or observed: its time in whole ms, its node and its text."""

    at_ms: int
    node: str
    text: str
    any_order: bool = field(default=False, compare=False)  # relative to the previous entry of its column


@dataclass(frozen=True)
class ExpectedTimeline:
    """A parsed file. The order of `entries`: time, then column, then the order of the file within a column."""

    header: Mapping[str, str]
    nodes: tuple[str, ...]
    columns: tuple[str, ...]  # the nodes that have one; log lines of others are not compared
    entries: tuple[TimelineEntry, ...]
    faults: tuple[tuple[int, Fault], ...]
    end_ms: int  # the last row's time, or the header's `until`
    name: str = ""
    comments: tuple[str, ...] = field(default=())  # of the header, retained when the file is formatted again

    @property
    def seed(self) -> int:
        return int(self.header.get("seed", "0"))

    @property
    def started_later(self) -> tuple[str, ...]:
        """The nodes that are not started at the beginning."""
        return expand_names(self.header.get("later", ""))

    @property
    def window_ms(self) -> float:
        """How many ms a row may be early or late on real processes."""
        return float(self.header.get("window", "0"))

    def number(self, key: str, default: float) -> float:
        """Returns another number of the header. Raises ValueError if the value is not a number."""
        try:
            return float(self.header.get(key, default))
        except ValueError:
            raise ValueError(f"{self.name}: {key}: {self.header[key]!r} is not a number") from None

    def is_compared(self, text: str) -> bool:
        """Whether a log line is compared: one of its words is in the header's `show`. Without `show`, all are."""
        words = self.header.get("show", "").split()
        return not words or any(word in words for word in text.split())

    def compared_entries(self, observed: Iterable[tuple[float, str, str]]) -> list[TimelineEntry]:
        """Selects the compared ones of the observed log lines (ms, node, text), as entries in this timeline's order."""
        position = {name: number for number, name in enumerate(self.columns)}
        found = [
            TimelineEntry(int(at_ms + 0.5), node, normalize(text))
            for at_ms, node, text in observed
            if node in position and self.is_compared(text) and int(at_ms + 0.5) <= self.end_ms
        ]
        return sorted(found, key=lambda entry: (entry.at_ms, position[entry.node]))

    def rescaled(self, share: float, lead_ms: float) -> ExpectedTimeline:
        """Returns the timeline in `share` of its time, for components tuned to that; the first fault is at `lead_ms`.

        Entries before that fault are dropped (see `entries_before_faults`): on processes, nothing bounds their times.
        """
        first = self.first_fault_ms

        def rescale(ms: float) -> int:
            return int((ms - first) * share + lead_ms + 0.5)

        return replace(
            self,
            end_ms=rescale(self.end_ms),
            faults=tuple((rescale(at_ms), fault) for at_ms, fault in self.faults),
            entries=tuple(replace(entry, at_ms=rescale(entry.at_ms)) for entry in self.entries if entry.at_ms >= first),
        )

    @property
    def entries_before_faults(self) -> tuple[TimelineEntry, ...]:
        """The entries before the first fault."""
        return tuple(entry for entry in self.entries if entry.at_ms < self.first_fault_ms)

    @property
    def first_fault_ms(self) -> int:
        """Time of the first fault; 0 if the timeline has none."""
        return min((at_ms for at_ms, _ in self.faults), default=0)


def normalize(text: str) -> str:
    """Normalizes a text for a cell: single spaces, and none of the characters that separate entries."""
    return " ".join(text.replace(",", ";").replace("&", "+").split())


def expand_names(text: str) -> tuple[str, ...]:
    """Expands names: `a b c`, or `n1..n50` for fifty nodes. Raises ValueError on an invalid range."""
    names: list[str] = []
    for word in text.split():
        found = _RANGE.fullmatch(word)
        if found:
            if found[1] != found[3] or int(found[2]) > int(found[4]):
                raise ValueError(f"{word!r} is not a range such as n1..n50")
            names += [f"{found[1]}{number}" for number in range(int(found[2]), int(found[4]) + 1)]
        elif ".." in word:
            raise ValueError(f"{word!r} is not a range such as n1..n50")
        else:
            names.append(word)
    return tuple(names)


def parse_timeline(text: str, name: str = "drawing") -> ExpectedTimeline:
    """Parses a file. Raises ValueError, which names the line and the invalid words."""
    header: dict[str, str] = {}
    comments: list[str] = []
    lines = text.splitlines()
    for number, line in enumerate(lines, 1):
        where = f"{name}, line {number}"
        if "\t" in line:
            raise ValueError(f"{where}: a tab; columns are made of spaces")
        if re.match(r"\s*ms(\s|$)", line):
            return _parse_table(name, header, comments, lines, number)
        if line.lstrip().startswith("#"):
            comments.append(line.strip())
        elif line.strip():
            found = _HEADER_LINE.fullmatch(line.strip())
            if not found:
                raise ValueError(f"{where}: {line.strip()!r} is neither `key: value` nor a heading with `ms` first")
            if found[1] in header:
                raise ValueError(f"{where}: duplicate key {found[1]!r}")
            header[found[1]] = (found[2] or "").strip()
    raise ValueError(f"{name}: missing a heading that begins with `ms`")


def _parse_table(
    name: str, header: dict[str, str], comments: list[str], lines: list[str], heading: int
) -> ExpectedTimeline:
    heading_starts = [(found.start(), found[0]) for found in re.finditer(r"\S+", lines[heading - 1])][1:]
    titles = [title for _, title in heading_starts]
    try:
        nodes = expand_names(header.get("nodes", "")) or tuple(title for title in titles if title != FAULTS)
        unknown = [node for node in expand_names(header.get("later", "")) if node not in nodes]
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None
    unknown += [title for title in titles if title != FAULTS and title not in nodes]
    if unknown or not nodes or len(set(titles)) != len(titles) or len(set(nodes)) != len(nodes):
        raise ValueError(
            f"{name}, line {heading}: {' '.join(unknown or titles)!r}: each column has to be a different node"
        )
    if FAULTS in titles[:-1]:
        raise ValueError(f"{name}, line {heading}: {FAULTS!r} has to be the last column")
    for key in ("seed", "window", "until"):
        if key in header and not _TIME.fullmatch(header[key]):
            raise ValueError(f"{name}: {key}: {header[key]!r} is not a number")
    rows: list[TimelineEntry] = []
    faults: list[tuple[int, Fault]] = []
    at_ms = 0
    for number, line in enumerate(lines[heading:], heading + 1):
        where = f"{name}, line {number}"
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        if "\t" in line:
            raise ValueError(f"{where}: a tab; columns are made of spaces")
        cells = [(found.start(), found[0]) for found in _CELL.finditer(line)]
        if not re.fullmatch(r"\d+", cells[0][1]) or (heading_starts and cells[0][0] >= heading_starts[0][0]):
            raise ValueError(f"{where}: {cells[0][1]!r} is not a time in whole ms")
        if int(cells[0][1]) < at_ms:
            raise ValueError(f"{where}: {cells[0][1]} after {at_ms}; rows have to be in order of time")
        at_ms = int(cells[0][1])
        for start, cell in cells[1:]:
            title = _column_of(where, heading_starts, start, cell)
            try:
                cell_faults = parse_cell(cell) if title == FAULTS else []
            except ValueError as error:
                raise ValueError(f"{where}: {error}") from None
            for fault in cell_faults:
                for node in named_nodes(fault):
                    if node not in nodes:
                        raise ValueError(f"{where}: fault {str(fault)!r}: {node!r} is not one of the nodes")
                faults.append((at_ms, fault))
            if title != FAULTS:
                rows += _parse_entries(where, at_ms, title, cell, any(row.node == title for row in rows))
    end_ms = int(float(header["until"])) if "until" in header else at_ms
    timeline = ExpectedTimeline(
        header,
        nodes,
        tuple(title for title in titles if title != FAULTS),
        (),
        tuple(faults),
        end_ms,
        name,
        tuple(comments),
    )
    for row in rows:
        if not timeline.is_compared(row.text):
            raise ValueError(f"{name}: {row.text!r} at {row.at_ms} for {row.node} has no word of `show`")
        if row.at_ms > end_ms:
            raise ValueError(f"{name}: {row.text!r} at {row.at_ms} is after `until`")
    rows.sort(key=lambda row: (row.at_ms, timeline.columns.index(row.node)))
    return replace(timeline, entries=tuple(rows))


def _parse_entries(where: str, at_ms: int, node: str, cell: str, has_previous: bool) -> list[TimelineEntry]:
    """Parses a cell. `has_previous`: the column has an earlier entry, to which a leading `&` can bind."""
    found: list[TimelineEntry] = []
    for part in cell.split(","):
        for number, entry in enumerate(part.split("&")):
            if entry.strip():
                found.append(TimelineEntry(at_ms, node, normalize(entry), number > 0))
            elif "&" in part and (number or found or not has_previous):
                raise ValueError(f"{where}: {cell!r}: `&` has to be between two entries")
    return found


def _column_of(where: str, heading_starts: list[tuple[int, str]], start: int, cell: str) -> str:
    before = [number for number, (position, _) in enumerate(heading_starts) if position <= start]
    if not before:
        raise ValueError(f"{where}: {cell!r} starts before the first column")
    if before[-1] + 1 < len(heading_starts) and start + len(cell) > heading_starts[before[-1] + 1][0]:
        raise ValueError(f"{where}: {cell!r} runs into the column of {heading_starts[before[-1] + 1][1]}")
    return heading_starts[before[-1]][1]


def table_rows(
    timeline: ExpectedTimeline, entries: Iterable[TimelineEntry], *, faults: bool = True
) -> list[tuple[int, list[str]]]:
    """Returns (ms, cells) in order of time, with the faults last. Only times with entries or faults have a row."""
    cells: dict[int, dict[str, str]] = {}

    def put(at_ms: int, title: str, text: str, sign: str = ", ") -> None:
        cell = cells.setdefault(at_ms, {})
        before = cell.get(title, "")
        cell[title] = f"{before}{sign if before else sign.lstrip(' ,')}{text}"

    for entry in entries:
        put(entry.at_ms, entry.node, entry.text, " & " if entry.any_order else ", ")
    for at_ms, fault in timeline.faults if faults else ():
        put(at_ms, FAULTS, str(fault))
    titles = [*timeline.columns, *([FAULTS] if faults else [])]
    return [(at_ms, [cells[at_ms].get(title, "") for title in titles]) for at_ms in sorted(cells)]


def column_widths(timeline: ExpectedTimeline, table: Iterable[list[str]]) -> list[int]:
    """Returns the widths of the node columns for the cells of these rows, with the gap of two spaces."""
    found = [max(MIN_COLUMN_WIDTH, len(title)) for title in timeline.columns]
    for cells in table:
        found = [max(width, len(cell)) for width, cell in zip(found, cells, strict=False)]
    return [width + 2 for width in found]


def format_row(first: str, cells: list[str], widths: list[int]) -> str:
    """Formats a row; cells beyond `widths` come last and are not padded."""
    filled = [cell.ljust(width) for cell, width in zip(cells, widths, strict=False)]
    return (first.ljust(8) + "".join(filled) + "".join(cells[len(widths) :])).rstrip()


def format_timeline(timeline: ExpectedTimeline, entries: Iterable[TimelineEntry]) -> str:
    """Formats the file with these entries, for a person to review and to adopt where they are right.

    An entry that is the same at the same ms retains its `&`.
    """
    any_order = {entry for entry in timeline.entries if entry.any_order}
    table = table_rows(timeline, [replace(entry, any_order=entry.any_order or entry in any_order) for entry in entries])
    widths = column_widths(timeline, [cells for _, cells in table])
    output = [*timeline.comments, *(f"{key}: {value}".rstrip() for key, value in timeline.header.items())]
    if output:
        output.append("")
    output.append(format_row("ms", [*timeline.columns, FAULTS], widths))
    output += [format_row(str(at_ms), cells, widths) for at_ms, cells in table]
    if not table or table[-1][0] < timeline.end_ms:
        output.append(str(timeline.end_ms))
    return "\n".join(output) + "\n"

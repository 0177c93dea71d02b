"""Time lines drawn as text: read, and drawn anew from what was seen. How to write one: docs/fleet/lab.md.

A file is a head of `key: value` lines and then a drawing: a heading that begins with `ms`, and rows that begin with a
time. A row's cells are parted by two spaces or more; each belongs to the column whose heading starts last at or before
it. Notes in a cell are parted by commas, or by `&` where they may come in either order; a cell that begins with `&` is
so bound to the note before it in its column, in an earlier row. Lines that begin with `#` are remarks.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from limenotch.lab.fleet.faults import Fault, named, parse_all

FAULTS = "faults"
LEAST_WIDTH = 14  # of a column drawn anew
_HEAD = re.compile(r"([a-z][a-z0-9_-]*):(?:\s+(.*))?")
_RANGE = re.compile(r"([A-Za-z][A-Za-z_-]*)(\d+)\.\.([A-Za-z_-]*)(\d+)")
_TIME = re.compile(r"\d+(\.\d+)?")
_CELL = re.compile(r"\S+(?: \S+)*")


@dataclass(frozen=True)
class Drawn:
    """One note, drawn or seen: at a whole ms, by whom, its text."""

    at_ms: int
    node: str
    text: str
    either: bool = field(default=False, compare=False)  # in either order with the one drawn before it in its column


@dataclass(frozen=True)
class Scenario:
    """A file as read. `notes` are by time, and within one time by column, each column's in the order drawn."""

    head: Mapping[str, str]
    nodes: tuple[str, ...]
    columns: tuple[str, ...]  # the nodes that have one; what others note is not looked at
    notes: tuple[Drawn, ...]
    faults: tuple[tuple[int, Fault], ...]
    ends: int  # ms: the last row's time, or the head's `until`
    name: str = ""
    remarks: tuple[str, ...] = field(default=())  # of the head, kept when it is drawn anew

    @property
    def seed(self) -> int:
        return int(self.head.get("seed", "0"))

    @property
    def later(self) -> tuple[str, ...]:
        """Nodes that do not run from the start."""
        return expand(self.head.get("later", ""))

    @property
    def window(self) -> float:
        """ms that a row may be early or late on real processes."""
        return float(self.head.get("window", "0"))

    def figure(self, key: str, usual: float) -> float:
        """Another number of the head."""
        try:
            return float(self.head.get(key, usual))
        except ValueError:
            raise ValueError(f"{self.name}: {key}: {self.head[key]!r} is no number") from None

    def shows(self, text: str) -> bool:
        """Whether a note is looked at: one of its words, whichever, is one of the head's `show`; all are without it."""
        words = self.head.get("show", "").split()
        return not words or any(word in words for word in text.split())

    def looked_at(self, seen: Iterable[tuple[float, str, str]]) -> list[Drawn]:
        """Of the notes seen (ms, node, text), in the drawing's terms and order, those that it is about."""
        place = {name: number for number, name in enumerate(self.columns)}
        found = [
            Drawn(int(at + 0.5), node, plain(text))
            for at, node, text in seen
            if node in place and self.shows(text) and int(at + 0.5) <= self.ends
        ]
        return sorted(found, key=lambda one: (one.at_ms, place[one.node]))

    def quicker(self, share: float, lead_ms: float) -> Scenario:
        """The same in `share` of its time, for parts tuned so; begins `lead_ms` before the first fault.

        What is drawn before that fault is left out: it is `before`, and how it comes about has no bound on processes.
        """
        first = self.first_fault

        def at(ms: float) -> int:
            return int((ms - first) * share + lead_ms + 0.5)

        return replace(
            self,
            ends=at(self.ends),
            faults=tuple((at(when), fault) for when, fault in self.faults),
            notes=tuple(replace(note, at_ms=at(note.at_ms)) for note in self.notes if note.at_ms >= first),
        )

    @property
    def before(self) -> tuple[Drawn, ...]:
        """What is drawn before the first fault."""
        return tuple(note for note in self.notes if note.at_ms < self.first_fault)

    @property
    def first_fault(self) -> int:
        """ms; 0 if there is none."""
        return min((at for at, _ in self.faults), default=0)


def plain(text: str) -> str:
    """A note as it can be drawn: single spaces, and none of the signs that part notes."""
    return " ".join(text.replace(",", ";").replace("&", "+").split())


def expand(text: str) -> tuple[str, ...]:
    """Names: `a b c`, or `n1..n50` for all fifty."""
    names: list[str] = []
    for word in text.split():
        found = _RANGE.fullmatch(word)
        if found:
            if found[1] != found[3] or int(found[2]) > int(found[4]):
                raise ValueError(f"{word!r} is no range such as n1..n50")
            names += [f"{found[1]}{number}" for number in range(int(found[2]), int(found[4]) + 1)]
        elif ".." in word:
            raise ValueError(f"{word!r} is no range such as n1..n50")
        else:
            names.append(word)
    return tuple(names)


def read(text: str, name: str = "drawing") -> Scenario:
    """ValueError names the line and the words at fault."""
    head: dict[str, str] = {}
    remarks: list[str] = []
    lines = text.splitlines()
    for number, line in enumerate(lines, 1):
        where = f"{name}, line {number}"
        if "\t" in line:
            raise ValueError(f"{where}: a tab; columns are made of spaces")
        if re.match(r"\s*ms(\s|$)", line):
            return _drawing(name, head, remarks, lines, number)
        if line.lstrip().startswith("#"):
            remarks.append(line.strip())
        elif line.strip():
            found = _HEAD.fullmatch(line.strip())
            if not found:
                raise ValueError(f"{where}: {line.strip()!r} is neither `key: value` nor a heading with `ms` first")
            if found[1] in head:
                raise ValueError(f"{where}: {found[1]!r} twice")
            head[found[1]] = (found[2] or "").strip()
    raise ValueError(f"{name}: no heading that begins with `ms`")


def _drawing(name: str, head: dict[str, str], remarks: list[str], lines: list[str], heading: int) -> Scenario:
    starts = [(found.start(), found[0]) for found in re.finditer(r"\S+", lines[heading - 1])][1:]
    titles = [title for _, title in starts]
    try:
        nodes = expand(head.get("nodes", "")) or tuple(title for title in titles if title != FAULTS)
        strange = [one for one in expand(head.get("later", "")) if one not in nodes]
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None
    strange += [title for title in titles if title != FAULTS and title not in nodes]
    if strange or not nodes or len(set(titles)) != len(titles) or len(set(nodes)) != len(nodes):
        raise ValueError(f"{name}, line {heading}: {' '.join(strange or titles)!r}: a column is one of the nodes, once")
    if FAULTS in titles[:-1]:
        raise ValueError(f"{name}, line {heading}: {FAULTS!r} is the last column")
    for key in ("seed", "window", "until"):
        if key in head and not _TIME.fullmatch(head[key]):
            raise ValueError(f"{name}: {key}: {head[key]!r} is no number")
    rows: list[Drawn] = []
    faults: list[tuple[int, Fault]] = []
    at = 0
    for number, line in enumerate(lines[heading:], heading + 1):
        where = f"{name}, line {number}"
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        if "\t" in line:
            raise ValueError(f"{where}: a tab; columns are made of spaces")
        cells = [(found.start(), found[0]) for found in _CELL.finditer(line)]
        if not re.fullmatch(r"\d+", cells[0][1]) or (starts and cells[0][0] >= starts[0][0]):
            raise ValueError(f"{where}: {cells[0][1]!r} is no time in whole ms")
        if int(cells[0][1]) < at:
            raise ValueError(f"{where}: {cells[0][1]} after {at}; rows are in order of time")
        at = int(cells[0][1])
        for start, cell in cells[1:]:
            title = _column(where, starts, start, cell)
            try:
                found_faults = parse_all(cell) if title == FAULTS else []
            except ValueError as error:
                raise ValueError(f"{where}: {error}") from None
            for fault in found_faults:
                for one in named(fault):
                    if one not in nodes:
                        raise ValueError(f"{where}: fault {str(fault)!r}: {one!r} is none of the nodes")
                faults.append((at, fault))
            if title != FAULTS:
                rows += _notes(where, at, title, cell, any(row.node == title for row in rows))
    ends = int(float(head["until"])) if "until" in head else at
    scenario = Scenario(
        head, nodes, tuple(title for title in titles if title != FAULTS), (), tuple(faults), ends, name, tuple(remarks)
    )
    for row in rows:
        if not scenario.shows(row.text):
            raise ValueError(f"{name}: {row.text!r} is drawn at {row.at_ms} for {row.node}, but has no word of `show`")
        if row.at_ms > ends:
            raise ValueError(f"{name}: {row.text!r} is drawn at {row.at_ms}, after `until`")
    rows.sort(key=lambda row: (row.at_ms, scenario.columns.index(row.node)))
    return replace(scenario, notes=tuple(rows))


def _notes(where: str, at: int, node: str, cell: str, bound: bool) -> list[Drawn]:
    """`bound`: there is a note of this column before, which a cell that begins with `&` can be bound to."""
    found: list[Drawn] = []
    for part in cell.split(","):
        for number, note in enumerate(part.split("&")):
            if note.strip():
                found.append(Drawn(at, node, plain(note), number > 0))
            elif "&" in part and (number or found or not bound):
                raise ValueError(f"{where}: {cell!r}: `&` stands between two notes")
    return found


def _column(where: str, starts: list[tuple[int, str]], start: int, cell: str) -> str:
    before = [number for number, (place, _) in enumerate(starts) if place <= start]
    if not before:
        raise ValueError(f"{where}: {cell!r} starts before any column")
    if before[-1] + 1 < len(starts) and start + len(cell) > starts[before[-1] + 1][0]:
        raise ValueError(f"{where}: {cell!r} runs into the column of {starts[before[-1] + 1][1]}")
    return starts[before[-1]][1]


def rows(scenario: Scenario, notes: Iterable[Drawn], *, faults: bool = True) -> list[tuple[int, list[str]]]:
    """By time: the text of each column's cell, that of the faults last. A time at which nothing is has no row."""
    cells: dict[int, dict[str, str]] = {}

    def put(at: int, title: str, text: str, sign: str = ", ") -> None:
        cell = cells.setdefault(at, {})
        before = cell.get(title, "")
        cell[title] = f"{before}{sign if before else sign.lstrip(' ,')}{text}"

    for note in notes:
        put(note.at_ms, note.node, note.text, " & " if note.either else ", ")
    for at, fault in scenario.faults if faults else ():
        put(at, FAULTS, str(fault))
    titles = [*scenario.columns, *([FAULTS] if faults else [])]
    return [(at, [cells[at].get(title, "") for title in titles]) for at in sorted(cells)]


def widths(scenario: Scenario, table: Iterable[list[str]]) -> list[int]:
    """Of the columns of nodes, for these rows' cells: a gap of two spaces included."""
    found = [max(LEAST_WIDTH, len(title)) for title in scenario.columns]
    for cells in table:
        found = [max(width, len(cell)) for width, cell in zip(found, cells, strict=False)]
    return [width + 2 for width in found]


def line(first: str, cells: list[str], wide: list[int]) -> str:
    """A row; what has no width is the last and is not filled up."""
    filled = [cell.ljust(width) for cell, width in zip(cells, wide, strict=False)]
    return (first.ljust(8) + "".join(filled) + "".join(cells[len(wide) :])).rstrip()


def draw(scenario: Scenario, notes: Iterable[Drawn]) -> str:
    """The file anew with these notes: for a person to read, and to adopt if it is what should be.

    An `&` stays where its note is the same, at the same ms.
    """
    either = {note for note in scenario.notes if note.either}
    table = rows(scenario, [replace(note, either=note.either or note in either) for note in notes])
    wide = widths(scenario, [cells for _, cells in table])
    out = [*scenario.remarks, *(f"{key}: {value}".rstrip() for key, value in scenario.head.items())]
    if out:
        out.append("")
    out.append(line("ms", [*scenario.columns, FAULTS], wide))
    out += [line(str(at), cells, wide) for at, cells in table]
    if not table or table[-1][0] < scenario.ends:
        out.append(str(scenario.ends))
    return "\n".join(out) + "\n"

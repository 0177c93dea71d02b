"""Whether what was seen is what was drawn: exactly, or as a partial order with a window for each row.

Exactly (simulated time): at each ms each node has the notes drawn, in the order drawn, and no others.
With a window (real processes): each node has the notes drawn, in their order, and no others; each comes at most
`window` ms before or after its row's time, counted from the fault before it as that really happened. Rows of different
nodes may change places within it. What `show` leaves out, and nodes without a column, count for nothing in either.

Notes bound by `&` come in either order: within its window each on processes. Exactly, those drawn at one ms may change
places, and nothing else: each still has its own ms, so in simulated time such a drawing is as strict as any.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from limenotch.lab.fleet.drawing import Drawn, Scenario, line, plain, rows, widths


def exact(scenario: Scenario, seen: Iterable[tuple[float, str, str]]) -> str | None:
    """None if it is, else both side by side with the first row that differs marked."""
    found = _as_drawn(scenario.notes, scenario.looked_at(seen))
    if list(scenario.notes) == found:
        return None
    return _beside(scenario, found, _first(scenario.notes, found), "")


def within(
    scenario: Scenario,
    seen: Iterable[tuple[float, str, str]],
    happened: Sequence[float] = (),
    window: float | None = None,
    grace: float | None = None,
) -> str | None:
    """As `exact`, with a window. `happened`: the times of the drawing's faults, in its order, as they really were.

    `grace`: ms before the end in which what is not drawn counts for nothing; the window, unless said. 0 is for drawings
    that end in a calm, where nothing follows the end that could come early.
    """
    if happened and len(happened) != len(scenario.faults):
        raise ValueError(f"{len(happened)} times for {len(scenario.faults)} faults")
    span = scenario.window if window is None else window
    shifts = [(at, (really - at)) for (at, _), really in zip(scenario.faults, happened, strict=False)]
    kept = [(at, node, text) for at, node, text in seen if node in scenario.columns and scenario.shows(text)]
    grace = span if grace is None else grace  # what is drawn at the end may come late, what follows it may come early
    wrong: list[tuple[int, str]] = []
    for node in scenario.columns:
        drawn = [note for note in scenario.notes if note.node == node]
        own = [(at, text) for at, name, text in kept if name == node]
        own = _in_order(drawn, own)
        for number, note in enumerate(drawn):
            due = note.at_ms + _shift(shifts, note.at_ms)
            if number >= len(own):
                wrong.append((note.at_ms, f"{node}: {note.text!r} did not come"))
                break
            at, text = own[number]
            if plain(text) != note.text:
                wrong.append((note.at_ms, f"{node}: {text!r} at {at:.0f} where {note.text!r} is drawn"))
                break
            if abs(at - due) > span:
                wrong.append(
                    (
                        note.at_ms,
                        f"{node}: {text!r} at {at:.0f}, {abs(at - due):.0f} ms from {due:.0f}; "
                        f"the window is {span:.0f}",
                    )
                )
                break
        else:
            last = scenario.ends + _shift(shifts, scenario.ends)
            more = [(at, text) for at, text in own[len(drawn) :] if at <= last - grace]
            if more:
                wrong.append((int(more[0][0]), f"{node}: {more[0][1]!r} at {more[0][0]:.0f} is not drawn"))
    if not wrong:
        return None
    first, why = min(wrong)
    return _beside(scenario, scenario.looked_at(kept), first, why)


def _groups(drawn: Sequence[Drawn]) -> list[tuple[int, int]]:
    """From and to of each run of notes bound by `&`, where there are two or more. `drawn`: one node's."""
    starts = [number for number, note in enumerate(drawn) if not note.either or not number]
    return [(one, two) for one, two in zip(starts, [*starts[1:], len(drawn)], strict=False) if two - one > 1]


def _in_order(drawn: Sequence[Drawn], own: Sequence[tuple[float, str]]) -> list[tuple[float, str]]:
    """What one node was seen to note, in the order drawn where `&` leaves the order open and the same notes came."""
    found = list(own)
    for begin, end in _groups(drawn):
        some = found[begin:end]
        if sorted(plain(text) for _, text in some) == sorted(note.text for note in drawn[begin:end]):
            for place, note in enumerate(drawn[begin:end], begin):
                found[place] = some.pop(next(n for n, (_, text) in enumerate(some) if plain(text) == note.text))
    return found


def _as_drawn(drawn: Sequence[Drawn], seen: list[Drawn]) -> list[Drawn]:
    """What was seen, with notes of one node and ms that `&` binds in the order drawn."""
    cells: dict[tuple[int, str], list[Drawn]] = {}
    for note in drawn:
        cells.setdefault((note.at_ms, note.node), []).append(note)
    found: list[Drawn] = []
    for (at, node), notes in itertools.groupby(seen, lambda note: (note.at_ms, note.node)):
        found += [
            Drawn(at, node, text)
            for _, text in _in_order(cells.get((at, node), []), [(at, note.text) for note in notes])
        ]
    return found


def _shift(shifts: list[tuple[int, float]], at: float) -> float:
    """How much later than drawn the last fault before this came."""
    before = [shift for when, shift in shifts if when <= at]
    return before[-1] if before else 0.0


def _first(drawn: Sequence[Drawn], seen: Sequence[Drawn]) -> int:
    for one, two in zip(drawn, seen, strict=False):
        if one != two:
            return min(one.at_ms, two.at_ms)
    return (drawn if len(drawn) > len(seen) else seen)[min(len(drawn), len(seen))].at_ms


def _beside(scenario: Scenario, seen: Sequence[Drawn], first: int, why: str) -> str:
    """Both, row by row; `>` before the first that differs. Faults stand between them, as they happened to both."""
    expected, found = (dict(rows(scenario, notes, faults=False)) for notes in (scenario.notes, seen))
    faults = {at: cells[-1] for at, cells in rows(scenario, ())}
    wide = widths(scenario, [*expected.values(), *found.values()])
    none = [""] * len(scenario.columns)
    gap = max([6, *map(len, faults.values())]) + 2
    left = 8 + sum(wide)

    def both(mark: str, one: list[str], between: str, two: list[str]) -> str:
        return f"{line(mark, one, wide).ljust(left)}| {between.ljust(gap)}| {line('', two, wide)[8:]}".rstrip()

    titles = list(scenario.columns)
    out = [f"{scenario.name}: drawn (left) and seen (right) are not the same; the first row that differs is marked >"]
    if why:
        out.append(why)
    out.append(both("  ms", titles, "faults", titles))
    for at in sorted({*expected, *found, *faults, first}):
        out.append(
            both(f"{'>' if at == first else ' '} {at}", expected.get(at, none), faults.get(at, ""), found.get(at, none))
        )
    return "\n".join(out)

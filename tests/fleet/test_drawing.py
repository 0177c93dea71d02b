"""Drawings: the words for faults, what is read and refused, how what was seen is compared, and drawn anew."""

from __future__ import annotations

import re
from pathlib import Path
from textwrap import dedent

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.lab.fleet.comparing import compare_exactly, compare_within_window
from limenotch.lab.fleet.drawing import ExpectedTimeline, TimelineEntry, expand_names, format_timeline, parse_timeline
from limenotch.lab.fleet.faults import (
    ClockStep,
    DatagramFault,
    Delay,
    DirectedLinks,
    DiskState,
    ExtraDelay,
    Fault,
    Heal,
    NodeAction,
    Partition,
    ScriptedRequest,
    parse,
    parse_cell,
)
from limenotch.lab.fleet.scenario import check, load, simulate
from limenotch.lab.fleet.world import World

from .fake_parts import listeners

names = st.lists(st.sampled_from(["a", "b", "c", "n12", "east-1"]), min_size=2, max_size=5, unique=True)
figures = st.integers(0, 999_999).map(lambda number: number / 1000)
TEXT = """\
# Three listeners; one falls.
nodes: a b c
seed: 1
show: suspects back

ms      a               b               c               faults
0
1000                                                    kill c
1300    suspects c      suspects c
2000                                                    start c
2001    c back          c back
"""


@st.composite
def faults(draw: st.DrawFn) -> Fault:
    some = draw(names)
    middle = draw(st.integers(1, len(some) - 1))
    way = DirectedLinks(tuple(some[:middle]), tuple(some[middle:]))
    perhaps = draw(st.sampled_from([None, way]))
    low, high = sorted([draw(figures), draw(figures)])
    disk = draw(st.sampled_from(["ok", "full", "slow", "torn", "read-only"]))
    every: list[Fault] = [
        Partition((way.senders, way.receivers)),
        Partition((way.senders, way.receivers), one_way=True),
        Partition(tuple((one,) for one in some)),
        Heal(),
        DatagramFault(
            draw(st.sampled_from(["loss", "double", "reorder"])), draw(st.integers(0, 100_000)) / 1000, perhaps
        ),
        Delay(low, high, perhaps),
        ExtraDelay(way, high),
        DiskState(some[0], disk, high if disk == "slow" else 0.0),
        NodeAction(draw(st.sampled_from(["pause", "wake", "kill", "start", "wipe", "leave", "mute"])), tuple(some)),
        ClockStep(some[0], draw(st.integers(-(10**8), 10**8)) * 1.0),
        ScriptedRequest(some[0], "rules 5 propose"),
    ]
    return draw(st.sampled_from(every))


EITHER = """
nodes: a b
seed: 1
window: 100

ms      a                   b             faults
100                                       heal
200     x, y & z
300                         x
400                         & y, z
"""


@pytest.mark.parametrize(
    ("moved", "exactly", "with_window"),
    [
        ({}, True, True),
        ({"a": [(200, "x"), (200, "z"), (200, "y")]}, True, True),
        ({"a": [(200, "y"), (200, "x"), (200, "z")]}, False, False),
        ({"a": [(200, "x"), (250, "z"), (290, "y")]}, False, True),
        ({"a": [(200, "x"), (200, "z"), (200, "z")]}, False, False),
        ({"a": [(200, "x"), (200, "z")]}, False, False),
        ({"a": [(200, "x"), (200, "z"), (350, "y")]}, False, False),
        ({"b": [(320, "y"), (350, "x"), (400, "z")]}, False, True),
        ({"b": [(320, "y"), (410, "x"), (420, "z")]}, False, False),  # x: 110 ms late
        ({"b": [(300, "x"), (400, "z"), (410, "y")]}, False, False),
    ],
)
def test_notes_bound_come_in_either_order(
    moved: dict[str, list[tuple[int, str]]], exactly: bool, with_window: bool
) -> None:
    scenario = parse_timeline(EITHER)
    notes = {"a": [(200, "x"), (200, "y"), (200, "z")], "b": [(300, "x"), (400, "y"), (400, "z")], **moved}
    seen = sorted(((float(at), node, text) for node, own in notes.items() for at, text in own), key=lambda one: one[0])
    assert (compare_exactly(scenario, seen) is None) == exactly and (
        compare_within_window(scenario, seen) is None
    ) == with_window
    assert parse_timeline(format_timeline(scenario, scenario.entries)) == scenario
    assert [
        note.any_order for note in parse_timeline(format_timeline(scenario, scenario.compared_entries(seen))).entries
    ].count(True) == 2 or moved


@pytest.mark.parametrize("cell", ["& x", "x, & y", "x &", "x & & y"])
def test_a_sign_that_binds_nothing_is_refused(cell: str) -> None:
    with pytest.raises(ValueError, match="has to be between"):
        parse_timeline(f"nodes: a\n\nms   a\n3    {cell}\n")


@given(faults())
def test_faults_are_read_as_they_are_written(fault: Fault) -> None:
    assert parse(str(fault)) == fault


@settings(max_examples=50)
@given(st.lists(faults(), min_size=1, max_size=4))
def test_several_in_one_cell(some: list[Fault]) -> None:
    assert parse_cell(", ".join(map(str, some))) == some


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("cat a | b", "'cat' is not one of"),
        ("cut a b", "'a b' has no"),
        ("cut a > a", "on both sides"),
        ("cut a | ", "node name is missing"),
        ("cut a | b | a", "twice"),
        ("loss 20", "'20' is not a percentage"),
        ("loss 120%", "'120%'"),
        ("delay 40..5", "'40..5'"),
        ("slow a > b", "not a number of ms"),
        ("disk a fulll", "'fulll' is not one of"),
        ("disk a full 3", "'3' is unexpected after 'full'"),
        ("clock a 3600s", "'3600s' is not a clock step"),
        ("ask a", "words of the request are missing"),
        ("kill", "missing"),
        ("heal a", "'a' is unexpected"),
        ("pause 1a", "'1a' is not a node name"),
        ("cut a > b | c", "either `|` or `>`"),
        ("disk a slow x", "'x' is not a number"),
    ],
)
def test_faults_refused_name_the_words(text: str, words: str) -> None:
    with pytest.raises(ValueError, match="fault") as error:
        parse(text)
    assert words in str(error.value)


def test_a_drawing_is_read() -> None:
    scenario = parse_timeline(TEXT)
    assert scenario.nodes == scenario.columns == ("a", "b", "c")
    assert scenario.entries == (
        TimelineEntry(1300, "a", "suspects c"),
        TimelineEntry(1300, "b", "suspects c"),
        TimelineEntry(2001, "a", "c back"),
        TimelineEntry(2001, "b", "c back"),
    )
    assert [(at, str(fault)) for at, fault in scenario.faults] == [(1000, "kill c"), (2000, "start c")]
    assert scenario.end_ms == 2001 and scenario.seed == 1


def test_a_cell_belongs_to_the_heading_last_before_it() -> None:
    scenario = parse_timeline("ms    a       b       faults\n0        x    y, z\n0              w      heal\n")
    assert [(note.node, note.text) for note in scenario.entries] == [("a", "x"), ("b", "y"), ("b", "z"), ("b", "w")]
    assert [str(fault) for _, fault in scenario.faults] == ["heal"]


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("nodes: a\n", "missing a heading"),
        ("nodes a\nms a\n", "'nodes a'"),
        ("ms  a\n0\tx\n", "a tab"),
        ("ms    a       b\n0     long note here\n", "runs into the column of b"),
        ("ms  a\n5\n4\n", "4 after 5"),
        ("ms    a\nx     y\n", "'x' is not a time"),
        ("ms    a\n      y\n", "'y' is not a time"),
        ("nodes: a\nms    a    b\n", "'b'"),
        ("ms    a    faults\n0          kill b\n", "'b' is not one of the nodes"),
        ("ms   a   faults\n0        kil a\n", "'kil'"),
        ("show: dead\nms    a\n0     back\n", "'back' at 0 for a has no word"),
        ("ms    faults    a\n", "last column"),
        ("nodes: n1..n0\nms   n1\n", "not a range"),
        ("seed: x\nms   a\n", "'x' is not a number"),
        ("a: 1\na: 2\nms  a\n", "duplicate key 'a'"),
        ("until: 5\nms    a\n9     x\n", "after `until`"),
    ],
)
def test_drawings_refused_name_the_words(text: str, words: str) -> None:
    with pytest.raises(ValueError, match="drawing") as error:
        parse_timeline(text)
    assert words in str(error.value)


def test_ranges_of_names() -> None:
    assert expand_names("a n8..n11 b") == ("a", "n8", "n9", "n10", "n11", "b")


def seen_of(scenario: ExpectedTimeline) -> list[tuple[float, str, str]]:
    return [(float(note.at_ms), note.node, note.text) for note in scenario.entries]


texts = st.sampled_from(["suspects b", "b dead", "leads 4", "narrow"])
notes = st.lists(st.tuples(st.integers(0, 50), st.sampled_from(["a", "b", "c"]), texts), min_size=1, max_size=12)


@settings(max_examples=50)
@given(notes, st.lists(st.tuples(st.integers(0, 50), faults()), max_size=3))
def test_what_is_drawn_anew_is_read_as_it_was(some: list[tuple[int, str, str]], what: list[tuple[int, Fault]]) -> None:
    head = "nodes: a b c n12 east-1\nuntil: 60\n\nms    a     b     c     faults\n"
    empty = parse_timeline(head)
    scenario = ExpectedTimeline(
        empty.header,
        empty.nodes,
        empty.columns,
        tuple(empty.compared_entries(some)),
        tuple(sorted(what, key=lambda one: one[0])),
        60,
        "drawing",
    )
    assert parse_timeline(format_timeline(scenario, scenario.entries)) == scenario
    assert compare_exactly(scenario, some) is None


@given(notes, st.data())
def test_one_row_moved_missing_or_more_is_found(some: list[tuple[int, str, str]], data: st.DataObject) -> None:
    empty = parse_timeline("nodes: a b c\nuntil: 100\n\nms    a     b     c\n")
    scenario = ExpectedTimeline(
        empty.header, empty.nodes, empty.columns, tuple(empty.compared_entries(some)), (), 100, "drawing"
    )
    which = data.draw(st.integers(0, len(some) - 1))
    at, node, text = some[which]
    moved = [*some[:which], (at + data.draw(st.integers(1, 40)), node, text), *some[which + 1 :]]
    missing = some[:which] + some[which + 1 :]
    more = [*some, (data.draw(st.integers(0, 100)), node, "more")]
    changed = [*some[:which], (at, node, "other"), *some[which + 1 :]]
    for other in (moved, missing, more, changed):
        difference = compare_exactly(scenario, other)
        assert difference is not None
        marked = [line for line in difference.splitlines() if line.startswith(">")]
        assert len(marked) == 1
        assert all(
            left.strip() == right.strip()
            for left, right in (
                (line[8:].split("|")[0], line.split("|")[2])
                for line in difference.splitlines()[2:]
                if int(line[1:].split()[0]) < int(marked[0][1:].split()[0])
            )
        )
        left, _, right = marked[0][8:].split("|")
        assert left.strip() != right.strip()
    assert compare_within_window(scenario, missing, window_ms=1000) is not None
    assert compare_within_window(scenario, changed, window_ms=1000) is not None
    assert compare_within_window(scenario, sorted(some, key=lambda one: one[0]), window_ms=0) is None


def test_a_window_lets_nodes_change_places_but_not_a_nodes_own_order() -> None:
    scenario = parse_timeline(
        "window: 100\nuntil: 3000\nms    a      b      faults\n1000  x\n1050         y\n1080  z\n"
        "2000                kill a\n2500         w\n"
    )
    assert (
        compare_within_window(scenario, [(1060, "b", "y"), (1090, "a", "x"), (1100, "a", "z"), (2500, "b", "w")])
        is None
    )
    swapped = compare_within_window(scenario, [(1000, "a", "z"), (1050, "b", "y"), (1080, "a", "x"), (2500, "b", "w")])
    assert swapped is not None and "a: 'z' at 1000 where 'x' is expected" in swapped
    late = compare_within_window(scenario, [(1101, "a", "x"), (1050, "b", "y"), (1180, "a", "z"), (2500, "b", "w")])
    assert late is not None and "101 ms from 1000" in late
    more = compare_within_window(
        scenario, [(1000, "a", "x"), (1050, "b", "y"), (1080, "a", "z"), (2500, "b", "w"), (2600, "b", "v")]
    )
    assert more is not None and "'v' at 2600 is not expected" in more


def test_a_window_is_counted_from_the_fault_as_it_happened() -> None:
    scenario = parse_timeline("nodes: a b\nwindow: 50\nms    a      faults\n1000         kill b\n1300  dead\n")
    assert compare_within_window(scenario, [(1700, "a", "dead")], [1400.0]) is None
    assert compare_within_window(scenario, [(1300, "a", "dead")], [1400.0]) is not None
    assert compare_within_window(scenario, [(1700, "a", "dead")]) is not None


def test_what_show_leaves_out_counts_for_nothing() -> None:
    scenario = parse_timeline(TEXT)
    assert (
        compare_exactly(scenario, [*seen_of(scenario), (1100.0, "a", "leads 4"), (1100.0, "z", "suspects a")]) is None
    )


def test_a_scenario_comes_out_in_simulated_time(tmp_path: Path) -> None:
    file = tmp_path / "falls.txt"
    file.write_text(TEXT, encoding="utf-8")
    outcome = check(load(file), listeners("a", "b", "c"))
    assert parse_timeline(outcome.format_observed()).entries == outcome.timeline.entries
    wrong = simulate(parse_timeline(TEXT.replace("1300", "1301"), "falls"), listeners("a", "b", "c"))
    assert wrong.difference is not None
    assert "> 1300" in wrong.difference and "falls" in wrong.difference
    with pytest.raises(AssertionError, match="file as observed"):
        check(parse_timeline(TEXT.replace("start c", "heal   ")), listeners("a", "b", "c"))


def test_the_page_holds_what_it_says() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "lab.md").read_text(encoding="utf-8")
    block = page.split("## How to write a drawing\n\n")[1].split("\n\n- ")[0]
    check(parse_timeline(dedent(block), "the page"), listeners("a", "b", "c"))
    table = page.split("| words | meaning | simulated |\n| --- | --- | --- |\n")[1].split("\n\n")[0]
    first = [re.split(r" \| ", row)[0].replace("\\|", "|") for row in table.splitlines()]
    words = [word for cell in first for word in re.findall(r"`(.*?)`", cell)]
    whole = [word for word in words if word not in ("read-only", "-250ms")]
    assert len(whole) == 22 and all(str(parse(word)) == word for word in whole)


def test_asking_in_a_scenario() -> None:
    scenario = parse_timeline(
        "nodes: a b\nshow: hello\nms    a               b      faults\n10    hello there            ask a hello there\n"
    )

    def ask(world: World, node: str, words: str) -> None:
        world.deliver_event(node, words)

    check(scenario, listeners("a", "b"), ask)
    with pytest.raises(ValueError, match="no handler for"):
        simulate(scenario, listeners("a", "b"))

"""Expected timelines: fault words, valid and invalid files, comparison with observed log lines, and formatting."""

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

node_names = st.lists(st.sampled_from(["a", "b", "c", "n12", "east-1"]), min_size=2, max_size=5, unique=True)
durations = st.integers(0, 999_999).map(lambda number: number / 1000)
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
def fault_values(draw: st.DrawFn) -> Fault:
    chosen = draw(node_names)
    split = draw(st.integers(1, len(chosen) - 1))
    links = DirectedLinks(tuple(chosen[:split]), tuple(chosen[split:]))
    optional_links = draw(st.sampled_from([None, links]))
    low, high = sorted([draw(durations), draw(durations)])
    disk = draw(st.sampled_from(["ok", "full", "slow", "torn", "read-only"]))
    candidates: list[Fault] = [
        Partition((links.senders, links.receivers)),
        Partition((links.senders, links.receivers), one_way=True),
        Partition(tuple((node,) for node in chosen)),
        Heal(),
        DatagramFault(
            draw(st.sampled_from(["loss", "double", "reorder"])), draw(st.integers(0, 100_000)) / 1000, optional_links
        ),
        Delay(low, high, optional_links),
        ExtraDelay(links, high),
        DiskState(chosen[0], disk, high if disk == "slow" else 0.0),
        NodeAction(draw(st.sampled_from(["pause", "wake", "kill", "start", "wipe", "leave", "mute"])), tuple(chosen)),
        ClockStep(chosen[0], draw(st.integers(-(10**8), 10**8)) * 1.0),
        ScriptedRequest(chosen[0], "rules 5 propose"),
    ]
    return draw(st.sampled_from(candidates))


ANY_ORDER = """
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
    ("changed_entries", "matches_exactly", "matches_within_window"),
    [
        ({}, True, True),
        ({"a": [(200, "x"), (200, "z"), (200, "y")]}, True, True),
        ({"a": [(200, "y"), (200, "x"), (200, "z")]}, False, False),
        ({"a": [(200, "x"), (250, "z"), (290, "y")]}, False, True),
        ({"a": [(200, "x"), (200, "z"), (200, "z")]}, False, False),
        ({"a": [(200, "x"), (200, "z")]}, False, False),
        ({"a": [(200, "x"), (200, "z"), (350, "y")]}, False, False),
        ({"b": [(320, "y"), (350, "x"), (400, "z")]}, False, True),
        ({"b": [(320, "y"), (410, "x"), (420, "z")]}, False, False),  # x is 110 ms late
        ({"b": [(300, "x"), (400, "z"), (410, "y")]}, False, False),
    ],
)
def test_bound_entries_match_in_any_order(
    changed_entries: dict[str, list[tuple[int, str]]], matches_exactly: bool, matches_within_window: bool
) -> None:
    timeline = parse_timeline(ANY_ORDER)
    lines_by_node = {
        "a": [(200, "x"), (200, "y"), (200, "z")],
        "b": [(300, "x"), (400, "y"), (400, "z")],
        **changed_entries,
    }
    observed = sorted(
        ((float(at), node, text) for node, node_lines in lines_by_node.items() for at, text in node_lines),
        key=lambda line: line[0],
    )
    assert (compare_exactly(timeline, observed) is None) == matches_exactly and (
        compare_within_window(timeline, observed) is None
    ) == matches_within_window
    assert parse_timeline(format_timeline(timeline, timeline.entries)) == timeline
    assert [
        entry.any_order
        for entry in parse_timeline(format_timeline(timeline, timeline.compared_entries(observed))).entries
    ].count(True) == 2 or changed_entries


@pytest.mark.parametrize("cell", ["& x", "x, & y", "x &", "x & & y"])
def test_an_ampersand_that_binds_nothing_is_rejected(cell: str) -> None:
    with pytest.raises(ValueError, match="has to be between"):
        parse_timeline(f"nodes: a\n\nms   a\n3    {cell}\n")


@given(fault_values())
def test_parsing_inverts_the_formatting_of_faults(fault: Fault) -> None:
    assert parse(str(fault)) == fault


@settings(max_examples=50)
@given(st.lists(fault_values(), min_size=1, max_size=4))
def test_a_cell_may_have_several_faults(chosen: list[Fault]) -> None:
    assert parse_cell(", ".join(map(str, chosen))) == chosen


@pytest.mark.parametrize(
    ("text", "expected_words"),
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
def test_errors_of_invalid_faults_name_the_words(text: str, expected_words: str) -> None:
    with pytest.raises(ValueError, match="fault") as error:
        parse(text)
    assert expected_words in str(error.value)


def test_a_timeline_is_parsed() -> None:
    timeline = parse_timeline(TEXT)
    assert timeline.nodes == timeline.columns == ("a", "b", "c")
    assert timeline.entries == (
        TimelineEntry(1300, "a", "suspects c"),
        TimelineEntry(1300, "b", "suspects c"),
        TimelineEntry(2001, "a", "c back"),
        TimelineEntry(2001, "b", "c back"),
    )
    assert [(at, str(fault)) for at, fault in timeline.faults] == [(1000, "kill c"), (2000, "start c")]
    assert timeline.end_ms == 2001 and timeline.seed == 1


def test_a_cell_belongs_to_the_last_heading_that_starts_before_it() -> None:
    timeline = parse_timeline("ms    a       b       faults\n0        x    y, z\n0              w      heal\n")
    assert [(entry.node, entry.text) for entry in timeline.entries] == [("a", "x"), ("b", "y"), ("b", "z"), ("b", "w")]
    assert [str(fault) for _, fault in timeline.faults] == ["heal"]


@pytest.mark.parametrize(
    ("text", "expected_words"),
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
def test_errors_of_invalid_timelines_name_the_words(text: str, expected_words: str) -> None:
    with pytest.raises(ValueError, match="drawing") as error:
        parse_timeline(text)
    assert expected_words in str(error.value)


def test_ranges_of_node_names_are_expanded() -> None:
    assert expand_names("a n8..n11 b") == ("a", "n8", "n9", "n10", "n11", "b")


def observed_of(timeline: ExpectedTimeline) -> list[tuple[float, str, str]]:
    return [(float(entry.at_ms), entry.node, entry.text) for entry in timeline.entries]


line_texts = st.sampled_from(["suspects b", "b dead", "leads 4", "narrow"])
log_lines = st.lists(
    st.tuples(st.integers(0, 50), st.sampled_from(["a", "b", "c"]), line_texts), min_size=1, max_size=12
)


@settings(max_examples=50)
@given(log_lines, st.lists(st.tuples(st.integers(0, 50), fault_values()), max_size=3))
def test_a_formatted_timeline_is_parsed_back_unchanged(
    chosen: list[tuple[int, str, str]], timed_faults: list[tuple[int, Fault]]
) -> None:
    head = "nodes: a b c n12 east-1\nuntil: 60\n\nms    a     b     c     faults\n"
    without_entries = parse_timeline(head)
    timeline = ExpectedTimeline(
        without_entries.header,
        without_entries.nodes,
        without_entries.columns,
        tuple(without_entries.compared_entries(chosen)),
        tuple(sorted(timed_faults, key=lambda line: line[0])),
        60,
        "drawing",
    )
    assert parse_timeline(format_timeline(timeline, timeline.entries)) == timeline
    assert compare_exactly(timeline, chosen) is None


@given(log_lines, st.data())
def test_a_moved_missing_additional_or_changed_line_is_found(
    chosen: list[tuple[int, str, str]], data: st.DataObject
) -> None:
    without_entries = parse_timeline("nodes: a b c\nuntil: 100\n\nms    a     b     c\n")
    timeline = ExpectedTimeline(
        without_entries.header,
        without_entries.nodes,
        without_entries.columns,
        tuple(without_entries.compared_entries(chosen)),
        (),
        100,
        "drawing",
    )
    index = data.draw(st.integers(0, len(chosen) - 1))
    at, node, text = chosen[index]
    moved = [*chosen[:index], (at + data.draw(st.integers(1, 40)), node, text), *chosen[index + 1 :]]
    missing = chosen[:index] + chosen[index + 1 :]
    additional = [*chosen, (data.draw(st.integers(0, 100)), node, "more")]
    changed = [*chosen[:index], (at, node, "other"), *chosen[index + 1 :]]
    for variant in (moved, missing, additional, changed):
        difference = compare_exactly(timeline, variant)
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
    assert compare_within_window(timeline, missing, window_ms=1000) is not None
    assert compare_within_window(timeline, changed, window_ms=1000) is not None
    assert compare_within_window(timeline, sorted(chosen, key=lambda entry: entry[0]), window_ms=0) is None


def test_a_window_allows_another_order_of_nodes_but_not_of_one_nodes_lines() -> None:
    timeline = parse_timeline(
        "window: 100\nuntil: 3000\nms    a      b      faults\n1000  x\n1050         y\n1080  z\n"
        "2000                kill a\n2500         w\n"
    )
    assert (
        compare_within_window(timeline, [(1060, "b", "y"), (1090, "a", "x"), (1100, "a", "z"), (2500, "b", "w")])
        is None
    )
    swapped = compare_within_window(timeline, [(1000, "a", "z"), (1050, "b", "y"), (1080, "a", "x"), (2500, "b", "w")])
    assert swapped is not None and "a: 'z' at 1000 where 'x' is expected" in swapped
    late = compare_within_window(timeline, [(1101, "a", "x"), (1050, "b", "y"), (1180, "a", "z"), (2500, "b", "w")])
    assert late is not None and "101 ms from 1000" in late
    more = compare_within_window(
        timeline, [(1000, "a", "x"), (1050, "b", "y"), (1080, "a", "z"), (2500, "b", "w"), (2600, "b", "v")]
    )
    assert more is not None and "'v' at 2600 is not expected" in more


def test_a_window_is_relative_to_the_actual_time_of_the_fault() -> None:
    timeline = parse_timeline("nodes: a b\nwindow: 50\nms    a      faults\n1000         kill b\n1300  dead\n")
    assert compare_within_window(timeline, [(1700, "a", "dead")], [1400.0]) is None
    assert compare_within_window(timeline, [(1300, "a", "dead")], [1400.0]) is not None
    assert compare_within_window(timeline, [(1700, "a", "dead")]) is not None


def test_lines_that_show_excludes_are_ignored() -> None:
    timeline = parse_timeline(TEXT)
    assert (
        compare_exactly(timeline, [*observed_of(timeline), (1100.0, "a", "leads 4"), (1100.0, "z", "suspects a")])
        is None
    )


def test_a_timeline_matches_in_simulated_time(tmp_path: Path) -> None:
    file = tmp_path / "falls.txt"
    file.write_text(TEXT, encoding="utf-8")
    outcome = check(load(file), listeners("a", "b", "c"))
    assert parse_timeline(outcome.format_observed()).entries == outcome.timeline.entries
    wrong = simulate(parse_timeline(TEXT.replace("1300", "1301"), "falls"), listeners("a", "b", "c"))
    assert wrong.difference is not None
    assert "> 1300" in wrong.difference and "falls" in wrong.difference
    with pytest.raises(AssertionError, match="file as observed"):
        check(parse_timeline(TEXT.replace("start c", "heal   ")), listeners("a", "b", "c"))


def test_the_examples_of_the_documentation_are_valid() -> None:
    page = (Path(__file__).parents[2] / "docs" / "fleet" / "lab.md").read_text(encoding="utf-8")
    block = page.split("## How to write a drawing\n\n")[1].split("\n\n- ")[0]
    check(parse_timeline(dedent(block), "the page"), listeners("a", "b", "c"))
    table = page.split("| words | meaning | simulated |\n| --- | --- | --- |\n")[1].split("\n\n")[0]
    first = [re.split(r" \| ", row)[0].replace("\\|", "|") for row in table.splitlines()]
    table_words = [word for cell in first for word in re.findall(r"`(.*?)`", cell)]
    fault_words = [word for word in table_words if word not in ("read-only", "-250ms")]
    assert len(fault_words) == 22 and all(str(parse(word)) == word for word in fault_words)


def test_a_timeline_with_scripted_requests() -> None:
    timeline = parse_timeline(
        "nodes: a b\nshow: hello\nms    a               b      faults\n10    hello there            ask a hello there\n"
    )

    def ask(world: World, node: str, words: str) -> None:
        world.deliver_event(node, words)

    check(timeline, listeners("a", "b"), ask)
    with pytest.raises(ValueError, match="no handler for"):
        simulate(timeline, listeners("a", "b"))

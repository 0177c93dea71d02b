"""Which value wins: the table of states, and that order and repetition of copies are of no account."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.fleet.affinity import values
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.affinity.rows import CHARGED, NIL, STATE, STATE_SHIFT, TOMBSTONE
from limenotch.fleet.affinity.values import MERGED_STATES, Value, compare_versions, merge
from tests.fleet.affinity_worlds import alone

PLACES = [("p1", "c1", "z1"), ("p2", "c1", "z1"), ("p3", "c2", "z2")]


@st.composite
def value(draw: st.DrawFn) -> Value:
    gen, move, count, by = draw(
        st.tuples(st.integers(0, 2), st.integers(0, 1), st.integers(1, 2), st.sampled_from("ab"))
    )
    place = PLACES[(gen + move + count + len(by) + ord(by)) % 3]  # a value has one provider
    return Value(
        gen,
        move,
        count,
        by,
        place,
        draw(st.sampled_from(State)),
        draw(st.booleans()),
        draw(st.integers(900, 1000)) * 1.0,
        float(count),
    )


@pytest.mark.parametrize(("held", "told"), list(product(State, State)))
def test_each_pair_of_states(held: State, told: State) -> None:
    """As the table printed in the module says, row by row; and in the table of rows, heard and seen."""
    doc = values.__doc__ or ""
    lines = [line.split() for line in doc.splitlines()]
    row = next(line for line in lines if len(line) == 5 and line[0] == held.name.lower())
    assert MERGED_STATES[held, told].name.lower() == row[1 + told]
    for heard in (True, False):
        part = alone()
        part.table.record_use(1000.0, Kind.SESSION, b"k", "p1", held)
        key = part.table.hash(Kind.SESSION, b"k")
        at = part.table.rows.find(key)
        if heard:
            part.table.apply_replica(
                1001.0,
                key,
                Kind.SESSION | told << STATE_SHIFT,
                PLACES[0],
                0,
                0,
                part.table.rows.version[at],
                "a",
                1001.0,
                1000.0,
                9,
                True,
            )
        else:
            part.table.record_use(1001.0, Kind.SESSION, b"k", "p1", told)
        assert (part.table.rows.flags[at] & STATE) >> STATE_SHIFT == MERGED_STATES[held, told]
        assert part.table.rows.last_seen_ms[at] == 1001.0


@given(value(), value(), value())
@settings(max_examples=400, deadline=None, derandomize=True)
def test_merge_is_a_join(one: Value, two: Value, three: Value) -> None:
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one
    assert merge(merge(one, two), two) == merge(one, two)


@given(st.lists(value(), min_size=1, max_size=6))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_the_rows_come_to_what_merge_says(copies: list[Value]) -> None:
    part = alone()
    table, want = part.table, copies[0]
    for each in copies:
        table.apply_replica(
            1000.0,
            77,
            Kind.SESSION | each.state << STATE_SHIFT | (CHARGED if each.charged else 0),
            each.endpoint,
            *each[:4],
            each.last_seen_ms,
            each.created_ms,
            3,
            True,
        )
        want = merge(want, each)
    row = table.rows.find(77)
    assert row != NIL and not table.rows.flags[row] & TOMBSTONE
    rows = table.rows
    held = Value(
        rows.generation[row],
        rows.moves[row],
        rows.version[row],
        table.members.names[rows.author[row]],
        table.endpoints.placements[rows.endpoint[row]],
        State((rows.flags[row] & STATE) >> STATE_SHIFT),
        bool(rows.flags[row] & CHARGED),
        rows.last_seen_ms[row],
        rows.created_ms[row],
    )
    assert held == want


def test_who_bound_first_wins() -> None:
    assert compare_versions(0, 0, 3, "b", (0, 0, 4, "a")) == 1
    assert compare_versions(0, 0, 4, "b", (0, 0, 4, "a")) == -1
    assert compare_versions(0, 1, 9, "b", (0, 0, 4, "a")) == 1
    assert compare_versions(1, 0, 9, "b", (0, 7, 4, "a")) == 1
    assert compare_versions(1, 2, 3, "a", (1, 2, 3, "a")) == 0

"""Conflict resolution: the table of states, and that order and repetition of replicas do not matter."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.fleet.affinity import values
from limenotch.fleet.affinity.api import Kind, State
from limenotch.fleet.affinity.rows import CHARGED, NIL, STATE, STATE_SHIFT, TOMBSTONE
from limenotch.fleet.affinity.values import MERGED_STATES, Value, compare_versions, merge
from tests.fleet.affinity_worlds import single_member

PLACEMENTS = [("p1", "c1", "z1"), ("p2", "c1", "z1"), ("p3", "c2", "z2")]


@st.composite
def value(draw: st.DrawFn) -> Value:
    generation, moves, version, author = draw(
        st.tuples(st.integers(0, 2), st.integers(0, 1), st.integers(1, 2), st.sampled_from("ab"))
    )
    placement = PLACEMENTS[(generation + moves + version + len(author) + ord(author)) % 3]  # one endpoint per value
    return Value(
        generation,
        moves,
        version,
        author,
        placement,
        draw(st.sampled_from(State)),
        draw(st.booleans()),
        draw(st.integers(900, 1000)) * 1.0,
        float(version),
    )


@pytest.mark.parametrize(("known", "received"), list(product(State, State)))
def test_merged_state_of_each_pair(known: State, received: State) -> None:
    """Compares the code with the table in the module's docstring, for received updates and for local uses."""
    doc = values.__doc__ or ""
    lines = [line.split() for line in doc.splitlines()]
    row = next(line for line in lines if len(line) == 5 and line[0] == known.name.lower())
    assert MERGED_STATES[known, received].name.lower() == row[1 + received]
    for from_peer in (True, False):
        bindings = single_member()
        bindings.table.record_use(1000.0, Kind.SESSION, b"k", "p1", known)
        key = bindings.table.hash(Kind.SESSION, b"k")
        row_number = bindings.table.rows.find(key)
        if from_peer:
            bindings.table.apply_replica(
                1001.0,
                key,
                Kind.SESSION | received << STATE_SHIFT,
                PLACEMENTS[0],
                0,
                0,
                bindings.table.rows.version[row_number],
                "a",
                1001.0,
                1000.0,
                9,
                True,
            )
        else:
            bindings.table.record_use(1001.0, Kind.SESSION, b"k", "p1", received)
        assert (bindings.table.rows.flags[row_number] & STATE) >> STATE_SHIFT == MERGED_STATES[known, received]
        assert bindings.table.rows.last_seen_ms[row_number] == 1001.0


@given(value(), value(), value())
@settings(max_examples=400, deadline=None, derandomize=True)
def test_merge_is_commutative_associative_and_idempotent(one: Value, two: Value, three: Value) -> None:
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one
    assert merge(merge(one, two), two) == merge(one, two)


@given(st.lists(value(), min_size=1, max_size=6))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_rows_end_as_merge_does(replicas: list[Value]) -> None:
    bindings = single_member()
    table, expected = bindings.table, replicas[0]
    for each in replicas:
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
        expected = merge(expected, each)
    row = table.rows.find(77)
    assert row != NIL and not table.rows.flags[row] & TOMBSTONE
    rows = table.rows
    known = Value(
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
    assert known == expected


def test_the_first_to_bind_wins() -> None:
    assert compare_versions(0, 0, 3, "b", (0, 0, 4, "a")) == 1
    assert compare_versions(0, 0, 4, "b", (0, 0, 4, "a")) == -1
    assert compare_versions(0, 1, 9, "b", (0, 0, 4, "a")) == 1
    assert compare_versions(1, 0, 9, "b", (0, 7, 4, "a")) == 1
    assert compare_versions(1, 2, 3, "a", (1, 2, 3, "a")) == 0

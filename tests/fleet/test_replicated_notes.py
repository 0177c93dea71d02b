"""Replicated notes as a component, and the checker of the process scenarios: it must find each violation."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limenotch.fleet import replicated_notes as notes_module
from limenotch.fleet.consensus import (
    ChangeVoters,
    EntryCommitted,
    OutcomeUnknown,
    ProposalCommitted,
    ProposalRejected,
    Propose,
    ReadIndex,
    ReadReady,
    SnapshotInstalled,
)
from limenotch.fleet.interfaces import SetTimer, Started, TimerFired
from limenotch.fleet.replicated_notes import OperatorRequest, OperatorResponse, ReplicatedNotes
from limenotch.lab.fleet.processes import Processes
from tests.helpers.log_operators import OperatorCall, Operators


def entry(index: int, note_id: str, text: bytes = b"w") -> EntryCommitted:
    return EntryCommitted(index, 1, msgspec.msgpack.encode((note_id, text)), "")


def actions_of(notes: ReplicatedNotes, *events: Any) -> list[Any]:
    return [action for event in events for action in notes.handle(0.0, event)]


def test_confirms_a_note_when_it_is_committed_and_applied_here() -> None:
    notes = ReplicatedNotes()
    (propose,) = notes.handle(0.0, OperatorRequest(1, "keep", "x", b"w"))
    assert isinstance(propose, Propose)
    assert actions_of(notes, Started(), ProposalCommitted(1, 4)) == [SetTimer(notes_module.APPLY_TIMEOUT_MS, 1)]
    assert actions_of(notes, entry(3, "y")) == []
    assert actions_of(notes, EntryCommitted(4, 1, propose.data, propose.id)) == [OperatorResponse(1, "kept", index=4)]
    actions_of(notes, OperatorRequest(2, "keep", "z", b"w"), ProposalCommitted(2, 9))
    assert [answer.outcome for answer in notes.handle(notes_module.APPLY_TIMEOUT_MS, TimerFired(1))] == ["unknown"]


def test_first_text_stays_and_nothing_is_dropped_when_full(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(notes_module, "MAX_NOTES", 2)
    notes = ReplicatedNotes()
    first, second = (notes.handle(0.0, OperatorRequest(n, "keep", "x", text))[0] for n, text in ((1, b"a"), (2, b"b")))
    assert first.id != second.id
    outcomes = [
        answer.outcome
        for answer in actions_of(
            notes, entry(1, "x", b"a"), entry(2, "x", b"b"), ProposalCommitted(1, 1), ProposalCommitted(2, 2)
        )
    ]
    assert outcomes == ["kept", "other"]
    actions_of(notes, OperatorRequest(3, "keep", "z", b"w"), entry(3, "y"), entry(4, "z"), entry(5, "x", b"a"))
    assert actions_of(notes, ProposalCommitted(3, 4))[0].outcome == "full" and len(notes) == 2
    (answer,) = actions_of(notes, OperatorRequest(5, "read", "z"), ReadReady(5, 5))[1:]
    assert answer.outcome == "none"


def test_each_request_gets_the_outcome_from_the_log() -> None:
    notes = ReplicatedNotes()
    assert actions_of(notes, OperatorRequest(1, "voters", "d", remove="c")) == [ChangeVoters(1, "d", "c")]
    assert actions_of(notes, ProposalCommitted(1, 8)) == [OperatorResponse(1, "done", index=8)]
    assert actions_of(notes, OperatorRequest(2, "read", "x"), ProposalRejected(2, "no quorum", None)) == [
        ReadIndex(2),
        OperatorResponse(2, "refused", "no quorum"),
    ]
    actions_of(notes, OperatorRequest(3, "keep", "x"), OperatorRequest(4, "keep", "y"))
    assert actions_of(notes, ProposalRejected(3, "disk full", "b"), OutcomeUnknown(4))[0].reason == "disk full; b leads"
    assert (
        actions_of(notes, OperatorRequest(5, "keep", "x", bytes(notes_module.MAX_NOTE_BYTES + 1)))[0].reason
        == "too large"
    )
    assert actions_of(notes, OutcomeUnknown(99), ProposalCommitted(98, 1), ReadReady(97, 1)) == []
    with pytest.raises(TypeError):
        notes.handle(0.0, object())
    with pytest.raises(ValueError):
        notes.handle(-1.0, Started())


def test_pending_requests_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(notes_module, "MAX_PENDING_REQUESTS", 1)
    notes = ReplicatedNotes()
    actions_of(notes, OperatorRequest(1, "read", "x"))
    assert actions_of(notes, OperatorRequest(2, "read", "x")) == [OperatorResponse(2, "refused", "busy")]
    actions_of(notes, ReadReady(1, 0))
    assert actions_of(notes, OperatorRequest(3, "read", "x")) == [ReadIndex(3)]


def test_state_is_restored_and_an_undecodable_entry_is_counted() -> None:
    notes = ReplicatedNotes()
    actions_of(notes, entry(1, "x", b"words"), EntryCommitted(2, 1, b"?", ""))
    assert notes.unreadable_entries == 1
    installed = ReplicatedNotes()
    actions_of(installed, SnapshotInstalled(2, notes.state()))
    for restored in (ReplicatedNotes(notes.state(), 2), installed):
        assert actions_of(restored, OperatorRequest(1, "read", "x"), ReadReady(1, 2))[1] == OperatorResponse(
            1, "found", body=b"words", index=1
        )
        assert actions_of(restored, OperatorRequest(2, "list"), ReadReady(2, 2))[1].body == b'[{"id":"x","index":1}]'


def post(note_id: str, began: float, status: int | None, index: int = 0, method: str = "POST") -> OperatorCall:
    return OperatorCall("a", method, note_id, began, began + 1, status, b"", index)


def notes_of(**index_by_id: int) -> dict[str, tuple[int, bytes]]:
    return {note_id: (index, f"why {note_id}".encode()) for note_id, index in index_by_id.items()}


@pytest.mark.parametrize(
    ("calls", "at_b", "expected"),
    [
        ([post("x", 0, 200, 1)], notes_of(x=1), None),
        ([post("x", 0, None), post("x", 2, 503)], notes_of(x=1), None),
        ([post("x", 0, 200, 1)], notes_of(), "differ"),
        ([post("x", 0, 503)], notes_of(x=1), "refused and is stored"),
        ([post("x", 0, 200, 2)], notes_of(x=1), "confirmed at 2"),
        ([post("y", 0, 200, 2), post("x", 0, 200, 1)], notes_of(x=1), "y was confirmed and is None"),
        ([], notes_of(x=1), "was not requested"),
        ([post("y", 0, 200, 2), post("x", 3, 200, 1)], notes_of(x=1, y=2), "requested after 2"),
        ([post("y", 0, 200, 2), post("x", 0.5, 200, 1)], notes_of(x=1, y=2), None),
        ([post("x", 0, 200, 1), post("x", 2, 404, method="GET")], notes_of(x=1), "not found"),
    ],
)
def test_checker_finds_each_violation(calls: list[OperatorCall], at_b: Any, expected: str | None) -> None:
    operators = Operators(Processes())
    operators.calls = calls
    at_a = notes_of(x=1) if expected == "differ" else at_b
    operators._check_end({"a": at_a, "b": at_b})
    operators._check_order()
    assert any(expected in each for each in operators.violations) if expected else not operators.violations

"""Promises as a part, and the checker of the processes' scenarios: what it must find, it finds."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from limenotch.fleet import replicated_notes as module
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
from tests.helpers.log_operators import Operators, Told


def entry(index: int, ident: str, words: bytes = b"w") -> EntryCommitted:
    return EntryCommitted(index, 1, msgspec.msgpack.encode((ident, words)), "")


def asked(part: ReplicatedNotes, *events: Any) -> list[Any]:
    return [action for event in events for action in part.handle(0.0, event)]


def test_yes_is_said_when_it_is_promised_and_applied_here() -> None:
    part = ReplicatedNotes()
    (propose,) = part.handle(0.0, OperatorRequest(1, "keep", "x", b"w"))
    assert isinstance(propose, Propose)
    assert asked(part, Started(), ProposalCommitted(1, 4)) == [SetTimer(module.LATE_MS, 1)]
    assert asked(part, entry(3, "y")) == []
    assert asked(part, EntryCommitted(4, 1, propose.data, propose.id)) == [OperatorResponse(1, "kept", index=4)]
    asked(part, OperatorRequest(2, "keep", "z", b"w"), ProposalCommitted(2, 9))
    assert [answer.word for answer in part.handle(module.LATE_MS, TimerFired(1))] == ["unknown"]


def test_the_first_words_stand_and_nothing_is_dropped_when_full(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST", 2)
    part = ReplicatedNotes()
    one, two = (part.handle(0.0, OperatorRequest(n, "keep", "x", words))[0] for n, words in ((1, b"a"), (2, b"b")))
    assert one.id != two.id
    words = [
        answer.word
        for answer in asked(
            part, entry(1, "x", b"a"), entry(2, "x", b"b"), ProposalCommitted(1, 1), ProposalCommitted(2, 2)
        )
    ]
    assert words == ["kept", "other"]
    asked(part, OperatorRequest(3, "keep", "z", b"w"), entry(3, "y"), entry(4, "z"), entry(5, "x", b"a"))
    assert asked(part, ProposalCommitted(3, 4))[0].word == "full" and len(part) == 2
    (answer,) = asked(part, OperatorRequest(5, "read", "z"), ReadReady(5, 5))[1:]
    assert answer.word == "none"


def test_each_ask_gets_the_log_s_answer() -> None:
    part = ReplicatedNotes()
    assert asked(part, OperatorRequest(1, "voters", "d", other="c")) == [ChangeVoters(1, "d", "c")]
    assert asked(part, ProposalCommitted(1, 8)) == [OperatorResponse(1, "done", index=8)]
    assert asked(part, OperatorRequest(2, "read", "x"), ProposalRejected(2, "no quorum", None)) == [
        ReadIndex(2),
        OperatorResponse(2, "refused", "no quorum"),
    ]
    asked(part, OperatorRequest(3, "keep", "x"), OperatorRequest(4, "keep", "y"))
    assert asked(part, ProposalRejected(3, "disk full", "b"), OutcomeUnknown(4))[0].text == "disk full; b leads"
    assert asked(part, OperatorRequest(5, "keep", "x", bytes(module.MOST_BYTES + 1)))[0].text == "too large"
    assert asked(part, OutcomeUnknown(99), ProposalCommitted(98, 1), ReadReady(97, 1)) == []
    with pytest.raises(TypeError):
        part.handle(0.0, object())
    with pytest.raises(ValueError):
        part.handle(-1.0, Started())


def test_what_waits_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_ASKED", 1)
    part = ReplicatedNotes()
    asked(part, OperatorRequest(1, "read", "x"))
    assert asked(part, OperatorRequest(2, "read", "x")) == [OperatorResponse(2, "refused", "busy")]
    asked(part, ReadReady(1, 0))
    assert asked(part, OperatorRequest(3, "read", "x")) == [ReadIndex(3)]


def test_its_state_comes_back_and_a_foreign_entry_is_counted() -> None:
    part = ReplicatedNotes()
    asked(part, entry(1, "x", b"words"), EntryCommitted(2, 1, b"?", ""))
    assert part.bad == 1
    late = ReplicatedNotes()
    asked(late, SnapshotInstalled(2, part.state()))
    for other in (ReplicatedNotes(part.state(), 2), late):
        assert asked(other, OperatorRequest(1, "read", "x"), ReadReady(1, 2))[1] == OperatorResponse(
            1, "found", body=b"words", index=1
        )
        assert asked(other, OperatorRequest(2, "list"), ReadReady(2, 2))[1].body == b'[{"id":"x","index":1}]'


def post(ident: str, began: float, status: int | None, index: int = 0, method: str = "POST") -> Told:
    return Told("a", method, ident, began, began + 1, status, b"", index)


def found(**kept: int) -> dict[str, tuple[int, bytes]]:
    return {ident: (index, f"why {ident}".encode()) for ident, index in kept.items()}


@pytest.mark.parametrize(
    ("told", "at_b", "says"),
    [
        ([post("x", 0, 200, 1)], found(x=1), None),
        ([post("x", 0, None), post("x", 2, 503)], found(x=1), None),
        ([post("x", 0, 200, 1)], found(), "differ"),
        ([post("x", 0, 503)], found(x=1), "refused and is kept"),
        ([post("x", 0, 200, 2)], found(x=1), "promised at 2"),
        ([post("y", 0, 200, 2), post("x", 0, 200, 1)], found(x=1), "y was promised and is None"),
        ([], found(x=1), "nobody asked"),
        ([post("y", 0, 200, 2), post("x", 3, 200, 1)], found(x=1, y=2), "asked after 2"),
        ([post("y", 0, 200, 2), post("x", 0.5, 200, 1)], found(x=1, y=2), None),
        ([post("x", 0, 200, 1), post("x", 2, 404, method="GET")], found(x=1), "not found"),
    ],
)
def test_the_checker_finds_what_is_wrong(told: list[Told], at_b: Any, says: str | None) -> None:
    operators = Operators(Processes())
    operators.told = told
    at_a = found(x=1) if says == "differ" else at_b
    operators._check_end({"a": at_a, "b": at_b})
    operators._check_order()
    assert any(says in each for each in operators.wrong) if says else not operators.wrong

"""The hub with toy parts: who is told what, in which order, and what a part's fault costs."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.fleet import hub as hubs
from limenotch.fleet.contract import (
    Carrier,
    Fenced,
    Heard,
    Leave,
    MemberChanged,
    Note,
    Send,
    SetTimer,
    Started,
    Store,
    Stored,
    StoreFailed,
    Tell,
    TimerFired,
)
from limenotch.fleet.hub import Hub

from .said import Answer, Block, Book, Line, Probe, Toy

B = ("127.0.0.1", 2)
DEAD = MemberChanged("b", "dead", B, 0, 1)


def hub(*answers: Answer, faulty: hubs.Faulty | None = None) -> tuple[Hub, list[Toy]]:
    toys = [Toy(answer) for answer in answers]
    return Hub(list(zip(("mb.", "ag.", "ru."), toys, strict=False)), Book({"b": B}), faulty), toys


def test_messages_go_by_their_prefix_and_start_and_leave_to_all() -> None:
    both, (members, log) = hub(lambda *_: [], lambda *_: [])
    both.handle(0.0, Started())
    both.handle(1.0, Heard(B, "b", Probe(1)))
    both.handle(2.0, Heard(B, "b", Line("x"), Carrier.STREAM))
    both.handle(3.0, Leave())
    assert members.told == [Started(), Heard(B, "b", Probe(1)), Leave()]
    assert log.told == [Started(), Heard(B, "b", Line("x"), Carrier.STREAM), Leave()]
    alone, (only,) = hub(lambda *_: [])
    assert alone.handle(0.0, Heard(B, "b", Line("x"))) == [] == only.told and alone.unheard == 1


def test_names_become_addresses_by_what_membership_knows() -> None:
    said = [Tell("b", Line("x")), Tell("z", Line("y")), Send(B, Probe(2)), Note("n"),
            Tell("b", Probe(3), Carrier.DATAGRAM)]
    both, _ = hub(lambda *_: [], lambda *_: list(said))
    assert both.handle(0.0, Heard(B, "b", Line("q"))) == [
        Send(B, Line("x"), Carrier.STREAM), Send(B, Probe(2)), Note("n"), Send(B, Probe(3), Carrier.DATAGRAM)]
    assert both.untold == 1


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(-(2**40), 2**40), st.sampled_from("tsf")), max_size=20))
def test_timers_and_tickets_come_back_to_who_asked(asked: list[tuple[int, int, str]]) -> None:
    want: list[list[Any]] = [[], [], []]
    three, toys = hub(*[lambda *_: []] * 3)
    for part, number, kind in asked:
        wanted = SetTimer(5.0, number) if kind == "t" else Store(number, ("r",))
        toys[part].answer = lambda _, event, wanted=wanted: [wanted] if isinstance(event, Heard) else []  # type: ignore[misc]
        (action,) = three.handle(0.0, Heard(B, "b", PROBES[part]))
        if isinstance(action, SetTimer):
            three.handle(5.0, TimerFired(action.token))
            want[part].append(TimerFired(number))
        else:
            assert isinstance(action, Store) and action.records == ("r",)
            three.handle(5.0, Stored(action.ticket) if kind == "s" else StoreFailed(action.ticket, "full"))
            want[part].append(Stored(number) if kind == "s" else StoreFailed(number, "full"))
    for toy, expected in zip(toys, want, strict=True):
        assert [event for event in toy.told if not isinstance(event, Heard)] == expected


class Rule(Line, frozen=True, tag="ru.rule"):
    pass


PROBES = (Probe(0), Block(b""), Rule(""))


def test_what_membership_finds_is_told_to_the_others_at_its_place() -> None:
    def members(_: float, event: Any) -> list[Any]:
        return [Note("before"), DEAD, Note("between"), Fenced(), Note("after")]

    three, toys = hub(members, lambda _, event: [Note(f"log {type(event).__name__}")],
                      lambda _, event: [Note(f"rules {type(event).__name__}")])
    notes = [action.text for action in three.handle(0.0, Heard(B, "b", Probe(1))) if isinstance(action, Note)]
    assert notes == ["before", "log MemberChanged", "rules MemberChanged", "between", "log Fenced", "rules Fenced",
                     "after"]
    assert toys[1].told == [DEAD, Fenced()] and len(toys[0].told) == 1


def test_only_membership_says_who_is_there() -> None:
    both, _ = hub(lambda *_: [], lambda *_: [DEAD])
    with pytest.raises(TypeError, match="no action of ag"):
        both.handle(0.0, Heard(B, "b", Line("x")))
    with pytest.raises(TypeError, match="no event"):
        both.handle(0.0, DEAD)
    with pytest.raises(ValueError):
        Hub([("a.", Toy()), ("a.", Toy())])


def raising(_: float, event: Any) -> list[Any]:
    if isinstance(event, (Heard, MemberChanged)):
        raise KeyError("broken")
    return [Note("lives")]


def test_a_part_that_raises_is_off_alone_and_membership_takes_all_with_it() -> None:
    seen: list[tuple[str, Any, Exception]] = []
    both, (members, log) = hub(lambda *_: [DEAD, Note("goes on")], raising, faulty=lambda *told: seen.append(told))
    out = both.handle(0.0, Heard(B, "b", Probe(1)))
    assert out == [Note(hubs.OFF, {"part": "ag.", "off": "ag."}), Note("goes on")] and both.off == ("ag.",)
    assert [(part, event, str(error)) for part, event, error in seen] == [("ag.", DEAD, "'broken'")]
    assert both.handle(1.0, Heard(B, "b", Probe(1))) == [Note("goes on")] and len(log.told) == 1
    assert both.handle(1.0, Heard(B, "b", Line(""))) == [] and both.unheard == 1
    both, (members, log) = hub(raising, raising, faulty=lambda *told: seen.append(told))
    assert both.handle(0.0, Heard(B, "b", Probe(1)))[0] == Note(hubs.OFF, {"part": "mb.", "off": "mb., ag."})
    assert both.handle(0.0, Leave()) == [] and log.told == []


def test_in_simulated_time_a_fault_goes_through() -> None:
    both, _ = hub(lambda *_: [DEAD], raising)
    with pytest.raises(KeyError):
        both.handle(0.0, Heard(B, "b", Probe(1)))

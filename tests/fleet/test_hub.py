"""The hub with toy parts: who is told what, in which order, and what a part's fault costs."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.fleet import hub as hubs
from limenotch.fleet import log_multiplexer
from limenotch.fleet.consensus import (
    ChangeVoters,
    EntryCommitted,
    LeaderChanged,
    ProposalCommitted,
    ProposalRejected,
    Propose,
    ReadIndex,
    ReadReady,
    SnapshotInstalled,
    SnapshotRequested,
    SnapshotState,
)
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import (
    Carrier,
    Fenced,
    LogLine,
    MemberChanged,
    MessageReceived,
    SendToAddress,
    SendToMember,
    SetTimer,
    ShutdownStarted,
    Started,
    Store,
    Stored,
    StoreFailed,
    TimerFired,
)

from .fake_messages import Answer, Block, Book, Line, Probe, Toy

B = ("127.0.0.1", 2)
DEAD = MemberChanged("b", "dead", B, 0, 1)


def hub(*answers: Answer, faulty: hubs.FaultHandler | None = None) -> tuple[ComponentHub, list[Toy]]:
    toys = [Toy(answer) for answer in answers]
    return ComponentHub(list(zip(("mb.", "ag.", "ru."), toys, strict=False)), Book({"b": B}), faulty), toys


def test_messages_go_by_their_prefix_and_start_and_leave_to_all() -> None:
    both, (members, log) = hub(lambda *_: [], lambda *_: [])
    both.handle(0.0, Started())
    both.handle(1.0, MessageReceived(B, "b", Probe(1)))
    both.handle(2.0, MessageReceived(B, "b", Line("x"), Carrier.STREAM))
    both.handle(3.0, ShutdownStarted())
    assert members.told == [Started(), MessageReceived(B, "b", Probe(1)), ShutdownStarted()]
    assert log.told == [Started(), MessageReceived(B, "b", Line("x"), Carrier.STREAM), ShutdownStarted()]
    alone, (only,) = hub(lambda *_: [])
    assert alone.handle(0.0, MessageReceived(B, "b", Line("x"))) == [] == only.told and alone.unhandled_messages == 1


def test_names_become_addresses_by_what_membership_knows() -> None:
    said = [
        SendToMember("b", Line("x")),
        SendToMember("z", Line("y")),
        SendToAddress(B, Probe(2)),
        LogLine("n"),
        SendToMember("b", Probe(3), Carrier.DATAGRAM),
    ]
    both, _ = hub(lambda *_: [], lambda *_: list(said))
    assert both.handle(0.0, MessageReceived(B, "b", Line("q"))) == [
        SendToAddress(B, Line("x"), Carrier.STREAM),
        SendToAddress(B, Probe(2)),
        LogLine("n"),
        SendToAddress(B, Probe(3), Carrier.DATAGRAM),
    ]
    assert both.undeliverable_messages == 1


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(-(2**40), 2**40), st.sampled_from("tsf")), max_size=20))
def test_timers_and_tickets_come_back_to_who_asked(asked: list[tuple[int, int, str]]) -> None:
    want: list[list[Any]] = [[], [], []]
    three, toys = hub(*[lambda *_: []] * 3)
    for part, number, kind in asked:
        wanted = SetTimer(5.0, number) if kind == "t" else Store(number, ("r",))
        toys[part].answer = lambda _, event, wanted=wanted: [wanted] if isinstance(event, MessageReceived) else []  # type: ignore[misc]
        (action,) = three.handle(0.0, MessageReceived(B, "b", PROBES[part]))
        if isinstance(action, SetTimer):
            three.handle(5.0, TimerFired(action.token))
            want[part].append(TimerFired(number))
        else:
            assert isinstance(action, Store) and action.records == ("r",)
            three.handle(5.0, Stored(action.ticket) if kind == "s" else StoreFailed(action.ticket, "full"))
            want[part].append(Stored(number) if kind == "s" else StoreFailed(number, "full"))
    for toy, expected in zip(toys, want, strict=True):
        assert [event for event in toy.told if not isinstance(event, MessageReceived)] == expected


class Rule(Line, frozen=True, tag="ru.rule"):
    pass


PROBES = (Probe(0), Block(b""), Rule(""))


def test_what_membership_finds_is_told_to_the_others_at_its_place() -> None:
    def members(_: float, event: Any) -> list[Any]:
        return [LogLine("before"), DEAD, LogLine("between"), Fenced(), LogLine("after")]

    three, toys = hub(
        members,
        lambda _, event: [LogLine(f"log {type(event).__name__}")],
        lambda _, event: [LogLine(f"rules {type(event).__name__}")],
    )
    notes = [
        action.text for action in three.handle(0.0, MessageReceived(B, "b", Probe(1))) if isinstance(action, LogLine)
    ]
    assert notes == [
        "before",
        "log MemberChanged",
        "rules MemberChanged",
        "between",
        "log Fenced",
        "rules Fenced",
        "after",
    ]
    assert toys[1].told == [DEAD, Fenced()] and len(toys[0].told) == 1


def test_only_membership_says_who_is_there() -> None:
    both, _ = hub(lambda *_: [], lambda *_: [DEAD])
    with pytest.raises(TypeError, match="unexpected action of component ag"):
        both.handle(0.0, MessageReceived(B, "b", Line("x")))
    with pytest.raises(TypeError, match="not an event of the hub"):
        both.handle(0.0, DEAD)
    with pytest.raises(ValueError):
        ComponentHub([("a.", Toy()), ("a.", Toy())])


def raising(_: float, event: Any) -> list[Any]:
    if isinstance(event, (MessageReceived, MemberChanged)):
        raise KeyError("broken")
    return [LogLine("lives")]


def test_a_part_that_raises_is_off_alone_and_membership_takes_all_with_it() -> None:
    seen: list[tuple[str, Any, Exception]] = []
    both, (members, log) = hub(lambda *_: [DEAD, LogLine("goes on")], raising, faulty=lambda *told: seen.append(told))
    out = both.handle(0.0, MessageReceived(B, "b", Probe(1)))
    assert out == [
        LogLine(hubs.COMPONENT_STOPPED, {"part": "ag.", "off": "ag."}),
        LogLine("goes on"),
    ] and both.stopped == ("ag.",)
    assert [(part, event, str(error)) for part, event, error in seen] == [("ag.", DEAD, "'broken'")]
    assert both.handle(1.0, MessageReceived(B, "b", Probe(1))) == [LogLine("goes on")] and len(log.told) == 1
    assert both.handle(1.0, MessageReceived(B, "b", Line(""))) == [] and both.unhandled_messages == 1
    both, (members, log) = hub(raising, raising, faulty=lambda *told: seen.append(told))
    assert both.handle(0.0, MessageReceived(B, "b", Probe(1)))[0] == LogLine(
        hubs.COMPONENT_STOPPED, {"part": "mb.", "off": "mb., ag."}
    )
    assert both.handle(0.0, ShutdownStarted()) == [] and log.told == []


def test_in_simulated_time_a_fault_goes_through() -> None:
    both, _ = hub(lambda *_: [DEAD], raising)
    with pytest.raises(KeyError):
        both.handle(0.0, MessageReceived(B, "b", Probe(1)))


class Layer(Toy):
    kept = b"kept"

    def state(self) -> bytes:
        return self.kept


def with_log(log: Answer, *layers: Answer) -> tuple[ComponentHub, Toy, list[Layer]]:
    of_log, above = Toy(log), [Layer(answer) for answer in layers]
    return (
        ComponentHub([("mb.", Toy()), ("ag.", of_log), *zip(("ru.", "pr."), above, strict=False)]),
        of_log,
        above,
    )


def on(kind: type, *actions: Any) -> Answer:
    return lambda _, event: list(actions) if isinstance(event, kind) else []


def test_what_layers_ask_goes_to_the_log_and_its_answers_to_who_asked() -> None:
    def log(_: float, event: Any) -> list[Any]:
        return (
            [ProposalCommitted(event.ticket, 7)]
            if isinstance(event, Propose)
            else []
            if isinstance(event, Started)
            else [ProposalRejected(event.ticket, "busy", "b")]
        )

    hub, of_log, (rules, promises) = with_log(
        log, on(Started, Propose(3, b"x", "i"), ReadIndex(4)), on(Started, Propose(3, b"y"), ChangeVoters(5, "d", "c"))
    )
    assert hub.handle(0.0, Started()) == []
    asked = of_log.told[1:]
    assert [(each.data, each.id) for each in asked if isinstance(each, Propose)] == [(b"ru.x", "ru.i"), (b"pr.y", "")]
    assert len({each.ticket for each in asked}) == 4 and asked[-1][1:] == ("d", "c")
    assert rules.told == [Started(), ProposalCommitted(3, 7), ProposalRejected(4, "busy", "b")]
    assert promises.told == [Started(), ProposalCommitted(3, 7), ProposalRejected(5, "busy", "b")]


def test_what_is_agreed_goes_to_whom_it_is_of_and_a_leader_to_all() -> None:
    hub, _, (rules, promises) = with_log(
        on(
            ShutdownStarted,
            EntryCommitted(1, 1, b"ru.a.b", "ru.i"),
            EntryCommitted(2, 1, b"pr.", ""),
            LeaderChanged("b", 2),
        ),
        on(int),
        on(int),
    )
    hub.handle(0.0, ShutdownStarted())
    assert rules.told[:2] == [EntryCommitted(1, 1, b"a.b", "i"), LeaderChanged("b", 2)]
    assert promises.told[:2] == [EntryCommitted(2, 1, b"", ""), LeaderChanged("b", 2)]


def test_the_log_hears_what_is_asked_when_all_it_said_is_told() -> None:
    """A layer that proposes on the first of two entries must hear of the second before the answer."""

    def log(_: float, event: Any) -> list[Any]:
        if isinstance(event, ShutdownStarted):
            return [EntryCommitted(1, 1, b"ru.1", ""), EntryCommitted(2, 1, b"ru.2", "")]
        return [ReadReady(event.ticket, 2)] if isinstance(event, ReadIndex) else []

    hub, _, (rules,) = with_log(log, lambda _, event: [ReadIndex(9)] if event == EntryCommitted(1, 1, b"1", "") else [])
    hub.handle(0.0, ShutdownStarted())
    assert [type(told) for told in rules.told] == [EntryCommitted, EntryCommitted, ReadReady, ShutdownStarted]


def test_a_snapshot_is_of_all_layers_and_each_gets_its_own_back() -> None:
    hub, of_log, (rules, promises) = with_log(
        on(Started, EntryCommitted(5, 1, b"ru.", ""), SnapshotRequested(5)), on(int), on(int)
    )
    rules.kept, promises.kept = b"R", b"P"
    hub.handle(0.0, Started())
    (compact,) = [told for told in of_log.told if isinstance(told, SnapshotState)]
    assert compact.index == 5 and log_multiplexer.split_states(compact.state) == {"ru.": b"R", "pr.": b"P"}
    of_log.answer = on(ShutdownStarted, SnapshotInstalled(9, compact.state))
    hub.handle(1.0, ShutdownStarted())
    assert SnapshotInstalled(9, b"R") in rules.told and SnapshotInstalled(9, b"P") in promises.told
    assert log_multiplexer.split_states(None) == {} and log_multiplexer.split_prefix(b"none") == ("", b"none")


@pytest.mark.parametrize(
    "before", [EntryCommitted(1, 1, b"zz.x", ""), SnapshotInstalled(1, log_multiplexer.join_states({"zz.": b"Z"}))]
)
def test_no_snapshot_is_made_where_a_layer_is_missing_or_off(before: Any) -> None:
    hub, of_log, _ = with_log(on(Started, before, SnapshotRequested(1)), on(int), on(int))
    (note,) = hub.handle(0.0, Started())
    assert isinstance(note, LogLine) and note.text.startswith("no snapshot")
    assert not any(isinstance(told, SnapshotState) for told in of_log.told)
    hub, of_log, _ = with_log(on(ShutdownStarted, SnapshotRequested(1)), raising)
    hub.on_fault = lambda *about: None
    hub.handle(0.0, MessageReceived(B, "b", Rule("")))
    assert hub.stopped == ("ru.",) and isinstance(hub.handle(1.0, ShutdownStarted())[0], LogLine)
    assert not any(isinstance(told, SnapshotState) for told in of_log.told)


def test_without_a_log_or_with_one_that_is_off_what_is_asked_is_refused() -> None:
    layer = Layer(on(Started, Propose(1, b"")))
    ComponentHub([("mb.", Toy()), ("ru.", layer)]).handle(0.0, Started())
    assert layer.told == [Started(), ProposalRejected(1, "no log", None)]
    hub, _, (rules,) = with_log(raising, on(ShutdownStarted, ReadIndex(2)))
    hub.on_fault = lambda *about: None
    hub.handle(0.0, MessageReceived(B, "b", Line("")))
    assert rules.told == [LeaderChanged(None, 0)]
    hub.handle(1.0, ShutdownStarted())
    assert rules.told[1:] == [ShutdownStarted(), ProposalRejected(2, "the log is off", None)]


def test_the_host_asks_a_part_and_hears_its_own_actions() -> None:
    hub, _, (rules,) = with_log(on(int), lambda _, event: [DEAD] if event == "who" else [])
    heard: list[Any] = []
    hub.register_action_handler(MemberChanged, heard.append)
    assert hub.handle(0.0, ComponentEvent("ru.", "who")) == [] and heard == [DEAD]
    with pytest.raises(TypeError, match="not an event of the hub"):
        hub.handle(0.0, ComponentEvent("zz.", "who"))
    hub.handle(0.0, Started())
    with pytest.raises(ValueError, match="already started"):
        hub.add("zz.", Toy())

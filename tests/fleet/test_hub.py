"""The hub with fake components: which component gets which event, in which order, and the effects of a fault."""

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

from .fake_messages import Block, EventHandler, FakeAddressBook, FakeComponent, Line, Probe

B = ("127.0.0.1", 2)
DEAD = MemberChanged("b", "dead", B, 0, 1)


def make_hub(
    *handlers: EventHandler, on_fault: hubs.FaultHandler | None = None
) -> tuple[ComponentHub, list[FakeComponent]]:
    components = [FakeComponent(answer) for answer in handlers]
    return ComponentHub(
        list(zip(("mb.", "ag.", "ru."), components, strict=False)), FakeAddressBook({"b": B}), on_fault
    ), components


def test_messages_go_by_prefix_and_start_and_shutdown_go_to_all() -> None:
    two, (members, log) = make_hub(lambda *_: [], lambda *_: [])
    two.handle(0.0, Started())
    two.handle(1.0, MessageReceived(B, "b", Probe(1)))
    two.handle(2.0, MessageReceived(B, "b", Line("x"), Carrier.STREAM))
    two.handle(3.0, ShutdownStarted())
    assert members.events == [Started(), MessageReceived(B, "b", Probe(1)), ShutdownStarted()]
    assert log.events == [Started(), MessageReceived(B, "b", Line("x"), Carrier.STREAM), ShutdownStarted()]
    alone, (only,) = make_hub(lambda *_: [])
    assert alone.handle(0.0, MessageReceived(B, "b", Line("x"))) == [] == only.events and alone.unhandled_messages == 1


def test_member_names_are_resolved_by_membership() -> None:
    sent = [
        SendToMember("b", Line("x")),
        SendToMember("z", Line("y")),
        SendToAddress(B, Probe(2)),
        LogLine("n"),
        SendToMember("b", Probe(3), Carrier.DATAGRAM),
    ]
    two, _ = make_hub(lambda *_: [], lambda *_: list(sent))
    assert two.handle(0.0, MessageReceived(B, "b", Line("q"))) == [
        SendToAddress(B, Line("x"), Carrier.STREAM),
        SendToAddress(B, Probe(2)),
        LogLine("n"),
        SendToAddress(B, Probe(3), Carrier.DATAGRAM),
    ]
    assert two.undeliverable_messages == 1


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(-(2**40), 2**40), st.sampled_from("tsf")), max_size=20))
def test_timers_and_tickets_come_back_to_their_component(requests: list[tuple[int, int, str]]) -> None:
    expected_events: list[list[Any]] = [[], [], []]
    three, components = make_hub(*[lambda *_: []] * 3)
    for index, number, kind in requests:
        sent = SetTimer(5.0, number) if kind == "t" else Store(number, ("r",))
        components[index].handler = lambda _, event, sent=sent: [sent] if isinstance(event, MessageReceived) else []  # type: ignore[misc]
        (action,) = three.handle(0.0, MessageReceived(B, "b", PROBES[index]))
        if isinstance(action, SetTimer):
            three.handle(5.0, TimerFired(action.token))
            expected_events[index].append(TimerFired(number))
        else:
            assert isinstance(action, Store) and action.records == ("r",)
            three.handle(5.0, Stored(action.ticket) if kind == "s" else StoreFailed(action.ticket, "full"))
            expected_events[index].append(Stored(number) if kind == "s" else StoreFailed(number, "full"))
    for component, expected in zip(components, expected_events, strict=True):
        assert [event for event in component.events if not isinstance(event, MessageReceived)] == expected


class Rule(Line, frozen=True, tag="ru.rule"):
    pass


PROBES = (Probe(0), Block(b""), Rule(""))


def test_membership_changes_reach_the_others_in_the_order_of_the_actions() -> None:
    def members(_: float, event: Any) -> list[Any]:
        return [LogLine("before"), DEAD, LogLine("between"), Fenced(), LogLine("after")]

    three, components = make_hub(
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
    assert components[1].events == [DEAD, Fenced()] and len(components[0].events) == 1


def test_only_membership_may_report_members() -> None:
    two, _ = make_hub(lambda *_: [], lambda *_: [DEAD])
    with pytest.raises(TypeError, match="unexpected action of component ag"):
        two.handle(0.0, MessageReceived(B, "b", Line("x")))
    with pytest.raises(TypeError, match="not an event of the hub"):
        two.handle(0.0, DEAD)
    with pytest.raises(ValueError):
        ComponentHub([("a.", FakeComponent()), ("a.", FakeComponent())])


def raising(_: float, event: Any) -> list[Any]:
    if isinstance(event, (MessageReceived, MemberChanged)):
        raise KeyError("broken")
    return [LogLine("runs")]


def test_a_component_that_raises_is_stopped_alone_but_membership_stops_all() -> None:
    faults: list[tuple[str, Any, Exception]] = []
    two, (members, log) = make_hub(
        lambda *_: [DEAD, LogLine("goes on")], raising, on_fault=lambda *fault: faults.append(fault)
    )
    out = two.handle(0.0, MessageReceived(B, "b", Probe(1)))
    assert out == [
        LogLine(hubs.COMPONENT_STOPPED, {"part": "ag.", "off": "ag."}),
        LogLine("goes on"),
    ] and two.stopped == ("ag.",)
    assert [(prefix, event, str(error)) for prefix, event, error in faults] == [("ag.", DEAD, "'broken'")]
    assert two.handle(1.0, MessageReceived(B, "b", Probe(1))) == [LogLine("goes on")] and len(log.events) == 1
    assert two.handle(1.0, MessageReceived(B, "b", Line(""))) == [] and two.unhandled_messages == 1
    two, (members, log) = make_hub(raising, raising, on_fault=lambda *fault: faults.append(fault))
    assert two.handle(0.0, MessageReceived(B, "b", Probe(1)))[0] == LogLine(
        hubs.COMPONENT_STOPPED, {"part": "mb.", "off": "mb., ag."}
    )
    assert two.handle(0.0, ShutdownStarted()) == [] and log.events == []


def test_without_a_fault_handler_an_exception_propagates() -> None:
    two, _ = make_hub(lambda *_: [DEAD], raising)
    with pytest.raises(KeyError):
        two.handle(0.0, MessageReceived(B, "b", Probe(1)))


class FakeReplicated(FakeComponent):
    snapshot = b"kept"

    def state(self) -> bytes:
        return self.snapshot


def with_log(log: EventHandler, *handlers: EventHandler) -> tuple[ComponentHub, FakeComponent, list[FakeReplicated]]:
    log_component, replicated = FakeComponent(log), [FakeReplicated(answer) for answer in handlers]
    return (
        ComponentHub(
            [("mb.", FakeComponent()), ("ag.", log_component), *zip(("ru.", "pr."), replicated, strict=False)]
        ),
        log_component,
        replicated,
    )


def on(kind: type, *actions: Any) -> EventHandler:
    return lambda _, event: list(actions) if isinstance(event, kind) else []


def test_requests_go_to_the_log_and_responses_to_their_component() -> None:
    def log(_: float, event: Any) -> list[Any]:
        return (
            [ProposalCommitted(event.ticket, 7)]
            if isinstance(event, Propose)
            else []
            if isinstance(event, Started)
            else [ProposalRejected(event.ticket, "busy", "b")]
        )

    hub, log_component, (rules, notes) = with_log(
        log, on(Started, Propose(3, b"x", "i"), ReadIndex(4)), on(Started, Propose(3, b"y"), ChangeVoters(5, "d", "c"))
    )
    assert hub.handle(0.0, Started()) == []
    requests = log_component.events[1:]
    assert [(each.data, each.id) for each in requests if isinstance(each, Propose)] == [
        (b"ru.x", "ru.i"),
        (b"pr.y", ""),
    ]
    assert len({each.ticket for each in requests}) == 4 and requests[-1][1:] == ("d", "c")
    assert rules.events == [Started(), ProposalCommitted(3, 7), ProposalRejected(4, "busy", "b")]
    assert notes.events == [Started(), ProposalCommitted(3, 7), ProposalRejected(5, "busy", "b")]


def test_committed_entries_go_by_prefix_and_a_new_leader_to_all() -> None:
    hub, _, (rules, notes) = with_log(
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
    assert rules.events[:2] == [EntryCommitted(1, 1, b"a.b", "i"), LeaderChanged("b", 2)]
    assert notes.events[:2] == [EntryCommitted(2, 1, b"", ""), LeaderChanged("b", 2)]


def test_the_log_gets_requests_after_all_its_actions_are_dispatched() -> None:
    """A component that proposes on the first of two entries must receive the second entry before the response."""

    def log(_: float, event: Any) -> list[Any]:
        if isinstance(event, ShutdownStarted):
            return [EntryCommitted(1, 1, b"ru.1", ""), EntryCommitted(2, 1, b"ru.2", "")]
        return [ReadReady(event.ticket, 2)] if isinstance(event, ReadIndex) else []

    hub, _, (rules,) = with_log(log, lambda _, event: [ReadIndex(9)] if event == EntryCommitted(1, 1, b"1", "") else [])
    hub.handle(0.0, ShutdownStarted())
    assert [type(received) for received in rules.events] == [EntryCommitted, EntryCommitted, ReadReady, ShutdownStarted]


def test_a_snapshot_has_the_state_of_all_components_and_is_split_again() -> None:
    hub, log_component, (rules, notes) = with_log(
        on(Started, EntryCommitted(5, 1, b"ru.", ""), SnapshotRequested(5)), on(int), on(int)
    )
    rules.snapshot, notes.snapshot = b"R", b"P"
    hub.handle(0.0, Started())
    (compact,) = [event for event in log_component.events if isinstance(event, SnapshotState)]
    assert compact.index == 5 and log_multiplexer.split_states(compact.state) == {"ru.": b"R", "pr.": b"P"}
    log_component.handler = on(ShutdownStarted, SnapshotInstalled(9, compact.state))
    hub.handle(1.0, ShutdownStarted())
    assert SnapshotInstalled(9, b"R") in rules.events and SnapshotInstalled(9, b"P") in notes.events
    assert log_multiplexer.split_states(None) == {} and log_multiplexer.split_prefix(b"none") == ("", b"none")


@pytest.mark.parametrize(
    "before", [EntryCommitted(1, 1, b"zz.x", ""), SnapshotInstalled(1, log_multiplexer.join_states({"zz.": b"Z"}))]
)
def test_no_snapshot_is_made_while_a_component_is_missing_or_stopped(before: Any) -> None:
    hub, log_component, _ = with_log(on(Started, before, SnapshotRequested(1)), on(int), on(int))
    (note,) = hub.handle(0.0, Started())
    assert isinstance(note, LogLine) and note.text.startswith("no snapshot")
    assert not any(isinstance(event, SnapshotState) for event in log_component.events)
    hub, log_component, _ = with_log(on(ShutdownStarted, SnapshotRequested(1)), raising)
    hub.on_fault = lambda *about: None
    hub.handle(0.0, MessageReceived(B, "b", Rule("")))
    assert hub.stopped == ("ru.",) and isinstance(hub.handle(1.0, ShutdownStarted())[0], LogLine)
    assert not any(isinstance(event, SnapshotState) for event in log_component.events)


def test_requests_are_rejected_without_a_running_log() -> None:
    layer = FakeReplicated(on(Started, Propose(1, b"")))
    ComponentHub([("mb.", FakeComponent()), ("ru.", layer)]).handle(0.0, Started())
    assert layer.events == [Started(), ProposalRejected(1, "no log", None)]
    hub, _, (rules,) = with_log(raising, on(ShutdownStarted, ReadIndex(2)))
    hub.on_fault = lambda *about: None
    hub.handle(0.0, MessageReceived(B, "b", Line("")))
    assert rules.events == [LeaderChanged(None, 0)]
    hub.handle(1.0, ShutdownStarted())
    assert rules.events[1:] == [ShutdownStarted(), ProposalRejected(2, "the log is off", None)]


def test_the_host_reaches_one_component_and_gets_its_registered_actions() -> None:
    hub, _, (rules,) = with_log(on(int), lambda _, event: [DEAD] if event == "who" else [])
    received: list[Any] = []
    hub.register_action_handler(MemberChanged, received.append)
    assert hub.handle(0.0, ComponentEvent("ru.", "who")) == [] and received == [DEAD]
    with pytest.raises(TypeError, match="not an event of the hub"):
        hub.handle(0.0, ComponentEvent("zz.", "who"))
    hub.handle(0.0, Started())
    with pytest.raises(ValueError, match="already started"):
        hub.add("zz.", FakeComponent())

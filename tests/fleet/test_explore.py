"""The explorer finds injected bugs by a shortest path, and explores everything where there is none."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet.interfaces import Carrier, LogLine, MessageReceived, SendToMember, Started
from limenotch.lab.fleet.explore import Bounds, Explored, Explorer, View

from .fake_parts import Beat, Voter

NODES = ("a", "b", "c")


def check_outcome(view: View) -> str | None:
    outcomes = {text.split()[1] for _, text in view.log_lines if text.split()[0] in ("decides", "did")}
    if len(outcomes) > 1:
        return "two outcomes"
    if "yes" in outcomes and {("b", "votes yes"), ("c", "votes yes")} - view.log_lines:
        return "a yes without all votes"
    return None


def explore(bounds: Bounds, bug: str = "", no_voter: str = "c", clocks: str = "free") -> Explored:
    return Explorer(
        NODES,
        lambda name, seed, process_epoch, stored_log: Voter(name, stored_log, bug, no_voter),
        Voter.digest,
        check_outcome,
        bounds,
        clocks=clocks,
    ).run()


@pytest.mark.parametrize("no_voter", ["c", ""])
@pytest.mark.parametrize("clocks", ["free", "one"])
def test_explores_all_states_of_a_correct_vote(no_voter: str, clocks: str) -> None:
    explored = explore(Bounds(lose=1, double=1, fire=1), no_voter=no_voter, clocks=clocks)
    assert explored.violation is None and explored.complete
    assert explored.states > 100


def test_finds_votes_counted_instead_of_voters() -> None:
    explored = explore(Bounds(double=1), "counts votes")
    assert explored.violation == "a yes without all votes"
    # The request to b, b's vote on disk, b's vote delivered twice: there is no shorter path.
    assert explored.path == (
        "deliver Ask a > b",
        "b stored 1",
        "deliver and keep Vote True b > a",
        "deliver Vote True b > a",
    )
    rows = explored.timeline.splitlines()
    assert rows[-1].split() == ["4", "decides", "yes", "deliver", "Vote", "True", "b", ">", "a"]
    assert explore(Bounds(), "counts votes").violation is None  # not without duplicates


def test_finds_a_silent_voter_counted_as_a_yes() -> None:
    assert explore(Bounds(), "late means yes").violation is None
    explored = explore(Bounds(fire=1), "late means yes")
    assert explored.path == ("a fires 1",)


def test_finds_a_crash_of_the_coordinator() -> None:
    """The coordinator stores nothing, so it may decide differently after a restart: a true weakness of this fake."""
    explored = explore(Bounds(crash=1, fire=1), no_voter="")
    assert explored.violation == "two outcomes"
    assert "kill a" in explored.path and "start a" in explored.path
    assert explore(Bounds(crash=1), no_voter="").violation is None


def test_reports_that_a_bound_cut_it_off() -> None:
    assert not explore(Bounds(lose=1, steps=3)).complete
    assert not explore(Bounds(lose=1, states=20)).complete
    with pytest.raises(ValueError, match="clocks"):
        explore(Bounds(), clocks="many")


class OrderObserver:
    """`a` sends 2, then 1 to b, which writes a log line when 1 arrived first."""

    def __init__(self, name: str, carrier: Carrier) -> None:
        self.name, self.carrier = name, carrier
        self.received: list[int] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Started) and self.name == "a":
            return [SendToMember("b", Beat(number), self.carrier) for number in (2, 1)]
        if isinstance(event, MessageReceived):
            self.received.append(event.message.number)  # type: ignore[attr-defined]
            return [LogLine("wrong order")] if self.received == [1, 2] else []
        return []


@pytest.mark.parametrize("carrier", list(Carrier))
def test_streams_keep_order_and_datagrams_do_not(carrier: Carrier) -> None:
    explored = Explorer(
        ("a", "b"),
        lambda name, seed, process_epoch, stored_log: OrderObserver(name, carrier),
        lambda component: tuple(component.received),
        lambda view: "order" if ("b", "wrong order") in view.log_lines else None,
    ).run()
    assert (explored.violation == "order") is (carrier is Carrier.DATAGRAM)
    assert explored.complete is (carrier is Carrier.STREAM)


def test_external_events_come_at_every_point() -> None:
    def check(view: View) -> str | None:
        return "asked before it heard" if ("b", "asked early") in view.log_lines else None

    class ExternalEventObserver(OrderObserver):
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, str):
                return [] if self.received else [LogLine("asked early")]
            return super().handle(now, event)

    explored = Explorer(
        ("a", "b"),
        lambda name, seed, process_epoch, stored_log: ExternalEventObserver(name, Carrier.STREAM),
        lambda component: tuple(component.received),
        check,
        external_events=[("b", "now")],
    ).run()
    assert explored.path == ("ask b now",)

"""The explorer finds what is planted, by a shortest path, and finishes where nothing is."""

from __future__ import annotations

from typing import Any

import pytest

from limenotch.fleet.interfaces import Carrier, LogLine, MessageReceived, SendToMember, Started
from limenotch.lab.fleet.explore import Bounds, Explored, Explorer, View

from .fake_parts import Beat, Voter

NODES = ("a", "b", "c")


def agreed(view: View) -> str | None:
    words = {text.split()[1] for _, text in view.notes if text.split()[0] in ("decides", "did")}
    if len(words) > 1:
        return "two outcomes"
    if "yes" in words and {("b", "votes yes"), ("c", "votes yes")} - view.notes:
        return "a yes without all votes"
    return None


def explore(bounds: Bounds, bug: str = "", no: str = "c", clocks: str = "free") -> Explored:
    return Explorer(
        NODES,
        lambda name, seed, process_epoch, held: Voter(name, held, bug, no),
        Voter.digest,
        agreed,
        bounds,
        clocks=clocks,
    ).run()


@pytest.mark.parametrize("no", ["c", ""])
@pytest.mark.parametrize("clocks", ["free", "one"])
def test_a_correct_vote_is_explored_to_its_end(no: str, clocks: str) -> None:
    found = explore(Bounds(lose=1, double=1, fire=1), no=no, clocks=clocks)
    assert found.why is None and found.whole
    assert found.states > 100


def test_votes_counted_instead_of_voters() -> None:
    found = explore(Bounds(double=1), "counts votes")
    assert found.why == "a yes without all votes"
    # Ask b, its vote down, its vote heard twice: nothing shorter can.
    assert found.path == (
        "deliver Ask a > b",
        "b stored 1",
        "deliver and keep Vote True b > a",
        "deliver Vote True b > a",
    )
    rows = found.drawing.splitlines()
    assert rows[-1].split() == ["4", "decides", "yes", "deliver", "Vote", "True", "b", ">", "a"]
    assert explore(Bounds(), "counts votes").why is None  # not without doubles


def test_a_silent_voter_taken_for_a_yes() -> None:
    assert explore(Bounds(), "late means yes").why is None
    found = explore(Bounds(fire=1), "late means yes")
    assert found.path == ("a fires 1",)


def test_a_fall_of_the_decider_is_found() -> None:
    """It keeps nothing on its disk, so once started anew it may decide otherwise: the toy's true weakness."""
    found = explore(Bounds(crash=1, fire=1), no="")
    assert found.why == "two outcomes"
    assert "kill a" in found.path and "start a" in found.path
    assert explore(Bounds(crash=1), no="").why is None


def test_bounds_are_told() -> None:
    assert not explore(Bounds(lose=1, steps=3)).whole
    assert not explore(Bounds(lose=1, states=20)).whole
    with pytest.raises(ValueError, match="clocks"):
        explore(Bounds(), clocks="many")


class Order:
    """`a` says 2, then 1 to b, who says when 1 came first."""

    def __init__(self, name: str, carrier: Carrier) -> None:
        self.name, self.carrier = name, carrier
        self.heard: list[int] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Started) and self.name == "a":
            return [SendToMember("b", Beat(number), self.carrier) for number in (2, 1)]
        if isinstance(event, MessageReceived):
            self.heard.append(event.message.number)  # type: ignore[attr-defined]
            return [LogLine("wrong order")] if self.heard == [1, 2] else []
        return []


@pytest.mark.parametrize("carrier", list(Carrier))
def test_streams_keep_order_and_datagrams_do_not(carrier: Carrier) -> None:
    found = Explorer(
        ("a", "b"),
        lambda name, seed, process_epoch, held: Order(name, carrier),
        lambda part: tuple(part.heard),
        lambda view: "order" if ("b", "wrong order") in view.notes else None,
    ).run()
    assert (found.why == "order") is (carrier is Carrier.DATAGRAM)
    assert found.whole is (carrier is Carrier.STREAM)


def test_what_is_asked_comes_at_every_point() -> None:
    def check(view: View) -> str | None:
        return "asked before it heard" if ("b", "asked early") in view.notes else None

    class Asked(Order):
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, str):
                return [] if self.heard else [LogLine("asked early")]
            return super().handle(now, event)

    found = Explorer(
        ("a", "b"),
        lambda name, seed, process_epoch, held: Asked(name, Carrier.STREAM),
        lambda part: tuple(part.heard),
        check,
        asks=[("b", "now")],
    ).run()
    assert found.path == ("ask b now",)

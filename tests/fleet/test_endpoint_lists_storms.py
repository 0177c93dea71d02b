"""Endpoint lists between sidecars under seeded faults, and faults planted in them."""

from __future__ import annotations

from random import Random

import pytest

from limenotch.fleet.hub import ComponentEvent
from limenotch.fleet.rules import drain_notices
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.lists_drawings import Run, ask
from limenotch.lab.fleet.world import World

from .test_endpoint_lists import asked


def storm(seed: int) -> None:
    """One directory, whose word reaches each sidecar at a time of its own or not for long; restarts, deaths, loss.

    Who has left a provider out does so until the directory has it ready again, or its own process ends; whole lists
    come late, as they were when they were asked for. In the end all use what the directory has.
    """
    random = Random(f"{seed} lists")
    run = Run(("a", "b", "c", "d"))
    world = World(run.nodes, run.make, seed, drift_ppm=1000.0)
    world.run(1500)
    world.fault(faults.parse(f"loss {random.choice((0, 5, 15))}%"))
    marks, index, live = dict.fromkeys("uvw", ""), 100, dict.fromkeys(run.nodes, True)
    out: dict[str, set[str]] = {node: set() for node in run.nodes}  # what each leaves out, while the directory does

    def whole(node: str, late: float = 0.0) -> None:
        words = f"whole {index} " + " ".join(mark + name for name, mark in marks.items() if mark != "~")
        at = world.nodes[node].clock(world.now)
        if late:  # a change that it misses comes before the list does, and is told it only then
            live[node] = False
            ask(world, node, "silent")
            pass_time(late / 2)
            used = [name for name in marks if name not in leaves(node)]
            if used:
                change(random.choice(used))
            pass_time(late / 2)
            if not world.alive(node):
                return
            world.poke(node, ComponentEvent("li.", asked(words, at)))
            pass_time(10)
            whole(node)
            return
        world.poke(node, ComponentEvent("li.", asked(words, at)))
        live[node] = True

    def leaves(node: str) -> set[str]:
        return {name for name in marks if run.made[node].own.get(name, "gone") != "ready" or name in run.uses[node][0]}

    def change(name: str) -> None:
        nonlocal index
        mark = random.choice(("", "-", "~"))
        marks[name], index = mark, index + 1
        for left in out.values():
            left.discard(name)
        told = [each for each in run.nodes if live[each] and world.alive(each)]
        for each in random.sample(told, len(told)):
            ask(world, each, f"change {index} {mark}{name}")
            if random.random() < 0.2:
                break  # the others' watches end before it comes
        for each in told:
            if run.made[each].index < index:
                live[each] = False
                ask(world, each, "silent")
        if mark and told:
            pass_time(2000)
            used = [each for each in run.nodes if world.alive(each) and name not in out[each]]
            assert not used, f"seed {seed}: {used} use {name}, of which {told} heard"

    def pass_time(span: float) -> None:
        until = world.now + span
        while world.now < until:
            world.run(min(until, world.now + 25))
            for node in run.nodes:
                if not world.alive(node):
                    out[node].clear()
                    continue
                left = leaves(node)
                wrong = out[node] - left
                assert not wrong, f"seed {seed}: {node} uses {wrong} again, which the directory does not"
                out[node] = {name for name in left if marks[name]}

    for node in run.nodes:
        whole(node)
    for _ in range(40):
        pass_time(random.choice((20, 150, 400)))
        what, node = random.random(), random.choice(run.nodes)
        if what < 0.4:
            change(random.choice(list(marks)))
        elif what < 0.5:
            live[node] = False
            ask(world, node, "silent")
        elif what < 0.7 and world.alive(node):
            whole(node, random.choice((0, 0, 30, 300)))
        elif what < 0.78 and not world.alive(node):
            world.start(node)
            live[node] = False
        elif what < 0.85 and sum(world.alive(each) for each in run.nodes) > 2 and world.alive(node):
            world.kill(node)
            live[node] = False
        elif what < 0.88:
            index = 1  # the directory begins anew, and no watch stands
            for each in run.nodes:
                live[each] = False
                ask(world, each, "silent")
    world.fault(faults.parse("loss 0%"))
    for node in run.nodes:
        if not world.alive(node):
            world.start(node)
    pass_time(3000)
    for node in run.nodes:
        whole(node)
    # Streams on which much was lost say nothing more for some seconds.
    until, why = world.now + 20_000, "?"
    while why and world.now < until:
        world.run(world.now + 500)
        why = ""
        for node in run.nodes:
            drained, arrived = run.uses[node]
            stuck = [name for name in drained if not marks[name]]
            agreed = {name for name, (of, _) in run.made[node].arrivals.agreed.items() if of == "d1"}
            if stuck or arrived or agreed != {name for name, mark in marks.items() if not mark}:
                why = f"{node} leaves out {stuck}, takes {arrived}; {agreed} are agreed on"
    assert not why, f"seed {seed}: {why}"


@pytest.mark.parametrize("seed", range(6))
def test_drains_reach_all_and_nothing_stays_behind(seed: int) -> None:
    storm(seed)


def plant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    listed, member_ = drain_notices.Drains.listed, drain_notices.Drains.member

    def any_list(self: drain_notices.Drains, directory: str, index: int, ready: set[str], asked: float) -> None:
        listed(self, directory, index, ready, asked if asked == -float("inf") else float("inf"))

    def forgets(self: drain_notices.Drains, name: str, state: str, process_epoch: int) -> bool:
        if state == "dead":
            for provider in [one for one, told in self.claims.items() if name in told]:
                self._end(provider, name)
        return member_(self, name, state, process_epoch)

    if name == "a list asked for before ends a drain":
        monkeypatch.setattr(drain_notices.Drains, "listed", any_list)
    elif name == "a drain ends with its teller":
        monkeypatch.setattr(drain_notices.Drains, "member", forgets)
    else:
        monkeypatch.setattr("limenotch.fleet.rules.endpoint_lists.AGAIN", 0)
        monkeypatch.setattr("limenotch.fleet.rules.endpoint_lists.SILENT_MS", 1e9)


@pytest.mark.parametrize(
    ("bug", "seed"),
    [
        ("a list asked for before ends a drain", 0),
        ("a drain ends with its teller", 13),
        ("said once, and nobody asks", 1),
    ],
)
def test_the_storm_finds_what_is_planted(bug: str, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """`seed`: the first of those from 0 on that finds it."""
    plant(bug, monkeypatch)
    with pytest.raises(AssertionError, match=f"seed {seed}:"):
        storm(seed)

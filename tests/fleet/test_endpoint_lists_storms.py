"""Endpoint lists between sidecars in randomized fault runs, and bugs injected into them."""

from __future__ import annotations

from random import Random

import pytest

from limenotch.fleet.hub import ComponentEvent
from limenotch.fleet.rules import drain_notices
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.lists_drawings import ListsRun, ask
from limenotch.lab.fleet.world import World

from .test_endpoint_lists import requested


def randomized_run(seed: int) -> None:
    """One directory, whose changes reach each sidecar at a different time or not for long; restarts, deaths, loss.

    A sidecar that leaves an endpoint out does so until the directory lists it as ready again, or its own process ends;
    complete lists arrive late, as they were when they were requested. In the end all use what the directory lists.
    """
    random = Random(f"{seed} lists")
    run = ListsRun(("a", "b", "c", "d"))
    world = World(run.nodes, run.make, seed, drift_ppm=1000.0)
    world.run(1500)
    world.apply_fault(faults.parse(f"loss {random.choice((0, 5, 15))}%"))
    stages, index, live = dict.fromkeys("uvw", ""), 100, dict.fromkeys(run.nodes, True)
    left_out: dict[str, set[str]] = {node: set() for node in run.nodes}  # endpoints that the directory leaves out, too

    def send_complete_list(node: str, delay_ms: float = 0.0) -> None:
        text = f"whole {index} " + " ".join(stage + name for name, stage in stages.items() if stage != "~")
        requested_at_ms = world.nodes[node].monotonic_ms(world.now)
        if delay_ms:  # a change that the node misses happens before the list arrives, and reaches it only with the list
            live[node] = False
            ask(world, node, "silent")
            pass_time(delay_ms / 2)
            in_use = [name for name in stages if name not in endpoints_left_out(node)]
            if in_use:
                change(random.choice(in_use))
            pass_time(delay_ms / 2)
            if not world.alive(node):
                return
            world.deliver_event(node, ComponentEvent("li.", requested(text, requested_at_ms)))
            pass_time(10)
            send_complete_list(node)
            return
        world.deliver_event(node, ComponentEvent("li.", requested(text, requested_at_ms)))
        live[node] = True

    def endpoints_left_out(node: str) -> set[str]:
        return {
            name
            for name in stages
            if run.components[node].stages.get(name, "gone") != "ready" or name in run.reported[node][0]
        }

    def change(name: str) -> None:
        nonlocal index
        stage = random.choice(("", "-", "~"))
        stages[name], index = stage, index + 1
        for names in left_out.values():
            names.discard(name)
        receivers = [receiver for receiver in run.nodes if live[receiver] and world.alive(receiver)]
        for receiver in random.sample(receivers, len(receivers)):
            ask(world, receiver, f"change {index} {stage}{name}")
            if random.random() < 0.2:
                break  # the watches of the rest end before they receive it
        for receiver in receivers:
            if run.components[receiver].index < index:
                live[receiver] = False
                ask(world, receiver, "silent")
        if stage and receivers:
            pass_time(2000)
            users = [receiver for receiver in run.nodes if world.alive(receiver) and name not in left_out[receiver]]
            assert not users, f"seed {seed}: {users} use {name}, of which {receivers} were notified"

    def pass_time(span_ms: float) -> None:
        end_ms = world.now + span_ms
        while world.now < end_ms:
            world.run(min(end_ms, world.now + 25))
            for node in run.nodes:
                if not world.alive(node):
                    left_out[node].clear()
                    continue
                now_left_out = endpoints_left_out(node)
                readmitted = left_out[node] - now_left_out
                assert not readmitted, (
                    f"seed {seed}: {node} uses {readmitted} again, which the directory still leaves out"
                )
                left_out[node] = {name for name in now_left_out if stages[name]}

    for node in run.nodes:
        send_complete_list(node)
    for _ in range(40):
        pass_time(random.choice((20, 150, 400)))
        choice, node = random.random(), random.choice(run.nodes)
        if choice < 0.4:
            change(random.choice(list(stages)))
        elif choice < 0.5:
            live[node] = False
            ask(world, node, "silent")
        elif choice < 0.7 and world.alive(node):
            send_complete_list(node, random.choice((0, 0, 30, 300)))
        elif choice < 0.78 and not world.alive(node):
            world.start(node)
            live[node] = False
        elif choice < 0.85 and sum(world.alive(peer) for peer in run.nodes) > 2 and world.alive(node):
            world.kill(node)
            live[node] = False
        elif choice < 0.88:
            index = 1  # the directory restarts, and no watch is live
            for peer in run.nodes:
                live[peer] = False
                ask(world, peer, "silent")
    world.apply_fault(faults.parse("loss 0%"))
    for node in run.nodes:
        if not world.alive(node):
            world.start(node)
    pass_time(3000)
    for node in run.nodes:
        send_complete_list(node)
    # Streams on which much was lost send nothing more for some seconds.
    deadline_ms, problem = world.now + 20_000, "?"
    while problem and world.now < deadline_ms:
        world.run(world.now + 500)
        problem = ""
        for node in run.nodes:
            restricted, additions = run.reported[node]
            stuck = [name for name in restricted if not stages[name]]
            agreed = {name for name, (source, _) in run.components[node].additions.agreed.items() if source == "d1"}
            if stuck or additions or agreed != {name for name, stage in stages.items() if not stage}:
                problem = f"{node} leaves out {stuck}, takes {additions}; {agreed} are agreed on"
    assert not problem, f"seed {seed}: {problem}"


@pytest.mark.parametrize("seed", range(6))
def test_drains_reach_all_members_and_none_remains(seed: int) -> None:
    randomized_run(seed)


def inject_bug(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    list_received, member_changed = drain_notices.PeerDrains.list_received, drain_notices.PeerDrains.member_changed

    def accept_any_list(
        self: drain_notices.PeerDrains, directory: str, index: int, ready: set[str], requested_at_ms: float
    ) -> None:
        list_received(
            self, directory, index, ready, requested_at_ms if requested_at_ms == -float("inf") else float("inf")
        )

    def forget_reporter(self: drain_notices.PeerDrains, name: str, state: str, process_epoch: int) -> bool:
        if state == "dead":
            for endpoint in [claimed for claimed, reporters in self.claims.items() if name in reporters]:
                self._end_claim(endpoint, name)
        return member_changed(self, name, state, process_epoch)

    if name == "a list requested before ends a drain":
        monkeypatch.setattr(drain_notices.PeerDrains, "list_received", accept_any_list)
    elif name == "a drain ends with its reporter":
        monkeypatch.setattr(drain_notices.PeerDrains, "member_changed", forget_reporter)
    else:
        monkeypatch.setattr("limenotch.fleet.rules.endpoint_lists.NOTICE_REPEATS", 0)
        monkeypatch.setattr("limenotch.fleet.rules.endpoint_lists.SILENT_PULL_INTERVAL_MS", 1e9)


@pytest.mark.parametrize(
    ("bug", "seed"),
    [
        ("a list requested before ends a drain", 0),
        ("a drain ends with its reporter", 13),
        ("sent once, and never requested", 1),
    ],
)
def test_the_randomized_run_finds_the_injected_bug(bug: str, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """`seed`: the first from 0 on that finds the bug."""
    inject_bug(bug, monkeypatch)
    with pytest.raises(AssertionError, match=f"seed {seed}:"):
        randomized_run(seed)

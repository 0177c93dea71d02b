"""Bindings on processes: consumers call throughout and come back through other sidecars, and faults come between.

Each `ask` of a drawing is a consumer's at that node, judged by its answer and by what reached the providers:

| words | what |
| --- | --- |
| `key K`, `session S` | a call that is served, and known at all others when the next word comes |
| `again K` | marked as a repeat: served in the zone of the first |
| `refused K` | marked as a repeat: rejected, and sent nowhere |
| `same S`, `moved S` | calls of that session: all by the provider of before, or by one other |
| `apart K`, `apart S` | the same key or session bound on the other side of a cut |
| `agree K`, `agree S` | asked of all until all answers come from one zone or provider, and so once more |
| `drain S`, `drop K`, `ban S` | its provider drains; all of its zone do; it is out by the rules, soon at all |
| `twice` | eight keys, each asked here first and then at `b` |
| `alone N`, `whole` | N members are alive to it; its table is whole |
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections import defaultdict
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from limenotch.lab import planning, scenario
from limenotch.lab.emulate.load import call_wire, verdict_of
from limenotch.lab.emulate.providers import Door
from limenotch.lab.emulate.sidecars import SidecarError
from limenotch.lab.emulate.wire import Pool, Served
from limenotch.lab.fleet import drawing, weather
from limenotch.lab.fleet.processes import NodeProcess, NotReachedError, Processes
from limenotch.lab.fleet.stage import Outcome, Stage, together
from limenotch.lab.model.clients import Request
from limenotch.lab.model.faults import Deed
from limenotch.net import http1
from tests.helpers.peers import LOOK, answer_from

from .test_fleet_off import Sidecar, serving
from .test_log_processes import AGREEMENT, MEMBERSHIP
from .test_rules_processes import RULES, Hands

TRAFFIC = """
name = "bindings"
length_s = {length_s}
[sidecars]
count = {count}
[clients]
rate_per_s = 50
retries = 2
backoff_ms = [150, 300]
[network]
zones = ["z1", "z2"]
same_ms = 0.01
cross_ms = [0.01, 0.02]
[[tier]]
name = "only"
providers = 6
[[tier.kind]]
name = "k"
slots = 4
queue = 4
error_rate = 0.03
[[class]]
name = "free"
work_ms = 2
aim_ms = 300
deadline_ms = 600
[[class]]
name = "keyed"
share = 0.5
work_ms = 2
aim_ms = 300
deadline_ms = 600
effect = "deduplicated"
scope = "zone"
window_s = 60
[[class]]
name = "once"
share = 0.2
work_ms = 2
aim_ms = 300
deadline_ms = 600
effect = "at_most_once"
"""
BINDINGS: dict[str, Any] = {"session": "X-Session", "digest_ms": 400.0}
FREE, KEYED = 0, 1
BUDGET_MS = 600.0
OWN = "of ours "  # before keys, as those of the traffic are numbered too
TRIES = 12  # of a call that a provider fails, as some do
ENDS_MS = 250.0  # within which bindings of a provider that is out have ended at all


class TogetherError(Exception):
    """They did not find each other."""


class Bench(Stage):
    """Knows which keys reached which zones; consumers of its traffic come back through the next sidecar."""

    def __init__(self, *about: Any, **more: Any) -> None:
        super().__init__(*about, **more)
        self.zones_of: dict[str, set[int]] = defaultdict(set)  # by key
        self.attempts: dict[str, list[str]] = defaultdict(list)  # by call: providers
        host = self.providers.request

        def request(door: Door, connection: Served, message: http1.Message) -> None:
            name = message.fields.get(b"x-call-id", b"").decode()
            key = message.fields.get(b"idempotency-key", b"").decode()
            self.attempts[name].append(door.site.name)
            if key.startswith(OWN):
                self.zones_of[key.removeprefix(OWN)].add(door.site.machine.zone)
            host(door, connection, message)

        setattr(self.providers, "request", request)  # noqa: B010 (it has no other way in)

    def _choose(self, request: Request) -> Pool | None:
        first, count = self.fleet.entry_rank(request.zone) + request.tries - 1, len(self.drawing.nodes)
        for step in range(count):
            key = (0, (first + step) % count)
            if key in self._pools:
                self.trial.next_goes_to(key)
                return self._pools[key]
        return None

    def zone_of(self, provider: str) -> int:
        return next(site.machine.zone for site in self.fleet.sites[0] if site.name == provider)

    async def call(self, node: str, cls: int, key: str = "", session: str = "", again: bool = False) \
            -> tuple[str, str, str]:
        """The verdict, by which provider, and the call's name. Judged by the rules for calls, as all others are."""
        number, key_of = len(self.attempts), self.keys_of[node]
        name, spec = f"t{number}-{self.clock():.3f}", self.plan.classes[cls]
        wire = call_wire(self.plan, cls, None, name, key and OWN + key, BUDGET_MS, 1.0, again)
        if session:
            wire = wire.replace(b"Host: lab\r\n", b"Host: lab\r\nX-Session: " + session.encode() + b"\r\n")
        final: asyncio.Future[http1.Message | None] = asyncio.get_running_loop().create_future()
        self.trial.next_goes_to(key_of)
        self.trial.taken(self.clock(), name, spec.effect, spec.scope, spec.window_ms, self.clock() + BUDGET_MS)
        self._pools[key_of].ask(wire, final.set_result)
        answer = await asyncio.wait_for(final, 10)
        verdict, _ = verdict_of(answer, name)
        if answer is None:
            self.trial.lost(name)
            return "lost", "", name
        self.trial.answered(self.clock(), name, verdict)
        return verdict, answer.body.partition(b" ")[2].decode(), name


class Comers(Hands):
    """Consumers that come back, and operators."""

    stage: Bench | None

    def __init__(self) -> None:
        super().__init__()
        self.zones: dict[str, int] = {}  # where a key belongs
        self.homes: dict[str, str] = {}  # by session: its provider
        self.banned: set[str] = set()
        self.repeats = 0

    @property
    def bench(self) -> Bench:
        assert self.stage is not None
        return self.stage

    async def asked(self, node: NodeProcess, words: str) -> None:
        word, *rest = words.split()
        do = {"same": self.same, "moved": self.moved, "agree": self.agree, "drain": self.drain, "drop": self.drop,
              "alone": self.alone}.get(word)
        name, what = node.name, rest[0] if rest else ""
        if do is not None:
            await do(name, what)
        elif word in ("key", "session", "apart"):
            await self.first(name, word, what)
        elif word == "again":
            zone = await self.keyed(name, what, True)
            assert zone == self.zones[what], (words, name, self.bench.zones_of[what])
            self.repeats += 1
        elif word == "refused":
            verdict, _, call = await self.bench.call(name, KEYED, what, again=True)
            assert (verdict, self.bench.attempts.get(call)) == ("rejected", None), (words, verdict)
        elif word == "whole":
            await self.processes.until_all(
                lambda _, state: state["parts"]["bindings"]["state"] == "whole", 20, words, [name])
        elif word == "twice":
            for number in range(8):
                await self.keyed("a", f"k{number}")
                await self.keyed("b", f"k{number}", True)
        elif word == "ban":
            await self.ban_of(node, what)
        else:
            await super().asked(node, words)

    # Calls

    async def keyed(self, node: str, key: str, again: bool = False) -> int:
        """The zone that served it. Providers fail some: a consumer comes back with the same key."""
        for number in range(TRIES):
            verdict, by, _ = await self.bench.call(node, KEYED, key, again=again or number > 0)
            if verdict == "served":
                return self.bench.zone_of(by)
        raise AssertionError(f"{key} at {node}: never served")

    async def of_session(self, node: str, session: str) -> str:
        for _ in range(TRIES):
            verdict, by, call = await self.bench.call(node, FREE, session=session)
            if verdict == "served" and self.bench.attempts[call] == [by]:  # else the first of them was failed
                return by
        raise AssertionError(f"{session} at {node}: never served")

    async def first(self, node: str, word: str, what: str) -> None:
        if word == "apart":
            await (self.keyed(node, what) if what.startswith("k") else self.of_session(node, what))
            return
        if word == "key":
            self.zones[what] = await self.keyed(node, what)
        else:
            self.homes[what] = await self.of_session(node, what)
        await self.known(node)

    async def known(self, node: str) -> None:
        """Until all whom it reaches have heard what it has seen so far."""
        state = await self.figures(node)
        told = state["told"] + (2 if state["to_tell"] else 0)  # the word under way, and the one after it
        nodes = self.processes.nodes
        members = (await nodes[node].state() or {})["members"]
        alive = [member["name"] for member in members
                 if member["state"] == "alive" and member["name"] != node and nodes[member["name"]].alive]

        async def holds() -> bool:
            own = await self.figures(node)
            if own["told"] < told and own["to_tell"]:
                return False
            others = [await self.figures(other) for other in alive]
            return all(other.get("heard", {}).get(node, -1) >= min(told, own["told"]) for other in others)

        await self.processes.until(holds, 10, f"what {node} told is known at {alive}")

    async def figures(self, node: str) -> dict[str, Any]:
        state = await self.processes.nodes[node].state()
        return dict(state["parts"]["bindings"]) if state is not None else {}

    async def same(self, node: str, session: str) -> None:
        found = {await self.of_session(node, session) for _ in range(4)}
        assert found == {self.homes[session]}, (node, session, found, self.homes[session])

    async def moved(self, node: str, session: str) -> None:
        by = await self.of_session(node, session)
        assert by != self.homes[session], (node, session, by)
        self.homes[session] = by
        await self.known(node)

    async def agree(self, _: str, what: str) -> None:
        async def answers() -> set[Any]:
            if what.startswith("k"):
                return {await self.keyed(name, what, True) for name in self.there}
            return {await self.of_session(name, what) for name in self.there}

        async with asyncio.timeout(20):
            while len(found := await answers()) != 1:
                pass
        assert await answers() == found

    # What befalls providers and members

    async def out_of(self, providers: Sequence[str]) -> None:
        bench = self.bench
        for number, site in enumerate(bench.fleet.sites[0]):
            if site.name in providers:
                bench._see_to(bench.fleet.carry_out(bench.clock(), Deed(bench.clock(), "drain", 0, number)))
        left = sum(not site.draining and site.name not in self.banned for site in bench.fleet.sites[0])
        await self.processes.until_all(
            lambda _, state: state["parts"]["bindings"]["providers"] == left, 20, f"{providers} drain", self.there)

    async def drain(self, _: str, session: str) -> None:
        await self.out_of([self.homes[session]])

    async def drop(self, _: str, key: str) -> None:
        sites = self.bench.fleet.sites[0]
        await self.out_of([site.name for site in sites if site.machine.zone == self.zones[key]])

    async def ban_of(self, node: NodeProcess, session: str) -> None:
        self.banned.add(self.homes[session])
        before = {name: (await self.figures(name))["providers"] for name in self.there}
        status, said = await self.rules(node, "ban", {"upstream": self.homes[session]}, f"ban {session}")
        assert status == 200, said
        agreed = self.bench.clock()
        await self.processes.until_all(
            lambda name, state: state["parts"]["bindings"]["providers"] < before[name], 5, "out at all", self.there)
        took = self.bench.clock() - agreed
        assert took <= ENDS_MS + self.bench._lag.now_ms(), took

    async def alone(self, node: str, count: str) -> None:
        await self.processes.until_all(
            lambda _, state: sum(member["state"] == "alive" for member in state["members"]) == int(count), 20,
            f"{count} are alive", [node])


def play(text: str, folder: Path, rules: bool = False, bindings: dict[str, Any] | None = BINDINGS) \
        -> tuple[Outcome, Comers]:
    """Once more where they did not find each other before the drawing began: a port that was free may be taken."""
    for number in range(3):
        place = folder / str(number)
        place.mkdir()
        with suppress(TogetherError, SidecarError):
            return played(text, place, rules, bindings)
    raise AssertionError("not together, three times")


def played(text: str, folder: Path, rules: bool, bindings: dict[str, Any] | None) -> tuple[Outcome, Comers]:
    drawn = drawing.read(text)
    traffic = TRAFFIC.format(length_s=drawn.ends / 1000.0, count=len(drawn.nodes))
    plan = planning.plan(scenario.parse(traffic, "bindings"), 3)
    key = folder / "key"
    key.write_text("a key for tests, of 16 bytes or more")
    comers = Comers()
    tables: Any = {"membership": MEMBERSHIP, "agreement": AGREEMENT}
    if bindings is not None:
        tables["bindings"] = bindings
    fleet = together(drawn.nodes, key, tuple("abc") if rules else (), **tables)

    async def case() -> Outcome:
        bench = Bench(plan, folder, drawn, weather.Weather(drawn.seed), ask=comers.asked,
                      fleet=lambda stage, node: fleet(stage, node) + (RULES if rules else ""))
        comers.stage, comers.there = bench, list(drawn.nodes)

        async def settled(processes: Processes) -> None:
            def holds(name: str, state: dict[str, Any]) -> bool:
                parts, alive = state["parts"], sum(member["state"] == "alive" for member in state["members"])
                return (alive == len(drawn.nodes) and (not rules or parts["rules"].get("state") == "leased")
                        and (bindings is None or parts["bindings"]["state"] == "whole"))

            try:
                await processes.until_all(holds, 12, "all are together")
            except NotReachedError as error:
                raise TogetherError(str(error)) from None

        try:
            outcome = await bench.perform(settled)
            comers.repeats += sum(process.ledger.repeats for process in bench.fleet.every[0])
            if not any(str(fault).startswith(("kill", "cut")) for _, fault in drawn.faults) and bindings is not None:
                # What a sidecar has not told before its end, or could tell nobody, may run again.
                assert not sum(process.ledger.double for process in bench.fleet.every[0])
            return outcome
        finally:
            await bench.close()

    outcome = asyncio.run(asyncio.wait_for(case(), 120))
    outcome.check()
    assert outcome.calls["served"] > 50
    return outcome, comers


def test_keys_and_sessions_stay_through_all_sidecars_until_their_providers_go(tmp_path: Path) -> None:
    _, comers = play("""
nodes: a b c

ms     faults
100    ask a key k1, ask b key k2
101    ask b again k1, ask c again k1, ask a again k2, ask c again k2
102    ask c session s1
103    ask a same s1, ask b same s1, ask c same s1
104    ask a drain s1
105    ask b moved s1
106    ask a same s1, ask b same s1, ask c same s1
107    ask c ban s1
108    ask a moved s1
109    ask b same s1, ask c same s1, ask a same s1
110    ask a again k1, ask b again k1
111    ask b drop k1
112    ask a refused k1, ask b refused k1, ask c refused k1
113    ask a key k3
114    ask b again k3, ask c again k3
3500
""", tmp_path, rules=True)
    for key in ("k1", "k2", "k3"):
        assert comers.bench.zones_of[key] == {comers.zones[key]}
    assert comers.repeats > 10


def test_of_five_one_is_killed_and_back_and_two_are_cut_off_and_healed(tmp_path: Path) -> None:
    _, comers = play("""
nodes: a b c d e

ms     faults
100    ask a key k1, ask d key k2, ask e key k3
101    ask c session s1
102    kill e
103    ask a key k4, ask a session s2
104    ask b again k3, ask c same s1
105    start e
106    ask e alone 5, ask e whole
107    ask e again k1, ask e again k2, ask e again k3, ask e again k4
108    ask e same s1, ask e same s2
109    cut d e | a b c
110    ask a alone 3, ask d alone 2
111    ask a key k5, ask d key k6, ask b again k5, ask e again k6, ask d again k1, ask b again k2
112    ask a session s3, ask d session s4, ask a key k7, ask e apart k7, ask b session s5, ask d apart s5
113    heal
114    ask a alone 5, ask b alone 5, ask c alone 5, ask d alone 5, ask e alone 5
115    ask a whole, ask b whole, ask c whole, ask d whole, ask e whole
116    ask d again k5, ask e again k5, ask a again k6, ask b again k6, ask c again k6
117    ask e same s3, ask d same s3, ask a same s4, ask c same s4, ask b same s4
118    ask a agree k7, ask b agree s5
4500
""", tmp_path)
    for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
        assert comers.bench.zones_of[key] == {comers.zones[key]}, key


def test_the_same_consumers_find_their_keys_run_twice_without_bindings(tmp_path: Path) -> None:
    # So that what the other runs are judged by can fail.
    _, comers = play("\nnodes: a b c\n\nms     faults\n100    ask a twice\n2500\n", tmp_path, bindings=None)
    assert any(len(comers.bench.zones_of[f"k{number}"]) == 2 for number in range(8))
    assert sum(process.ledger.double for process in comers.bench.fleet.every[0]) > 0


def test_a_connection_s_end_and_a_file_read_again_are_heard(tmp_path: Path) -> None:
    async def case() -> None:
        table = "[fleet.bindings]\nconnections = true\n"
        async with serving(tmp_path, "n", table) as sidecar, asyncio.timeout(20):
            await until(sidecar, state="whole", consumers=0)
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            parser = http1.ResponseParser()
            for _ in range(3):
                writer.write(LOOK)
                assert (await answer_from(reader, parser)).status == 200
            await until(sidecar, consumers=1, providers=1, window_ms=9000.0)
            writer.close()
            await until(sidecar, consumers=0)
            file = tmp_path / "n.json"
            config = json.loads(file.read_text())
            config["settings"]["classes"][1]["window_ms"] = 12_000.0
            file.write_text(json.dumps(config))
            sidecar.process.send_signal(signal.SIGHUP)
            await until(sidecar, window_ms=12_000.0)

    asyncio.run(case())


async def until(sidecar: Sidecar, **figures: Any) -> None:
    while True:
        found = (await sidecar.told())["parts"]["bindings"]
        if {key: found[key] for key in figures} == figures:
            return
        await asyncio.sleep(0.02)


def test_without_its_table_nothing_that_decides_is_imported(tmp_path: Path) -> None:
    async def case() -> None:
        async with serving(tmp_path, "off", "") as off, serving(tmp_path, "on", "[fleet.bindings]\n") as on:
            assert "bindings" not in (await off.told())["parts"]
            assert "bindings" in (await on.told())["parts"]
            names = [set(await each.end()) for each in (off, on)]
        found = [{name for name in each if "bindings" in name} for each in names]
        # Its table is read by the one reader of settings, whose type it is.
        assert found[0] == {"limenotch.fleet.bindings", "limenotch.fleet.bindings.tuning"}
        assert found[1] >= {"limenotch.layers.bindings", "limenotch.fleet.bindings.core"}

    asyncio.run(case())

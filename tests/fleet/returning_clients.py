"""Consumers of a stage that come back, through other sidecars, and judge where their calls went.

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
from collections import defaultdict
from collections.abc import Sequence
from typing import Any

from limenotch.lab.emulate.load import call_wire, verdict_of
from limenotch.lab.emulate.providers import Door
from limenotch.lab.emulate.wire import Pool, Served
from limenotch.lab.fleet.processes import NodeProcess
from limenotch.lab.fleet.stage import Stage
from limenotch.lab.model.clients import Request
from limenotch.lab.model.faults import Deed
from limenotch.net import http1

from .test_rules_processes import Operators

FREE, KEYED = 0, 1
BUDGET_MS = 600.0
OWN = "of ours "  # before keys, as those of the traffic are numbered too
TRIES = 12  # of a call that a provider fails, as some do
ENDS_MS = 250.0  # within which bindings of a provider that is out have ended at all


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
        first, count = self.fleet.entry_rank(request.zone) + request.tries - 1, len(self.timeline.nodes)
        for step in range(count):
            key = (0, (first + step) % count)
            if key in self._pools:
                self.call_rules.assign_next_request(key)
                return self._pools[key]
        return None

    def zone_of(self, provider: str) -> int:
        return next(site.machine.zone for site in self.fleet.sites[0] if site.name == provider)

    async def call(
        self, node: str, cls: int, key: str = "", session: str = "", again: bool = False
    ) -> tuple[str, str, str]:
        """The verdict, by which provider, and the call's name. Judged by the rules for calls, as all others are."""
        number, key_of = len(self.attempts), self.keys_of[node]
        name, spec = f"t{number}-{self.clock():.3f}", self.plan.classes[cls]
        wire = call_wire(self.plan, cls, None, name, key and OWN + key, BUDGET_MS, 1.0, again)
        if session:
            wire = wire.replace(b"Host: lab\r\n", b"Host: lab\r\nX-Session: " + session.encode() + b"\r\n")
        final: asyncio.Future[http1.Message | None] = asyncio.get_running_loop().create_future()
        self.call_rules.assign_next_request(key_of)
        self.call_rules.taken(self.clock(), name, spec.effect, spec.scope, spec.window_ms, self.clock() + BUDGET_MS)
        self._pools[key_of].ask(wire, final.set_result)
        answer = await asyncio.wait_for(final, 10)
        verdict, _ = verdict_of(answer, name)
        if answer is None:
            self.call_rules.lost(name)
            return "lost", "", name
        self.call_rules.answered(self.clock(), name, verdict)
        return verdict, answer.body.partition(b" ")[2].decode(), name


class Comers(Operators):
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

    async def execute(self, node: NodeProcess, words: str) -> None:
        word, *rest = words.split()
        do = {
            "same": self.same,
            "moved": self.moved,
            "agree": self.agree,
            "drain": self.drain,
            "drop": self.drop,
            "alone": self.alone,
        }.get(word)
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
            await self.processes.wait_until_all(
                lambda _, state: state["parts"]["bindings"]["state"] == "whole", 20, words, [name]
            )
        elif word == "twice":
            for number in range(8):
                await self.keyed("a", f"k{number}")
                await self.keyed("b", f"k{number}", True)
        elif word == "ban":
            await self.ban_of(node, what)
        else:
            await super().execute(node, words)

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
        members = (await nodes[node].fleet_status() or {})["members"]
        alive = [
            member["name"]
            for member in members
            if member["state"] == "alive" and member["name"] != node and nodes[member["name"]].alive
        ]

        async def holds() -> bool:
            own = await self.figures(node)
            if own["told"] < told and own["to_tell"]:
                return False
            others = [await self.figures(other) for other in alive]
            return all(other.get("heard", {}).get(node, -1) >= min(told, own["told"]) for other in others)

        await self.processes.wait_until(holds, 10, f"what {node} told is known at {alive}")

    async def figures(self, node: str) -> dict[str, Any]:
        state = await self.processes.nodes[node].fleet_status()
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
                return {await self.keyed(name, what, True) for name in self.running}
            return {await self.of_session(name, what) for name in self.running}

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
        await self.processes.wait_until_all(
            lambda _, state: state["parts"]["bindings"]["providers"] == left, 20, f"{providers} drain", self.running
        )

    async def drain(self, _: str, session: str) -> None:
        await self.out_of([self.homes[session]])

    async def drop(self, _: str, key: str) -> None:
        sites = self.bench.fleet.sites[0]
        await self.out_of([site.name for site in sites if site.machine.zone == self.zones[key]])

    async def ban_of(self, node: NodeProcess, session: str) -> None:
        self.banned.add(self.homes[session])
        before = {name: (await self.figures(name))["providers"] for name in self.running}
        status, said = await self.request(node, "ban", {"upstream": self.homes[session]}, f"ban {session}")
        assert status == 200, said
        agreed = self.bench.clock()
        await self.processes.wait_until_all(
            lambda name, state: state["parts"]["bindings"]["providers"] < before[name], 5, "out at all", self.running
        )
        took = self.bench.clock() - agreed
        assert took <= ENDS_MS + self.bench._lag.now_ms(), took

    async def alone(self, node: str, count: str) -> None:
        await self.processes.wait_until_all(
            lambda _, state: sum(member["state"] == "alive" for member in state["members"]) == int(count),
            20,
            f"{count} are alive",
            [node],
        )

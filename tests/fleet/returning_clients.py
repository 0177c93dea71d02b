"""Clients of a stage that return through other sidecars, and check which endpoint served their requests.

Each `ask` of a timeline is a request of a client at that node, checked by its response and by the requests that reached
the endpoints:

| words | meaning |
| --- | --- |
| `key K`, `session S` | a request that is served, and known at all peers before the next step |
| `again K` | marked as a repeat: served in the zone of the first |
| `refused K` | marked as a repeat: rejected, and sent to no endpoint |
| `same S`, `moved S` | requests of that session: all served by its previous endpoint, or by a different one |
| `apart K`, `apart S` | the same key or session bound on the other side of a partition |
| `agree K`, `agree S` | repeated at all nodes until one zone or endpoint serves all, and once more |
| `drain S`, `drop K`, `ban S` | its endpoint drains; all of its zone do; an operator ejects it, soon at all nodes |
| `twice` | eight keys, each sent first at `a` and then as a repeat at `b` |
| `alone N`, `whole` | N members are alive according to the node; its table is complete |
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from typing import Any

from limenotch.lab.emulate.load import encode_request, outcome_of_response
from limenotch.lab.emulate.providers import SiteListener
from limenotch.lab.emulate.wire import Pool, ServerConnection
from limenotch.lab.fleet.processes import NodeProcess
from limenotch.lab.fleet.stage import Stage
from limenotch.lab.model.clients import Request
from limenotch.lab.model.faults import FaultAction
from limenotch.net import http1

from .test_rules_processes import Operators

FREE, KEYED = 0, 1
BUDGET_MS = 600.0
KEY_PREFIX = "of ours "  # prefix that separates these keys from those of the traffic
MAX_ATTEMPTS = 12  # attempts, as endpoints fail some requests
UNBIND_TIMEOUT_MS = 250.0  # within which all nodes end the bindings of an ejected endpoint


class RecordingStage(Stage):
    """Records which keys reached which zones; retries of its traffic go through the next sidecar."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.zones_of: dict[str, set[int]] = defaultdict(set)  # by key
        self.attempts: dict[str, list[str]] = defaultdict(list)  # by request: endpoints
        handle_request = self.providers.request

        def request(door: SiteListener, connection: ServerConnection, message: http1.Message) -> None:
            name = message.fields.get(b"x-call-id", b"").decode()
            key = message.fields.get(b"idempotency-key", b"").decode()
            self.attempts[name].append(door.site.name)
            if key.startswith(KEY_PREFIX):
                self.zones_of[key.removeprefix(KEY_PREFIX)].add(door.site.machine.zone)
            handle_request(door, connection, message)

        setattr(self.providers, "request", request)  # noqa: B010 (ProviderHost has no hook for it)

    def _choose_pool(self, request: Request) -> Pool | None:
        first, count = self.fleet.entry_rank(request.zone) + request.attempts - 1, len(self.timeline.nodes)
        for step in range(count):
            key = (0, (first + step) % count)
            if key in self._pools:
                self.call_rules.assign_next_request(key)
                return self._pools[key]
        return None

    def zone_of(self, provider: str) -> int:
        return next(site.machine.zone for site in self.fleet.sites[0] if site.name == provider)

    async def send_request(
        self, node: str, request_class: int, key: str = "", session: str = "", is_repeat: bool = False
    ) -> tuple[str, str, str]:
        """Sends a request, which the rules check too. Returns its verdict, its endpoint and its name."""
        number, key_of = len(self.attempts), self.keys_of[node]
        name, class_spec = f"t{number}-{self.clock():.3f}", self.plan.classes[request_class]
        wire = encode_request(self.plan, request_class, None, name, key and KEY_PREFIX + key, BUDGET_MS, 1.0, is_repeat)
        if session:
            wire = wire.replace(b"Host: lab\r\n", b"Host: lab\r\nX-Session: " + session.encode() + b"\r\n")
        final: asyncio.Future[http1.Message | None] = asyncio.get_running_loop().create_future()
        self.call_rules.assign_next_request(key_of)
        self.call_rules.request_accepted(
            self.clock(), name, class_spec.effect, class_spec.scope, class_spec.window_ms, self.clock() + BUDGET_MS
        )
        self._pools[key_of].send(wire, final.set_result)
        answer = await asyncio.wait_for(final, 10)
        verdict, _ = outcome_of_response(answer, name)
        if answer is None:
            self.call_rules.request_lost(name)
            return "lost", "", name
        self.call_rules.request_answered(self.clock(), name, verdict)
        return verdict, answer.body.partition(b" ")[2].decode(), name


class ReturningClients(Operators):
    """Returning clients, and operators."""

    stage: RecordingStage | None

    def __init__(self) -> None:
        super().__init__()
        self.zones: dict[str, int] = {}  # by key
        self.session_endpoints: dict[str, str] = {}  # endpoint by session
        self.ejected: set[str] = set()
        self.repeats = 0

    @property
    def recorder(self) -> RecordingStage:
        assert self.stage is not None
        return self.stage

    async def execute(self, node: NodeProcess, words: str) -> None:
        word, *rest = words.split()
        handler = {
            "same": self.expect_same_endpoint,
            "moved": self.expect_moved,
            "agree": self.wait_for_agreement,
            "drain": self.drain_session_endpoint,
            "drop": self.drain_zone,
            "alone": self.wait_for_alive_count,
        }.get(word)
        name, subject = node.name, rest[0] if rest else ""
        if handler is not None:
            await handler(name, subject)
        elif word in ("key", "session", "apart"):
            await self.bind_first(name, word, subject)
        elif word == "again":
            zone = await self.send_keyed(name, subject, True)
            assert zone == self.zones[subject], (words, name, self.recorder.zones_of[subject])
            self.repeats += 1
        elif word == "refused":
            verdict, _, request_name = await self.recorder.send_request(name, KEYED, subject, is_repeat=True)
            assert (verdict, self.recorder.attempts.get(request_name)) == ("rejected", None), (words, verdict)
        elif word == "whole":
            await self.processes.wait_until_all(
                lambda _, state: state["parts"]["bindings"]["state"] == "whole", 20, words, [name]
            )
        elif word == "twice":
            for number in range(8):
                await self.send_keyed("a", f"k{number}")
                await self.send_keyed("b", f"k{number}", True)
        elif word == "ban":
            await self.eject_session_endpoint(node, subject)
        else:
            await super().execute(node, words)

    # Requests

    async def send_keyed(self, node: str, key: str, is_repeat: bool = False) -> int:
        """Returns the zone that served the key. Endpoints fail some requests: the client retries with the same key."""
        for number in range(MAX_ATTEMPTS):
            verdict, endpoint, _ = await self.recorder.send_request(node, KEYED, key, is_repeat=is_repeat or number > 0)
            if verdict == "served":
                return self.recorder.zone_of(endpoint)
        raise AssertionError(f"{key} at {node}: never served")

    async def send_in_session(self, node: str, session: str) -> str:
        for _ in range(MAX_ATTEMPTS):
            verdict, endpoint, request_name = await self.recorder.send_request(node, FREE, session=session)
            if verdict == "served" and self.recorder.attempts[request_name] == [endpoint]:  # no earlier attempt failed
                return endpoint
        raise AssertionError(f"{session} at {node}: never served")

    async def bind_first(self, node: str, word: str, subject: str) -> None:
        if word == "apart":
            await (self.send_keyed(node, subject) if subject.startswith("k") else self.send_in_session(node, subject))
            return
        if word == "key":
            self.zones[subject] = await self.send_keyed(node, subject)
        else:
            self.session_endpoints[subject] = await self.send_in_session(node, subject)
        await self.wait_until_known(node)

    async def wait_until_known(self, node: str) -> None:
        """Waits until all members that the node reaches have received its updates."""
        state = await self.binding_status(node)
        update_number = state["told"] + (2 if state["to_tell"] else 0)  # the update in flight, and the next one
        nodes = self.processes.nodes
        members = (await nodes[node].fleet_status() or {})["members"]
        alive = [
            member["name"]
            for member in members
            if member["state"] == "alive" and member["name"] != node and nodes[member["name"]].alive
        ]

        async def holds() -> bool:
            status = await self.binding_status(node)
            if status["told"] < update_number and status["to_tell"]:
                return False
            peer_statuses = [await self.binding_status(peer) for peer in alive]
            return all(
                peer.get("heard", {}).get(node, -1) >= min(update_number, status["told"]) for peer in peer_statuses
            )

        await self.processes.wait_until(holds, 10, f"the updates of {node} are known at {alive}")

    async def binding_status(self, node: str) -> dict[str, Any]:
        state = await self.processes.nodes[node].fleet_status()
        return dict(state["parts"]["bindings"]) if state is not None else {}

    async def expect_same_endpoint(self, node: str, session: str) -> None:
        found = {await self.send_in_session(node, session) for _ in range(4)}
        assert found == {self.session_endpoints[session]}, (node, session, found, self.session_endpoints[session])

    async def expect_moved(self, node: str, session: str) -> None:
        endpoint = await self.send_in_session(node, session)
        assert endpoint != self.session_endpoints[session], (node, session, endpoint)
        self.session_endpoints[session] = endpoint
        await self.wait_until_known(node)

    async def wait_for_agreement(self, _: str, subject: str) -> None:
        async def serving_targets() -> set[Any]:
            if subject.startswith("k"):
                return {await self.send_keyed(name, subject, True) for name in self.running}
            return {await self.send_in_session(name, subject) for name in self.running}

        async with asyncio.timeout(20):
            while len(found := await serving_targets()) != 1:
                pass
        assert await serving_targets() == found

    # Faults of endpoints and members

    async def drain_endpoints(self, providers: Sequence[str]) -> None:
        recorder = self.recorder
        for number, site in enumerate(recorder.fleet.sites[0]):
            if site.name in providers:
                recorder._handle_changes(
                    recorder.fleet.apply(recorder.clock(), FaultAction(recorder.clock(), "drain", 0, number))
                )
        remaining = sum(not site.draining and site.name not in self.ejected for site in recorder.fleet.sites[0])
        await self.processes.wait_until_all(
            lambda _, state: state["parts"]["bindings"]["providers"] == remaining,
            20,
            f"{providers} drain",
            self.running,
        )

    async def drain_session_endpoint(self, _: str, session: str) -> None:
        await self.drain_endpoints([self.session_endpoints[session]])

    async def drain_zone(self, _: str, key: str) -> None:
        sites = self.recorder.fleet.sites[0]
        await self.drain_endpoints([site.name for site in sites if site.machine.zone == self.zones[key]])

    async def eject_session_endpoint(self, node: NodeProcess, session: str) -> None:
        self.ejected.add(self.session_endpoints[session])
        before = {name: (await self.binding_status(name))["providers"] for name in self.running}
        status, response = await self.request(
            node, "ban", {"upstream": self.session_endpoints[session]}, f"ban {session}"
        )
        assert status == 200, response
        agreed_at_ms = self.recorder.clock()
        await self.processes.wait_until_all(
            lambda name, state: state["parts"]["bindings"]["providers"] < before[name],
            5,
            "ejected at all nodes",
            self.running,
        )
        duration_ms = self.recorder.clock() - agreed_at_ms
        assert duration_ms <= UNBIND_TIMEOUT_MS + self.recorder._lag.now_ms(), duration_ms

    async def wait_for_alive_count(self, node: str, count: str) -> None:
        await self.processes.wait_until_all(
            lambda _, state: sum(member["state"] == "alive" for member in state["members"]) == int(count),
            20,
            f"{count} are alive",
            [node],
        )

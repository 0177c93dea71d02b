"""One sidecar's calls with the bindings beside them, and no sockets: attempts end as a test tells them to."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from time import monotonic
from typing import Any

from limenotch.config import parse
from limenotch.fleet.affinity.api import Binding, Kind
from limenotch.fleet.hub import ComponentEvent
from limenotch.fleet.interfaces import MemberChanged, Started, TimerFired
from limenotch.fleet.settings import Bindings as Table
from limenotch.fleet_adapters.affinity import AffinityAdapter, composite_key
from limenotch.fleet_adapters.base import NodeContext
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, DiscoveryStatus
from limenotch.net.http1 import Message
from limenotch.net.request import Attempt, FinalResponse, RequestDetails, Verdict
from limenotch.net.requests import RequestManager

KEY = b"a key for tests, of 16 bytes"
CLASSES: list[dict[str, Any]] = [
    {"name": "free", "effect": "idempotent", "target_ms": 60.0, "hard_limit_ms": 900.0, "late_worth": 1.0},
    {
        "name": "keyed",
        "effect": "deduplicated",
        "dedup_scope": "zone",
        "window_ms": 9000.0,
        "target_ms": 60.0,
        "hard_limit_ms": 900.0,
        "late_worth": 1.0,
    },
    {
        "name": "other",
        "effect": "deduplicated",
        "dedup_scope": "zone",
        "window_ms": 2000.0,
        "target_ms": 60.0,
        "hard_limit_ms": 900.0,
        "late_worth": 1.0,
    },
    {"name": "once", "effect": "at_most_once", "target_ms": 60.0, "hard_limit_ms": 900.0, "late_worth": 1.0},
]
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "zones": ["east", "west"],
    "tenants": [{"name": "acme", "quota_per_s": 1000.0}, {"name": "bolt", "quota_per_s": 1000.0}],
    "permissions": {"cancel": True, "parallel_tries": False, "max_attempts": 3},
    "registry_mode": "ask",
    "layer": 1,
}
ANSWER = Message([], {})
SERVED, FAR = AttemptEnding.SERVED, [f"w{number}" for number in range(3)]
NEAR = [f"e{number}" for number in range(3)]


def config(settings: dict[str, Any]) -> Any:
    return parse({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}, {})


def endpoint(name: str, status: DiscoveryStatus = DiscoveryStatus.IN_SERVICE) -> DiscoveredEndpoint:
    zone = "east" if name[0] == "e" else "west"
    return DiscoveredEndpoint(name, ("127.0.0.1", 1), status, zone, "k", 1 if zone == "east" else 2)


class House:
    """A sidecar's calls with the layer beside them; attempts end as they are told."""

    def __init__(self, table: Table | None = None, begun: bool = True, whole: bool = True) -> None:
        self.skew = 0.0
        self.layer = AffinityAdapter(NodeContext("a", 7, (), KEY, self.tell, self.now), table or Table())
        self.part = self.layer.component(None, 0)
        self.begun = False
        held = config(SETTINGS)
        self.facade = LoadBalancer(held.settings, 5, held.zones, held.kinds, clock=self.now)
        self.calls = RequestManager(self.facade, 1000)
        self.calls.interceptors = (self.layer,)
        self.calls.attempt_runner = self
        self.calls.watch_discovery = lambda: None
        self.made: list[Attempt] = []
        self.bound_when_made: list[Binding | None] = []
        self.calls.execute(self.facade.start())
        self.layer.configuration_applied(held)
        self.names = itertools.count()
        if begun:
            self.begin(whole)
        self.list(NEAR + FAR, whole=True)

    def now(self) -> float:
        return monotonic() * 1000.0 + self.skew

    def begin(self, whole: bool = True) -> None:
        self.part.handle(self.now(), Started())
        self.begun = True
        if whole:
            self.part.handle(self.now(), MemberChanged("a", "alive", ("127.0.0.1", 9), 0, 7))
            self.skew += 300.0
            for _ in range(5):  # alone, it is whole a cover later
                self.skew += 60.0
                self.part.handle(self.now(), TimerFired(1))
            assert self.layer.status()["state"] == "whole"

    def tell(self, asked: ComponentEvent) -> None:
        if self.begun:
            self.part.handle(self.now(), asked.event)

    def list(self, names: list[str], status: DiscoveryStatus = DiscoveryStatus.IN_SERVICE, whole: bool = False) -> None:
        entries = [endpoint(name, status) for name in names]
        self.layer.endpoints_listed(entries, whole)
        self.calls.execute(self.facade.endpoints_listed(entries, whole))

    def start(self, invoker_call: Attempt) -> None:
        call = invoker_call.request
        self.bound_when_made.append(
            self.bound(call.class_name, call.tenant, call.details.idempotency_key)
            if call.details.idempotency_key
            else None
        )
        self.made.append(invoker_call)

    def cancel(self, invoker_call: Attempt) -> None:
        asyncio.get_running_loop().call_soon(self.calls.attempt_ended, invoker_call, AttemptEnding.CANCELLED)

    def bound(self, kind: str, tenant: str, key: bytes) -> Binding | None:
        return self.layer._table.find(self.now(), Kind.KEY, composite_key(kind.encode(), tenant.encode(), key))

    def session(self, name: bytes, tenant: str = "acme") -> Binding | None:
        return self.layer._table.find(self.now(), Kind.SESSION, composite_key(tenant.encode(), b"", name))

    def take(
        self,
        kind: str = "keyed",
        key: bytes = b"",
        tenant: str = "acme",
        resent: bool = False,
        origin: str = "",
        fields: dict[str, str] | None = None,
    ) -> asyncio.Future[FinalResponse]:
        final: asyncio.Future[FinalResponse] = asyncio.get_running_loop().create_future()
        about = RequestDetails(
            key, {name.encode(): value.encode() for name, value in (fields or {}).items()}, origin, resent
        )
        self.last = self.calls.accept(
            b"%d" % next(self.names), None, kind, tenant, 900.0, final.set_result, details=about
        )
        return final

    def end(self, ending: AttemptEnding = SERVED, attempt: int = -1) -> str:
        """Of the latest attempt; the provider that it was at."""
        invoker_call = self.made[attempt]
        self.calls.attempt_ended(invoker_call, ending, ANSWER if ending is SERVED else None)
        return invoker_call.endpoint_name

    async def served(self, **about: Any) -> str:
        """A call that is served at its first attempt; by whom."""
        before, final = len(self.made), self.take(**about)
        async with asyncio.timeout(5):
            while len(self.made) == before and not final.done():
                await asyncio.sleep(0.001)
        by = self.end()
        assert (await final).verdict is Verdict.SERVED
        return by

    def count(self, word: str) -> int:
        return int(self.layer.counts[word])


def run(case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(case(), 30))

"""A sidecar's request manager with the affinity adapter and without sockets; the tests end the attempts."""

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
from limenotch.fleet.settings import Bindings as BindingsSettings
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
RESPONSE = Message([], {})
SERVED, FAR = AttemptEnding.SERVED, [f"w{number}" for number in range(3)]
NEAR = [f"e{number}" for number in range(3)]


def config(settings: dict[str, Any]) -> Any:
    return parse({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings}, {})


def discovered_endpoint(name: str, status: DiscoveryStatus = DiscoveryStatus.IN_SERVICE) -> DiscoveredEndpoint:
    zone = "east" if name[0] == "e" else "west"
    return DiscoveredEndpoint(name, ("127.0.0.1", 1), status, zone, "k", 1 if zone == "east" else 2)


class SidecarHarness:
    """A request manager with the affinity adapter; attempts end when a test calls `end_attempt`."""

    def __init__(self, settings: BindingsSettings | None = None, started: bool = True, complete: bool = True) -> None:
        self.skew = 0.0
        self.adapter = AffinityAdapter(
            NodeContext("a", 7, (), KEY, self.dispatch, self.now), settings or BindingsSettings()
        )
        self.component = self.adapter.component(None, 0)
        self.started = False
        configuration = config(SETTINGS)
        self.load_balancer = LoadBalancer(
            configuration.settings, 5, configuration.zones, configuration.kinds, clock=self.now
        )
        self.request_manager = RequestManager(self.load_balancer, 1000)
        self.request_manager.interceptors = (self.adapter,)
        self.request_manager.attempt_runner = self
        self.request_manager.watch_discovery = lambda: None
        self.attempts: list[Attempt] = []
        self.bindings_at_start: list[Binding | None] = []
        self.request_manager.execute(self.load_balancer.start())
        self.adapter.configuration_applied(configuration)
        self.names = itertools.count()
        if started:
            self.start_component(complete)
        self.list(NEAR + FAR, complete=True)

    def now(self) -> float:
        return monotonic() * 1000.0 + self.skew

    def start_component(self, complete: bool = True) -> None:
        self.component.handle(self.now(), Started())
        self.started = True
        if complete:
            self.component.handle(self.now(), MemberChanged("a", "alive", ("127.0.0.1", 9), 0, 7))
            self.skew += 300.0
            for _ in range(5):  # without peers the table is complete after one watermark interval
                self.skew += 60.0
                self.component.handle(self.now(), TimerFired(1))
            assert self.adapter.status()["state"] == "whole"

    def dispatch(self, event: ComponentEvent) -> None:
        if self.started:
            self.component.handle(self.now(), event.event)

    def list(
        self, names: list[str], status: DiscoveryStatus = DiscoveryStatus.IN_SERVICE, complete: bool = False
    ) -> None:
        endpoints = [discovered_endpoint(name, status) for name in names]
        self.adapter.endpoints_listed(endpoints, complete)
        self.request_manager.execute(self.load_balancer.endpoints_listed(endpoints, complete))

    def start(self, running_attempt: Attempt) -> None:
        request = running_attempt.request
        self.bindings_at_start.append(
            self.key_binding(request.class_name, request.tenant, request.details.idempotency_key)
            if request.details.idempotency_key
            else None
        )
        self.attempts.append(running_attempt)

    def cancel(self, running_attempt: Attempt) -> None:
        asyncio.get_running_loop().call_soon(
            self.request_manager.attempt_ended, running_attempt, AttemptEnding.CANCELLED
        )

    def key_binding(self, class_name: str, tenant: str, key: bytes) -> Binding | None:
        return self.adapter._table.find(self.now(), Kind.KEY, composite_key(class_name.encode(), tenant.encode(), key))

    def session_binding(self, name: bytes, tenant: str = "acme") -> Binding | None:
        return self.adapter._table.find(self.now(), Kind.SESSION, composite_key(tenant.encode(), b"", name))

    def send(
        self,
        class_name: str = "keyed",
        key: bytes = b"",
        tenant: str = "acme",
        is_retry: bool = False,
        connection: str = "",
        fields: dict[str, str] | None = None,
    ) -> asyncio.Future[FinalResponse]:
        final: asyncio.Future[FinalResponse] = asyncio.get_running_loop().create_future()
        options = RequestDetails(
            key, {name.encode(): value.encode() for name, value in (fields or {}).items()}, connection, is_retry
        )
        self.last_request = self.request_manager.accept(
            b"%d" % next(self.names), None, class_name, tenant, 900.0, final.set_result, details=options
        )
        return final

    def end_attempt(self, ending: AttemptEnding = SERVED, attempt: int = -1) -> str:
        """Ends an attempt, by default the latest one; returns its endpoint's name."""
        running_attempt = self.attempts[attempt]
        self.request_manager.attempt_ended(running_attempt, ending, RESPONSE if ending is SERVED else None)
        return running_attempt.endpoint_name

    async def send_served(self, **options: Any) -> str:
        """Sends a request that is served at its first attempt; returns the endpoint's name."""
        before, final = len(self.attempts), self.send(**options)
        async with asyncio.timeout(5):
            while len(self.attempts) == before and not final.done():
                await asyncio.sleep(0.001)
        served_by = self.end_attempt()
        assert (await final).verdict is Verdict.SERVED
        return served_by

    def count(self, name: str) -> int:
        return int(self.adapter.counts[name])


def run(test_case: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test_case(), 30))

"""Clients of tenants with wallets, on the stage: every response is recorded, wallets are read throughout, and a checker
judges both. It knows responses alone, nothing of the program's state:

| rule | of |
| --- | --- |
| credit = spent + left + held, and credit and spent in one sidecar's answers never fall | every reading |
| what clients were served costs no more than the credit (and the advance) | the whole run |
| once nothing is held, spent is at least what clients were served | the end |
| a tenant without a wallet never gets 429 | every response |
| a 429 states when to retry, no later than the configuration allows | every response |
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from limenotch.lab.emulate.wire import ClientConnection, Pool
from limenotch.lab.fleet.processes import NodeProcess
from limenotch.lab.fleet.stage import Stage
from limenotch.lab.model.clients import Request
from limenotch.net import http1

from .log_operators import call

PATH = "/fleet/wallets/"
READING_INTERVAL_S = 0.05  # between two readings
PROBE_INTERVAL_S = 0.02  # between two requests to a sidecar that is to serve one
PROBE_CLASS = 0  # of the plan: idempotent
SETTLE_LIMIT_S = 15.0
COST = {"once": 2}  # of a request, by class; 1 of others
TENANT_WITHOUT_WALLET = "cid"  # a tenant without a wallet


class RuleViolationError(Exception):
    """What the checker found."""


class ClientResponse(NamedTuple):
    at_ms: float  # of the run
    node: str
    tenant: str
    cost: int
    status: int | None  # None: its connection broke
    retry_after_s: float
    asked_ms: float


class Reading(NamedTuple):
    at_ms: float
    node: str
    tenant: str
    credit: int
    spent: int
    left: int
    held: int


class _RecordingPool:
    """A client's pool of connections to a sidecar that also records each response."""

    def __init__(self, pool: Pool, record_response: Callable[[http1.Message | None], None]) -> None:
        self._pool, self._record_response = pool, record_response

    def send(
        self,
        wire: bytes,
        done: Callable[[http1.Message | None], None],
        began: Callable[[ClientConnection], None] | None = None,
    ) -> None:
        def record_and_forward(message: http1.Message | None) -> None:
            self._record_response(message)
            done(message)

        self._pool.send(wire, record_and_forward, began)


class PayingStage(Stage):
    """A stage whose clients have wallets."""

    answers: list[ClientResponse]
    readings: list[Reading]
    empty_readings: list[Reading]  # of operators that waited until nothing was left

    def begin(self) -> None:
        """Starts reading wallets. To be called once, when the run is about to begin."""
        self.readings, self.empty_readings, self.broken = [], [], list[str]()
        self._probed_nodes = dict[int, str]()  # by the number of the request
        self._reader = asyncio.get_running_loop().create_task(self._read_wallets())

    def _choose_pool(self, request: Request) -> Pool | None:
        probed = self._probed_nodes.get(request.number)
        pool = super()._choose_pool(request) if probed is None else self._pool_of(probed)
        if pool is None:
            return None
        self.answers = getattr(self, "answers", [])
        node = next(name for name, key in self.keys_of.items() if self._pools.get(key) is pool)
        asked_ms, tenant = self.clock(), self.plan.accounts[request.account].name
        cost = COST.get(self.plan.classes[request.cls].name, 1)

        def record_response(message: http1.Message | None) -> None:
            retry_after_s = float(message.fields.get(b"retry-after", b"0")) if message is not None else 0.0
            status = message.status if message is not None else None
            self.answers.append(ClientResponse(self.clock(), node, tenant, cost, status, retry_after_s, asked_ms))

        return _RecordingPool(pool, record_response)  # type: ignore[return-value]

    def _pool_of(self, node: str) -> Pool | None:
        key = self.keys_of[node]
        self.call_rules.assign_next_request(key)
        return self._pools.get(key)

    async def send_until_served(self, node: str, tenant: str) -> None:
        """Sends requests of the tenant to this sidecar, PROBE_INTERVAL_S apart, until it serves one.

        So the time of the first one served is that of the sidecar, not that of the plan's next request to it.
        """
        since_ms = self.clock()
        account = [account.name for account in self.plan.accounts].index(tenant)
        budget_ms = self.plan.classes[PROBE_CLASS].deadline_ms
        assert self.load is not None
        while not self.served(tenant, node, since_ms):
            number = -1 - len(self._probed_nodes)
            self._probed_nodes[number] = node
            self.load.send(Request(number, self.clock(), PROBE_CLASS, account, 1.0, budget_ms, 0, 0, False, ""))
            await asyncio.sleep(PROBE_INTERVAL_S)

    # Wallets

    async def add(self, node: NodeProcess, tenant: str, amount: int, credit_id: str) -> tuple[int, Any]:
        answer = await call(node, "POST", PATH + tenant, json.dumps({"id": credit_id, "add": amount}).encode())
        assert answer is not None, f"{node.name}: no response to a credit"
        return answer.status, json.loads(answer.body)

    async def wallet(self, node: NodeProcess, tenant: str) -> Reading | None:
        """None: no valid answer now."""
        answer = await call(node, "GET", PATH + tenant)
        if answer is None or answer.status != 200:
            return None
        body = json.loads(answer.body)
        reading = Reading(self.clock(), node.name, tenant, body["credit"], body["spent"], body["left"], body["held"])
        if reading.credit != reading.spent + reading.left + reading.held:
            self.broken.append(f"credit not conserved: {reading}")
        return reading

    async def _read_wallets(self) -> None:
        while True:
            for node in self.processes.nodes.values():
                if node.alive and not node.paused:
                    for tenant in ("ann", "bob"):
                        reading = await self.wallet(node, tenant)
                        if reading is not None and self.timeline_start_ms is not None:
                            self.readings.append(reading)
                await asyncio.sleep(READING_INTERVAL_S)

    async def settled(self, tenant: str) -> Reading:
        """Waits until nothing is held any more: all that was spent is recorded then."""
        async with asyncio.timeout(SETTLE_LIMIT_S):
            while True:
                for node in self.processes.nodes.values():
                    reading = await self.wallet(node, tenant) if node.alive else None
                    if reading is not None and not reading.held:
                        return reading
                await asyncio.sleep(READING_INTERVAL_S)

    # Results

    def served(
        self, tenant: str, node: str = "", since_ms: float = 0.0, until_ms: float = 1e12
    ) -> list[ClientResponse]:
        return [response for response in self.answered(tenant, node, since_ms, until_ms) if response.status == 200]

    def answered(
        self, tenant: str, node: str = "", since_ms: float = 0.0, until_ms: float = 1e12
    ) -> list[ClientResponse]:
        """Requests sent since, and answered until."""
        return [
            response
            for response in self.answers
            if response.tenant == tenant
            and node in ("", response.node)
            and response.asked_ms >= since_ms
            and response.at_ms <= until_ms
        ]

    def units(self, tenant: str) -> int:
        """What the requests served cost."""
        return sum(response.cost for response in self.served(tenant))

    async def audit(self, allowed_excess: int = 0, max_retry_after_s: float = 2.0) -> dict[str, Reading]:
        """The checker, after all faults have ended. `allowed_excess`: what may be served of a tenant beyond its
        credit.
        """
        self._reader.cancel()
        final_readings = {tenant: await self.settled(tenant) for tenant in ("ann", "bob")}
        violations = list(self.broken)
        for tenant, final_reading in final_readings.items():
            units = self.units(tenant)
            if units > final_reading.credit + allowed_excess:
                violations.append(f"{tenant}: overspent, {units} of {final_reading.credit}")
            if units > final_reading.spent:
                violations.append(f"{tenant}: {units} were served, {final_reading.spent} are recorded")
            last_reading: dict[str, Reading] = {}
            for reading in self.readings:
                if reading.tenant == tenant:
                    previous = last_reading.get(reading.node, reading)
                    if (reading.credit, reading.spent) < (
                        previous.credit,
                        previous.spent,
                    ) or reading.spent < previous.spent:
                        violations.append(f"{previous} and then {reading}")
                    last_reading[reading.node] = reading
        for response in self.answers:
            if response.status == 429 and (
                response.tenant == TENANT_WITHOUT_WALLET or not 0 < response.retry_after_s <= max_retry_after_s
            ):
                violations.append(f"invalid rejection: {response}")
        if violations:
            raise RuleViolationError("\n".join(violations[:20]))
        return final_readings

    @property
    def late_ms(self) -> float:
        """The most that this process's own timers were late by."""
        return max(self._lag.values_us, default=0) / 1000.0

    async def close(self) -> None:
        if hasattr(self, "_reader"):
            self._reader.cancel()
        await super().close()

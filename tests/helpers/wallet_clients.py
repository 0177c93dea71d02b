"""Tenants that pay, on the stage: every answer their consumers got is noted, wallets are read throughout, and a checker
judges both. It knows answers alone, nothing of the program:

| rule | of |
| --- | --- |
| credit = spent + left + held, and credit and spent of one sidecar's answers never fall | every reading |
| what consumers were served costs no more than the credit (and the advance) | the whole run |
| once nothing is held, spent is at least what consumers were served | the end |
| who does not pay is never told 429 | every answer |
| who is told 429 is told when to return, and no later than the configuration allows | every answer |
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from limenotch.lab.emulate.wire import Asking, Pool
from limenotch.lab.fleet.processes import NodeProcess
from limenotch.lab.fleet.stage import Stage
from limenotch.lab.model.clients import Request
from limenotch.net import http1

from .log_operators import call

PATH = "/fleet/wallets/"
READ_S = 0.05  # between two readings
END_S = 15.0
COST = {"once": 2}  # of a call, by class; 1 of others
FREE = "cid"  # does not pay


class UnsoundError(Exception):
    """What the checker found."""


class Answered(NamedTuple):
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


class _Way:
    """A consumer's way to a sidecar, as its pool; notes what it is answered."""

    def __init__(self, pool: Pool, note: Callable[[http1.Message | None], None]) -> None:
        self._pool, self._note = pool, note

    def ask(
        self, wire: bytes, done: Callable[[http1.Message | None], None], began: Callable[[Asking], None] | None = None
    ) -> None:
        def answered(message: http1.Message | None) -> None:
            self._note(message)
            done(message)

        self._pool.ask(wire, answered, began)


class Paying(Stage):
    """A stage whose consumers pay."""

    answers: list[Answered]
    readings: list[Reading]
    dry_readings: list[Reading]  # of operators that waited until nothing was left

    def begin(self) -> None:
        """Wallets are read from now on. To be called once, when the run is about to begin."""
        self.readings, self.dry_readings, self.broken = [], [], list[str]()
        self._reader = asyncio.get_running_loop().create_task(self._read_on())

    def _choose(self, request: Request) -> Pool | None:
        pool = super()._choose(request)
        if pool is None:
            return None
        self.answers = getattr(self, "answers", [])
        node = next(name for name, key in self.keys_of.items() if self._pools.get(key) is pool)
        asked, tenant = self.clock(), self.plan.accounts[request.account].name
        cost = COST.get(self.plan.classes[request.cls].name, 1)

        def note(message: http1.Message | None) -> None:
            retry = float(message.fields.get(b"retry-after", b"0")) if message is not None else 0.0
            status = message.status if message is not None else None
            self.answers.append(Answered(self.clock(), node, tenant, cost, status, retry, asked))

        return _Way(pool, note)  # type: ignore[return-value]

    # Wallets

    async def add(self, node: NodeProcess, tenant: str, amount: int, ident: str) -> tuple[int, Any]:
        answer = await call(node, "POST", PATH + tenant, json.dumps({"id": ident, "add": amount}).encode())
        assert answer is not None, f"{node.name}: no answer to credit"
        return answer.status, json.loads(answer.body)

    async def wallet(self, node: NodeProcess, tenant: str) -> Reading | None:
        """None: it can't be told now."""
        answer = await call(node, "GET", PATH + tenant)
        if answer is None or answer.status != 200:
            return None
        told = json.loads(answer.body)
        reading = Reading(self.clock(), node.name, tenant, told["credit"], told["spent"], told["left"], told["held"])
        if reading.credit != reading.spent + reading.left + reading.held:
            self.broken.append(f"not conserved: {reading}")
        return reading

    async def _read_on(self) -> None:
        while True:
            for node in self.processes.nodes.values():
                if node.alive and not node.paused:
                    for tenant in ("ann", "bob"):
                        reading = await self.wallet(node, tenant)
                        if reading is not None and self.began_ms is not None:
                            self.readings.append(reading)
                await asyncio.sleep(READ_S)

    async def settled(self, tenant: str) -> Reading:
        """When nothing is held any more: all that was spent is told then."""
        async with asyncio.timeout(END_S):
            while True:
                for node in self.processes.nodes.values():
                    reading = await self.wallet(node, tenant) if node.alive else None
                    if reading is not None and not reading.held:
                        return reading
                await asyncio.sleep(READ_S)

    # What was seen

    def served(self, tenant: str, node: str = "", since: float = 0.0, until: float = 1e12) -> list[Answered]:
        return [one for one in self.answered(tenant, node, since, until) if one.status == 200]

    def answered(self, tenant: str, node: str = "", since: float = 0.0, until: float = 1e12) -> list[Answered]:
        """Calls that were asked since, and answered until."""
        return [
            one
            for one in self.answers
            if one.tenant == tenant and node in ("", one.node) and one.asked_ms >= since and one.at_ms <= until
        ]

    def units(self, tenant: str) -> int:
        """What consumers were served costs."""
        return sum(one.cost for one in self.served(tenant))

    async def audit(self, beyond: int = 0, advice_s: float = 2.0) -> dict[str, Reading]:
        """The checker; all is healed. `beyond`: what may be served of a tenant beyond its credit."""
        self._reader.cancel()
        ends = {tenant: await self.settled(tenant) for tenant in ("ann", "bob")}
        wrong = list(self.broken)
        for tenant, end in ends.items():
            units = self.units(tenant)
            if units > end.credit + beyond:
                wrong.append(f"{tenant}: overspent, {units} of {end.credit}")
            if units > end.spent:
                wrong.append(f"{tenant}: {units} were served, {end.spent} are told")
            last: dict[str, Reading] = {}
            for one in self.readings:
                if one.tenant == tenant:
                    before = last.get(one.node, one)
                    if (one.credit, one.spent) < (before.credit, before.spent) or one.spent < before.spent:
                        wrong.append(f"{before} and then {one}")
                    last[one.node] = one
        for told in self.answers:
            if told.status == 429 and (told.tenant == FREE or not 0 < told.retry_after_s <= advice_s):
                wrong.append(f"turned away: {told}")
        if wrong:
            raise UnsoundError("\n".join(wrong[:20]))
        return ends

    @property
    def late_ms(self) -> float:
        """The most that this process's own timers were late by."""
        return max(self._lag.values_us, default=0) / 1000.0

    async def close(self) -> None:
        if hasattr(self, "_reader"):
            self._reader.cancel()
        await super().close()

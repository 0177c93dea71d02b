"""Open-loop clients over sockets: requests leave when they are meant to, whatever became of the earlier ones.

Latency counts from the intended time, so that a stall of the system, or of this tool, is in the figures of all who
would have waited through it (no coordinated omission). Bounded in time and in calls; loopback only.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ...net import http1
from ..model.clients import Clients, Request
from ..model.rules import RuleChecker
from ..planning import Plan
from ..record import Record
from .wire import Asking, Pool

SLACK_MS = 50.0  # every time limit on sockets is this much longer
AHEAD_MS = 1.0  # a timer of the loop is no finer


@dataclass(slots=True)
class Progress:
    """What a progress line shows."""

    asked: int = 0
    open: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0


def call_wire(
    plan: Plan, cls: int, account: int | None, name: str, key: str, budget_ms: float, size: float, again: bool = False
) -> bytes:
    """A call as consumers send it. The work's size is carried in a header of the laboratory's own."""
    spec = plan.classes[cls]
    keyed = spec.effect != "idempotent"
    headers = [
        (b"Host", b"lab"),
        (b"X-Call-Id", name.encode()),
        (b"X-Call-Class", spec.name.encode()),
        (b"X-Budget", b"%du" % max(int(budget_ms * 1000.0), 1)),
        (b"X-Lab-Size", b"%.6g" % size),
    ]
    if plan.accounts:
        headers.append((b"X-Caller", plan.accounts[account or 0].name.encode()))
    if again:
        headers.append((b"X-Again", b"1"))
    if keyed:
        headers.append((b"Idempotency-Key", (key or name).encode()))
    return http1.write_request(b"POST" if keyed else b"GET", b"/api", headers, b"{}" if keyed else b"")


def verdict_of(answer: http1.Message | None, name: str) -> tuple[str, float]:
    """`served`, `rejected` or `failed`, and when to come back in ms. A 200 with another call's body is no service."""
    if answer is None:
        return "failed", 0.0
    if answer.status == 200:
        return ("served" if answer.body.partition(b" ")[0] == name.encode() else "failed"), 0.0
    if answer.status in (429, 503):
        try:
            return "rejected", max(float(answer.fields.get(b"retry-after", b"0")), 0.0) * 1000.0
        except ValueError:
            return "rejected", 0.0
    return "failed", 0.0


class Load:
    """Owns its pools and every try under way; `run` ends when all have their end."""

    def __init__(
        self,
        plan: Plan,
        clients: Clients,
        record: Record,
        rules: RuleChecker,
        clock: Callable[[], float],
        choose: Callable[[Request], Pool | None],
        mark: str = "c",
    ) -> None:
        """`clock` in ms since the run's begin; `choose` gives the way to the sidecar that a try goes to."""
        self._plan, self._clients, self._record, self._rules = plan, clients, record, rules
        self._clock, self._choose, self._mark = clock, choose, mark
        self._open = 0
        self._count = 0
        self._quiet = asyncio.Event()
        self._ended = False
        self._timers: set[asyncio.TimerHandle] = set()
        self.progress = Progress()
        self.late_us: list[int] = []
        self.foreign = 0  # answers with a 200 and another call's body

    async def run(self, until_ms: float) -> None:
        """All requests born before `until_ms`, and what becomes of them."""
        request = self._clients.next(0.0)
        while request is not None and request.created_at_ms < until_ms:
            wait = request.created_at_ms - self._clock()
            if wait > AHEAD_MS:
                await asyncio.sleep((wait - AHEAD_MS / 2) / 1000.0)
            now = self._clock()
            while request is not None and request.created_at_ms <= now + AHEAD_MS and request.created_at_ms < until_ms:
                self._record.request_created(request)
                self.progress.asked += 1
                self._try(request, request.created_at_ms)
                request = self._clients.next(request.created_at_ms)
            await asyncio.sleep(0)
        self._ended = True
        if self._open:
            await self._quiet.wait()

    def stop(self) -> None:
        """Give up all that is under way."""
        for timer in list(self._timers):
            timer.cancel()
        self._quiet.set()

    def _later(self, wait_ms: float, do: Callable[[], None]) -> asyncio.TimerHandle:
        def due() -> None:
            self._timers.discard(timer)
            do()

        timer = asyncio.get_running_loop().call_later(max(wait_ms, 0.0) / 1000.0, due)
        self._timers.add(timer)
        return timer

    def _cancel(self, timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        self._timers.discard(timer)

    def _try(self, request: Request, meant: float) -> None:
        now = self._clock()
        late = max(now - meant, 0.0)
        self.late_us.append(int(late * 1000.0))
        request.attempts += 1
        self._open += 1
        self.progress.open = self._open
        self._record.attempt_started(meant, request)
        self._count += 1
        name = f"{self._mark}{self._count}"
        pool = self._choose(request)
        spec = self._plan.classes[request.cls]
        end = meant + request.budget_ms
        self._rules.request_accepted(now, name, spec.effect, spec.scope, spec.window_ms, end)
        held: list[Asking] = []
        over = [False]

        def ended(outcome: str, retry_after_ms: float) -> None:
            over[0] = True
            self._cancel(timer)
            self._answered(request, outcome, retry_after_ms)

        def answered(message: http1.Message | None) -> None:
            if over[0]:
                return
            verdict, retry_after_ms = verdict_of(message, name)
            if message is None:
                self._rules.request_lost(name)  # its connection broke: the client can't tell what became of it
            else:
                self._rules.request_answered(self._clock(), name, verdict)
                self.foreign += verdict == "failed" and message.status == 200
            ended(verdict, retry_after_ms)

        def give_up() -> None:
            for connection in held:
                connection.drop()
            if not over[0]:
                self._rules.client_disconnected(self._clock(), name)
                ended("timed out", 0.0)

        timer = self._later(end + SLACK_MS - now, give_up)
        if pool is None:
            asyncio.get_running_loop().call_soon(answered, None)
            return
        left = max(end - now, 1.0)
        wire = call_wire(
            self._plan, request.cls, request.account, name, request.key, left, request.size, request.attempts > 1
        )

        def began(connection: Asking) -> None:
            held[:] = [connection]
            if over[0]:
                connection.drop()

        pool.ask(wire, answered, began)

    def _answered(self, request: Request, outcome: str, retry_after_ms: float) -> None:
        now = self._clock()
        self._record.attempt_ended(now, request, outcome, retry_after_ms)
        progress = self.progress
        progress.served += outcome == "served"
        progress.rejected += outcome == "rejected"
        progress.failed += outcome not in ("served", "rejected")
        wait = None if outcome == "served" else self._clients.retry_delay_ms(request, outcome, retry_after_ms)
        self._open -= 1
        progress.open = self._open
        if wait is not None:
            self._open += 1  # it is still to come

            def again() -> None:
                self._open -= 1
                self._try(request, now + wait)

            self._later(wait, again)
        elif self._ended and not self._open:
            self._quiet.set()

"""Open-loop clients over sockets: requests are sent at their intended times, whatever the results of earlier ones.

Latency counts from the intended time, so a stall of the system, or of this tool, appears in the latencies of all
requests that it delays (no coordinated omission). Runs are bounded in time and in requests; loopback only.
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
from .wire import ClientConnection, Pool

SLACK_MS = 50.0  # added to every time limit on sockets
TIMER_RESOLUTION_MS = 1.0  # of the event loop's timers


@dataclass(slots=True)
class Progress:
    """The counts of a progress line."""

    asked: int = 0
    open: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0


def encode_request(
    plan: Plan, cls: int, account: int | None, name: str, key: str, budget_ms: float, size: float, retry: bool = False
) -> bytes:
    """Encodes a request as clients send it. The size of its work is in the laboratory's header X-Lab-Size."""
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
    if retry:
        headers.append((b"X-Again", b"1"))
    if keyed:
        headers.append((b"Idempotency-Key", (key or name).encode()))
    return http1.write_request(b"POST" if keyed else b"GET", b"/api", headers, b"{}" if keyed else b"")


def outcome_of_response(answer: http1.Message | None, name: str) -> tuple[str, float]:
    """`served`, `rejected` or `failed`, and Retry-After in ms. A 200 with another request's body counts as failed."""
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


class LoadGenerator:
    """Sends the requests of all clients; `run` returns when every attempt has ended."""

    def __init__(
        self,
        plan: Plan,
        clients: Clients,
        record: Record,
        rules: RuleChecker,
        clock: Callable[[], float],
        choose_pool: Callable[[Request], Pool | None],
        id_prefix: str = "c",
    ) -> None:
        """`clock` is in ms since the start of the run; `choose_pool` gives the pool to the sidecar of an attempt."""
        self._plan, self._clients, self._record, self._rules = plan, clients, record, rules
        self._clock, self._choose_pool, self._id_prefix = clock, choose_pool, id_prefix
        self._open_attempts = 0
        self._count = 0
        self._all_ended = asyncio.Event()
        self._arrivals_ended = False
        self._timers: set[asyncio.TimerHandle] = set()
        self.progress = Progress()
        self.lateness_us: list[int] = []
        self.foreign_responses = 0  # responses with status 200 and another request's body

    async def run(self, until_ms: float) -> None:
        """Sends all requests created before `until_ms` and waits for their ends."""
        request = self._clients.next(0.0)
        while request is not None and request.created_at_ms < until_ms:
            wait = request.created_at_ms - self._clock()
            if wait > TIMER_RESOLUTION_MS:
                await asyncio.sleep((wait - TIMER_RESOLUTION_MS / 2) / 1000.0)
            now = self._clock()
            while (
                request is not None
                and request.created_at_ms <= now + TIMER_RESOLUTION_MS
                and request.created_at_ms < until_ms
            ):
                self.send(request)
                request = self._clients.next(request.created_at_ms)
            await asyncio.sleep(0)
        self._arrivals_ended = True
        if self._open_attempts:
            await self._all_ended.wait()

    def send(self, request: Request) -> None:
        """Sends a new request: of the plan's clients or, while `run` goes on, of a caller."""
        self._record.request_created(request)
        self.progress.asked += 1
        self._start_attempt(request, request.created_at_ms)

    def stop(self) -> None:
        """Cancels all timers and lets `run` return."""
        for timer in list(self._timers):
            timer.cancel()
        self._all_ended.set()

    def _schedule(self, wait_ms: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        def fire() -> None:
            self._timers.discard(timer)
            callback()

        timer = asyncio.get_running_loop().call_later(max(wait_ms, 0.0) / 1000.0, fire)
        self._timers.add(timer)
        return timer

    def _cancel(self, timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        self._timers.discard(timer)

    def _start_attempt(self, request: Request, intended_ms: float) -> None:
        now = self._clock()
        lateness_ms = max(now - intended_ms, 0.0)
        self.lateness_us.append(int(lateness_ms * 1000.0))
        request.attempts += 1
        self._open_attempts += 1
        self.progress.open = self._open_attempts
        self._record.attempt_started(intended_ms, request)
        self._count += 1
        name = f"{self._id_prefix}{self._count}"
        pool = self._choose_pool(request)
        spec = self._plan.classes[request.cls]
        deadline_at_ms = intended_ms + request.budget_ms
        self._rules.request_accepted(now, name, spec.effect, spec.scope, spec.window_ms, deadline_at_ms)
        connections: list[ClientConnection] = []
        is_finished = [False]

        def finish(outcome: str, retry_after_ms: float) -> None:
            is_finished[0] = True
            self._cancel(timer)
            self._on_attempt_ended(request, outcome, retry_after_ms)

        def on_response(message: http1.Message | None) -> None:
            if is_finished[0]:
                return
            verdict, retry_after_ms = outcome_of_response(message, name)
            if message is None:
                self._rules.request_lost(name)  # its connection broke: the client does not know its outcome
            else:
                self._rules.request_answered(self._clock(), name, verdict)
                self.foreign_responses += verdict == "failed" and message.status == 200
            finish(verdict, retry_after_ms)

        def give_up() -> None:
            for connection in connections:
                connection.abandon()
            if not is_finished[0]:
                self._rules.client_disconnected(self._clock(), name)
                finish("timed out", 0.0)

        timer = self._schedule(deadline_at_ms + SLACK_MS - now, give_up)
        if pool is None:
            asyncio.get_running_loop().call_soon(on_response, None)
            return
        remaining_ms = max(deadline_at_ms - now, 1.0)
        wire = encode_request(
            self._plan,
            request.cls,
            request.account,
            name,
            request.key,
            remaining_ms,
            request.size,
            request.attempts > 1,
        )

        def on_sent(connection: ClientConnection) -> None:
            connections[:] = [connection]
            if is_finished[0]:
                connection.abandon()

        pool.send(wire, on_response, on_sent)

    def _on_attempt_ended(self, request: Request, outcome: str, retry_after_ms: float) -> None:
        now = self._clock()
        self._record.attempt_ended(now, request, outcome, retry_after_ms)
        progress = self.progress
        progress.served += outcome == "served"
        progress.rejected += outcome == "rejected"
        progress.failed += outcome not in ("served", "rejected")
        wait = None if outcome == "served" else self._clients.retry_delay_ms(request, outcome, retry_after_ms)
        self._open_attempts -= 1
        progress.open = self._open_attempts
        if wait is not None:
            self._open_attempts += 1  # the retry, which starts later

            def retry() -> None:
                self._open_attempts -= 1
                self._start_attempt(request, now + wait)

            self._schedule(wait, retry)
        elif self._arrivals_ended and not self._open_attempts:
            self._all_ended.set()

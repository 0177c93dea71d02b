"""The model's providers behind listeners: one per provider and sidecar, so the host knows which sidecar sent a request.

A request that arrives waits for the delay of the model's network, is offered to the model's provider, and is answered
when the model has finished its job. The loopback interface cannot drop packets without privileges, so a silent machine
accepts connections and never answers, where a real one would not even accept.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...net import http1
from ..model.fleet import Fleet, Site
from ..model.jobs import Effect, Job, JobEnd, JobFinished, LowerTierRequest
from ..model.provider import Provider
from ..model.rules import RuleChecker
from ..record import Record
from .wire import ServerConnection, listener

Key = tuple[int, int]  # of a sidecar: the tier that it sends to, and its index
MIN_DELAY_MS = 0.4  # a shorter delay is skipped, since the timer of the event loop would take longer
CORRUPT_RESPONSE = b"HTTP/1.1 2OO 0K\r\nContent-Length: -1\r\n\r\n\x00\xffnoise"


class LowerTierCaller(Protocol):
    """Sends a job's request to the tier below and calls `resume` at its end; returns a function that cancels it."""

    def __call__(self, site: Site, process: Provider, job: Job) -> Callable[[], None]: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that has arrived at a provider."""

    connection: ServerConnection
    site_listener: SiteListener
    process: Provider
    request_id: str
    check_index: int
    job_id: int = 0
    lost_in_network: bool = False


class SiteListener:
    """The listener of one site for one sidecar."""

    def __init__(self, host: ProviderHost, site: Site, key: Key, zone: int) -> None:
        self.host, self.site, self.key, self.zone = host, site, key, zone
        self.port = 0
        self._server: asyncio.Server | None = None
        self.connections: dict[ServerConnection, Provider] = {}
        self.attempts: dict[ServerConnection, Attempt] = {}

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listens on the earlier port, or on another one if that is taken now."""
        try:
            sock = listener(self.port)
        except OSError:
            sock = listener()
        self.port = sock.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._request, self._on_closed, self._on_connected), sock=sock
        )

    def close(self) -> None:
        """Resets all connections and refuses new ones, as after the end of the process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.end(hard=True)

    def _on_connected(self, connection: ServerConnection) -> bool:
        process = self.site.process
        if process is None or not process.connect(self.host.clock()):
            return False
        self.connections[connection] = process
        self.host.schedule_run(self.site)
        return True

    def _on_closed(self, connection: ServerConnection) -> None:
        process = self.connections.pop(connection, None)
        if process is not None and not process.stopped:
            process.disconnect(self.host.clock())
        attempt = self.attempts.pop(connection, None)
        if attempt is not None:
            self.host.on_abandoned(attempt)

    def _request(self, connection: ServerConnection, message: http1.Message) -> None:
        self.host.request(self, connection, message)


class ProviderHost:
    """All listeners of all providers, and the timers that run the model's processes."""

    def __init__(
        self,
        fleet: Fleet,
        rules: RuleChecker,
        record: Record,
        clock: Callable[[], float],
        send_lower_request: LowerTierCaller,
    ) -> None:
        self.fleet, self.rules, self.record, self.clock, self._send_lower_request = (
            fleet,
            rules,
            record,
            clock,
            send_lower_request,
        )
        self.site_listeners: dict[tuple[Key, int], SiteListener] = {}  # by sidecar and index of the machine
        self._attempts: dict[int, Attempt] = {}
        self._lower_requests: dict[int, Callable[[], None]] = {}
        self._timers: dict[Site, tuple[float, asyncio.TimerHandle]] = {}
        self._classes = {spec.name: number for number, spec in enumerate(fleet.plan.classes)}
        self._count = 0
        self.on_crash: Callable[[Site], None] = lambda site: None
        self.unknown_requests = 0  # requests that no client of the laboratory sends in this form

    async def site_listener(self, key: Key, site: Site, zone: int) -> SiteListener:
        site_listener = self.site_listeners.get((key, site.machine.index))
        if site_listener is None:
            site_listener = self.site_listeners[key, site.machine.index] = SiteListener(self, site, key, zone)
            await site_listener.open()
        return site_listener

    def listeners_of(self, site: Site) -> list[SiteListener]:
        return [site_listener for site_listener in self.site_listeners.values() if site_listener.site is site]

    # A request

    def request(self, site_listener: SiteListener, connection: ServerConnection, message: http1.Message) -> None:
        now, site = self.clock(), site_listener.site
        process = site_listener.connections.get(connection)
        if process is None:
            connection.end(hard=True)
            return
        if message.target in (b"/alive", b"/metrics/load"):
            is_running = process.probe(now)
            connection.answer(http1.write_response(200 if is_running else 503, [], b""))
            self.schedule_run(site)
            return
        fields = message.fields
        request_id = fields.get(b"x-call-id", b"").decode("latin-1")
        cls = self._classes.get(fields.get(b"x-call-class", b"").decode("latin-1"))
        if not request_id or cls is None:
            self.unknown_requests += 1
            connection.answer(http1.write_response(400 if request_id else 404, [], b""))
            return
        check_index = self.rules.attempt_sent(
            now, request_id, site_listener.key, site.name, self.fleet.group_of(site.machine)
        )
        self.record.attempt_sent(now, site.machine.tier, check_index, site_listener.zone != site.machine.zone)
        attempt = site_listener.attempts[connection] = Attempt(
            connection, site_listener, process, request_id, check_index
        )
        if not self._is_reachable(site_listener):
            attempt.lost_in_network = True
            return
        try:
            size, remaining_ms = (
                float(fields.get(b"x-lab-size", b"1")),
                float(fields.get(b"x-budget", b"1e9u")[:-1]) / 1000.0,
            )
        except ValueError:
            size, remaining_ms = 1.0, 1e6
        key = fields.get(b"idempotency-key", b"").decode("latin-1")
        self._count += 1
        job = self.fleet.job(site.machine.tier, self._count, cls, size, key, now + remaining_ms)
        delay = self.fleet.network.delay_ms(site_listener.zone, site.machine.zone)
        if connection.count == 1:  # the round trips of the handshake of a new connection
            delay *= 1 + 2 * self.fleet.plan.tiers[site.machine.tier].handshake_rtts
        self._call_after(delay, self._arrive, attempt, job)

    def _is_reachable(self, site_listener: SiteListener) -> bool:
        return not site_listener.site.silent and self.fleet.network.is_reachable(
            site_listener.zone, site_listener.site.machine.zone
        )

    def _call_after(self, delay_ms: float, callback: Callable[..., None], *arguments: object) -> None:
        if delay_ms < MIN_DELAY_MS:
            callback(*arguments)
        else:
            asyncio.get_running_loop().call_later(delay_ms / 1000.0, callback, *arguments)

    def _arrive(self, attempt: Attempt, job: Job) -> None:
        site_listener, process = attempt.site_listener, attempt.process
        if attempt.connection not in site_listener.attempts or process.stopped:
            return
        accepted = process.offer(self.clock(), job)
        if process.crashed:
            self.on_crash(site_listener.site)
        elif accepted:
            attempt.job_id = job.job_id
            self._attempts[job.job_id] = attempt
            self.schedule_run(site_listener.site)
        else:
            self._send_response(attempt, "refused")

    def on_abandoned(self, attempt: Attempt) -> None:
        """The connection ended before a response was written: the sidecar closed it, or this process ended."""
        self.rules.attempt_ended(self.clock(), attempt.request_id, attempt.check_index, "connection ended", True)
        if attempt.job_id and self._attempts.pop(attempt.job_id, None) is not None and not attempt.process.stopped:
            delay = self.fleet.network.delay_ms(attempt.site_listener.zone, attempt.site_listener.site.machine.zone)
            self._call_after(delay, self._cancel_job, attempt)

    def _cancel_job(self, attempt: Attempt) -> None:
        process = attempt.process
        if process.stopped:
            return
        self._apply_effects(attempt.site_listener.site, process, process.cancel(self.clock(), attempt.job_id))
        if not process.has_job(attempt.job_id):
            self._cancel_lower_request(attempt.job_id)
        self.schedule_run(attempt.site_listener.site)

    def _cancel_lower_request(self, job_id: int) -> None:
        cancel = self._lower_requests.pop(job_id, None)
        if cancel is not None:
            cancel()

    def _send_response(self, attempt: Attempt, result: str) -> None:
        """Sends the response for the result `served`, `error` or `refused` after the network delay."""
        site_listener = attempt.site_listener
        if not self._is_reachable(site_listener):
            attempt.lost_in_network = True
            return
        util = attempt.process.report(self.clock())
        report = b"TEXT util=%.4f, qps=%.2f, latency_ms=%.2f" % util
        headers = [(b"X-Load-Report", report)] if attempt.process.spec.reports else []
        if result == "served":
            wire = http1.write_response(
                200, headers, attempt.request_id.encode() + b" " + attempt.process.name.encode()
            )
        elif result == "error":
            wire = http1.write_response(500, headers, b"")
        else:
            wire = http1.write_response(503, [*headers, (b"X-Rejected", b"1")], b"")
        if result != "refused" and self.fleet.corrupts_response(site_listener.site):
            wire = CORRUPT_RESPONSE
        delay = self.fleet.network.delay_ms(site_listener.zone, site_listener.site.machine.zone)
        self._call_after(delay, self._write, attempt, wire, result != "refused")

    def _write(self, attempt: Attempt, wire: bytes, ran: bool) -> None:
        site_listener = attempt.site_listener
        if site_listener.attempts.pop(attempt.connection, None) is None:
            return
        now = self.clock()
        self.rules.attempt_ended(now, attempt.request_id, attempt.check_index, "answered", ran)
        attempt.connection.answer(wire)

    # The processes

    def schedule_run(self, site: Site) -> None:
        process = site.process
        next_event_ms = process.next_event_ms() if process is not None else float("inf")
        scheduled = self._timers.get(site)
        if scheduled is not None:
            if scheduled[0] <= next_event_ms:
                return
            scheduled[1].cancel()
            del self._timers[site]
        if next_event_ms != float("inf"):
            wait = max(next_event_ms - self.clock(), 0.0) / 1000.0
            self._timers[site] = (next_event_ms, asyncio.get_running_loop().call_later(wait, self._run, site))

    def _run(self, site: Site) -> None:
        self._timers.pop(site, None)
        process = site.process
        if process is not None and not process.stopped:
            now = self.clock()
            if process.next_event_ms() <= now:
                self._apply_effects(site, process, process.run(now))
            self.schedule_run(site)

    def _apply_effects(self, site: Site, process: Provider, effects: list[Effect]) -> None:
        for effect in effects:
            job = effect.job
            if isinstance(effect, JobFinished):
                attempt = self._attempts.pop(job.job_id, None)
                if attempt is not None:
                    attempt.job_id = 0
                    result = {JobEnd.SERVED: "served", JobEnd.ERROR: "error", JobEnd.EXPIRED: "refused"}[effect.end]
                    self._send_response(attempt, result)
            elif isinstance(effect, LowerTierRequest):
                self._lower_requests[job.job_id] = self._send_lower_request(site, process, job)

    def resume(self, site: Site, process: Provider, job_id: int, served: bool) -> None:
        """The lower-tier request of a job has ended."""
        self._lower_requests.pop(job_id, None)
        if not process.stopped:
            self._apply_effects(site, process, process.resume(self.clock(), job_id, served))
            self.schedule_run(site)

    def stopped(self, site: Site, job_ids: tuple[int, ...]) -> None:
        """The process has stopped: its jobs are lost."""
        for job_id in job_ids:
            self._attempts.pop(job_id, None)
            self._cancel_lower_request(job_id)
        for site_listener in self.listeners_of(site):
            site_listener.close()

    def reset_silent_connections(self, site: Site) -> None:
        """Resets the connections that stayed open while the machine was silent; called when it is reachable again."""
        for site_listener in self.listeners_of(site):
            for attempt in list(site_listener.attempts.values()):
                if attempt.lost_in_network:
                    attempt.connection.end(hard=True)

    def close(self) -> None:
        for _, timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for site_listener in self.site_listeners.values():
            site_listener.close()

"""The model's providers behind listeners: one listener for each sidecar that may call, so that it is known who calls.

A request that has arrived waits for the model's network, is offered to the model's provider, and is answered when the
model says that it is done. What the kernel's loopback can't do without privileges is done as near as it allows: a
silent machine accepts connections and says nothing, where a real one would not even accept.
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
from .wire import Served, listener

Key = tuple[int, int]  # of a sidecar: the tier that it sends to, and its number
NEAR_MS = 0.4  # a delay under this is not waited for: the loop's own timer would take longer
SPOILT = b"HTTP/1.1 2OO 0K\r\nContent-Length: -1\r\n\r\n\x00\xffnoise"


class CallsBelow(Protocol):
    """Makes a provider's call of the tier below and tells `resume` of its end; gives how to give it up."""

    def __call__(self, site: Site, process: Provider, job: Job) -> Callable[[], None]: ...


@dataclass(slots=True, eq=False)
class Attempt:
    connection: Served
    door: Door
    process: Provider
    call: str
    order: int
    job_id: int = 0
    hushed: bool = False


class Door:
    """One site's listener for one sidecar."""

    def __init__(self, host: ProviderHost, site: Site, key: Key, zone: int) -> None:
        self.host, self.site, self.key, self.zone = host, site, key, zone
        self.port = 0
        self._server: asyncio.Server | None = None
        self.connections: dict[Served, Provider] = {}
        self.attempts: dict[Served, Attempt] = {}

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """At the port it had, or, if somebody has that now, at another."""
        try:
            sock = listener(self.port)
        except OSError:
            sock = listener()
        self.port = sock.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Served(self._request, self._gone, self._met), sock=sock
        )

    def shut(self) -> None:
        """The process is gone: its connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.end(hard=True)

    def _met(self, connection: Served) -> bool:
        process = self.site.process
        if process is None or not process.connect(self.host.clock()):
            return False
        self.connections[connection] = process
        self.host.wake(self.site)
        return True

    def _gone(self, connection: Served) -> None:
        process = self.connections.pop(connection, None)
        if process is not None and not process.stopped:
            process.disconnect(self.host.clock())
        attempt = self.attempts.pop(connection, None)
        if attempt is not None:
            self.host.abandoned(attempt)

    def _request(self, connection: Served, message: http1.Message) -> None:
        self.host.request(self, connection, message)


class ProviderHost:
    def __init__(
        self, fleet: Fleet, rules: RuleChecker, record: Record, clock: Callable[[], float], below: CallsBelow
    ) -> None:
        self.fleet, self.rules, self.record, self.clock, self._below = fleet, rules, record, clock, below
        self.doors: dict[tuple[Key, int], Door] = {}  # by sidecar and number of the site
        self._attempts: dict[int, Attempt] = {}
        self._lower: dict[int, Callable[[], None]] = {}
        self._timers: dict[Site, tuple[float, asyncio.TimerHandle]] = {}
        self._classes = {spec.name: number for number, spec in enumerate(fleet.plan.classes)}
        self._count = 0
        self.fell: Callable[[Site], None] = lambda site: None
        self.unknown = 0  # requests that no client of ours sent in this form

    async def door(self, key: Key, site: Site, zone: int) -> Door:
        door = self.doors.get((key, site.machine.index))
        if door is None:
            door = self.doors[key, site.machine.index] = Door(self, site, key, zone)
            await door.open()
        return door

    def of_site(self, site: Site) -> list[Door]:
        return [door for door in self.doors.values() if door.site is site]

    # A request

    def request(self, door: Door, connection: Served, message: http1.Message) -> None:
        now, site = self.clock(), door.site
        process = door.connections.get(connection)
        if process is None:
            connection.end(hard=True)
            return
        if message.target in (b"/alive", b"/metrics/load"):
            there = process.probe(now)
            connection.answer(http1.write_response(200 if there else 503, [], b""))
            self.wake(site)
            return
        fields = message.fields
        call = fields.get(b"x-call-id", b"").decode("latin-1")
        cls = self._classes.get(fields.get(b"x-call-class", b"").decode("latin-1"))
        if not call or cls is None:
            self.unknown += 1
            connection.answer(http1.write_response(400 if call else 404, [], b""))
            return
        order = self.rules.attempt_sent(now, call, door.key, site.name, self.fleet.group_of(site.machine))
        self.record.attempt_sent(now, site.machine.tier, order, door.zone != site.machine.zone)
        attempt = door.attempts[connection] = Attempt(connection, door, process, call, order)
        if not self._reaches(door):
            attempt.hushed = True
            return
        try:
            size, left = float(fields.get(b"x-lab-size", b"1")), float(fields.get(b"x-budget", b"1e9u")[:-1]) / 1000.0
        except ValueError:
            size, left = 1.0, 1e6
        key = fields.get(b"idempotency-key", b"").decode("latin-1")
        self._count += 1
        job = self.fleet.job(site.machine.tier, self._count, cls, size, key, now + left)
        delay = self.fleet.network.delay_ms(door.zone, site.machine.zone)
        if connection.count == 1:  # what the handshake of a new connection takes
            delay *= 1 + 2 * self.fleet.plan.tiers[site.machine.tier].handshake_rtts
        self._after(delay, self._arrive, attempt, job)

    def _reaches(self, door: Door) -> bool:
        return not door.site.silent and self.fleet.network.is_reachable(door.zone, door.site.machine.zone)

    def _after(self, delay_ms: float, do: Callable[..., None], *about: object) -> None:
        if delay_ms < NEAR_MS:
            do(*about)
        else:
            asyncio.get_running_loop().call_later(delay_ms / 1000.0, do, *about)

    def _arrive(self, attempt: Attempt, job: Job) -> None:
        door, process = attempt.door, attempt.process
        if attempt.connection not in door.attempts or process.stopped:
            return
        taken = process.offer(self.clock(), job)
        if process.crashed:
            self.fell(door.site)
        elif taken:
            attempt.job_id = job.job_id
            self._attempts[job.job_id] = attempt
            self.wake(door.site)
        else:
            self._answer(attempt, "refused")

    def abandoned(self, attempt: Attempt) -> None:
        """Its connection ended before an answer was written: the sidecar's wish, or this process's end."""
        self.rules.attempt_ended(self.clock(), attempt.call, attempt.order, "connection ended", True)
        if attempt.job_id and self._attempts.pop(attempt.job_id, None) is not None and not attempt.process.stopped:
            delay = self.fleet.network.delay_ms(attempt.door.zone, attempt.door.site.machine.zone)
            self._after(delay, self._drop, attempt)

    def _drop(self, attempt: Attempt) -> None:
        process = attempt.process
        if process.stopped:
            return
        self._effects(attempt.door.site, process, process.cancel(self.clock(), attempt.job_id))
        if not process.has_job(attempt.job_id):
            self._leave_below(attempt.job_id)
        self.wake(attempt.door.site)

    def _leave_below(self, job_id: int) -> None:
        leave = self._lower.pop(job_id, None)
        if leave is not None:
            leave()

    def _answer(self, attempt: Attempt, how: str) -> None:
        """On its way: `served`, `error`, `refused`."""
        door = attempt.door
        if not self._reaches(door):
            attempt.hushed = True
            return
        util = attempt.process.report(self.clock())
        report = b"TEXT util=%.4f, qps=%.2f, latency_ms=%.2f" % util
        headers = [(b"X-Load-Report", report)] if attempt.process.spec.reports else []
        if how == "served":
            wire = http1.write_response(200, headers, attempt.call.encode() + b" " + attempt.process.name.encode())
        elif how == "error":
            wire = http1.write_response(500, headers, b"")
        else:
            wire = http1.write_response(503, [*headers, (b"X-Rejected", b"1")], b"")
        if how != "refused" and self.fleet.corrupts_response(door.site):
            wire = SPOILT
        delay = self.fleet.network.delay_ms(door.zone, door.site.machine.zone)
        self._after(delay, self._write, attempt, wire, how != "refused")

    def _write(self, attempt: Attempt, wire: bytes, ran: bool) -> None:
        door = attempt.door
        if door.attempts.pop(attempt.connection, None) is None:
            return
        now = self.clock()
        self.rules.attempt_ended(now, attempt.call, attempt.order, "answered", ran)
        attempt.connection.answer(wire)

    # The processes

    def wake(self, site: Site) -> None:
        process = site.process
        next_event_ms = process.next_event_ms() if process is not None else float("inf")
        held = self._timers.get(site)
        if held is not None:
            if held[0] <= next_event_ms:
                return
            held[1].cancel()
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
                self._effects(site, process, process.run(now))
            self.wake(site)

    def _effects(self, site: Site, process: Provider, effects: list[Effect]) -> None:
        for effect in effects:
            job = effect.job
            if isinstance(effect, JobFinished):
                attempt = self._attempts.pop(job.job_id, None)
                if attempt is not None:
                    attempt.job_id = 0
                    how = {JobEnd.SERVED: "served", JobEnd.ERROR: "error", JobEnd.EXPIRED: "refused"}[effect.end]
                    self._answer(attempt, how)
            elif isinstance(effect, LowerTierRequest):
                self._lower[job.job_id] = self._below(site, process, job)

    def resume(self, site: Site, process: Provider, job_id: int, served: bool) -> None:
        """A call of the tier below has ended."""
        self._lower.pop(job_id, None)
        if not process.stopped:
            self._effects(site, process, process.resume(self.clock(), job_id, served))
            self.wake(site)

    def stopped(self, site: Site, job_ids: tuple[int, ...]) -> None:
        """Its process is gone, with what it held."""
        for job_id in job_ids:
            self._attempts.pop(job_id, None)
            self._leave_below(job_id)
        for door in self.of_site(site):
            door.shut()

    def back(self, site: Site) -> None:
        """A silent machine is there again: connections that stood open through the silence are reset."""
        for door in self.of_site(site):
            for attempt in list(door.attempts.values()):
                if attempt.hushed:
                    attempt.connection.end(hard=True)

    def close(self) -> None:
        for _, timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for door in self.doors.values():
            door.shut()

"""Keeps the process within its share of the sidecar's limits on memory and descriptors, and divides that share."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil
from typing import TYPE_CHECKING

from tornado.ioloop import PeriodicCallback

from . import logs
from .net import memory_limits
from .net.discovery.json_stream import MAX_DOCUMENT_BYTES
from .net.process_memory import resident_bytes
from .net.process_shares import STANDBY_DESCRIPTORS, Record
from .process_start import ProcessStart, status_bytes

if TYPE_CHECKING:
    from .wiring import Components

log = logs.get(__name__)

MB = 1e6  # bytes
UPDATE_INTERVAL_MS = 50.0
ACTIVE_FRACTION = 3 / 4  # of clients' descriptors; the others are for those that read why they are refused
STREAM_FRACTION = 3 / 4  # of the clients, that may receive long responses at once
HEDGED_FRACTION = 1 / 4  # more connections to endpoints than clients: hedged attempts, and idle ones
ENDING_DESCRIPTORS = 16  # that a process which serves no new clients may open
START_DESCRIPTOR_FRACTION = 1 / 4  # of the limit, for a process that starts


def fitting_share(room: float, wanted: float, serving: float, least: float) -> float:
    """How much this process may hold if all processes leave `room` for it, of which others want `wanted`.

    They get nothing if that leaves less than `serving`: then they wait for its end. `least`: it takes that in any case.
    """
    left = room - wanted
    return max(left if left >= serving else room, least)


def left_over(own: Record, others: Sequence[Record]) -> int:
    """Bytes that are left for one more process: the most that any process says, as that one reckons with it."""
    return max([own.standby_memory, *(other.standby_memory for other in others if other.running)])


def lowered(granted: int, target: int, held: int) -> int:
    """What may be granted to this process from now on, which is to hold `target` and still holds `held`."""
    return target if held <= target else min(granted, held)


class ResourceLimits:
    """Owns this process's record in the file of shares, and tells the components what they may hold."""

    def __init__(self, components: Components, start: ProcessStart) -> None:
        """`start`: what the first step of the process found out."""
        self._components = components
        self._start = start
        self._shares = start.shares
        self._base_bytes = 0  # without clients
        self._base_endpoints = 0
        self._start_bytes = 0  # at most during the start; 0: not measured yet
        self._divided: tuple[float, int, int, int] | None = None  # what was divided last
        self._poll = PeriodicCallback(self.update, UPDATE_INTERVAL_MS)

    def measure_base(self) -> None:
        """Measures what the process takes without clients, and divides the rest of its share between them."""
        self._base_bytes = resident_bytes()
        self._base_endpoints = len(self._components.endpoint_pool)
        self.update()

    def start(self) -> None:
        """To be called when the process has started: others can start from now on, with the same needs."""
        self._start_bytes = max(status_bytes("VmHWM"), resident_bytes())
        self.measure_base()
        self.check()
        self._poll.start()

    def stop(self) -> None:
        """Ends the regular updates. The share remains up to the end of the process."""
        self._poll.stop()

    @property
    def needs(self) -> memory_limits.ProcessNeeds:
        """What the processes of this sidecar need of the limit on memory."""
        limit_bytes = self._components.config.memory_mb * MB
        standby = self._start.standby_bytes, self._start.standby_private_bytes
        return memory_limits.process_needs(limit_bytes, self._base_bytes, *standby)

    def check(self) -> None:
        """Logs what the limit on memory is too small for."""
        config = self._components.config
        needs = self.needs
        if needs.alone > config.memory_mb * MB:
            log.error(
                "limits.memory_mb is too small for the process itself",
                memory_mb=config.memory_mb,
                needed_mb=ceil(needs.alone / MB),
            )
        for text, needed_bytes in needs.beyond(config.memory_mb * MB):
            log.warning(text, memory_mb=config.memory_mb, needed_mb=ceil(needed_bytes / MB))

    def update(self) -> None:
        """Adapts this process's share to what the other processes hold and want, and divides it."""
        if self._shares is None:
            config, processes = self._components.config, self._components.successor.process_count
            self._divide(config.memory_mb * MB / processes, config.sockets // processes)
            return
        locked = self._shares.lock(0.0)
        try:
            self._update_record(self._shares.own, self._shares.others(), locked)
            self._shares.publish()
        except OSError as error:
            log.warning("the file of the processes' shares can't be used", error=str(error))
        finally:
            if locked:
                self._shares.unlock()

    def _foreign_processes(self, others: Sequence[Record]) -> int:
        """How many connected processes have no record: they are of an earlier version and take an even part."""
        known = {other.process_id for other in others}
        return sum(process_id not in known for process_id in self._components.successor.peer_process_ids())

    def _update_record(self, own: Record, others: Sequence[Record], may_raise: bool) -> None:
        """Sets the own record by what the others hold, and divides what this process may hold from now on.

        `may_raise`: the file is locked; without that the process may only give up something.
        """
        components = self._components
        needs = self.needs
        processes = 1 + self._foreign_processes(others)
        own.limit_memory = int(components.config.memory_mb * MB)
        own.limit_descriptors = components.config.sockets
        own.least_memory = int(needs.serving)
        own.least_descriptors = components.descriptors.least
        own.standby_memory = int(needs.reserved)
        room = own.limit_memory / processes - sum(other.memory for other in others) - left_over(own, others)
        wanted = sum(max(other.wanted_memory - other.memory, 0) for other in others)
        memory = int(fitting_share(room, wanted, needs.serving, needs.alone))
        room = own.limit_descriptors // processes - sum(other.descriptors for other in others) - STANDBY_DESCRIPTORS
        wanted = sum(max(other.wanted_descriptors - other.descriptors, 0) for other in others)
        descriptors = int(fitting_share(room, wanted, own.least_descriptors, own.least_descriptors))
        held_memory, held_descriptors = components.memory.estimated_bytes(), components.descriptors.used
        if components.successor.successor_serves:
            may_raise = False
        if not may_raise:
            memory, descriptors = min(memory, own.memory), min(descriptors, own.descriptors)
        self._divide(memory, descriptors)
        if components.successor.successor_serves and components.clients.shutting_down:
            # It accepts nobody, so the rest is given up, but not taken from the clients that it still has.
            memory = min(memory, held_memory + int(own.limit_memory * memory_limits.SERVING_FRACTION))
            descriptors = min(descriptors, held_descriptors + ENDING_DESCRIPTORS)
        own.memory = lowered(own.memory, memory, held_memory)
        own.descriptors = lowered(own.descriptors, descriptors, held_descriptors)
        if self._start_bytes:
            own.start_memory = int(memory_limits.needed_bytes(self._start_bytes) + needs.serving - needs.alone)
            own.start_descriptors = max(int(own.limit_descriptors * START_DESCRIPTOR_FRACTION), own.least_descriptors)

    def _divide(self, memory_bytes: float, descriptors: int) -> None:
        """Divides what this process may hold between its components."""
        components = self._components
        endpoints = len(components.endpoint_pool) - self._base_endpoints
        divided = (memory_bytes, descriptors, endpoints, self._base_bytes)
        if divided == self._divided:
            return
        self._divided = divided
        memory = memory_limits.divide(memory_bytes, self._base_bytes, endpoints)
        components.descriptors.set_limit(descriptors, memory.clients * (1 + HEDGED_FRACTION))
        max_clients = min(memory.clients, int(components.descriptors.clients.limit * ACTIVE_FRACTION))
        components.memory.high_bytes = memory.high_bytes
        components.memory.severe_bytes = memory.severe_bytes
        components.buffers.limit = memory.buffer_bytes
        components.buffers.sockets = memory.sockets
        components.clients.set_max_active(max_clients)
        components.discovery.max_document_bytes = min(memory.document_bytes, MAX_DOCUMENT_BYTES)
        most_streams = min(max_clients, components.descriptors.endpoints.limit) * STREAM_FRACTION
        components.requests.max_streams = max(int(min(most_streams, memory.streams)), 1)
        components.requests.request_ids.limit = memory.request_ids

"""Simulates many members under faults: each node hosts one component that has `handle(now, event)`.

`make_component(name, seed, process_epoch, stored)` returns a node's component at each of its starts; `stored` is a copy
of the content of its disk. The address of a node is `address(name)`; `SendToAddress` and `SendToMember` both reach it.
Equal arguments give an equal history, see `digest()`. What the simulation can and cannot show: docs/fleet/lab.md. Times
are ms of simulated time, except `now` in `handle`, which is the node's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple
from zlib import crc32

from msgspec.msgpack import Encoder

from limenotch.fleet.interfaces import (
    Address,
    Carrier,
    Fenced,
    LogLine,
    MemberChanged,
    Message,
    MessageReceived,
    SendToAddress,
    SendToMember,
    SetTimer,
    ShutdownStarted,
    Started,
    Store,
    TimerFired,
)
from limenotch.lab.fleet.disk import SimulatedDisk
from limenotch.lab.fleet.faults import ClockStep, DiskState, Fault, Heal, NodeAction
from limenotch.lab.fleet.streams import Streams
from limenotch.lab.fleet.weather import NetworkConditions
from limenotch.lab.simulate.kernel import Kernel
from limenotch.store.records import StoredLog

ComponentFactory = Callable[[str, int, int, StoredLog], Any]  # name, seed, process epoch, stored log: a component
PORT = 7000
_MASK = (1 << 64) - 1
MAX_BUFFERED_DATAGRAMS = 256  # that wait in the socket of a paused process; later ones are dropped


def address(name: str) -> Address:
    """Returns the address of a simulated node."""
    return (name, PORT)


class ObservedLine(NamedTuple):
    """A log line of a node, at simulated time."""

    at_ms: float
    node: str
    text: str
    fields: Mapping[str, Any] = {}


class ObservedChange(NamedTuple):
    """A MemberChanged or Fenced action of a hosted component (a hub does not pass these on)."""

    at_ms: float
    node: str
    action: Any


class Traffic:
    """The messages that a node has sent in all its process epochs; the bytes exclude frames and UDP or TCP headers."""

    __slots__ = ("messages", "bytes", "by_type")

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0
        self.by_type: dict[type, list[int]] = {}  # message count, bytes

    @property
    def by_tag(self) -> dict[str, list[int]]:
        """Message count and bytes by message tag (`mb.ping`, ...), which shows the share of each layer."""
        return {str(message_type.__struct_config__.tag): totals for message_type, totals in self.by_type.items()}  # type: ignore[attr-defined]


class SimulatedNode:
    """A node: the process that runs now, if any, with its clocks, its disk and its socket buffer."""

    def __init__(self, name: str, number: int, disk: SimulatedDisk, clock_offset_ms: float, clock_rate: float) -> None:
        self.name = name
        self.number = number
        self.address = address(name)
        self.disk = disk
        self.component: Any = None  # None: no process runs
        self.process_epoch = 0
        self.paused = False
        self.clock_offset_ms = clock_offset_ms
        self.clock_rate = clock_rate
        self.now = 0.0  # its monotonic clock at its latest event
        self.overdue_timers: list[tuple[float, int]] = []  # timers that expired during a pause: time, token
        self.buffered_events: list[Any] = []  # events that arrived during a pause
        self.buffered_datagrams = 0  # datagrams in buffered_events
        self.traffic = Traffic()

    def monotonic_ms(self, at_ms: float) -> float:
        """Returns its monotonic clock at simulated time `at_ms`."""
        return self.clock_offset_ms + at_ms * self.clock_rate


class World:
    """A simulated fleet: nodes, their disks and clocks, and the network between them."""

    def __init__(
        self,
        nodes: Iterable[str],
        make_component: ComponentFactory,
        seed: int = 0,
        *,
        started_later: Iterable[str] = (),
        delay_ms: float = 1.0,
        drift_ppm: float = 200.0,
        fsync_ms: float = 2.0,
        stream_timeout_ms: float = 15_000.0,
        wake_order: str = "timers",
        observer: Callable[[float, str, Any], None] | None = None,
    ) -> None:
        """Starts all `nodes` except `started_later`, at 0 ms, in order. Raises ValueError on invalid arguments.

        Each clock drifts at its own rate, at most `drift_ppm`. A stream that is blocked for `stream_timeout_ms` breaks
        and loses its messages. `wake_order`: a resumed process handles first its overdue `timers` or the messages it
        has `heard`. `observer(at_ms, node, item)` receives every event before, and every action after, its handling.
        """
        if wake_order not in ("timers", "heard"):
            raise ValueError(f"wake_order: {wake_order!r} is neither 'timers' nor 'heard'")
        self.kernel = Kernel()
        self.conditions = NetworkConditions(seed, delay_ms=(delay_ms, delay_ms))
        self.make_component = make_component
        self.seed = seed
        self.observed_lines: list[ObservedLine] = []
        self.observed_changes: list[ObservedChange] = []
        self.counts: dict[str, int] = {}  # dropped messages by reason
        self.observer = observer
        self.nodes: dict[str, SimulatedNode] = {}
        self._wake_order = wake_order
        self._encoder = Encoder()
        self._history = 0
        self._streams = Streams(self.kernel, self.conditions, self._deliver, self._count, stream_timeout_ms)
        self._action_handlers: dict[type, Callable[[SimulatedNode, Any], None]] = {
            SendToAddress: self._send_to_address,
            SendToMember: self._send_to_member,
            SetTimer: self._set_timer,
            LogLine: self._log_line,
            Store: self._store_records,
            MemberChanged: self._observe_change,
            Fenced: self._observe_change,
        }
        initially_stopped = set(started_later)
        for name in nodes:
            if name in self.nodes:
                raise ValueError(f"duplicate node {name!r}")
            random = Random(f"{seed} clock {name}")
            rate = 1 + random.uniform(-drift_ppm, drift_ppm) * 1e-6
            disk = SimulatedDisk(
                self.kernel,
                lambda event, name=name: self.deliver_event(name, event),  # type: ignore[misc]
                fsync_ms,
                f"{seed} disk {name}",
            )
            self.nodes[name] = SimulatedNode(name, len(self.nodes), disk, float(random.randrange(1_000_000)), rate)
            if name in initially_stopped:
                self.conditions.dead.add(name)
            else:
                self.kernel.schedule(0.0, self._start, self.nodes[name])
        if initially_stopped - self.nodes.keys():
            raise ValueError(f"started_later: {sorted(initially_stopped - self.nodes.keys())} are not among the nodes")

    @property
    def now(self) -> float:
        """Simulated time in ms."""
        return self.kernel.now

    def run(self, until_ms: float) -> None:
        """Runs the simulation up to and including `until_ms`."""
        self.kernel.run(until_ms)

    def schedule_fault(self, at_ms: float, fault: Fault) -> None:
        """Schedules a fault; scheduled before the run, it precedes other events of the same instant."""
        self.kernel.schedule(at_ms, self.apply_fault, fault)

    def apply_fault(self, fault: Fault) -> None:
        """Applies a fault now. Raises ValueError on an unknown node. A `ScriptedRequest` is left to the caller."""
        if isinstance(fault, (NodeAction, DiskState, ClockStep)):
            for name in fault.nodes if isinstance(fault, NodeAction) else (fault.node,):
                if name not in self.nodes:
                    raise ValueError(f"fault {str(fault)!r}: unknown node {name!r}")
        self.conditions.apply(fault)
        if isinstance(fault, NodeAction):
            for name in fault.nodes:
                self._apply_node_action(self.nodes[name], fault.action)
        elif isinstance(fault, DiskState):
            self.nodes[fault.node].disk.state = fault
        elif isinstance(fault, Heal):
            self._streams.heal()

    def kill(self, name: str) -> None:
        self.apply_fault(NodeAction("kill", (name,)))

    def start(self, name: str) -> None:
        self.apply_fault(NodeAction("start", (name,)))

    def wipe(self, name: str) -> None:
        self.apply_fault(NodeAction("wipe", (name,)))

    def pause(self, name: str) -> None:
        self.apply_fault(NodeAction("pause", (name,)))

    def wake(self, name: str) -> None:
        self.apply_fault(NodeAction("wake", (name,)))

    def leave(self, name: str) -> None:
        self.apply_fault(NodeAction("leave", (name,)))

    def component(self, name: str) -> Any:
        """Returns the component that runs on the node now; None if no process runs."""
        return self.nodes[name].component

    def alive(self, name: str) -> bool:
        return self.nodes[name].component is not None

    def wall_clock_ms(self, name: str) -> float:
        """Returns the node's wall clock in ms: simulated time at the node's own rate, plus all steps."""
        return self.kernel.now * self.nodes[name].clock_rate + self.conditions.clock_steps_ms.get(name, 0.0)

    def deliver_event(self, name: str, event: Any) -> None:
        """Delivers an event to the node's component: now, after its pause, or never if no process runs."""
        node = self.nodes[name]
        if node.component is None:
            self._count("no process")
        elif node.paused:
            node.buffered_events.append(event)
        else:
            self._handle(node, event)

    def bytes_per_second(self) -> float:
        """Returns the average rate at which a node sends message bytes (see Traffic), over the time run."""
        sent = sum(node.traffic.bytes for node in self.nodes.values())
        return sent / len(self.nodes) / (self.kernel.now / 1000) if self.kernel.now else 0.0

    def digest(self) -> str:
        """Returns a hash of all messages, log lines and drops with their times, and of the final disks."""
        hasher = blake2b(digest_size=16)
        for at, node, text, fields in self.observed_lines:
            hasher.update(repr((at, node, text, sorted(fields.items()))).encode())
        for change in self.observed_changes:
            hasher.update(repr(change).encode())
        hasher.update(repr((self._history, sorted(self.counts.items()), self.kernel.events)).encode())
        for host in self.nodes.values():
            hasher.update(repr((host.name, host.process_epoch, host.traffic.bytes, host.disk.content)).encode())
        return hasher.hexdigest()

    def _apply_node_action(self, node: SimulatedNode, action: str) -> None:
        if action == "start":
            self._start(node)
        elif action == "pause":
            node.paused = node.component is not None
        elif action == "wake":
            self._resume(node)
        elif action in ("kill", "wipe", "leave"):
            if action == "leave" and node.component is not None:
                if node.paused:
                    self._resume(node)
                self._handle(node, ShutdownStarted())
            self._stop(node, action)

    def _start(self, node: SimulatedNode) -> None:
        if node.component is not None:
            raise ValueError(f"start {node.name}: the node is already running")
        node.process_epoch += 1
        node.now = node.monotonic_ms(self.kernel.now)
        seed = crc32(f"{self.seed} {node.name} {node.process_epoch}".encode())
        node.component = self.make_component(node.name, seed, node.process_epoch, node.disk.copy())
        self._handle(node, Started())

    def _stop(self, node: SimulatedNode, action: str) -> None:
        node.disk.crash(keep_content=action != "wipe")
        if node.component is None:
            return
        node.component, node.paused = None, False
        node.overdue_timers, node.buffered_events, node.buffered_datagrams = [], [], 0
        self._streams.end(node.name, in_order=action == "leave")

    def _resume(self, node: SimulatedNode) -> None:
        if not node.paused:
            return
        node.paused = False
        # By deadline; the stable sort preserves the order of timers that have the same deadline.
        timers: list[Any] = [TimerFired(token) for _, token in sorted(node.overdue_timers, key=lambda timer: timer[0])]
        received, node.overdue_timers, node.buffered_events, node.buffered_datagrams = node.buffered_events, [], [], 0
        process_epoch = node.process_epoch
        for event in timers + received if self._wake_order == "timers" else received + timers:
            if node.process_epoch == process_epoch and node.component is not None:
                self._handle(node, event)

    def _handle(self, node: SimulatedNode, event: Any) -> None:
        at = self.kernel.now
        self._history = (self._history * 1_000_003 + int(at * 1000) + node.number) & _MASK
        now = node.clock_offset_ms + at * node.clock_rate
        if now > node.now:
            node.now = now
        if self.observer is not None:
            self.observer(self.kernel.now, node.name, event)
        action_handlers = self._action_handlers
        for action in node.component.handle(node.now, event):
            handler = action_handlers.get(type(action))
            if handler is None:
                raise TypeError(f"{node.name}: unknown action: {action!r}")
            handler(node, action)
            if self.observer is not None:
                self.observer(self.kernel.now, node.name, action)

    def _send_to_address(self, node: SimulatedNode, action: SendToAddress) -> None:
        receiver = self.nodes.get(action.address[0])
        if receiver is None or receiver.address != action.address:
            self._count("no such address")
            return
        self._send_message(node, receiver, action.message, action.carrier)

    def _send_to_member(self, node: SimulatedNode, action: SendToMember) -> None:
        receiver = self.nodes.get(action.member)
        if receiver is None:
            self._count("no such name")
            return
        self._send_message(node, receiver, action.message, action.carrier)

    def _send_message(self, node: SimulatedNode, receiver: SimulatedNode, message: Message, carrier: Carrier) -> None:
        kernel, sender = self.kernel, node.name
        encoded = self._encoder.encode(message)
        size, traffic = len(encoded), node.traffic
        traffic.messages += 1
        traffic.bytes += size
        totals = traffic.by_type.get(type(message))
        if totals is None:
            totals = traffic.by_type[type(message)] = [0, 0]
        totals[0] += 1
        totals[1] += size
        self._history ^= crc32(encoded)
        received = MessageReceived(node.address, sender, message, carrier)
        if carrier is Carrier.STREAM:
            self._streams.send(sender, receiver, received)
            return
        if sender == receiver.name:
            kernel.schedule(kernel.now, self._deliver, receiver, received)
            return
        delays_ms = self.conditions.arrival_delays_ms(kernel.now, sender, receiver.name, carrier)
        if not delays_ms:
            self._count("lost")
        for delay in delays_ms:
            kernel.schedule(kernel.now + delay, self._deliver, receiver, received)

    def _deliver(self, receiver: SimulatedNode, received: MessageReceived) -> None:
        if receiver.component is None:
            self._count("no process")
        elif not receiver.paused:
            self._handle(receiver, received)
        elif received.carrier is Carrier.STREAM:
            receiver.buffered_events.append(received)
        elif receiver.buffered_datagrams < MAX_BUFFERED_DATAGRAMS:
            receiver.buffered_datagrams += 1
            receiver.buffered_events.append(received)
        else:
            self._count("buffer full")

    def _set_timer(self, node: SimulatedNode, timer: SetTimer) -> None:
        self.kernel.schedule(
            (timer.at_ms - node.clock_offset_ms) / node.clock_rate, self._fire, node, node.process_epoch, timer
        )

    def _fire(self, node: SimulatedNode, process_epoch: int, timer: SetTimer) -> None:
        if node.process_epoch != process_epoch or node.component is None:
            return
        if node.paused:
            node.overdue_timers.append((timer.at_ms, timer.token))
            return
        if timer.at_ms > node.now:  # float rounding may put the conversion of simulated time just before it
            node.now = timer.at_ms
        self._handle(node, TimerFired(timer.token))

    def _log_line(self, node: SimulatedNode, line: LogLine) -> None:
        self.observed_lines.append(ObservedLine(self.kernel.now, node.name, line.text, line.fields))

    def _store_records(self, node: SimulatedNode, action: Store) -> None:
        node.disk.store(action.ticket, action.records)

    def _observe_change(self, node: SimulatedNode, action: Any) -> None:
        self.observed_changes.append(ObservedChange(self.kernel.now, node.name, action))

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

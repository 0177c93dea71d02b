"""Many members in simulated time: hosts anything with `handle(now, event)`, one a node, under faults.

`make(name, seed, life, held)` gives a node's part at each of its starts; `held` is what its disk holds, its own copy.
Addresses are `address(name)`; both `SendToAddress` to one and `SendToMember` to a name arrive. Same arguments, same
history: `digest()`. What this shows and what it can't: docs/fleet/lab.md. Times are the world's ms, but for `now` in
`handle`.
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
from limenotch.lab.fleet.faults import Clock, Disk, Doing, Fault, Heal
from limenotch.lab.fleet.streams import Streams
from limenotch.lab.fleet.weather import Weather
from limenotch.lab.simulate.kernel import Kernel
from limenotch.store.records import StoredLog

Make = Callable[[str, int, int, StoredLog], Any]  # name, seed, life, held: a part
PORT = 7000
_MASK = (1 << 64) - 1
MOST_BUFFERED = 256  # datagrams that wait in a paused process's socket; later ones are dropped


def address(name: str) -> Address:
    return (name, PORT)


class Seen(NamedTuple):
    """A note of a node, at the world's time."""

    at_ms: float
    node: str
    text: str
    fields: Mapping[str, Any] = {}


class Changed(NamedTuple):
    """A MemberChanged or Fenced that a hosted part gave out (a hub keeps them inside)."""

    at_ms: float
    node: str
    what: Any


class Traffic:
    """What one node has sent, all its lives together; bytes are of messages alone, without frame, UDP or TCP."""

    __slots__ = ("messages", "bytes", "by_type")

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0
        self.by_type: dict[type, list[int]] = {}  # how many, bytes

    @property
    def by_tag(self) -> dict[str, list[int]]:
        """How many and bytes, by the messages' tags: `mb.ping`, ... so that layers can be told apart."""
        return {str(kind.__struct_config__.tag): both for kind, both in self.by_type.items()}  # type: ignore[attr-defined]


class Node:
    """One name: the process that runs under it now, if one does, its clocks, its disk, its socket's buffer."""

    def __init__(self, name: str, number: int, disk: SimulatedDisk, ahead: float, rate: float) -> None:
        self.name = name
        self.number = number
        self.address = address(name)
        self.disk = disk
        self.part: Any = None  # None: no process
        self.process_epoch = 0
        self.paused = False
        self.ahead = ahead
        self.rate = rate
        self.now = 0.0  # of its monotonic clock, when last told anything
        self.late: list[tuple[float, int]] = []  # timers that passed while it was paused: when, token
        self.buffer: list[Any] = []  # events that came while it was paused
        self.buffered = 0  # datagrams of them
        self.traffic = Traffic()

    def clock(self, at: float) -> float:
        """Its monotonic clock at the world's `at`."""
        return self.ahead + at * self.rate


class World:
    def __init__(
        self,
        nodes: Iterable[str],
        make: Make,
        seed: int = 0,
        *,
        later: Iterable[str] = (),
        delay_ms: float = 1.0,
        drift_ppm: float = 200.0,
        fsync_ms: float = 2.0,
        patience_ms: float = 15_000.0,
        wake: str = "timers",
        watch: Callable[[float, str, Any], None] | None = None,
    ) -> None:
        """Starts all `nodes` but those of `later`, at 0 ms, in order.

        Each clock gains or loses up to `drift_ppm` of its own. A stream that is silent for `patience_ms` is given up
        with all in it. `wake`: what a woken process handles first, its `timers` or what it has `heard` meanwhile.
        `watch(at_ms, node, what)` is told every event before and every action after it is handled: for checkers.
        """
        if wake not in ("timers", "heard"):
            raise ValueError(f"wake: {wake!r} is neither 'timers' nor 'heard'")
        self.kernel = Kernel()
        self.weather = Weather(seed, delay=(delay_ms, delay_ms))
        self.make = make
        self.seed = seed
        self.seen: list[Seen] = []
        self.changes: list[Changed] = []
        self.counts: dict[str, int] = {}  # of what was dropped, by why
        self.watch = watch
        self.nodes: dict[str, Node] = {}
        self._wake_first = wake
        self._encoder = Encoder()
        self._history = 0
        self._streams = Streams(self.kernel, self.weather, self._arrive, self._count, patience_ms)
        self._acts: dict[type, Callable[[Node, Any], None]] = {
            SendToAddress: self._send,
            SendToMember: self._tell,
            SetTimer: self._set,
            LogLine: self._note,
            Store: self._store,
            MemberChanged: self._changed,
            Fenced: self._changed,
        }
        absent = set(later)
        for name in nodes:
            if name in self.nodes:
                raise ValueError(f"node {name!r} twice")
            random = Random(f"{seed} clock {name}")
            rate = 1 + random.uniform(-drift_ppm, drift_ppm) * 1e-6
            disk = SimulatedDisk(
                self.kernel,
                lambda event, name=name: self.poke(name, event),  # type: ignore[misc]
                fsync_ms,
                f"{seed} disk {name}",
            )
            self.nodes[name] = Node(name, len(self.nodes), disk, float(random.randrange(1_000_000)), rate)
            if name in absent:
                self.weather.dead.add(name)
            else:
                self.kernel.schedule(0.0, self._start, self.nodes[name])
        if absent - self.nodes.keys():
            raise ValueError(f"later: {sorted(absent - self.nodes.keys())} are none of the nodes")

    @property
    def now(self) -> float:
        return self.kernel.now

    def run(self, until: float) -> None:
        """All that happens up to `until` ms, that instant included."""
        self.kernel.run(until)

    def at(self, time: float, fault: Fault) -> None:
        """The fault happens at that time, before what else that instant holds if asked for before the run."""
        self.kernel.schedule(time, self.fault, fault)

    def fault(self, fault: Fault) -> None:
        """It happens now. ValueError on a node that there is not; `Ask` is the caller's and does nothing here."""
        if isinstance(fault, (Doing, Disk, Clock)):
            for name in fault.nodes if isinstance(fault, Doing) else (fault.node,):
                if name not in self.nodes:
                    raise ValueError(f"fault {str(fault)!r}: no node {name!r}")
        self.weather.apply(fault)
        if isinstance(fault, Doing):
            for name in fault.nodes:
                self._do(self.nodes[name], fault.what)
        elif isinstance(fault, Disk):
            self.nodes[fault.node].disk.state = fault
        elif isinstance(fault, Heal):
            self._streams.heal()

    def kill(self, name: str) -> None:
        self.fault(Doing("kill", (name,)))

    def start(self, name: str) -> None:
        self.fault(Doing("start", (name,)))

    def wipe(self, name: str) -> None:
        self.fault(Doing("wipe", (name,)))

    def pause(self, name: str) -> None:
        self.fault(Doing("pause", (name,)))

    def wake(self, name: str) -> None:
        self.fault(Doing("wake", (name,)))

    def leave(self, name: str) -> None:
        self.fault(Doing("leave", (name,)))

    def part(self, name: str) -> Any:
        """The part that runs there now; None if no process does."""
        return self.nodes[name].part

    def alive(self, name: str) -> bool:
        return self.nodes[name].part is not None

    def wall(self, name: str) -> float:
        """ms its wall clock shows: the world's, run at its own rate, plus all steps."""
        return self.kernel.now * self.nodes[name].rate + self.weather.clocks.get(name, 0.0)

    def poke(self, name: str, event: Any) -> None:
        """Hands an event to the part there: at once, at its wake if it is paused, never if no process runs."""
        node = self.nodes[name]
        if node.part is None:
            self._count("no process")
        elif node.paused:
            node.buffer.append(event)
        else:
            self._handle(node, event)

    def bytes_per_second(self) -> float:
        """Of each node, on average, over the time run; messages alone (see Traffic)."""
        sent = sum(node.traffic.bytes for node in self.nodes.values())
        return sent / len(self.nodes) / (self.kernel.now / 1000) if self.kernel.now else 0.0

    def digest(self) -> str:
        """Of all that was said, noted and dropped, and when."""
        whole = blake2b(digest_size=16)
        for at, node, text, fields in self.seen:
            whole.update(repr((at, node, text, sorted(fields.items()))).encode())
        for change in self.changes:
            whole.update(repr(change).encode())
        whole.update(repr((self._history, sorted(self.counts.items()), self.kernel.events)).encode())
        for each in self.nodes.values():
            whole.update(repr((each.name, each.process_epoch, each.traffic.bytes, each.disk.content)).encode())
        return whole.hexdigest()

    # Processes

    def _do(self, node: Node, what: str) -> None:
        if what == "start":
            self._start(node)
        elif what == "pause":
            node.paused = node.part is not None
        elif what == "wake":
            self._woken(node)
        elif what in ("kill", "wipe", "leave"):
            if what == "leave" and node.part is not None:
                if node.paused:
                    self._woken(node)
                self._handle(node, ShutdownStarted())
            self._end(node, what)

    def _start(self, node: Node) -> None:
        if node.part is not None:
            raise ValueError(f"start {node.name}: it runs already")
        node.process_epoch += 1
        node.now = node.clock(self.kernel.now)
        seed = crc32(f"{self.seed} {node.name} {node.process_epoch}".encode())
        node.part = self.make(node.name, seed, node.process_epoch, node.disk.copy())
        self._handle(node, Started())

    def _end(self, node: Node, what: str) -> None:
        node.disk.crash(keep_content=what != "wipe")
        if node.part is None:
            return
        node.part, node.paused = None, False
        node.late, node.buffer, node.buffered = [], [], 0
        self._streams.end(node.name, in_order=what == "leave")

    def _woken(self, node: Node) -> None:
        if not node.paused:
            return
        node.paused = False
        # By when they were due; a sort keeps the order of those due at one time.
        timers: list[Any] = [TimerFired(token) for _, token in sorted(node.late, key=lambda timer: timer[0])]
        heard, node.late, node.buffer, node.buffered = node.buffer, [], [], 0
        process_epoch = node.process_epoch
        for event in timers + heard if self._wake_first == "timers" else heard + timers:
            if node.process_epoch == process_epoch and node.part is not None:
                self._handle(node, event)

    # Events and actions

    def _handle(self, node: Node, event: Any) -> None:
        at = self.kernel.now
        self._history = (self._history * 1_000_003 + int(at * 1000) + node.number) & _MASK
        now = node.ahead + at * node.rate
        if now > node.now:
            node.now = now
        if self.watch is not None:
            self.watch(self.kernel.now, node.name, event)
        acts = self._acts
        for action in node.part.handle(node.now, event):
            act = acts.get(type(action))
            if act is None:
                raise TypeError(f"{node.name}: no action of the contract: {action!r}")
            act(node, action)
            if self.watch is not None:
                self.watch(self.kernel.now, node.name, action)

    def _send(self, node: Node, action: SendToAddress) -> None:
        to = self.nodes.get(action.address[0])
        if to is None or to.address != action.address:
            self._count("no such address")
            return
        self._carry(node, to, action.message, action.carrier)

    def _tell(self, node: Node, action: SendToMember) -> None:
        to = self.nodes.get(action.member)
        if to is None:
            self._count("no such name")
            return
        self._carry(node, to, action.message, action.carrier)

    def _carry(self, node: Node, to: Node, message: Message, carrier: Carrier) -> None:
        kernel, frm = self.kernel, node.name
        encoded = self._encoder.encode(message)
        size, traffic = len(encoded), node.traffic
        traffic.messages += 1
        traffic.bytes += size
        both = traffic.by_type.get(type(message))
        if both is None:
            both = traffic.by_type[type(message)] = [0, 0]
        both[0] += 1
        both[1] += size
        self._history ^= crc32(encoded)
        heard = MessageReceived(node.address, frm, message, carrier)
        if carrier is Carrier.STREAM:
            self._streams.send(frm, to, heard)
            return
        if frm == to.name:
            kernel.schedule(kernel.now, self._arrive, to, heard)
            return
        fates = self.weather.fate(kernel.now, frm, to.name, carrier)
        if not fates:
            self._count("lost")
        for delay in fates:
            kernel.schedule(kernel.now + delay, self._arrive, to, heard)

    def _arrive(self, to: Node, heard: MessageReceived) -> None:
        if to.part is None:
            self._count("no process")
        elif not to.paused:
            self._handle(to, heard)
        elif heard.carrier is Carrier.STREAM:
            to.buffer.append(heard)
        elif to.buffered < MOST_BUFFERED:
            to.buffered += 1
            to.buffer.append(heard)
        else:
            self._count("buffer full")

    def _set(self, node: Node, action: SetTimer) -> None:
        self.kernel.schedule((action.at_ms - node.ahead) / node.rate, self._fire, node, node.process_epoch, action)

    def _fire(self, node: Node, process_epoch: int, timer: SetTimer) -> None:
        if node.process_epoch != process_epoch or node.part is None:
            return
        if node.paused:
            node.late.append((timer.at_ms, timer.token))
            return
        if timer.at_ms > node.now:  # the world's time may fall short of it by a float's last digit
            node.now = timer.at_ms
        self._handle(node, TimerFired(timer.token))

    def _note(self, node: Node, note: LogLine) -> None:
        self.seen.append(Seen(self.kernel.now, node.name, note.text, note.fields))

    def _store(self, node: Node, action: Store) -> None:
        node.disk.store(action.ticket, action.records)

    def _changed(self, node: Node, action: Any) -> None:
        self.changes.append(Changed(self.kernel.now, node.name, action))

    def _count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1

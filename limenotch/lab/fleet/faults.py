"""The text form of faults: parsing and formatting. docs/fleet/lab.md has the table of the fault words.

    cut a | b c      cut a > b       heal            mute a          slow a > b 200
    loss 20%         double 10%      reorder 5%      delay 5..40     (these four also for one way: `loss 20% a > b`)
    pause a          wake a          kill a          start a         wipe a          leave a
    disk a full      disk a slow 300 disk a torn     disk a ok       disk a read-only
    clock a +3600s   ask a WORDS

`parse` and `str` are inverses of each other, except for spaces. `weather.NetworkConditions` holds the faults that are
in force.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Union

NodeNames = tuple[str, ...]
DISK_STATES = ("ok", "full", "slow", "torn", "read-only")
NODE_ACTIONS = ("pause", "wake", "kill", "start", "wipe", "leave", "mute")
DATAGRAM_FAULTS = ("loss", "double", "reorder")
_NAME_PATTERN = re.compile(r"[A-Za-z][A-Za-z0-9_.\-]*")
_NUMBER_PATTERN = r"\d{1,9}(?:\.\d{1,3})?"


@dataclass(frozen=True)
class Partition:
    """No message passes between the sides; with `one_way`, none passes from the first side to the second."""

    sides: tuple[NodeNames, ...]
    one_way: bool = False

    def __str__(self) -> str:
        return "cut " + (" > " if self.one_way else " | ").join(map(" ".join, self.sides))


@dataclass(frozen=True)
class Heal:
    """Ends every partition, mute and slow link."""

    def __str__(self) -> str:
        return "heal"


@dataclass(frozen=True)
class DirectedLinks:
    """The directed links from each node of `senders` to each node of `receivers`."""

    senders: NodeNames
    receivers: NodeNames

    def __str__(self) -> str:
        return f"{' '.join(self.senders)} > {' '.join(self.receivers)}"


@dataclass(frozen=True)
class DatagramFault:
    """Loses, duplicates or reorders a share of the datagrams on these links, or on all links."""

    kind: str  # one of DATAGRAM_FAULTS
    percent: float
    links: DirectedLinks | None = None

    def __str__(self) -> str:
        return f"{self.kind} {_format_number(self.percent)}%" + (f" {self.links}" if self.links else "")


@dataclass(frozen=True)
class Delay:
    """Each message takes between `low_ms` and `high_ms`."""

    low_ms: float
    high_ms: float
    links: DirectedLinks | None = None

    def __str__(self) -> str:
        return f"delay {_format_number(self.low_ms)}..{_format_number(self.high_ms)}" + (
            f" {self.links}" if self.links else ""
        )


@dataclass(frozen=True)
class ExtraDelay:
    """Adds `extra_ms` to the delay of these links; 0 ends it."""

    links: DirectedLinks
    extra_ms: float

    def __str__(self) -> str:
        return f"slow {self.links} {_format_number(self.extra_ms)}"


@dataclass(frozen=True)
class NodeAction:
    """Stops, resumes, kills or starts processes; `wipe` kills and erases the disk, `leave` shuts down gracefully."""

    action: str  # one of NODE_ACTIONS
    nodes: NodeNames

    def __str__(self) -> str:
        return f"{self.action} {' '.join(self.nodes)}"


@dataclass(frozen=True)
class DiskState:
    """Puts the disk of a node into a state."""

    node: str
    state: str  # one of DISK_STATES
    write_ms: float = 0.0  # duration of each write in the state `slow`

    def __str__(self) -> str:
        return f"disk {self.node} {self.state}" + (f" {_format_number(self.write_ms)}" if self.state == "slow" else "")


@dataclass(frozen=True)
class ClockStep:
    """Steps the wall clock of a node; its monotonic clock is not stepped."""

    node: str
    step_ms: float

    def __str__(self) -> str:
        sign = "-" if self.step_ms < 0 else "+"
        size = abs(self.step_ms)
        return f"clock {self.node} {sign}" + (
            f"{size / 1000:.0f}s" if size % 1000 == 0 else f"{_format_number(size)}ms"
        )


@dataclass(frozen=True)
class ScriptedRequest:
    """Not a fault: a request of an operator or a client to one node. The test decides what the words mean."""

    node: str
    words: str

    def __str__(self) -> str:
        return f"ask {self.node} {self.words}"


Fault = Union[Partition, Heal, DatagramFault, Delay, ExtraDelay, NodeAction, DiskState, ClockStep, ScriptedRequest]


def parse(text: str) -> Fault:
    """Parses one fault. Raises ValueError, which names the invalid words."""
    word, _, rest = text.strip().partition(" ")
    parser = _PARSERS.get(word)
    if parser is None:
        raise ValueError(f"fault {text.strip()!r}: {word!r} is not one of {', '.join(sorted(_PARSERS))}")
    try:
        return parser(word, rest.strip())
    except ValueError as error:
        raise ValueError(f"fault {text.strip()!r}: {error}") from None


def parse_cell(cell: str) -> list[Fault]:
    """Parses a cell of the column of faults: commas separate the faults."""
    return [parse(fault_text) for fault_text in cell.split(",") if fault_text.strip()]


def named_nodes(fault: Fault) -> NodeNames:
    """Returns the nodes that the fault names, so that a timeline can reject unknown nodes."""
    if isinstance(fault, Partition):
        return tuple(name for side in fault.sides for name in side)
    if isinstance(fault, NodeAction):
        return fault.nodes
    if isinstance(fault, (DiskState, ClockStep, ScriptedRequest)):
        return (fault.node,)
    links = None if isinstance(fault, Heal) else fault.links
    return links.senders + links.receivers if links else ()


def _format_number(number: float) -> str:
    return f"{number:.3f}".rstrip("0").rstrip(".")


def _parse_names(text: str) -> NodeNames:
    names = tuple(text.split())
    if not names:
        raise ValueError("a node name is missing")
    for name in names:
        if not _NAME_PATTERN.fullmatch(name):
            raise ValueError(f"{name!r} is not a node name")
    if len(set(names)) != len(names):
        raise ValueError(f"{text.strip()!r} names a node twice")
    return names


def _parse_name(text: str) -> str:
    names = _parse_names(text)
    if len(names) != 1:
        raise ValueError(f"{text.strip()!r} should be a single node name")
    return names[0]


def _parse_links(text: str) -> DirectedLinks:
    senders, arrow, receivers = text.partition(">")
    if not arrow:
        raise ValueError(f"{text.strip()!r} has no `>`")
    links = DirectedLinks(_parse_names(senders), _parse_names(receivers))
    if set(links.senders) & set(links.receivers):
        raise ValueError(f"{text.strip()!r} has the same node on both sides")
    return links


def _parse_partition(word: str, rest: str) -> Partition:
    if ">" in rest:
        if "|" in rest:
            raise ValueError("expected either `|` or `>`, not both")
        links = _parse_links(rest)
        return Partition((links.senders, links.receivers), one_way=True)
    sides = tuple(_parse_names(side) for side in rest.split("|"))
    if len(sides) < 2:
        raise ValueError(f"{rest!r} has no `|` and no `>`")
    _parse_names(" ".join(name for side in sides for name in side))
    return Partition(sides)


def _parse_heal(word: str, rest: str) -> Heal:
    if rest:
        raise ValueError(f"{rest!r} is unexpected: heal takes no arguments and ends all cuts")
    return Heal()


def _parse_datagram_fault(word: str, rest: str) -> DatagramFault:
    share, _, links = rest.partition(" ")
    if not re.fullmatch(_NUMBER_PATTERN + "%", share) or float(share[:-1]) > 100:
        raise ValueError(f"{share!r} is not a percentage such as 20%")
    return DatagramFault(word, float(share[:-1]), _parse_links(links) if links.strip() else None)


def _parse_delay(word: str, rest: str) -> Delay:
    span, _, links = rest.partition(" ")
    match = re.fullmatch(rf"({_NUMBER_PATTERN})\.\.({_NUMBER_PATTERN})", span)
    if not match or float(match[1]) > float(match[2]):
        raise ValueError(f"{span!r} is not a range of ms such as 5..40")
    return Delay(float(match[1]), float(match[2]), _parse_links(links) if links.strip() else None)


def _parse_extra_delay(word: str, rest: str) -> ExtraDelay:
    links, _, span = rest.rpartition(" ")
    if not re.fullmatch(_NUMBER_PATTERN, span):
        raise ValueError(f"{span!r} is not a number of ms")
    return ExtraDelay(_parse_links(links), float(span))


def _parse_node_action(word: str, rest: str) -> NodeAction:
    return NodeAction(word, _parse_names(rest))


def _parse_disk_state(word: str, rest: str) -> DiskState:
    words = rest.split()
    if len(words) < 2 or words[1] not in DISK_STATES:
        raise ValueError(f"{' '.join(words[1:])!r} is not one of {', '.join(DISK_STATES)}")
    if len(words) != (3 if words[1] == "slow" else 2):
        raise ValueError(f"{' '.join(words[2:])!r} is unexpected after {words[1]!r}; only `slow` takes a number of ms")
    if words[1] == "slow" and not re.fullmatch(_NUMBER_PATTERN, words[2]):
        raise ValueError(f"{words[2]!r} is not a number of ms")
    return DiskState(_parse_name(words[0]), words[1], float(words[2]) if words[1] == "slow" else 0.0)


def _parse_clock_step(word: str, rest: str) -> ClockStep:
    name, _, step = rest.partition(" ")
    match = re.fullmatch(rf"([+-])({_NUMBER_PATTERN})(s|ms)", step.strip())
    if not match:
        raise ValueError(f"{step.strip()!r} is not a clock step such as +3600s or -250ms")
    size = round(float(match[2]) * (1000 if match[3] == "s" else 1), 3)
    return ClockStep(_parse_name(name), -size if match[1] == "-" else size)


def _parse_scripted_request(word: str, rest: str) -> ScriptedRequest:
    name, _, words = rest.partition(" ")
    if not words.strip():
        raise ValueError("ask: the words of the request are missing")
    return ScriptedRequest(_parse_name(name), " ".join(words.split()))


_PARSERS: dict[str, Callable[[str, str], Fault]] = {
    "cut": _parse_partition,
    "heal": _parse_heal,
    "delay": _parse_delay,
    "slow": _parse_extra_delay,
    "disk": _parse_disk_state,
    "clock": _parse_clock_step,
    "ask": _parse_scripted_request,
    **dict.fromkeys(NODE_ACTIONS, _parse_node_action),
    **dict.fromkeys(DATAGRAM_FAULTS, _parse_datagram_fault),
}

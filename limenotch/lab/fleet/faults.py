"""The words for what goes wrong: read from text, written as text. docs/fleet/lab.md has the table of them.

    cut a | b c      cut a > b       heal            mute a          slow a > b 200
    loss 20%         double 10%      reorder 5%      delay 5..40     (these four also for one way: `loss 20% a > b`)
    pause a          wake a          kill a          start a         wipe a          leave a
    disk a full      disk a slow 300 disk a torn     disk a ok       disk a read-only
    clock a +3600s   ask a WORDS

`parse` and `str` are each other's opposite, but for spaces. What is in force is `weather.Weather`.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Union

Names = tuple[str, ...]
DISKS = ("ok", "full", "slow", "torn", "read-only")
DOINGS = ("pause", "wake", "kill", "start", "wipe", "leave", "mute")
CHANCES = ("loss", "double", "reorder")
_NAME = re.compile(r"[A-Za-z][A-Za-z0-9_.\-]*")
_NUMBER = r"\d{1,9}(?:\.\d{1,3})?"


@dataclass(frozen=True)
class Cut:
    """Nothing passes between the sides; with `one_way`, nothing from the first side to the second."""

    sides: tuple[Names, ...]
    one_way: bool = False

    def __str__(self) -> str:
        return "cut " + (" > " if self.one_way else " | ").join(map(" ".join, self.sides))


@dataclass(frozen=True)
class Heal:
    """Every cut, mute and slow link ends."""

    def __str__(self) -> str:
        return "heal"


@dataclass(frozen=True)
class Way:
    """From any of these to any of those."""

    frm: Names
    to: Names

    def __str__(self) -> str:
        return f"{' '.join(self.frm)} > {' '.join(self.to)}"


@dataclass(frozen=True)
class Chance:
    """A part of all datagrams (of one way) is lost, doubled, or held back so that later ones pass it."""

    kind: str  # of CHANCES
    percent: float
    way: Way | None = None

    def __str__(self) -> str:
        return f"{self.kind} {_figure(self.percent)}%" + (f" {self.way}" if self.way else "")


@dataclass(frozen=True)
class Delay:
    """Each message takes between `low` and `high` ms."""

    low: float
    high: float
    way: Way | None = None

    def __str__(self) -> str:
        return f"delay {_figure(self.low)}..{_figure(self.high)}" + (f" {self.way}" if self.way else "")


@dataclass(frozen=True)
class Slow:
    """`ms` more on one way; 0 ends it."""

    way: Way
    ms: float

    def __str__(self) -> str:
        return f"slow {self.way} {_figure(self.ms)}"


@dataclass(frozen=True)
class Doing:
    """To whole processes: stop, go on, end, begin; `wipe` ends and takes the disk, `leave` ends in order."""

    what: str  # of DOINGS
    nodes: Names

    def __str__(self) -> str:
        return f"{self.what} {' '.join(self.nodes)}"


@dataclass(frozen=True)
class Disk:
    node: str
    state: str  # of DISKS
    ms: float = 0.0  # how long each write takes, if slow

    def __str__(self) -> str:
        return f"disk {self.node} {self.state}" + (f" {_figure(self.ms)}" if self.state == "slow" else "")


@dataclass(frozen=True)
class Clock:
    """The wall clock is stepped; the monotonic one is not."""

    node: str
    step_ms: float

    def __str__(self) -> str:
        sign = "-" if self.step_ms < 0 else "+"
        size = abs(self.step_ms)
        return f"clock {self.node} {sign}" + (f"{size / 1000:.0f}s" if size % 1000 == 0 else f"{_figure(size)}ms")


@dataclass(frozen=True)
class Ask:
    """No fault: an operator's or a consumer's words to one node. What they mean is the test's."""

    node: str
    words: str

    def __str__(self) -> str:
        return f"ask {self.node} {self.words}"


Fault = Union[Cut, Heal, Chance, Delay, Slow, Doing, Disk, Clock, Ask]


def parse(text: str) -> Fault:
    """One fault. ValueError names the words that are none."""
    word, _, rest = text.strip().partition(" ")
    reader = _READERS.get(word)
    if reader is None:
        raise ValueError(f"fault {text.strip()!r}: {word!r} is none of {', '.join(sorted(_READERS))}")
    try:
        return reader(word, rest.strip())
    except ValueError as error:
        raise ValueError(f"fault {text.strip()!r}: {error}") from None


def parse_all(cell: str) -> list[Fault]:
    """A cell of the column of faults: several are parted by commas."""
    return [parse(one) for one in cell.split(",") if one.strip()]


def named(fault: Fault) -> Names:
    """Whom it names, so that a drawing can refuse those it has not."""
    if isinstance(fault, Cut):
        return tuple(name for side in fault.sides for name in side)
    if isinstance(fault, Doing):
        return fault.nodes
    if isinstance(fault, (Disk, Clock, Ask)):
        return (fault.node,)
    way = None if isinstance(fault, Heal) else fault.way
    return way.frm + way.to if way else ()


def _figure(number: float) -> str:
    return f"{number:.3f}".rstrip("0").rstrip(".")


def _names(text: str) -> Names:
    names = tuple(text.split())
    if not names:
        raise ValueError("a name is missing")
    for name in names:
        if not _NAME.fullmatch(name):
            raise ValueError(f"{name!r} is no name")
    if len(set(names)) != len(names):
        raise ValueError(f"{text.strip()!r} names one twice")
    return names


def _name(text: str) -> str:
    names = _names(text)
    if len(names) != 1:
        raise ValueError(f"{text.strip()!r} should be one name")
    return names[0]


def _way(text: str) -> Way:
    frm, arrow, to = text.partition(">")
    if not arrow:
        raise ValueError(f"{text.strip()!r} has no `>`")
    way = Way(_names(frm), _names(to))
    if set(way.frm) & set(way.to):
        raise ValueError(f"{text.strip()!r} has one name on both sides")
    return way


def _cut(word: str, rest: str) -> Cut:
    if ">" in rest:
        if "|" in rest:
            raise ValueError("either `|` or `>`")
        way = _way(rest)
        return Cut((way.frm, way.to), one_way=True)
    sides = tuple(_names(side) for side in rest.split("|"))
    if len(sides) < 2:
        raise ValueError(f"{rest!r} has no `|` and no `>`")
    _names(" ".join(name for side in sides for name in side))
    return Cut(sides)


def _heal(word: str, rest: str) -> Heal:
    if rest:
        raise ValueError(f"{rest!r} is too much: heal ends all cuts")
    return Heal()


def _chance(word: str, rest: str) -> Chance:
    share, _, way = rest.partition(" ")
    if not re.fullmatch(_NUMBER + "%", share) or float(share[:-1]) > 100:
        raise ValueError(f"{share!r} is no share such as 20%")
    return Chance(word, float(share[:-1]), _way(way) if way.strip() else None)


def _delay(word: str, rest: str) -> Delay:
    span, _, way = rest.partition(" ")
    found = re.fullmatch(rf"({_NUMBER})\.\.({_NUMBER})", span)
    if not found or float(found[1]) > float(found[2]):
        raise ValueError(f"{span!r} is no span such as 5..40")
    return Delay(float(found[1]), float(found[2]), _way(way) if way.strip() else None)


def _slow(word: str, rest: str) -> Slow:
    way, _, span = rest.rpartition(" ")
    if not re.fullmatch(_NUMBER, span):
        raise ValueError(f"{span!r} is no number of ms")
    return Slow(_way(way), float(span))


def _doing(word: str, rest: str) -> Doing:
    return Doing(word, _names(rest))


def _disk(word: str, rest: str) -> Disk:
    words = rest.split()
    if len(words) < 2 or words[1] not in DISKS:
        raise ValueError(f"{' '.join(words[1:])!r} is none of {', '.join(DISKS)}")
    if len(words) != (3 if words[1] == "slow" else 2):
        raise ValueError(f"{' '.join(words[2:])!r} after {words[1]!r}; only `slow` has a number, of ms")
    if words[1] == "slow" and not re.fullmatch(_NUMBER, words[2]):
        raise ValueError(f"{words[2]!r} is no number of ms")
    return Disk(_name(words[0]), words[1], float(words[2]) if words[1] == "slow" else 0.0)


def _clock(word: str, rest: str) -> Clock:
    name, _, step = rest.partition(" ")
    found = re.fullmatch(rf"([+-])({_NUMBER})(s|ms)", step.strip())
    if not found:
        raise ValueError(f"{step.strip()!r} is no step such as +3600s or -250ms")
    size = round(float(found[2]) * (1000 if found[3] == "s" else 1), 3)
    return Clock(_name(name), -size if found[1] == "-" else size)


def _ask(word: str, rest: str) -> Ask:
    name, _, words = rest.partition(" ")
    if not words.strip():
        raise ValueError("ask what?")
    return Ask(_name(name), " ".join(words.split()))


_READERS: dict[str, Callable[[str, str], Fault]] = {
    "cut": _cut,
    "heal": _heal,
    "delay": _delay,
    "slow": _slow,
    "disk": _disk,
    "clock": _clock,
    "ask": _ask,
    **dict.fromkeys(DOINGS, _doing),
    **dict.fromkeys(CHANCES, _chance),
}

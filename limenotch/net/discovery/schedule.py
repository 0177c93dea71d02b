"""When discovery is asked: one state machine for the watch and for asking again, with one clock. No sockets here.

The clock is the time at which the watch was last heard of: a whole line, or the first byte of a list. A call that has
brought no list yet is timed from its beginning. From any state, with discovery in reach and answering within `a`:

    the call under way is left behind, fails, or is heard       LIST_S after its beginning at the latest
    the next call begins                                        ASK_AGAIN_S after that beginning at the latest
    its list is held                                            a later

A change counts as told TOLD_S after discovery had it and could be reached, so `a` may be 1 s. A watch that falls
silent is the same sum from its last line on, with `silence_s` for LIST_S; where the next call is lost too,
`silence_s`, the longest first wait, LIST_S and LAST_WAIT_S leave half a second.

A call that is left behind goes on beside the next one: it keeps its place in discovery's queue, and its list counts if
it comes first. At a new address a call that is lost costs MOVED_LIST_S + MOVED_WAIT_S of the 4 s that there are, after
moves in a row up to MOVED_HELD_S more; what the old address tells counts until the new one has told its list. Where
lists are pushed, the next call begins within the last of PUSHED_WAITS_S after one has failed.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

LIST_S = 2.25  # with its connection; a jammed discovery keeps a call for seconds, and it goes on beside the next one
TOLD_S = 6.0  # after discovery had it and could be reached a change counts as told
LAST_WAIT_S = 0.25  # the longest wait when little of that is left
ASK_AGAIN_S = 5.0  # from a call to the next, at the latest: sooner, all callers keep a jam up that is longer than this
# The longest waits after a first, a second and any further failure in a row: many in step keep discovery jammed.
WAITS_S = (0.5, 1.0, 2.0)
# After a second refusal, while the time lasts within which a change does not count as told yet: the longest wait is
# so much and so much more for each second left. A full discovery has places for few, and they are to go to those that
# have been without a list for longest; who has just had one can wait.
REFUSED_S, REFUSED_PART, MOST_REFUSED_S = 0.6, 0.6, 4.0
QUEUED_S = 1.0  # a call that fails after so long was kept in a queue: a discovery that is down refuses at once
QUEUED_FACTOR = 1.5  # of the wait after such a call: it is the number of callers that keeps each waiting
LEAST = 0.2  # part of the longest wait that is always waited; the rest is drawn
LASTING_S = 0.5  # a watch that ends sooner after its call counts as one more failure in a row
# At a new address the list must be had within 4 s, however many failures there were at the old one.
MOVED_S = 3.0  # the failures of so long are the move's own, and told nobody
MOVED_LIST_S = 2.25
MOVED_WAIT_S = 0.25  # after a call that was lost; those that are refused at once wait as at any address
# Moves in a row: each call makes discovery put a whole list together, and one that is moved from soon was for nobody.
MOVED_SETTLE_S = 1.0  # without a further move, after which the new address is asked ...
MOVED_HELD_S = 2.0  # ... at the latest so long after the first that was held back
# Where lists are pushed an agent is near, and what it has counts at once: a quarter of a second is the least grace.
PUSHED_CONNECT_S = 0.5
PUSHED_WAITS_S = (0.05, 0.1, 0.2)


class State(Enum):
    IDLE = "idle"  # nobody wants the list yet
    CONNECTING = "connecting"
    ASKED = "asked"  # the call has no list yet
    FOLLOWING = "following"
    WAITING = "waiting"  # to ask again


class Wanted(NamedTuple):
    """Somebody needs the list, and all changes from now on."""


class Connected(NamedTuple):
    """The connection of the call is up."""


class Listed(NamedTuple):
    """The call brought a list, whole or of changes."""


class Heard(NamedTuple):
    """The call brought an empty line, or the first byte of a list."""


class Ended(NamedTuple):
    """The call failed, or the watch ended: refused, reset, closed, no list, not understood."""


class Moved(NamedTuple):
    """Discovery is at another address."""


class Due(NamedTuple):
    """`DiscoveryState.due` is reached."""


class Resumed(NamedTuple):
    """A call that was left behind has brought its list before the next one began, and is followed."""


Event = Wanted | Connected | Listed | Heard | Ended | Moved | Due | Resumed


class Order(Enum):
    """What is to be done, in the order given."""

    OPEN = "open"  # begin a call
    RETIRE = "retire"  # the one under way goes on beside the next one, until that has brought its list
    TELL = "tell"  # that the watch is broken


class DiscoveryState:
    """Feed it events with the time in seconds; carry out what it returns. At most one call is under way at a time."""

    def __init__(self, silence_s: float, random: Random, pushed: bool = False) -> None:
        self.silence_s, self.pushed, self._random = silence_s, pushed, random
        self.state = State.IDLE
        self.due: float | None = None  # when to come with Due
        self._began = self._heard = 0.0  # the call under way, or the last one
        self._failures = 0  # in a row
        self._blind = float("-inf")  # since when nothing is known: the last word of a watch
        self._moving = float("-inf")  # until when failures are the move's own
        self._moved = float("-inf")  # when discovery was moved, or a call begun that a move had held back
        self._held_since: float | None = None  # moves in a row are held back since then

    @property
    def calling(self) -> bool:
        """Whether a call is under way."""
        return self.state in (State.CONNECTING, State.ASKED, State.FOLLOWING)

    def handle(self, now: float, event: Event) -> list[Order]:
        """What to do about an event; one that does not concern the present state does nothing."""
        if isinstance(event, Wanted):
            return self._open(now) if self.state is State.IDLE else []
        if isinstance(event, Moved):
            return self._move(now)
        if isinstance(event, Resumed):
            if self.state is State.WAITING:
                self._follow(now)
            return []
        if isinstance(event, Due):
            return self._overdue(now) if self.due is not None and now >= self.due else []
        if not self.calling:
            return []
        if isinstance(event, Ended):
            return self._failed(now)
        if isinstance(event, Connected):
            self._connected(now)
        elif isinstance(event, Listed):
            self._follow(now)
        elif self.state is State.FOLLOWING:
            self._hear(now)
        return []

    def _open(self, now: float) -> list[Order]:
        self.state, self._began, self._held_since = State.CONNECTING, now, None
        self.due = now + min(PUSHED_CONNECT_S if self.pushed else LIST_S, self._patience(now))
        return [Order.OPEN]

    def _patience(self, now: float) -> float:
        """How long a call may take to bring its list."""
        return min(self.silence_s, MOVED_LIST_S if now < self._moving else LIST_S)

    def _connected(self, now: float) -> None:
        if self.state is State.CONNECTING:
            self.state, self.due = State.ASKED, self._began + self._patience(now)

    def _follow(self, now: float) -> None:
        self.state, self._moving = State.FOLLOWING, float("-inf")
        self._hear(now)

    def _hear(self, now: float) -> None:
        self._heard = self._blind = now
        self.due = now + self.silence_s

    def _move(self, now: float) -> list[Order]:
        retire = [Order.RETIRE] if self.calling else []
        self._failures, self._moving = 0, now + MOVED_S
        in_a_row, self._moved = now < self._moved + MOVED_SETTLE_S, now
        if in_a_row and (retire or self._held_since is not None):
            # The old address serves on: to ask at each of them at once fills discovery's queue with lists for nobody.
            self._held_since = now if self._held_since is None else self._held_since
            self.state, self.due = State.WAITING, min(now + MOVED_SETTLE_S, self._held_since + MOVED_HELD_S)
            return retire
        return retire + self._open(now)

    def _overdue(self, now: float) -> list[Order]:
        if self.state is State.WAITING:
            self._moved = now if self._held_since is not None else self._moved
            return self._open(now)
        return [Order.RETIRE, *self._failed(now)]

    def _failed(self, now: float) -> list[Order]:
        following = self.state is State.FOLLOWING
        since = self._heard if following else self._began  # from when on nothing is known
        lasted = following and now - self._began >= LASTING_S
        self._failures = 1 if lasted else self._failures + 1
        self.state = State.WAITING
        queued = not following and now - since >= QUEUED_S
        self.due = now + self._wait(now, now - since, queued, refused=not following and not queued)
        return [] if now < self._moving else [Order.TELL]

    def _wait(self, now: float, lost: float, queued: bool, refused: bool) -> float:
        step = min(self._failures, len(WAITS_S)) - 1
        if self.pushed:
            longest = PUSHED_WAITS_S[step]
        elif now < self._moving and queued:
            longest = MOVED_WAIT_S
        elif refused and step and self._moving <= now < self._blind + TOLD_S:
            longest = min(REFUSED_S + REFUSED_PART * (self._blind + TOLD_S - now), MOST_REFUSED_S)
        else:
            longest = WAITS_S[step] * (QUEUED_FACTOR if queued else 1.0)
            longest = min(longest, max(ASK_AGAIN_S - lost, WAITS_S[0]))
            if queued and now < self._blind + TOLD_S:  # refused calls cost a full discovery the time that others need
                longest = min(longest, max(ASK_AGAIN_S - (now - self._blind), LAST_WAIT_S))
        return longest * (LEAST + (1 - LEAST) * self._random.random())

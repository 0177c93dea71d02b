"""When to query discovery: a state machine for the watch and its backoff, without I/O or a clock of its own.

A watch is timed from the last moment at which it received anything: a complete line, or the first byte of a list. A
query that has received no list yet is timed from its start. From any state, with discovery reachable and answering
within `a` seconds:

    the current query is retired, fails, or receives a line     LIST_TIMEOUT_S after its start at the latest
    the next query starts                                       MAX_QUERY_INTERVAL_S after that start at the latest
    its list is received                                        a later

A change has to be known here CHANGE_DEADLINE_S after discovery had it and was reachable, so `a` may be 1 s. For a watch
that falls silent the same sum applies from its last line on, with `silence_s` in place of LIST_TIMEOUT_S. If the next
query is lost too, `silence_s`, the longest first backoff, LIST_TIMEOUT_S and LAST_BACKOFF_S leave half a second.

Discovery may close a watch in an orderly way instead of sending a change on it; that change has to be known here within
CLOSED_WATCH_DEADLINE_S. Until then the backoff is at most LAST_BACKOFF_S, also after rejections.

A retired query continues while the next one runs: it keeps its position in discovery's queue, and its list is used if
it is received first. At a new address a lost query costs MOVE_LIST_TIMEOUT_S + MOVE_BACKOFF_S of the 4 s available,
and up to MAX_MOVE_DELAY_S more after consecutive moves; updates from the old address are used until the new one has
sent its list. Where a nearby agent pushes lists, the next query starts at most the last of PUSHED_MAX_BACKOFFS_S after
a failure.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

# Seconds from the start of a query, connecting included, to its list. A congested discovery delays an answer for
# seconds; such a query is retired, not closed.
LIST_TIMEOUT_S = 2.25
# Seconds after discovery had a change and was reachable, by which the change has to be known here.
CHANGE_DEADLINE_S = 6.0
# Seconds after discovery closed a watch in an orderly way: it may have done so instead of sending a change, which has
# to be known here by then.
CLOSED_WATCH_DEADLINE_S = 2.0
# Upper bound of the backoff, in seconds, when little of CHANGE_DEADLINE_S is left, or CLOSED_WATCH_DEADLINE_S runs.
LAST_BACKOFF_S = 0.25
# Seconds from the start of a query to the start of the next one at the latest. With shorter intervals in all sidecars,
# a congestion of discovery that lasts longer than this would not end.
MAX_QUERY_INTERVAL_S = 5.0
# Upper bounds of the backoff in seconds after the first, second and any later consecutive failure. Many sidecars that
# query at the same time would keep discovery congested.
MAX_BACKOFFS_S = (0.5, 1.0, 2.0)
# From the second consecutive failure on, when a query was rejected and CHANGE_DEADLINE_S has not passed, the upper
# bound of the backoff is a base (seconds) plus a fraction of the time left until then, up to a maximum (seconds).
# Discovery at capacity serves few sidecars, and those without a list for longest are to be served first.
REFUSED_BACKOFF_BASE_S = 0.6
REFUSED_BACKOFF_PER_SECOND = 0.6
MAX_REFUSED_BACKOFF_S = 4.0
# Seconds from the start of a query: if it fails later than that, discovery had queued it. A discovery that is down
# rejects at once.
MIN_QUEUED_S = 1.0
# Factor of the backoff after a queued query: queries wait because there are too many of them.
QUEUED_FACTOR = 1.5
# Fraction of the upper bound that is always waited; the rest is drawn at random.
MIN_BACKOFF_FRACTION = 0.2
# Seconds from the start of a query: a watch that ends sooner counts as one more consecutive failure.
MIN_STABLE_WATCH_S = 0.5
# Seconds after a change of discovery's address (a move) within which failures are attributed to the move and not
# reported. The list of a new address is to be received within 4 s, however many queries to the old one failed.
MOVE_GRACE_S = 3.0
# Seconds from the start of a query to its list, within MOVE_GRACE_S.
MOVE_LIST_TIMEOUT_S = 2.25
# Upper bound of the backoff in seconds after a queued query within MOVE_GRACE_S. After a query that was rejected at
# once the backoff is the same as without a move.
MOVE_BACKOFF_S = 0.25
# Consecutive moves: each query makes discovery build a complete list, which is useless if the next move follows soon.
# So the new address is queried MOVE_SETTLE_S seconds after the last move, and at the latest MAX_MOVE_DELAY_S seconds
# after the first move whose query was delayed.
MOVE_SETTLE_S = 1.0
MAX_MOVE_DELAY_S = 2.0
# Seconds. A pushed list comes from a nearby agent, and a change counts as known as soon as the agent has it; the
# shortest grace period for a change is a quarter of a second.
PUSHED_CONNECT_TIMEOUT_S = 0.5
PUSHED_MAX_BACKOFFS_S = (0.05, 0.1, 0.2)


class WatchState(Enum):
    """The states of the machine."""

    IDLE = "idle"  # no list was requested yet
    CONNECTING = "connecting"  # a query is connecting to discovery
    QUERIED = "asked"  # the query is connected and has received no list yet
    FOLLOWING = "following"  # the query has received a list, and the watch receives its changes
    BACKING_OFF = "waiting"  # there is no current query until the backoff has passed


class WatchRequested(NamedTuple):
    """The endpoint list is needed, and all changes of it from now on."""


class Connected(NamedTuple):
    """The connection of the current query is established."""


class ListReceived(NamedTuple):
    """The current query received a list, either a complete one or changes."""


class LineReceived(NamedTuple):
    """The current query received an empty line, or the first byte of a list."""


class WatchEnded(NamedTuple):
    """The current query failed, or its watch ended: it was rejected, reset or closed, or its response is not a list."""

    closed: bool = False  # by discovery, in an orderly way


class AddressChanged(NamedTuple):
    """Discovery has moved to another address."""


class TimerExpired(NamedTuple):
    """The time `DiscoveryState.timer_at` has come."""


class WatchResumed(NamedTuple):
    """A retired query received its list before the next query started, and becomes the current one again."""


Event = (
    WatchRequested | Connected | ListReceived | LineReceived | WatchEnded | AddressChanged | TimerExpired | WatchResumed
)


class Action(Enum):
    """What the owner of the machine has to do, in the order returned."""

    OPEN_WATCH = "open"  # start a query
    RETIRE_WATCH = "retire"  # the current query continues until the next one has received its list
    REPORT_BROKEN = "tell"  # report that the watch is broken


class DiscoveryState:
    """Decides when to start and when to retire a query; at most one query is current at a time.

    Its owner passes events with the time in seconds, and carries out the actions returned.
    """

    def __init__(self, silence_s: float, random: Random, pushed: bool = False) -> None:
        """`silence_s`: seconds without a line after which a watch is broken. `pushed`: discovery is a nearby agent.

        `random` draws the backoffs.
        """
        self.silence_s = silence_s
        self.pushed = pushed
        self.state = WatchState.IDLE
        self.timer_at: float | None = None  # when TimerExpired is due
        self._random = random
        self._query_started_at = 0.0  # of the current query, or the last one
        self._last_line_at = float("-inf")  # when a watch last received anything
        self._consecutive_failures = 0
        self._closed_at: float | None = None  # when discovery closed a watch in an orderly way, until the next list
        self._move_grace_until = float("-inf")  # failures before this time are attributed to a move
        self._last_move_at = float("-inf")  # of the last move, or of the start of the query that moves had delayed
        self._move_delayed_since: float | None = None  # since when consecutive moves delay the next query

    @property
    def query_in_progress(self) -> bool:
        """Whether there is a current query."""
        return self.state in (WatchState.CONNECTING, WatchState.QUERIED, WatchState.FOLLOWING)

    def handle(self, now: float, event: Event) -> list[Action]:
        """The actions for an event; none for an event that has no meaning in the current state."""
        match event:
            case WatchRequested():
                return self._open(now) if self.state is WatchState.IDLE else []
            case AddressChanged():
                return self._change_address(now)
            case WatchResumed():
                if self.state is WatchState.BACKING_OFF:
                    self._follow(now)
                return []
            case TimerExpired():
                return self._handle_timer(now) if self.timer_at is not None and now >= self.timer_at else []
        return self._handle_query_event(now, event) if self.query_in_progress else []

    def _handle_query_event(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, WatchEnded):
            return self._fail(now, event.closed)
        if isinstance(event, Connected):
            self._handle_connected(now)
        elif isinstance(event, ListReceived):
            self._follow(now)
        elif self.state is WatchState.FOLLOWING:
            self._restart_silence_timer(now)
        return []

    def _open(self, now: float) -> list[Action]:
        self.state = WatchState.CONNECTING
        self._query_started_at = now
        self._move_delayed_since = None
        connect_timeout_s = PUSHED_CONNECT_TIMEOUT_S if self.pushed else LIST_TIMEOUT_S
        self.timer_at = now + min(connect_timeout_s, self._list_timeout_s(now))
        return [Action.OPEN_WATCH]

    def _list_timeout_s(self, now: float) -> float:
        """Seconds from the start of a query to its list."""
        return min(self.silence_s, MOVE_LIST_TIMEOUT_S if now < self._move_grace_until else LIST_TIMEOUT_S)

    def _handle_connected(self, now: float) -> None:
        if self.state is WatchState.CONNECTING:
            self.state = WatchState.QUERIED
            self.timer_at = self._query_started_at + self._list_timeout_s(now)

    def _follow(self, now: float) -> None:
        self.state = WatchState.FOLLOWING
        self._closed_at = None
        self._move_grace_until = float("-inf")
        self._restart_silence_timer(now)

    def _restart_silence_timer(self, now: float) -> None:
        self._last_line_at = now
        self.timer_at = now + self.silence_s

    def _change_address(self, now: float) -> list[Action]:
        retire = [Action.RETIRE_WATCH] if self.query_in_progress else []
        is_consecutive = now < self._last_move_at + MOVE_SETTLE_S
        self._consecutive_failures = 0
        self._move_grace_until = now + MOVE_GRACE_S
        self._last_move_at = now
        if is_consecutive and (retire or self._move_delayed_since is not None):
            # The old address still sends changes. A query to each new address would only fill discovery's queue.
            if self._move_delayed_since is None:
                self._move_delayed_since = now
            self.state = WatchState.BACKING_OFF
            self.timer_at = min(now + MOVE_SETTLE_S, self._move_delayed_since + MAX_MOVE_DELAY_S)
            return retire
        return retire + self._open(now)

    def _handle_timer(self, now: float) -> list[Action]:
        if self.state is not WatchState.BACKING_OFF:
            return [Action.RETIRE_WATCH, *self._fail(now)]
        if self._move_delayed_since is not None:
            self._last_move_at = now
        return self._open(now)

    def _fail(self, now: float, closed: bool = False) -> list[Action]:
        following = self.state is WatchState.FOLLOWING
        if following and closed:
            self._closed_at = now
        lost_s = now - (self._last_line_at if following else self._query_started_at)
        stable = following and now - self._query_started_at >= MIN_STABLE_WATCH_S
        self._consecutive_failures = 1 if stable else self._consecutive_failures + 1
        self.state = WatchState.BACKING_OFF
        queued = not following and lost_s >= MIN_QUEUED_S
        self.timer_at = now + self._draw_backoff_s(now, lost_s, queued, refused=not following and not queued)
        return [] if now < self._move_grace_until else [Action.REPORT_BROKEN]

    def _draw_backoff_s(self, now: float, lost_s: float, queued: bool, refused: bool) -> float:
        max_backoff_s = self._max_backoff_s(now, lost_s, queued, refused)
        return max_backoff_s * (MIN_BACKOFF_FRACTION + (1 - MIN_BACKOFF_FRACTION) * self._random.random())

    def _max_backoff_s(self, now: float, lost_s: float, queued: bool, refused: bool) -> float:
        """The upper bound of the backoff in seconds.

        `lost_s`: seconds since the watch that ended last received anything, or since the query that failed started.
        """
        step = min(self._consecutive_failures, len(MAX_BACKOFFS_S)) - 1
        deadline = self._last_line_at + CHANGE_DEADLINE_S
        if self.pushed:
            return PUSHED_MAX_BACKOFFS_S[step]
        if self._closed_at is not None:
            deadline = min(deadline, self._closed_at + CLOSED_WATCH_DEADLINE_S)
            if now < deadline:
                return LAST_BACKOFF_S
        if now < self._move_grace_until and queued:
            return MOVE_BACKOFF_S
        if refused and step and self._move_grace_until <= now < deadline:
            grown_s = REFUSED_BACKOFF_BASE_S + REFUSED_BACKOFF_PER_SECOND * (deadline - now)
            return min(grown_s, MAX_REFUSED_BACKOFF_S)
        max_backoff_s = MAX_BACKOFFS_S[step] * (QUEUED_FACTOR if queued else 1.0)
        max_backoff_s = min(max_backoff_s, max(MAX_QUERY_INTERVAL_S - lost_s, MAX_BACKOFFS_S[0]))
        if queued and now < deadline:
            # Rejecting a query costs discovery at capacity the time that it needs for others: none is started early.
            silent_s = now - self._last_line_at
            max_backoff_s = min(max_backoff_s, max(MAX_QUERY_INTERVAL_S - silent_s, LAST_BACKOFF_S))
        return max_backoff_s

"""Which calls are turned away at the door: only the first tier asks, the others' calls are paid for.

By Little's law the calls that may be held are the pace shown (answers in time a ms) times the wait that still
ends in time. Of so many some square root more or less are held by chance, so all room around that bound is
counted in roots of it: two while what comes is answered in time, half a one while clearly more comes; the
classes lie apart by roots too. No I/O and no clock: the time comes with each call. Times in ms, rates a ms.
"""

from __future__ import annotations

from math import inf, sqrt
from typing import TYPE_CHECKING

from .endpoint_statistics import RATE_SPAN_MS, Request
from .events import RequestArrived
from .rates import ArrivalRates

if TYPE_CHECKING:
    from .balancer_state import BalancerState

FEW = 3.0  # the least bound: before a pace is shown there is room for some calls at once
FILL = 0.3  # of the time between an idle answer and the shortest aim that the wait may use
SLOWED = 1.2  # times the answers' present latency that the wait may take while everything is slow ...
WHILE = 0.7  # ... but no more than this part of the aim: a slower tier is not starved as a jammed one
WIDE = 2.0  # roots above the bound while what comes is answered in time: chance passes them 1 time in 40
NARROW = 0.5  # and while more comes: what is held counts as half smoothed, so chance shows less
APART = 1.25  # roots more for the class worth most for its work, and fewer for the one worth least
CALM = 1.1  # calls that come for each one answered in time, up to which the bound is wide ...
RUSH = 1.4  # ... and from which it is tight


class AdmissionControl(ArrivalRates):
    """Feed it arrivals, answers in time and windows; ask it of each call."""

    concurrency_limit = inf  # calls held

    def update_limit(self, idle: float, recent: float, aim: float, known: bool) -> None:
        """By the latency of an idle tier, the recent one and the shortest aim; none until `known`."""
        wait = idle + FILL * max(aim - idle, idle / 2)
        wait = max(wait, min(SLOWED * recent, WHILE * aim))
        self.concurrency_limit = max(self.sustained_goodput * wait, FEW) if known else inf
        self.fade_values()

    def should_reject(self, now: float, value: float, held: float, live: float) -> bool:
        """Whether a call of this worth for its work is turned away, with `held` calls held.

        `live` is the part of what the tier can do that is not at rest. The least worth goes first: the calls
        that are worth more than this one, as a part of all that come, take from its room.
        """
        above = self.count_arrival(now, value)
        # Of n calls in a second some square root of n more or less come by chance: of twenty that is a rush.
        came = self.arrivals.value_at(now) * RATE_SPAN_MS
        rush = (came - sqrt(came)) / max(self.answers.value_at(now) * RATE_SPAN_MS, 1e-9)
        roots = WIDE - (WIDE - NARROW) * min(max((rush - CALM) / (RUSH - CALM), 0.0), 1.0)
        bound = self.concurrency_limit * live
        return held >= bound + (roots + APART * (1 - 2 * above)) * sqrt(bound)


def update_admission_limit(books: BalancerState) -> None:
    """At each window's end. Where nothing is turned away nothing is bound: the copies' gate reads it."""
    # Before two means are known a just started balancer takes its first calls for a jam.
    known = len(books.tier_profile.window_means) > 1 and not books.settings.tier_index
    books.admission.update_limit(
        books.tier_profile.lowest * books.typical_latency_ms,
        books.tier_profile.recent * books.typical_latency_ms,
        min(c.latency_objective_ms for c in books.settings.classes),
        known,
    )


def is_rejected(books: BalancerState, now: float, call: Request, event: RequestArrived) -> bool:
    worth = books.request_weight(now, call, event)
    # Calls that hang at a silent upstream are no load on the others; the mean smooths what chance brings.
    held = (books.in_flight + books.mean_in_flight) / 2 - sum(s.in_flight for s in books.unresponsive)
    return books.admission.should_reject(
        now, worth / max(call.class_latency.mean_ms, 1.0), held, books.live_fraction
    )

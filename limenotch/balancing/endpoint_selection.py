"""Where an attempt goes: several are drawn by share among those it may go to, and the better one is taken.

Of two by the chance of a short wait where loads are reported; of more by their price where nothing is.
"""

from __future__ import annotations

from bisect import bisect
from math import exp, inf

from .balancer_state import BalancerState, SelectionTable, selection_table
from .endpoint_statistics import EndpointStatistics, Request
from .outlier_detection import check_unresponsive, is_crowded
from .retry_policy import dedup_group, may_repeat
from .types import DedupScope, Effect
from .weights import update_all_weights, update_weights

DRAWS = 4  # tries at one that may be sent to: more would bend the shares of those left
SHORT = 2.0  # service times: a wait by which the better of two drawn upstreams is told
STEADY = 0.15  # a call bound by its first attempt goes to the one of two serving so much more
AGED = 0.5  # windows in which a report fades: who is sent nothing tells nothing more, and its queue is served
LAX = 0.5  # a call that keeps this part of its worth when late is lax: it goes where its one draw says
CHOICES = 9  # drawn for a call where nothing is reported: our own calls out tell of a queue first
CROSSINGS = 1.5  # prices of a crossing that a better chance to be in time must outweigh


def choose_endpoints(
    books: BalancerState, now: float, call: Request
) -> tuple[EndpointStatistics | None, EndpointStatistics | None]:
    """Where the next attempt goes, and where a copy of an urgent call could go; None for nobody."""
    kept = call.prefer and not call.tries and books.named(call.prefer)
    if (
        kept
        and not (check_unresponsive(books, now, kept) or is_crowded(books, kept))
        and within_slow_start(books, kept, now)
    ):
        return kept, None
    last = call.tries[-1].server if call.tries else None
    one = draw_endpoint(books, now, call, last) or draw_endpoint(books, now, call, None, any_=True)
    if one is None and books.stale:  # all that were drawn from may be gone
        update_weights(books, now)
        one = draw_endpoint(books, now, call, last) or draw_endpoint(books, now, call, None, any_=True)
    if one is None:
        return None, None
    urgent = call.cls.late_worth < LAX
    two = draw_endpoint(books, now, call, one) if not call.tries and (urgent or not call.cls.free) else None
    if not books.tier.done:
        more = [draw_endpoint(books, now, call, last, home=n % 3 == 0) for n in range(CHOICES)]
        drawn = [one, *filter(None, [two, *more])]
        drawn.sort(key=lambda server: expected_cost(books, now, call, server))
        one, two = drawn[0], next((s for s in drawn if two and s is not drawn[0]), None)
    elif two and (
        short_wait_probability(books, two) > short_wait_probability(books, one)
        if urgent
        else two.ok > one.ok + STEADY
    ):
        one, two = two, one
    return one, two if urgent else None


def draw_endpoint(
    books: BalancerState,
    now: float,
    call: Request,
    avoid: EndpointStatistics | None,
    any_: bool = False,
    home: bool = False,
) -> EndpointStatistics | None:
    """An upstream by share, of the group that an attempt which may have run binds the call to."""
    servers, sums = allowed_candidates(books, now, call, home)
    for _ in range(DRAWS):
        if not sums or sums[-1] <= 0:
            return None
        server = servers[bisect(sums, books.random.random() * sums[-1], 0, len(sums) - 1)]
        if not server.ready:  # it drains since the shares were taken
            servers, sums = selection_table([s for s in servers if s.ready])
            if not sums or sums[-1] <= 0:
                return None
            server = servers[bisect(sums, books.random.random() * sums[-1], 0, len(sums) - 1)]
        if not any_ and (check_unresponsive(books, now, server) and server.out or is_crowded(books, server)):
            servers, sums = selection_table([s for s in servers if s is not server])
        elif server is not avoid and within_slow_start(books, server, now):
            return server
    return None


def allowed_candidates(books: BalancerState, now: float, call: Request, home: bool = False) -> SelectionTable:
    """Those that the rule on repeats leaves to the next attempt."""
    earlier = call.earlier() if call.tries or call.bound else []
    if not earlier or call.cls.effect is Effect.IDEMPOTENT and not books.set.narrow:
        return books.home if home else books.table
    first, scope = earlier[0], call.cls.scope
    if books.set.narrow or not may_repeat(call.cls, earlier, now, first.zone, first.cell):
        return [], []
    if scope is DedupScope.ALL:
        return books.table
    key = (scope, dedup_group(scope, first.zone, first.cell))
    if key not in books.groups:
        members = list(books.ready.members(*key))
        update_all_weights(books, members, now)
        books.groups[key] = selection_table(members)
    return books.groups[key]


def within_slow_start(books: BalancerState, server: EndpointStatistics, now: float) -> bool:
    """A cold upstream gets no more than this balancer's part of what all may send it."""
    if server.capacity(now, books.set.cold) >= 1.0:
        return True
    return books.set.shares_cold != inf and server.earn(now, books.set.cold.fall_ms) >= 1.0


def estimated_load(books: BalancerState, server: EndpointStatistics) -> float:
    """Utilisation, from a fresh report or else from latency; our own unanswered attempts make it current."""
    load = 1 - server.like.low / max(server.slow, server.like.low)
    if server.util is not None:
        load += (server.util - load) * exp((server.util_at - books.now) / books.window / AGED)
    usual_out = books.held * server.share / max(books.table[1][-1], 1e-9)
    return 1 - (1 - min(load, 0.99)) * (usual_out + 1) / (max(server.out, usual_out) + 1)


def short_wait_probability(books: BalancerState, server: EndpointStatistics) -> float:
    """Chance of a short wait: over a long one a trace of errors would outweigh any queue."""
    load = estimated_load(books, server)
    return server.ok * (1 - load * exp(-(1 - load) * SHORT))


def expected_cost(books: BalancerState, now: float, call: Request, server: EndpointStatistics) -> float:
    """Chance to miss the aim there, by our calls out against its share, and the price of crossing."""
    count = len(books.table[0])
    queue = (server.out + 1) * books.table[1][-1] / count / server.share / (books.held / count + 1)
    late = exp(-max(call.aim - now, 1.0) / max(call.usual.mean * queue, 1e-3))
    away = books.set.crossing_cost if server.at.zone != books.set.zone else 0.0
    # Far from its aim every queue seems as good: the shorter one then.
    return 1 - min(server.ok / books.best, 1.0) * (1 - late) + CROSSINGS * away + 1e-6 * queue

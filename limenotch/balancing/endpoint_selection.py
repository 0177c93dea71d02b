"""Where an attempt goes: several are drawn by share among those it may go to, and the better one is taken.

Of two by the chance of a short wait where loads are reported; of more by their price where nothing is.
"""

from __future__ import annotations

from bisect import bisect
from math import exp, inf

from .balancer_state import BalancerState, SelectionTable, selection_table
from .endpoint_statistics import EndpointStatistics, Request
from .outlier_detection import check_unresponsive, is_overfull
from .retry_policy import dedup_group, may_repeat
from .types import DedupScope, Effect
from .weights import update_all_weights, update_weights

DRAWS = 4  # tries at one that may be sent to: more would bend the shares of those left
SHORT = 2.0  # service times: a wait by which the better of two drawn upstreams is told
STEADY = 0.15  # a call bound by its first attempt goes to the one of two serving so much more
AGED = 0.5  # windows in which a report fades: who is sent nothing tells nothing more, and its queue is served
MIN_TOLERANT_LATE_WEIGHT = (
    0.5  # a call that keeps this part of its worth when late is lax: it goes where its one draw says
)
CHOICES = 9  # drawn for a call where nothing is reported: our own calls out tell of a queue first
CROSSINGS = 1.5  # prices of a crossing that a better chance to be in time must outweigh


def choose_endpoints(
    books: BalancerState, now: float, call: Request
) -> tuple[EndpointStatistics | None, EndpointStatistics | None]:
    """Where the next attempt goes, and where a copy of an urgent call could go; None for nobody."""
    kept = call.preferred_endpoint and not call.attempts and books.find_available(call.preferred_endpoint)
    if (
        kept
        and not (check_unresponsive(books, now, kept) or is_overfull(books, kept))
        and within_slow_start(books, kept, now)
    ):
        return kept, None
    last = call.attempts[-1].target if call.attempts else None
    one = draw_endpoint(books, now, call, last) or draw_endpoint(books, now, call, None, any_=True)
    if one is None and books.weights_stale:  # all that were drawn from may be gone
        update_weights(books, now)
        one = draw_endpoint(books, now, call, last) or draw_endpoint(books, now, call, None, any_=True)
    if one is None:
        return None, None
    urgent = call.traffic_class.late_weight < MIN_TOLERANT_LATE_WEIGHT
    two = (
        draw_endpoint(books, now, call, one)
        if not call.attempts and (urgent or not call.traffic_class.retry_is_harmless)
        else None
    )
    if not books.tier_profile.reported_rate:
        more = [draw_endpoint(books, now, call, last, home=n % 3 == 0) for n in range(CHOICES)]
        drawn = [one, *filter(None, [two, *more])]
        drawn.sort(key=lambda server: expected_cost(books, now, call, server))
        one, two = drawn[0], next((s for s in drawn if two and s is not drawn[0]), None)
    elif two and (
        short_wait_probability(books, two) > short_wait_probability(books, one)
        if urgent
        else two.success_rate > one.success_rate + STEADY
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
        if not server.available:  # it drains since the shares were taken
            servers, sums = selection_table([s for s in servers if s.available])
            if not sums or sums[-1] <= 0:
                return None
            server = servers[bisect(sums, books.random.random() * sums[-1], 0, len(sums) - 1)]
        if not any_ and (
            check_unresponsive(books, now, server) and server.in_flight or is_overfull(books, server)
        ):
            servers, sums = selection_table([s for s in servers if s is not server])
        elif server is not avoid and within_slow_start(books, server, now):
            return server
    return None


def allowed_candidates(books: BalancerState, now: float, call: Request, home: bool = False) -> SelectionTable:
    """Those that the rule on repeats leaves to the next attempt."""
    earlier = call.prior_attempts() if call.attempts or call.prior_execution else []
    if not earlier or call.traffic_class.effect is Effect.IDEMPOTENT and not books.settings.restricted:
        return books.local_candidates if home else books.candidates
    first, scope = earlier[0], call.traffic_class.dedup_scope
    if books.settings.restricted or not may_repeat(call.traffic_class, earlier, now, first.zone, first.cell):
        return [], []
    if scope is DedupScope.ALL:
        return books.candidates
    key = (scope, dedup_group(scope, first.zone, first.cell))
    if key not in books.dedup_candidates:
        members = list(books.available.dedup_members(*key))
        update_all_weights(books, members, now)
        books.dedup_candidates[key] = selection_table(members)
    return books.dedup_candidates[key]


def within_slow_start(books: BalancerState, server: EndpointStatistics, now: float) -> bool:
    """A cold upstream gets no more than this balancer's part of what all may send it."""
    if server.warm_fraction(now, books.settings.slow_start) >= 1.0:
        return True
    return (
        books.settings.slow_start_divisor != inf
        and server.accrue_credit(now, books.settings.slow_start.overload_window_ms) >= 1.0
    )


def estimated_load(books: BalancerState, server: EndpointStatistics) -> float:
    """Utilisation, from a fresh report or else from latency; our own unanswered attempts make it current."""
    load = 1 - server.profile.lowest / max(server.latency_ratio, server.profile.lowest)
    if server.utilisation is not None:
        load += (server.utilisation - load) * exp(
            (server.utilisation_at - books.now) / books.window_ms / AGED
        )
    usual_out = books.mean_in_flight * server.selection_weight / max(books.candidates[1][-1], 1e-9)
    return 1 - (1 - min(load, 0.99)) * (usual_out + 1) / (max(server.in_flight, usual_out) + 1)


def short_wait_probability(books: BalancerState, server: EndpointStatistics) -> float:
    """Chance of a short wait: over a long one a trace of errors would outweigh any queue."""
    load = estimated_load(books, server)
    return server.success_rate * (1 - load * exp(-(1 - load) * SHORT))


def expected_cost(books: BalancerState, now: float, call: Request, server: EndpointStatistics) -> float:
    """Chance to miss the aim there, by our calls out against its share, and the price of crossing."""
    count = len(books.candidates[0])
    queue = (
        (server.in_flight + 1)
        * books.candidates[1][-1]
        / count
        / server.selection_weight
        / (books.mean_in_flight / count + 1)
    )
    late = exp(-max(call.objective - now, 1.0) / max(call.class_latency.mean_ms * queue, 1e-3))
    away = books.settings.cross_zone_cost if server.endpoint.zone != books.settings.zone else 0.0
    # Far from its aim every queue seems as good: the shorter one then.
    return (
        1
        - min(server.success_rate / books.best_success_rate, 1.0) * (1 - late)
        + CROSSINGS * away
        + 1e-6 * queue
    )

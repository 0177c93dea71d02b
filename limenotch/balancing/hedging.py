"""Whether a call gets a second attempt beside the first, at once or when the first is overdue.

An urgent call that may be repeated does while formula (1) of the source paper gives the pair a higher chance
to be on time, all other calls' chances counted.
"""

from __future__ import annotations

from math import exp

from .actions import Action
from .balancer_state import BURST, BalancerState
from .endpoint_selection import LAX, allowed_candidates, draw_endpoint, estimated_load, short_wait_probability
from .endpoint_statistics import EndpointStatistics, Request
from .outlier_detection import OVERDUE, check_unresponsive
from .types import Effect

RETRIES = 0.2  # copies and retries allowed for each recent call: they can't multiply down the tiers
URGENT = 10.0  # waits of this many service times hold for any upstream under two thirds load: no copy


def should_hedge_at_once(
    books: BalancerState, now: float, call: Request, one: EndpointStatistics, two: EndpointStatistics | None
) -> bool:
    """Whether a call that has just been sent to `one` gets a copy at `two` in the same moment."""
    repeat = call.traffic_class.effect is not Effect.AT_MOST_ONCE and books.settings.may_hedge
    repeat = repeat and call.deadline - now <= call.class_latency.mean_ms * one.profile.lowest * URGENT
    books.hedgeable += repeat and two is not None
    return (
        repeat
        and two is not None
        and hedge_allowed(books, now, call, two)
        and hedge_pays_off(books, now, call, one, two, books.hedgeable / books.arrivals)
    )


def hedge_delay(books: BalancerState, call: Request, server: EndpointStatistics) -> float:
    """How long a lone attempt may be out before the gate is asked again."""
    return max(OVERDUE * call.class_latency.mean_ms * server.latency_ratio, books.window_ms / 8)


def miss_probability(
    books: BalancerState, now: float, call: Request, server: EndpointStatistics, load: float
) -> float:
    """Chance that the wait exceeds the limit t = time left less v, or that the call fails there."""
    service = max(
        call.class_latency.mean_ms * server.profile.lowest, 1e-3
    )  # v, at an idle upstream of this kind
    limit = call.deadline - now - service
    if load >= 1 or limit <= 0:
        return 1.0
    return 1 - server.success_rate * (1 - load * exp(-(1 - load) * limit / service))


def hedge_pays_off(
    books: BalancerState,
    now: float,
    call: Request,
    one: EndpointStatistics,
    two: EndpointStatistics,
    part: float,
) -> bool:
    """Formula (1), P = p_urgent * p_lax, with copies for `part` of the calls against without."""
    copied, shared = books.hedged / max(books.arrivals, 1), 1 - books.hedgeable / max(books.arrivals, 1)
    # A tier that has never been idle shows no low mean: how full the entry is then tells its load.
    full = (books.in_flight - 1) / books.admission.concurrency_limit
    loads = [max(estimated_load(books, s), full) / (1 + copied) for s in (one, two)]
    pair = list(zip((one, two), loads, strict=True))
    plain = [miss_probability(books, now, call, s, load) for s, load in pair]
    raised = [miss_probability(books, now, call, s, load * (1 + part)) for s, load in pair]
    lax = (2 - sum(raised)) / max(2 - sum(plain), 1e-9) if shared > 0.01 else 1.0
    return (1 - raised[0] * raised[1]) * lax > 1 - plain[0]


def hedge_allowed(
    books: BalancerState, now: float, call: Request, server: EndpointStatistics, unbudgeted: bool = False
) -> bool:
    spent = books.retry_budget < BURST / 2 and not unbudgeted
    if (
        call.single_use_body
        or not books.settings.may_hedge
        or len(call.attempts) >= call.max_attempts
        or spent
    ):
        return False
    # A drawn second may lie outside the group that drops the call's repeats, also in a large group.
    return server in allowed_candidates(books, now, call)[0]


def handle_overdue_attempt(books: BalancerState, now: float, call: Request, acts: list[Action]) -> None:
    """A lone attempt is out for longer than expected: it is worth asking the gate again."""
    lone = next(t for t in call.attempts if t.open)
    two = draw_endpoint(books, now, call, lone.target)
    if (
        check_unresponsive(books, now, lone.target)
        and two is not None
        and hedge_allowed(books, now, call, two, unbudgeted=True)
    ):
        books.record_send(now, call, two, acts)
        return
    if now < call.deadline:
        books.schedule_timer(now + hedge_delay(books, call, lone.target), call, acts)
    urgent = (
        call.traffic_class.late_weight < LAX
        and call.deadline - now <= call.class_latency.mean_ms * lone.target.profile.lowest * URGENT
    )
    if two is None or not urgent or not hedge_allowed(books, now, call, two):
        return
    # A call may be late because it is costly, and a copy as costly: only its server's other calls tell.
    if short_wait_probability(books, two) > short_wait_probability(books, lone.target) and hedge_pays_off(
        books, now, call, lone.target, two, RETRIES
    ):
        books.record_send(now, call, two, acts, copy=1)

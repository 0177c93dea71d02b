"""Whom calls avoid for a time: an upstream that is crowded, one that has gone silent, one that is choked."""

from __future__ import annotations

from .balancer_state import BalancerState
from .endpoint_statistics import EndpointStatistics
from .weights import update_weights

OVERDUE = 2.0  # of its expected time out, a lone attempt asks the gate again
QUIET = 8.0  # answers overdue by the usual of their classes, with none given, after which it counts as silent
CROWD = 1.7  # times what the others hold each that one upstream may hold ...
FREE = 2.0  # ... counting this many more: on a calm day the own zone does not spill over
ROW = 4  # misses in a row after which a provider rests, so that one choked on its queue can be idle
REST = 6000.0  # ms: choked machines want up to 5 s of it, and each balancer rests it on its own
RESTING = 0.5  # part of those drawn from that may rest at once: more would be an outage of our making


def is_crowded(books: BalancerState, server: EndpointStatistics) -> bool:
    """Whether it holds far more of our calls than the others: it jams before its mean shows it."""
    others = len(books.candidates[0]) - 1
    return others > 0 and server.in_flight >= CROWD * (FREE + (books.in_flight - server.in_flight) / others)


def check_unresponsive(books: BalancerState, now: float, server: EndpointStatistics) -> bool:
    """Whether it has gone silent: its machine may be gone though its connections stay open."""
    slow, wait = (
        server.latency_ratio / server.warm_fraction(now, books.settings.slow_start),
        now - server.last_heard_at,
    )
    if (
        not server.unresponsive
        and wait * server.expected_rate > max(OVERDUE * server.in_flight, QUIET) * slow
    ):
        server.unresponsive = True
        books.unresponsive.add(server)
        update_weights(books, now)
    return server.unresponsive


def record_answer(books: BalancerState, now: float, server: EndpointStatistics, in_time: bool) -> None:
    """One that misses call after call is choked or worse: it gets idle time, the entry less meanwhile."""
    server.consecutive_misses = 0 if in_time else server.consecutive_misses + 1
    if (
        server.consecutive_misses >= ROW and not server.is_ejected(now) and not books.settings.tier_index
    ):  # it alone refuses
        eject(books, now, server)


def eject(books: BalancerState, now: float, server: EndpointStatistics, doubted: bool = False) -> None:
    """It is sent nothing for a while, unless too many are; up to the next list if its drain may be untold."""
    if server.is_ejected(now) or sum(s.is_ejected(now) for s in books.candidates[0]) < RESTING * len(
        books.candidates[0]
    ):
        server.ejected_until, server.consecutive_misses, server.suspected_draining = now + REST, 0, False
        if doubted:
            books.registry.suspect_draining(server)
        update_weights(books, now)

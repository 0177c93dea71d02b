"""Where an attempt goes: several are drawn by share among those it may go to, and the better one is taken.

Of two by the chance of a short wait where loads are reported; of more by their price where nothing is.
"""

from __future__ import annotations

from bisect import bisect
from math import exp, inf

from .balancer_state import Books, Table, drawable
from .endpoint_statistics import Call, Server
from .outlier_detection import crowded, quiet
from .retry_policy import group, may_repeat
from .types import DedupScope, Effect
from .weights import reshare, share_all

DRAWS = 4  # tries at one that may be sent to: more would bend the shares of those left
SHORT = 2.0  # service times: a wait by which the better of two drawn upstreams is told
STEADY = 0.15  # a call bound by its first attempt goes to the one of two serving so much more
AGED = 0.5  # windows in which a report fades: who is sent nothing tells nothing more, and its queue is served
LAX = 0.5  # a call that keeps this part of its worth when late is lax: it goes where its one draw says
CHOICES = 9  # drawn for a call where nothing is reported: our own calls out tell of a queue first
CROSSINGS = 1.5  # prices of a crossing that a better chance to be in time must outweigh


def choose(books: Books, now: float, call: Call) -> tuple[Server | None, Server | None]:
    """Where the next attempt goes, and where a copy of an urgent call could go; None for nobody."""
    kept = call.prefer and not call.tries and books.named(call.prefer)
    if kept and not (quiet(books, now, kept) or crowded(books, kept)) and warm_enough(books, kept, now):
        return kept, None
    last = call.tries[-1].server if call.tries else None
    one = draw(books, now, call, last) or draw(books, now, call, None, any_=True)
    if one is None and books.stale:  # all that were drawn from may be gone
        reshare(books, now)
        one = draw(books, now, call, last) or draw(books, now, call, None, any_=True)
    if one is None:
        return None, None
    urgent = call.cls.late_worth < LAX
    two = draw(books, now, call, one) if not call.tries and (urgent or not call.cls.free) else None
    if not books.tier.done:
        more = [draw(books, now, call, last, home=n % 3 == 0) for n in range(CHOICES)]
        drawn = [one, *filter(None, [two, *more])]
        drawn.sort(key=lambda server: price(books, now, call, server))
        one, two = drawn[0], next((s for s in drawn if two and s is not drawn[0]), None)
    elif two and (odds(books, two) > odds(books, one) if urgent else two.ok > one.ok + STEADY):
        one, two = two, one
    return one, two if urgent else None


def draw(
    books: Books, now: float, call: Call, avoid: Server | None, any_: bool = False, home: bool = False
) -> Server | None:
    """An upstream by share, of the group that an attempt which may have run binds the call to."""
    servers, sums = reach(books, now, call, home)
    for _ in range(DRAWS):
        if not sums or sums[-1] <= 0:
            return None
        server = servers[bisect(sums, books.random.random() * sums[-1], 0, len(sums) - 1)]
        if not server.ready:  # it drains since the shares were taken
            servers, sums = drawable([s for s in servers if s.ready])
            if not sums or sums[-1] <= 0:
                return None
            server = servers[bisect(sums, books.random.random() * sums[-1], 0, len(sums) - 1)]
        if not any_ and (quiet(books, now, server) and server.out or crowded(books, server)):
            servers, sums = drawable([s for s in servers if s is not server])
        elif server is not avoid and warm_enough(books, server, now):
            return server
    return None


def reach(books: Books, now: float, call: Call, home: bool = False) -> Table:
    """Those that the rule on repeats leaves to the next attempt."""
    earlier = call.earlier() if call.tries or call.bound else []
    if not earlier or call.cls.effect is Effect.IDEMPOTENT and not books.set.narrow:
        return books.home if home else books.table
    first, scope = earlier[0], call.cls.scope
    if books.set.narrow or not may_repeat(call.cls, earlier, now, first.zone, first.cell):
        return [], []
    if scope is DedupScope.ALL:
        return books.table
    key = (scope, group(scope, first.zone, first.cell))
    if key not in books.groups:
        members = list(books.ready.members(*key))
        share_all(books, members, now)
        books.groups[key] = drawable(members)
    return books.groups[key]


def warm_enough(books: Books, server: Server, now: float) -> bool:
    """A cold upstream gets no more than this balancer's part of what all may send it."""
    if server.capacity(now, books.set.cold) >= 1.0:
        return True
    return books.set.shares_cold != inf and server.earn(now, books.set.cold.fall_ms) >= 1.0


def load_at(books: Books, server: Server) -> float:
    """Utilisation, from a fresh report or else from latency; our own unanswered attempts make it current."""
    load = 1 - server.like.low / max(server.slow, server.like.low)
    if server.util is not None:
        load += (server.util - load) * exp((server.util_at - books.now) / books.window / AGED)
    usual_out = books.held * server.share / max(books.table[1][-1], 1e-9)
    return 1 - (1 - min(load, 0.99)) * (usual_out + 1) / (max(server.out, usual_out) + 1)


def odds(books: Books, server: Server) -> float:
    """Chance of a short wait: over a long one a trace of errors would outweigh any queue."""
    load = load_at(books, server)
    return server.ok * (1 - load * exp(-(1 - load) * SHORT))


def price(books: Books, now: float, call: Call, server: Server) -> float:
    """Chance to miss the aim there, by our calls out against its share, and the price of crossing."""
    count = len(books.table[0])
    queue = (server.out + 1) * books.table[1][-1] / count / server.share / (books.held / count + 1)
    late = exp(-max(call.aim - now, 1.0) / max(call.usual.mean * queue, 1e-3))
    away = books.set.crossing_cost if server.at.zone != books.set.zone else 0.0
    # Far from its aim every queue seems as good: the shorter one then.
    return 1 - min(server.ok / books.best, 1.0) * (1 - late) + CROSSINGS * away + 1e-6 * queue

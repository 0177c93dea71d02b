"""The part of the calls that each upstream is to get, by what it has shown.

Shares are relative: what an upstream can do now, bent by slowness and misses, and where loads are reported by
zone. With them comes the room of the cold ones.
"""

from __future__ import annotations

from math import exp

from .books import Books, drawable
from .records import Server
from .subset import subset

PRIOR = 4.0  # samples with which an upstream's own mean weighs as much as its kind's
LEAN = 2.0  # share falls with this power of relative slowness: much hides behind time spent in tiers below
SHUN = 3.0  # share falls with this power of the relative part served
FLOOR = 0.02  # of its weight, always left to an upstream so that recovery is seen
HEADROOM = 0.5  # of what pushes a cold upstream over: a rush may bring as much again, saved up by all
AFAR = 0.05  # part of its weight left to an upstream of another zone while the own zone is sound
FULL = 0.6  # use of the own zone's upstreams up to which calls stay in it: beyond, waits grow
BUSY = 0.5  # use of cores reported that weighs as much as what its kind has shown


def reshare(books: Books, now: float) -> None:
    """At each window's end, and when the list or a verdict changes."""
    ready = books.order[0] + books.order[1]
    drawn = subset(books.order, books.held, books.set.rank, books.set.balancers)
    for s in ready:
        gauge(books, s, now)
    able = sum(s.able for s in ready)
    books.fair = (books.good + PRIOR) / (books.good + books.bad + PRIOR)
    books.best = max((s.ok for s in drawn if not s.at_rest(now)), default=1.0)
    for s in drawn:
        share(books, s, now)
    if books.set.crossing_cost and books.tier.done:  # else each call is weighed alone
        distances(books, drawn, ready, able)
    # Parts that add up to what list and settings allow: equal ones, or without reports as each was answered.
    part = 1 / books.set.shares_cold if books.tier.done else books.shown
    books.room = HEADROOM * books.set.cold.fall_multiple * part / 1000
    for group in books.order:
        for s in (mine := set(drawn).intersection(group)):
            s.room = books.room * s.sure * len(group) / len(mine) * books.nearness(s)
    books.table = drawable(drawn)
    books.live = sum(s.able for s in drawn if s.share) / max(sum(s.able for s in drawn), 1e-9)
    books.home = drawable([s for s in drawn if not books.set.crossing_cost or s.at.zone == books.set.zone])
    books.groups.clear()


def gauge(books: Books, server: Server, now: float) -> None:
    """What it can do now: by its own reports as far as they go, else as others of its kind and age.

    Served over used is what it serves in full use (gRPC proposal A58); reports hold all balancers' sends.
    """
    like = server.like if server.like.done else books.tier
    usual = like.done / like.busy if like.done else 1.0
    fade = exp((server.told_at - now) / books.reports)
    prior = server.weight * usual * server.capacity(now, books.set.cold)
    # A span in which nothing was done yet shows use alone: that is no proof of a dead upstream.
    shown = (server.done * fade + BUSY * prior) / (server.busy * fade + BUSY)
    server.sure, server.room = min(shown, prior), 0.0
    server.able = max(shown * (FLOOR if server.quiet else 1.0), FLOOR * prior, 1e-9)


def share(books: Books, server: Server, now: float) -> None:
    """What it can do, bent by slowness and misses."""
    fade = exp((server.stamp - now) / books.memory)
    count, good, bad = server.count * fade, server.good * fade, server.bad * fade
    server.slow = (server.ratios * fade + PRIOR * server.like.now) / (count + PRIOR)
    server.ok = (good + PRIOR * books.fair) / (good + bad + PRIOR)
    # Both factors are relative: if everything is slow or failing nothing is singled out.
    usual = (server.like if books.tier.done else books.tier).now
    bend = min((usual / server.slow) ** LEAN, 4.0) * min(server.ok / books.best, 1.0) ** SHUN
    server.share = server.able * max(bend, FLOOR) if not server.at_rest(now) else 0.0


def distances(books: Books, drawn: list[Server], ready: list[Server], able: float) -> None:
    """Calls stay in their zone as far as it can carry them; the list tells all of a zone alike."""
    own, others = books.order[0], [s for s in drawn if s.at.zone != books.set.zone]
    sound = sum((s.ok / books.best) ** SHUN for s in own if not s.quiet) / max(len(own), 1)
    afar = AFAR / max(sound, AFAR)
    zones: dict[int, float] = {}
    for s in ready:
        zones[s.at.zone] = zones.get(s.at.zone, 0.0) + s.able
    if books.set.zone in zones:
        calls = books.demand * books.set.balancers / len(zones)  # of each zone, a second
        full = max(FULL, calls * len(zones) / able)
        kept = min(full * zones[books.set.zone] / max(calls, 1e-9), 1.0)
        if kept < 1:
            for s in others:
                s.share *= max(1 - calls / (full * zones[s.at.zone]), AFAR)
            near = sum(s.share for s in drawn if s.at.zone == books.set.zone)
            far = sum(s.share for s in others)
            afar = max(afar, near * (1 - kept) / max(kept * far, 1e-9))
    for s in others:
        s.share *= afar

"""The part of the calls that each upstream is to get, by what it has shown.

Shares are relative: what an upstream can do now, bent by slowness and misses, and where loads are reported by
zone. With them comes the room of the cold ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp

from .balancer_state import BalancerState, selection_table
from .endpoint_statistics import EndpointStatistics, LatencyProfile
from .subsetting import subset

PRIOR = 4.0  # samples with which an upstream's own mean weighs as much as its kind's
LEAN = 2.0  # share falls with this power of relative slowness: much hides behind time spent in tiers below
SHUN = 3.0  # share falls with this power of the relative part served
FLOOR = 0.02  # of its weight, always left to an upstream so that recovery is seen
HEADROOM = 0.5  # of what pushes a cold upstream over: a rush may bring as much again, saved up by all
AFAR = 0.05  # part of its weight left to an upstream of another zone while the own zone is sound
FULL = 0.6  # use of the own zone's upstreams up to which calls stay in it: beyond, waits grow
AT_ONCE = 64  # upstreams drawn from, up to which shares are taken at each change of the list
SPACING = 0.1  # ms for each upstream drawn from, between two takings of all shares after changes of the list
BUSY = 0.5  # use of cores reported that weighs as much as what its kind has shown


def update_weights(books: BalancerState, now: float) -> None:
    """At each window's end, and when a verdict changes; after the list has changed when it is `due`."""
    known = books.refresh(now)
    parts = subset(books.order, books.held, books.set.rank, books.set.balancers)
    drawn = [server for part in parts for server in part]
    for s in known:
        estimate_capacity(books, s, now)
    books.fair = (books.good + PRIOR) / (books.good + books.bad + PRIOR)
    books.best = max((s.ok for s in drawn if not s.at_rest(now)), default=1.0)
    update_all_weights(books, drawn, now)
    if books.set.crossing_cost and books.tier.done:  # else each call is weighed alone
        prefer_own_zone(books, drawn, known, now)
    # Parts that add up to what list and settings allow: equal ones, or without reports as each was answered.
    part = 1 / books.set.shares_cold if books.tier.done else books.shown
    books.room = HEADROOM * books.set.cold.fall_multiple * part / 1000
    for s in books.roomy:
        s.room = 0.0
    books.roomy = [s for s in drawn if s.since > 0]  # else it is warm, and nothing asks for its room
    for group, mine in zip(books.order, parts, strict=True):
        for s in mine:
            if s.since > 0:
                s.room = books.room * s.sure * len(group) / len(mine) * books.nearness(s)
    books.table = selection_table(drawn)
    books.live = sum(s.able for s in drawn if s.share) / max(sum(s.able for s in drawn), 1e-9)
    books.home = selection_table(
        [s for s in drawn if not books.set.crossing_cost or s.at.zone == books.set.zone]
    )
    books.groups.clear()
    books.shared_at, books.stale = now, False


def weights_due(books: BalancerState, now: float) -> bool:
    """Whether shares are to be taken anew after the list has changed.

    One that drains is passed over at once. To take the shares of thousands for each of thousands that drain
    would keep the list itself, and all calls, waiting.
    """
    drawn = len(books.table[0])
    return books.stale and (drawn <= AT_ONCE or now >= books.shared_at + SPACING * drawn)


def profile_rate(books: BalancerState, like: LatencyProfile) -> float:
    """What a warm one of weight 1 serves a second in full use; 1 where nothing is reported."""
    kind = like if like.done else books.tier
    return kind.done / kind.busy if kind.done else 1.0


def estimate_capacity(books: BalancerState, server: EndpointStatistics, now: float) -> None:
    """What it can do now: by its own reports as far as they go, else as others of its kind and age.

    Served over used is what it serves in full use (gRPC proposal A58); reports hold all balancers' sends.
    """
    fade = exp((server.told_at - now) / books.reports)
    prior = server.weight * profile_rate(books, server.like) * server.capacity(now, books.set.cold)
    # A span in which nothing was done yet shows use alone: that is no proof of a dead upstream.
    shown = (server.done * fade + BUSY * prior) / (server.busy * fade + BUSY)
    server.sure = min(shown, prior)
    server.able = max(shown * (FLOOR if server.quiet else 1.0), FLOOR * prior, 1e-9)


def update_weight(books: BalancerState, server: EndpointStatistics, now: float) -> None:
    """What it can do, bent by slowness and misses."""
    fade = exp((server.stamp - now) / books.memory)
    count, good, bad = server.count * fade, server.good * fade, server.bad * fade
    server.slow = (server.ratios * fade + PRIOR * server.like.now) / (count + PRIOR)
    server.ok = (good + PRIOR * books.fair) / (good + bad + PRIOR)
    server.share = server.able * max(weight_factor(books, server), FLOOR) if not server.at_rest(now) else 0.0


def weight_factor(books: BalancerState, server: EndpointStatistics) -> float:
    """Both factors are relative: if everything is slow or failing nothing is singled out."""
    usual = (server.like if books.tier.done else books.tier).now
    slowness: float = min((usual / server.slow) ** LEAN, 4.0)
    served: float = min(server.ok / books.best, 1.0) ** SHUN
    return slowness * served


def update_all_weights(books: BalancerState, servers: Iterable[EndpointStatistics], now: float) -> None:
    """The same for many: who has shown nothing is alike but for weight and age, and they may be thousands.

    What they can do is gauged here too.
    """
    units: dict[
        LatencyProfile, tuple[float, float]
    ] = {}  # by kind: what one of weight 1 can do, and how that is bent
    cold, fair, known = books.set.cold, books.fair, books.known
    for s in servers:
        if s in known:
            update_weight(books, s, now)
            continue
        s.slow, s.ok = s.like.now, fair
        unit = units.get(s.like)
        if unit is None:
            unit = units[s.like] = profile_rate(books, s.like), max(weight_factor(books, s), FLOOR)
        able = s.weight * unit[0] * s.capacity(now, cold) if s.since > 0 else s.weight * unit[0]
        s.sure, s.able = able, max(able, 1e-9)
        s.share = s.able * unit[1]


def zone_capacities(books: BalancerState, known: list[EndpointStatistics], now: float) -> dict[int, float]:
    """Requests a second that each zone can do: by the list, and by what some have shown."""
    rates: dict[int, float] = {}
    for (zone, like), weight in books.ready.able(now).items():
        rates[zone] = rates.get(zone, 0.0) + weight * profile_rate(books, like)
    for s in known:
        prior = s.weight * profile_rate(books, s.like) * s.capacity(now, books.set.cold)
        rates[s.at.zone] += s.able - prior
    return rates


def prefer_own_zone(
    books: BalancerState, drawn: list[EndpointStatistics], known: list[EndpointStatistics], now: float
) -> None:
    """Calls stay in their zone as far as it can carry them; the list tells all of a zone alike."""
    own, others = books.order[0], [s for s in drawn if s.at.zone != books.set.zone]
    shown = [s for s in known if s.at.zone == books.set.zone]
    served = sum((s.ok / books.best) ** SHUN for s in shown if not s.quiet)
    served += (len(own) - len(shown)) * (books.fair / books.best) ** SHUN
    afar = AFAR / max(served / max(len(own), 1), AFAR)
    zones = zone_capacities(books, known, now)
    able = sum(zones.values())
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

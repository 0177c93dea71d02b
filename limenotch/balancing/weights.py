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
    known = books.prune_observed(now)
    parts = subset(
        books.by_locality, books.mean_in_flight, books.settings.balancer_index, books.settings.balancers
    )
    drawn = [server for part in parts for server in part]
    for s in known:
        estimate_capacity(books, s, now)
    books.mean_success_rate = (books.total_successes + PRIOR) / (
        books.total_successes + books.total_failures + PRIOR
    )
    books.best_success_rate = max((s.success_rate for s in drawn if not s.is_ejected(now)), default=1.0)
    update_all_weights(books, drawn, now)
    if books.settings.cross_zone_cost and books.tier_profile.reported_rate:  # else each call is weighed alone
        prefer_own_zone(books, drawn, known, now)
    # Parts that add up to what list and settings allow: equal ones, or without reports as each was answered.
    part = 1 / books.settings.slow_start_divisor if books.tier_profile.reported_rate else books.shown_rate
    books.slow_start_rate = HEADROOM * books.settings.slow_start.overload_multiple * part / 1000
    for s in books.warming:
        s.slow_start_rate = 0.0
    books.warming = [s for s in drawn if s.started_at > 0]  # else it is warm, and nothing asks for its room
    for group, mine in zip(books.by_locality, parts, strict=True):
        for s in mine:
            if s.started_at > 0:
                s.slow_start_rate = (
                    books.slow_start_rate
                    * s.assured_capacity
                    * len(group)
                    / len(mine)
                    * books.locality_factor(s)
                )
    books.candidates = selection_table(drawn)
    books.live_fraction = sum(s.estimated_capacity for s in drawn if s.selection_weight) / max(
        sum(s.estimated_capacity for s in drawn), 1e-9
    )
    books.local_candidates = selection_table(
        [s for s in drawn if not books.settings.cross_zone_cost or s.endpoint.zone == books.settings.zone]
    )
    books.dedup_candidates.clear()
    books.weights_at, books.weights_stale = now, False


def weights_due(books: BalancerState, now: float) -> bool:
    """Whether shares are to be taken anew after the list has changed.

    One that drains is passed over at once. To take the shares of thousands for each of thousands that drain
    would keep the list itself, and all calls, waiting.
    """
    drawn = len(books.candidates[0])
    return books.weights_stale and (drawn <= AT_ONCE or now >= books.weights_at + SPACING * drawn)


def profile_rate(books: BalancerState, like: LatencyProfile) -> float:
    """What a warm one of weight 1 serves a second in full use; 1 where nothing is reported."""
    kind = like if like.reported_rate else books.tier_profile
    return kind.reported_rate / kind.reported_use if kind.reported_rate else 1.0


def estimate_capacity(books: BalancerState, server: EndpointStatistics, now: float) -> None:
    """What it can do now: by its own reports as far as they go, else as others of its kind and age.

    Served over used is what it serves in full use (gRPC proposal A58); reports hold all balancers' sends.
    """
    fade = exp((server.last_report_at - now) / books.report_memory_ms)
    prior = (
        server.listed_weight
        * profile_rate(books, server.profile)
        * server.warm_fraction(now, books.settings.slow_start)
    )
    # A span in which nothing was done yet shows use alone: that is no proof of a dead upstream.
    shown = (server.reported_rate_sum * fade + BUSY * prior) / (server.reported_use_sum * fade + BUSY)
    server.assured_capacity = min(shown, prior)
    server.estimated_capacity = max(shown * (FLOOR if server.unresponsive else 1.0), FLOOR * prior, 1e-9)


def update_weight(books: BalancerState, server: EndpointStatistics, now: float) -> None:
    """What it can do, bent by slowness and misses."""
    fade = exp((server.updated_at - now) / books.evidence_memory_ms)
    count, good, bad = server.latency_samples * fade, server.successes * fade, server.failures * fade
    server.latency_ratio = (server.latency_ratio_sum * fade + PRIOR * server.profile.recent) / (count + PRIOR)
    server.success_rate = (good + PRIOR * books.mean_success_rate) / (good + bad + PRIOR)
    server.selection_weight = (
        server.estimated_capacity * max(weight_factor(books, server), FLOOR)
        if not server.is_ejected(now)
        else 0.0
    )


def weight_factor(books: BalancerState, server: EndpointStatistics) -> float:
    """Both factors are relative: if everything is slow or failing nothing is singled out."""
    usual = (server.profile if books.tier_profile.reported_rate else books.tier_profile).recent
    slowness: float = min((usual / server.latency_ratio) ** LEAN, 4.0)
    served: float = min(server.success_rate / books.best_success_rate, 1.0) ** SHUN
    return slowness * served


def update_all_weights(books: BalancerState, servers: Iterable[EndpointStatistics], now: float) -> None:
    """The same for many: who has shown nothing is alike but for weight and age, and they may be thousands.

    What they can do is gauged here too.
    """
    units: dict[
        LatencyProfile, tuple[float, float]
    ] = {}  # by kind: what one of weight 1 can do, and how that is bent
    cold, fair, known = books.settings.slow_start, books.mean_success_rate, books.observed
    for s in servers:
        if s in known:
            update_weight(books, s, now)
            continue
        s.latency_ratio, s.success_rate = s.profile.recent, fair
        unit = units.get(s.profile)
        if unit is None:
            unit = units[s.profile] = profile_rate(books, s.profile), max(weight_factor(books, s), FLOOR)
        able = (
            s.listed_weight * unit[0] * s.warm_fraction(now, cold)
            if s.started_at > 0
            else s.listed_weight * unit[0]
        )
        s.assured_capacity, s.estimated_capacity = able, max(able, 1e-9)
        s.selection_weight = s.estimated_capacity * unit[1]


def zone_capacities(books: BalancerState, known: list[EndpointStatistics], now: float) -> dict[int, float]:
    """Requests a second that each zone can do: by the list, and by what some have shown."""
    rates: dict[int, float] = {}
    for (zone, like), weight in books.available.capacities(now).items():
        rates[zone] = rates.get(zone, 0.0) + weight * profile_rate(books, like)
    for s in known:
        prior = (
            s.listed_weight * profile_rate(books, s.profile) * s.warm_fraction(now, books.settings.slow_start)
        )
        rates[s.endpoint.zone] += s.estimated_capacity - prior
    return rates


def prefer_own_zone(
    books: BalancerState, drawn: list[EndpointStatistics], known: list[EndpointStatistics], now: float
) -> None:
    """Calls stay in their zone as far as it can carry them; the list tells all of a zone alike."""
    own, others = books.by_locality[0], [s for s in drawn if s.endpoint.zone != books.settings.zone]
    shown = [s for s in known if s.endpoint.zone == books.settings.zone]
    served = sum((s.success_rate / books.best_success_rate) ** SHUN for s in shown if not s.unresponsive)
    served += (len(own) - len(shown)) * (books.mean_success_rate / books.best_success_rate) ** SHUN
    afar = AFAR / max(served / max(len(own), 1), AFAR)
    zones = zone_capacities(books, known, now)
    able = sum(zones.values())
    if books.settings.zone in zones:
        calls = books.demand * books.settings.balancers / len(zones)  # of each zone, a second
        full = max(FULL, calls * len(zones) / able)
        kept = min(full * zones[books.settings.zone] / max(calls, 1e-9), 1.0)
        if kept < 1:
            for s in others:
                s.selection_weight *= max(1 - calls / (full * zones[s.endpoint.zone]), AFAR)
            near = sum(s.selection_weight for s in drawn if s.endpoint.zone == books.settings.zone)
            far = sum(s.selection_weight for s in others)
            afar = max(afar, near * (1 - kept) / max(kept * far, 1e-9))
    for s in others:
        s.selection_weight *= afar

"""Weights: the relative share of the requests that each endpoint gets, based on what was observed of it.

A weight is the endpoint's estimated capacity, lowered for slowness and misses and, where endpoints report
their load, by zone. The slow-start rates of endpoints that are warming up are updated with the weights.
Capacities are in requests per s or, where nothing is reported, in units of listed weight.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp

from .balancer_state import BalancerState
from .endpoint_statistics import EndpointStatistics, LatencyProfile
from .selection_tables import MIN_CAPACITY, update_selection_tables, use_listed_weights
from .subsetting import subset

Endpoints = list[EndpointStatistics]

# Number of samples with which an endpoint's own mean counts as much as the mean of its kind.
PRIOR_SAMPLES = 4.0
# Power of the relative slowness by which the weight falls; much of it may be time spent in lower tiers.
SLOWNESS_EXPONENT = 2.0
# Power of the relative success rate by which the weight falls.
SUCCESS_EXPONENT = 3.0
# Upper limit of the factor for an endpoint that is faster than its kind.
MAX_SPEED_FACTOR = 4.0
# Fraction of its weight that an endpoint always keeps, so that its recovery is noticed.
FLOOR = 0.02
# Fraction of the load that overloads an endpoint in slow start: balancers may have saved as much again.
SLOW_START_HEADROOM = 0.5
# Fraction of its weight that an endpoint of another zone keeps while the balancer's own zone is healthy.
REMOTE_ZONE_FLOOR = 0.05
# Utilisation of the balancer's own zone up to which requests stay in it. Above it, waits grow.
MAX_LOCAL_UTILISATION = 0.6
# Number of candidates up to which each change of the endpoint list updates the weights.
MAX_IMMEDIATE_CANDIDATES = 64
# Minimum time between two updates after changes of a longer list, in ms per candidate.
RENEWAL_INTERVAL_MS = 0.1
# Sum of reported utilisation with which an endpoint's own reports count as much as those of its kind.
PRIOR_USE = 0.5


def update_weights(state: BalancerState, now: float) -> None:
    """Update the weights of all candidates. After an internal error, use the listed weights.

    Called at the end of each window, when an endpoint is ejected or unresponsive, and if `weights_due`.
    """
    try:
        _renew_weights(state, now)
    except Exception as error:
        state.report_error(error)
        use_listed_weights(state, now)
    state.weights_at = now
    state.weights_stale = False


def _renew_weights(state: BalancerState, now: float) -> None:
    observed, settings = state.prune_observed(now), state.settings
    subsets = subset(state.by_locality, state.mean_in_flight, settings.balancer_index, settings.balancers)
    candidates = [endpoint for members in subsets for endpoint in members]
    for endpoint in observed:
        estimate_capacity(state, endpoint, now)
    _update_success_rates(state, candidates, now)
    update_all_weights(state, candidates, now)
    # Without reports, the cross-zone cost is applied at the selection of an endpoint for each request.
    if settings.cross_zone_cost and state.tier_profile.reported_rate:
        prefer_own_zone(state, candidates, observed, now)
    _update_slow_start_rates(state, candidates, subsets)
    update_selection_tables(state, candidates)


def _update_success_rates(state: BalancerState, candidates: Endpoints, now: float) -> None:
    successes, failures = state.total_successes, state.total_failures
    state.mean_success_rate = (successes + PRIOR_SAMPLES) / (successes + failures + PRIOR_SAMPLES)
    rates = (endpoint.success_rate for endpoint in candidates if not endpoint.is_ejected(now))
    state.best_success_rate = max(rates, default=1.0)


def _update_slow_start_rates(state: BalancerState, candidates: Endpoints, subsets: list[Endpoints]) -> None:
    """Divide the requests that endpoints in slow start may be sent among all balancers.

    The shares are equal or, without reports, in proportion to the responses that each balancer got.
    """
    reported = state.tier_profile.reported_rate
    balancer_share = 1 / state.settings.slow_start_divisor if reported else state.measured_rate
    overload_multiple = state.settings.slow_start.overload_multiple
    state.slow_start_rate = SLOW_START_HEADROOM * overload_multiple * balancer_share / 1000
    for endpoint in state.warming:
        endpoint.slow_start_rate = 0.0
    state.warming = [endpoint for endpoint in candidates if endpoint.started_at > 0]
    for group, members in zip(state.by_locality, subsets, strict=True):
        for endpoint in members:
            if endpoint.started_at > 0:
                endpoint_rate = state.slow_start_rate * endpoint.assured_capacity * len(group) / len(members)
                endpoint.slow_start_rate = endpoint_rate * state.locality_factor(endpoint)


def weights_due(state: BalancerState, now: float) -> bool:
    """Whether the weights must be updated now, after a change of the endpoint list.

    Draining endpoints get no requests even without it. Updating for each of thousands would delay requests.
    """
    count = len(state.candidates[0])
    return state.weights_stale and (
        count <= MAX_IMMEDIATE_CANDIDATES or now >= state.weights_at + RENEWAL_INTERVAL_MS * count
    )


def profile_rate(state: BalancerState, profile: LatencyProfile) -> float:
    """Requests per s that a warm endpoint of weight 1 can serve at full utilisation; 1 without reports."""
    profile = profile if profile.reported_rate else state.tier_profile
    return profile.reported_rate / profile.reported_use if profile.reported_rate else 1.0


def _prior_capacity(state: BalancerState, endpoint: EndpointStatistics, now: float) -> float:
    """The capacity in requests per s that the endpoint's kind, listed weight and age suggest."""
    full = endpoint.listed_weight * profile_rate(state, endpoint.profile)
    return full * endpoint.warm_fraction(now, state.settings.slow_start)


def estimate_capacity(state: BalancerState, endpoint: EndpointStatistics, now: float) -> None:
    """Estimate an endpoint's present capacity by its own reports, or else by those of its kind and its age.

    Requests per s divided by utilisation are the rate at full utilisation (gRPC proposal A58). The reports
    count the requests of all balancers.
    """
    fade = exp((endpoint.last_report_at - now) / state.report_memory_ms)
    prior = _prior_capacity(state, endpoint, now)
    # A report of utilisation without finished requests does not prove that the endpoint is dead.
    rate = endpoint.reported_rate_sum * fade + PRIOR_USE * prior
    measured = rate / (endpoint.reported_use_sum * fade + PRIOR_USE)
    endpoint.assured_capacity = min(measured, prior)
    present = measured * (FLOOR if endpoint.unresponsive else 1.0)
    endpoint.estimated_capacity = max(present, FLOOR * prior, MIN_CAPACITY)


def update_weight(state: BalancerState, endpoint: EndpointStatistics, now: float) -> None:
    """Update the weight of one endpoint that has observations; the weight is 0 while it is ejected."""
    fade = exp((endpoint.updated_at - now) / state.evidence_memory_ms)
    samples = endpoint.latency_samples * fade
    successes, failures = endpoint.successes * fade, endpoint.failures * fade
    ratio_sum = endpoint.latency_ratio_sum * fade + PRIOR_SAMPLES * endpoint.profile.recent
    success_sum = successes + PRIOR_SAMPLES * state.mean_success_rate
    endpoint.latency_ratio = ratio_sum / (samples + PRIOR_SAMPLES)
    endpoint.success_rate = success_sum / (successes + failures + PRIOR_SAMPLES)
    if endpoint.is_ejected(now):
        endpoint.selection_weight = 0.0
    else:
        endpoint.selection_weight = endpoint.estimated_capacity * max(weight_factor(state, endpoint), FLOOR)


def weight_factor(state: BalancerState, endpoint: EndpointStatistics) -> float:
    """Factor for slowness and misses. Both are relative: if all are slow or fail, none is penalised."""
    profile = endpoint.profile if state.tier_profile.reported_rate else state.tier_profile
    speed: float = min((profile.recent / endpoint.latency_ratio) ** SLOWNESS_EXPONENT, MAX_SPEED_FACTOR)
    success: float = min(endpoint.success_rate / state.best_success_rate, 1.0) ** SUCCESS_EXPONENT
    return speed * success


def update_all_weights(state: BalancerState, endpoints: Iterable[EndpointStatistics], now: float) -> None:
    """Update the weights of many endpoints, and the capacities of those without observations.

    The latter may be thousands. They differ only in listed weight and age: the rest is computed per kind.
    """
    # By kind: the capacity of a warm endpoint of weight 1, and its weight factor.
    units: dict[LatencyProfile, tuple[float, float]] = {}
    slow_start = state.settings.slow_start
    for endpoint in endpoints:
        if endpoint in state.observed:
            update_weight(state, endpoint, now)
            continue
        endpoint.latency_ratio = endpoint.profile.recent
        endpoint.success_rate = state.mean_success_rate
        unit = units.get(endpoint.profile)
        if unit is None:
            unit = profile_rate(state, endpoint.profile), max(weight_factor(state, endpoint), FLOOR)
            units[endpoint.profile] = unit
        rate, factor = unit
        capacity = endpoint.listed_weight * rate
        if endpoint.started_at > 0:
            capacity *= endpoint.warm_fraction(now, slow_start)
        endpoint.assured_capacity = capacity
        endpoint.estimated_capacity = max(capacity, MIN_CAPACITY)
        endpoint.selection_weight = endpoint.estimated_capacity * factor


def zone_capacities(state: BalancerState, observed: Endpoints, now: float) -> dict[int, float]:
    """Capacity of each zone, by the endpoint list and by the estimates for the observed endpoints."""
    capacities: dict[int, float] = {}
    for (zone, profile), weight in state.available.capacities(now).items():
        capacities[zone] = capacities.get(zone, 0.0) + weight * profile_rate(state, profile)
    for endpoint in observed:
        prior = _prior_capacity(state, endpoint, now)
        capacities[endpoint.endpoint.zone] += endpoint.estimated_capacity - prior
    return capacities


def prefer_own_zone(
    state: BalancerState,
    candidates: Endpoints,
    observed: Endpoints,
    now: float,
) -> None:
    """Lower the weights of other zones' endpoints, as far as the own zone has capacity for its requests."""
    zone = state.settings.zone
    remote = [endpoint for endpoint in candidates if endpoint.endpoint.zone != zone]
    remote_factor = REMOTE_ZONE_FLOOR / max(_own_zone_health(state, observed), REMOTE_ZONE_FLOOR)
    capacities = zone_capacities(state, observed, now)
    total_capacity = sum(capacities.values())
    # While all endpoints drain or have weight 0 there is no capacity, and no zone to prefer.
    if zone in capacities and total_capacity > 0:
        zone_demand = state.demand * state.settings.balancers / len(capacities)  # requests per s of each zone
        utilisation = max(MAX_LOCAL_UTILISATION, zone_demand * len(capacities) / total_capacity)
        local_fraction = min(utilisation * capacities[zone] / max(zone_demand, 1e-9), 1.0)
        if local_fraction < 1:
            for endpoint in remote:
                usable = utilisation * capacities[endpoint.endpoint.zone]
                spare = 1 - zone_demand / usable if usable > 0 else 0.0
                endpoint.selection_weight *= max(spare, REMOTE_ZONE_FLOOR)
            local = [endpoint for endpoint in candidates if endpoint.endpoint.zone == zone]
            local_weight = sum(endpoint.selection_weight for endpoint in local)
            remote_weight = sum(endpoint.selection_weight for endpoint in remote)
            spilled = local_weight * (1 - local_fraction) / max(local_fraction * remote_weight, 1e-9)
            remote_factor = max(remote_factor, spilled)
    for endpoint in remote:
        endpoint.selection_weight *= remote_factor


def _own_zone_health(state: BalancerState, observed: Endpoints) -> float:
    """Mean success factor of the endpoints in the own zone. Unresponsive endpoints count as 0."""
    own = state.by_locality[0]
    own_observed = [endpoint for endpoint in observed if endpoint.endpoint.zone == state.settings.zone]
    rates = [endpoint.success_rate for endpoint in own_observed if not endpoint.unresponsive]
    success: float = sum((rate / state.best_success_rate) ** SUCCESS_EXPONENT for rate in rates)
    unobserved = len(own) - len(own_observed)
    success += unobserved * (state.mean_success_rate / state.best_success_rate) ** SUCCESS_EXPONENT
    return success / max(len(own), 1)

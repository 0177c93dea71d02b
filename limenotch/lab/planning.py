"""Makes a plan from a scenario and a seed: draws every range, and builds the settings of each sidecar."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from .. import toml
from .model.chance import Chance, Seeds
from .model.clients import AccountSpec, ClassSpec, ClientSpec, TraceRow
from .model.directory import DirectorySpec
from .model.network import NetworkSpec
from .model.provider_spec import ProviderSpec, Stops
from .scenario import MAX_REQUESTS, Range, Scenario, read_trace


def _draw(value: Range, chance: Chance) -> float:
    return chance.between(*value) if isinstance(value, tuple) else value


class Machine(Struct, frozen=True):
    """One machine of a tier; its successive processes share these properties."""

    tier: int
    index: int
    kind: int
    zone: int
    cell: int
    weight: float
    spec: ProviderSpec


class TierPlan(Struct, frozen=True):
    """A tier of the plan."""

    name: str
    work: float
    calls: float
    machines: tuple[Machine, ...]
    handshake_rtts: float
    idle_ms: float
    connect_timeout_ms: float

    @property
    def capacity(self) -> float:
        """Capacity in ms of reference-core work per ms."""
        return sum(m.spec.cores * m.spec.speed for m in self.machines)


class Plan(Struct, frozen=True):
    """All drawn values of a run."""

    scenario: Scenario
    seed: int
    length_ms: float
    tiers: tuple[TierPlan, ...]
    classes: tuple[ClassSpec, ...]
    accounts: tuple[AccountSpec, ...]
    clients: ClientSpec
    network: NetworkSpec
    directory: DirectorySpec
    rate_per_s: float  # capacity of the fleet, in requests
    quota_per_s: float
    trace: tuple[TraceRow, ...] | None

    @property
    def first_rate(self) -> float:
        """The rate of requests per second at the start, without wave and surges."""
        return self.clients.rate_per_s


def _machines(scenario: Scenario, number: int, seeds: Seeds) -> tuple[Machine, ...]:
    tier = scenario.tier[number]
    draw = seeds.stream("tier", number)
    total_share = sum(kind.share for kind in tier.kind)
    counts = [int(tier.providers * kind.share / total_share) for kind in tier.kind]
    for extra in range(tier.providers - sum(counts)):
        counts[extra % len(counts)] += 1
    kinds = [kind for kind, count in enumerate(counts) for _ in range(count)]
    order = draw.permutation(len(kinds))
    choke, report, connections = tier.choke, tier.report, tier.connections
    kind_speeds = [_draw(kind.speed, draw) for kind in tier.kind]
    machines = []
    zones = len(scenario.network.zones)
    last_index_by_zone: dict[int, int] = {}
    for index in range(tier.providers):
        kind = tier.kind[kinds[order[index]]]
        zone = index % zones
        index_in_zone = last_index_by_zone[zone] = last_index_by_zone.get(zone, -1) + 1
        cv = _draw(kind.speed_cv, draw)
        speed = kind_speeds[kinds[order[index]]] * max(1.0 + cv * draw.normal(), 0.3)
        cold_ms = _draw(kind.cold_s, draw) * 1000.0
        cold_from = _draw(kind.cold_from, draw)
        # Warm-up by work ends after half of the work that a fully used provider does during `cold_ms`.
        warm_work_ms = kind.cores * speed * cold_ms * (1 + cold_from) / 4 if kind.warm_by == "work" else 0.0
        spec = ProviderSpec(
            cores=kind.cores,
            speed=speed,
            slots=max(round(kind.cores * _draw(kind.slots, draw)), 1),
            queue=round(kind.cores * _draw(kind.queue, draw)),
            crowd_at=max(_draw(kind.crowd_at, draw), 1.0),
            crowd_loss=_draw(kind.crowd_loss, draw),
            choke_at=_draw(choke.at, draw),
            choke_over_ms=_draw(choke.over_s, draw) * 1000.0,
            choke_slower=max(_draw(choke.slower, draw), 1.0),
            choke_rest_ms=_draw(choke.rest_s, draw) * 1000.0,
            choke_below=_draw(choke.below, draw),
            choke_most_ms=_draw(choke.most_s, draw) * 1000.0,
            cold_from=cold_from,
            cold_ms=cold_ms,
            warm_work_ms=warm_work_ms,
            fall_multiple=scenario.rules.fall_multiple,
            fall_ms=scenario.rules.fall_s * 1000.0,
            error_rate=_draw(kind.error_rate, draw),
            stops=Stops(kind.stops),
            drops_expired=kind.drops_expired,
            handshake_ms=_draw(connections.handshake_us, draw) / 1000.0,
            connections=max(round(kind.cores * _draw(connections.cap_per_core, draw)), 1),
            full_tax=_draw(connections.full_tax, draw),
            probe_ms=_draw(tier.probe_us, draw) / 1000.0,
            reports=report.sent,
            report_ms=_draw(report.period_ms, draw),
            report_delay_ms=_draw(report.delay_ms, draw),
            report_noise=_draw(report.noise, draw),
        )
        weight = round(spec.cores * speed * draw.between(0.8, 1.25), 2) if tier.weights == "rough" else 1.0
        cell = zone * 10_000 + index_in_zone // tier.cell_size
        machines.append(Machine(number, index, kinds[order[index]], zone, cell, weight, spec))
    return tuple(machines)


def plan(scenario: Scenario, seed: int) -> Plan:
    """Draws every range by the seed. Raises toml.FaultError for an unreadable trace or too many requests."""
    seeds = Seeds(seed)
    draw = seeds.stream("plan")
    tiers = []
    for number, tier in enumerate(scenario.tier):
        connections = tier.connections
        tiers.append(
            TierPlan(
                tier.name,
                tier.work,
                _draw(tier.calls, draw) if number + 1 < len(scenario.tier) else 0.0,
                _machines(scenario, number, seeds),
                _draw(connections.handshake_rtts, draw),
                _draw(connections.idle_s, draw) * 1000.0,
                _draw(connections.connect_timeout_ms, draw),
            )
        )
    classes = tuple(
        ClassSpec(
            cls.name,
            _draw(cls.share, draw),
            _draw(cls.work_ms, draw),
            cls.effect,
            cls.scope,
            cls.window_s * 1000.0,
            cls.dist,
            _draw(cls.cv, draw),
            _draw(cls.attempt_noise, draw),
            cls.aim_ms,
            cls.deadline_ms,
            cls.worth,
            cls.late_worth,
            cls.carried,
        )
        for cls in scenario.cls
    )
    accounts = tuple(AccountSpec(a.name, a.share, _draw(a.usage, draw)) for a in scenario.account)
    shares = sum(cls.share for cls in classes)
    mean_work_ms = sum(cls.share * cls.work_ms for cls in classes) / shares
    # Requests per second, without retries, that the tier with the least capacity can serve.
    max_rate_per_s, lower_requests_per_request = float("inf"), 1.0
    for tier_plan in tiers:
        max_rate_per_s = min(
            max_rate_per_s, tier_plan.capacity * 1000.0 / (mean_work_ms * tier_plan.work * lower_requests_per_request)
        )
        lower_requests_per_request *= tier_plan.calls
    clients_table = scenario.clients
    trace = read_trace(clients_table.trace, scenario) if clients_table.trace is not None else None
    rate_per_s = _draw(clients_table.rate_per_s, draw) if clients_table.rate_per_s is not None else 0.0
    if clients_table.load is not None:
        rate_per_s = _draw(clients_table.load, draw) * max_rate_per_s
    if rate_per_s * scenario.length_s > MAX_REQUESTS:
        raise toml.FaultError(f"{scenario.name}: clients: more than {MAX_REQUESTS} requests in all")
    clients = ClientSpec(
        rate_per_s,
        _draw(clients_table.wave, draw),
        _draw(clients_table.wave_s, draw) * 1000.0,
        round(_draw(clients_table.retries, draw)),
        _draw(clients_table.retry_share, draw),
        clients_table.backoff_ms,
        clients_table.backoff_grows,
        _draw(clients_table.honour, draw),
        clients_table.patience,
        _draw(clients_table.zone_skew, draw),
    )
    network_table, directory_table = scenario.network, scenario.directory
    network = NetworkSpec(
        network_table.zones,
        _draw(network_table.same_ms, draw),
        network_table.cross_ms,
        _draw(network_table.client_ms, draw),
        _draw(network_table.jitter, draw),
    )
    directory = DirectorySpec(
        directory_table.add_ms,
        directory_table.drain_ms,
        directory_table.notice_ms,
        directory_table.silent_ms,
        _draw(directory_table.period_ms, draw),
        _draw(directory_table.spread_ms, draw),
        _draw(directory_table.call_ms, draw),
        _draw(directory_table.timeout_ms, draw),
    )
    quota_per_s = max_rate_per_s * _draw(scenario.sidecars.quota_of_capacity, draw)
    return Plan(
        scenario,
        seed,
        scenario.length_s * 1000.0,
        tuple(tiers),
        classes,
        accounts,
        clients,
        network,
        directory,
        max_rate_per_s,
        quota_per_s,
        trace,
    )


def settings_of(plan: Plan, tier: int, rank: int, balancers: int, zone: int) -> dict[str, Any]:
    """The settings of a sidecar in front of a tier, in the platform's JSON form, for simulator and emulator."""
    scenario, tier_plan = plan.scenario, plan.tiers[tier]
    shares = sum(account.share for account in plan.accounts) or 1.0
    return {
        "classes": [
            {
                "name": c.name,
                "effect": c.effect,
                "dedup_scope": c.scope,
                "window_ms": c.window_ms,
                "target_ms": c.aim_ms,
                "hard_limit_ms": c.deadline_ms,
                "worth": c.worth,
                "late_worth": c.late_worth,
            }
            for c in plan.classes
        ],
        "tenants": [
            {"name": a.name, "quota_per_s": round(plan.quota_per_s * a.share / shares, 6)} for a in plan.accounts
        ],
        "zones": list(scenario.network.zones),
        "skus": [kind.name for kind in scenario.tier[tier].kind],
        "balancers": balancers,
        "rank": rank,
        "layer": tier,
        "locality": zone,
        "over_share_worth": scenario.sidecars.over_share_worth,
        "registry_mode": scenario.sidecars.list_by,
        "weights": "off" if scenario.tier[tier].weights == "none" else "rough",
        "permissions": {
            "max_attempts": scenario.sidecars.max_attempts,
            "cancel": scenario.sidecars.cancel,
            "parallel_tries": scenario.sidecars.copies,
            "retry_after": scenario.sidecars.max_retry_after_ms > 0,
            "max_retry_after_ms": scenario.sidecars.max_retry_after_ms,
            "conn_idle_ms": tier_plan.idle_ms,
            "connect_timeout_ms": tier_plan.connect_timeout_ms,
        },
        "costs": {"cross_zone": scenario.sidecars.crossing_cost},
        "rules": {
            "start_capacity": scenario.rules.start_capacity or 1e-3,
            "cold_ms": scenario.rules.cold_s * 1000.0,
            "fall_multiple": scenario.rules.fall_multiple,
            "overload_for_ms": scenario.rules.fall_s * 1000.0,
            "drain_grace_ms": scenario.rules.drain_grace_ms,
        },
    }

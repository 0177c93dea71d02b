"""Scenarios: a fleet, its traffic and a schedule of faults, in TOML; they are read and checked only here.

A number that may differ from run to run is given as a pair `[low, high]`, from which the seed draws.
Unknown keys are errors. An error names the file, the line and the key.
"""

from __future__ import annotations

import csv
from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from .. import toml
from .model.clients import TraceRow

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Range = float | tuple[float, float]  # one number, or low and high

MAX_PROVIDERS = 20_000
MAX_REQUESTS = 50_000_000  # of a run, without retries
FAULT_KINDS = Literal[
    "deploy",
    "slow",
    "neighbour",
    "surge",
    "hot_sidecar",
    "directory_down",
    "forget",
    "silent",
    "kill",
    "cut_link",
    "stall",
    "error_burst",
    "spoil",
    "ban",
    "retune",
    "upgrade",
]
OPERATOR_FAULTS = ("ban", "retune", "upgrade")  # actions of operators at sidecars; only in simulated time


class Kind(Struct, frozen=True, forbid_unknown_fields=True):
    """Machines of one kind; `slots` and `queue` are per core."""

    name: str
    share: Positive = 1.0
    cores: Count = 1
    speed: Range = 1.0
    speed_cv: Range = 0.0
    slots: Range = 1.0
    queue: Range = 1e6
    crowd_at: Range = 1e9
    crowd_loss: Range = 0.0
    cold_from: Range = 1.0
    cold_s: Range = 0.0
    warm_by: Literal["time", "work"] = "time"
    error_rate: Range = 0.0
    stops: Literal["all", "queued", "none"] = "all"
    drops_expired: bool = True


class Choke(Struct, frozen=True, forbid_unknown_fields=True):
    at: Range = 1e9
    over_s: Range = 2.0
    slower: Range = 1.0
    rest_s: Range = 3.0
    below: Range = 0.3
    most_s: Range = 20.0


class Report(Struct, frozen=True, forbid_unknown_fields=True):
    sent: bool = True  # false: responses carry no load report
    fields: tuple[Literal["util", "qps"], ...] = ("util", "qps")  # of the load report
    period_ms: Range = 500.0
    delay_ms: Range = 100.0
    noise: Range = 0.02


class Connections(Struct, frozen=True, forbid_unknown_fields=True):
    handshake_rtts: Range = 1.0
    handshake_us: Range = 0.0
    idle_s: Range = 60.0
    connect_timeout_ms: Range = 250.0
    cap_per_core: Range = 1e6
    full_tax: Range = 0.0


class Tier(Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    providers: Count
    kind: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    work: Positive = 1.0  # share of a class's work that a request causes here
    calls: Range = 1.0  # requests to the tier below for each request here, on average
    cell_size: Count = 6
    weights: Literal["none", "rough"] = "none"
    probe_us: Range = 0.0
    choke: Choke = Choke()
    report: Report = Report()
    connections: Connections = Connections()


class Class(Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    work_ms: Range
    aim_ms: Positive
    deadline_ms: Positive
    share: Range = 1.0
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    scope: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegative = 0.0
    dist: Literal["exp", "lognormal", "fixed"] = "exp"
    cv: Range = 1.0
    attempt_noise: Range = 0.0
    worth: NonNegative = 1.0
    late_worth: Share = 0.0
    carried: bool = True  # a large request is large in every tier; otherwise each tier draws its own size


class Account(Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    share: Positive
    usage: Range = 1.0


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    load: Range | None = None  # share of the capacity of the tier with the least capacity
    rate_per_s: Range | None = None
    trace: str | None = None  # CSV: at_ms, class, account, size
    wave: Range = 0.0
    wave_s: Range = 30.0
    retries: Range = 0.0
    retry_share: Range = 1.0
    backoff_ms: tuple[float, float] = (100.0, 800.0)
    backoff_grows: bool = False
    honour: Range = 0.9
    patience: tuple[float, float] = (1.0, 1.0)
    zone_skew: Range = 0.0


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a",)
    same_ms: Range = 0.2
    cross_ms: tuple[float, float] = (5.6, 10.0)
    client_ms: Range = 0.5
    jitter: Range = 0.1


class Directory(Struct, frozen=True, forbid_unknown_fields=True):
    add_ms: tuple[float, float] = (250.0, 1600.0)
    drain_ms: tuple[float, float] = (50.0, 300.0)
    notice_ms: tuple[float, float] = (1900.0, 4900.0)
    silent_ms: tuple[float, float] = (6300.0, 13000.0)
    period_ms: Range = 500.0
    spread_ms: Range = 50.0
    call_ms: Range = 20.0
    timeout_ms: Range = 2000.0


class Sidecars(Struct, frozen=True, forbid_unknown_fields=True):
    """The entry sidecars; each provider of a tier that calls another has a sidecar of its own as well."""

    count: Count = 4
    max_attempts: Count = 4
    copies: bool = True
    cancel: bool = True
    max_retry_after_ms: NonNegative = 2000.0
    list_by: Literal["ask", "push"] = "ask"  # ask: the directory sends the list only to watchers
    passes_deadline: bool = True  # a lower-tier request carries the remaining time of its request
    over_share_worth: Share = 0.05
    quota_of_capacity: Range = 0.8
    crossing_cost: NonNegative = 0.015


class RulesTable(Struct, frozen=True, forbid_unknown_fields=True):
    drain_grace_ms: NonNegative = 250.0
    fall_multiple: Positive = 4.0
    fall_s: Positive = 3.0
    start_capacity: Share = 0.12
    cold_s: NonNegative = 24.0


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault from `at_s` on for `length_s`; the meaning of `size` depends on the kind, see `FaultAction`."""

    kind: FAULT_KINDS
    at_s: Range
    length_s: Range = 0.0
    tier: str | None = None  # default: the first tier
    part: Range | None = None  # share of the tier's machines
    count: Count | None = None
    victims: tuple[Annotated[int, Meta(ge=0)], ...] | None = None  # machines by number, from 0
    size: Range = 0.0
    batch: Range = 0.1  # deploy: share of the tier at a time
    drain_s: Range = 3.0  # deploy: from the start of the drain to the end of the process
    on_s: Range = 0.0  # neighbour: mean length of on and off periods; 0: on all the time
    account: str | None = None  # surge: default: drawn by the seed
    zones: tuple[str, str] | None = None  # cut_link
    rise_s: Range = 0.0  # surge, hot_sidecar


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    tier: Annotated[tuple[Tier, ...], Meta(min_length=1, max_length=6)]
    cls: Annotated[tuple[Class, ...], Meta(min_length=1)] = msgspec.field(name="class")
    clients: Clients
    extends: str | None = None  # the shipped scenario whose values this one overrides
    look_for: str = ""
    length_s: Annotated[float, Meta(gt=0, le=3600)] = 60.0
    account: tuple[Account, ...] = ()
    network: Network = Network()
    directory: Directory = Directory()
    sidecars: Sidecars = Sidecars()
    rules: RulesTable = RulesTable()
    fault: tuple[Fault, ...] = ()


def _invalid_ranges(value: Any, path: str) -> Iterator[tuple[str, str]]:
    """Pairs that are not in the order low, high, and values that are not numbers, as path and message."""
    if isinstance(value, Struct):
        for key, encoded in zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True):
            yield from _invalid_ranges(getattr(value, key), f"{path}.{encoded}" if path else encoded)
    elif isinstance(value, tuple):
        if len(value) == 2 and all(isinstance(n, (int, float)) for n in value) and not path.endswith("victims"):
            if value[0] > value[1]:
                yield path, "expected low and high, in this order"
        else:
            for number, inner in enumerate(value):
                yield from _invalid_ranges(inner, f"{path}[{number}]")
    elif isinstance(value, float) and value != value:
        yield path, "expected a number"


# Keys whose values must be at most 1, and keys whose values must be above 0; all others must be 0 or more.
SHARE_KEYS = frozenset({"cold_from", "error_rate", "part", "batch", "full_tax", "honour", "retry_share", "wave"})
POSITIVE_KEYS = frozenset(
    {"speed", "work_ms", "load", "rate_per_s", "cold_from", "batch", "wave_s", "period_ms", "cap_per_core"}
)


def _out_of_bounds(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, Struct):
        for key, encoded in zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True):
            yield from _out_of_bounds(getattr(value, key), f"{path}.{encoded}" if path else encoded)
        return
    if isinstance(value, tuple) and value and isinstance(value[0], Struct):
        for number, inner in enumerate(value):
            yield from _out_of_bounds(inner, f"{path}[{number}]")
        return
    numbers = [n for n in (value if isinstance(value, tuple) else (value,)) if isinstance(n, float)]
    key = path.rpartition(".")[2]
    if key in POSITIVE_KEYS and any(n <= 0 for n in numbers):
        yield path, "expected a number above 0"
    elif any(n < 0 for n in numbers):
        yield path, "expected 0 or more"
    elif key in SHARE_KEYS and any(n > 1 for n in numbers):
        yield path, "expected 1 at most"


def _errors(scenario: Scenario) -> Iterator[tuple[str, str]]:
    """Errors that the types do not catch, as path and message."""
    yield from _invalid_ranges(scenario, "")
    yield from _out_of_bounds(scenario, "")
    for key, names in (
        ("tier", [tier.name for tier in scenario.tier]),
        ("class", [cls.name for cls in scenario.cls]),
        ("account", [account.name for account in scenario.account]),
    ):
        for number, name in enumerate(names):
            if name in names[:number]:
                yield f"{key}[{number}].name", f"{name!r} is there twice"
    if sum(tier.providers for tier in scenario.tier) > MAX_PROVIDERS:
        yield "tier", f"more than {MAX_PROVIDERS} providers in all"
    scopes = {cls.scope for cls in scenario.cls if cls.effect == "deduplicated"}
    for number, cls in enumerate(scenario.cls):
        if cls.effect == "deduplicated" and len(scopes) > 1 and cls.scope != scenario.cls[0].scope:
            yield f"class[{number}].scope", "expected one scope for all keyed classes: a provider is in one group"
    clients = scenario.clients
    if sum(source is not None for source in (clients.load, clients.rate_per_s, clients.trace)) != 1:
        yield "clients", "expected one of load, rate_per_s and trace"
    tiers = {tier.name: tier for tier in scenario.tier}
    for number, fault in enumerate(scenario.fault):
        path = f"fault[{number}]"
        tier = tiers.get(fault.tier) if fault.tier is not None else scenario.tier[0]
        if tier is None:
            yield f"{path}.tier", f"{fault.tier!r} is no tier of this scenario"
            continue
        if sum(way is not None for way in (fault.part, fault.count, fault.victims)) > 1:
            yield path, "expected one of part, count and victims"
        if any(victim >= tier.providers for victim in fault.victims or ()):
            yield f"{path}.victims", f"tier {tier.name} has machines 0 to {tier.providers - 1}"
        if fault.account is not None and fault.account not in [account.name for account in scenario.account]:
            yield f"{path}.account", f"{fault.account!r} is no account of this scenario"
        if fault.kind == "surge" and not scenario.account:
            yield f"{path}.kind", "a surge needs accounts"
        zones_exist = fault.zones is not None and all(zone in scenario.network.zones for zone in fault.zones)
        if fault.kind == "cut_link" and not zones_exist:
            yield f"{path}.zones", "expected two zones of this scenario"
        sizes = fault.size if isinstance(fault.size, tuple) else (fault.size,)
        if fault.kind == "retune" and (min(sizes) < 1 or any(size != int(size) for size in sizes)):
            yield f"{path}.size", "expected a number of attempts, 1 or more"
        if fault.kind == "slow" and min(sizes) < 1:
            yield f"{path}.size", "expected how many times slower, 1 or more"
        if fault.kind in ("neighbour", "hot_sidecar", "error_burst", "spoil") and not 0 < min(sizes) <= max(sizes) <= 1:
            yield f"{path}.size", "expected a part, above 0 and at most 1"


def parse(text: str, name: str, overrides: str = "") -> Scenario:
    """Parses a scenario. `overrides` replace single values of the text. Raises toml.FaultError with key and line."""
    base = toml.decode_table(text, name).get("extends")
    if base is None:
        scenario = (
            toml.decode_over(overrides, "change", text, name, Scenario)
            if overrides
            else toml.decode(text, name, Scenario)
        )
    else:
        if base not in shipped() or toml.decode_table(_shipped_text(base), base).get("extends") is not None:
            raise toml.fault(text, name, "extends", f"{base!r} is no shipped scenario that stands by itself")
        base_text = _shipped_text(base)
        scenario = toml.decode_over(text, name, base_text, f"{base}.toml", Scenario)
        if overrides:
            scenario = toml.decode_over(overrides, "change", text, name, Scenario, base_text)
    for path, message in _errors(scenario):
        raise toml.fault(text, name, path, message)
    return scenario


def _shipped_text(name: str) -> str:
    return (resources.files(__package__) / "scenarios" / f"{name}.toml").read_text(encoding="utf-8")


def shipped() -> list[str]:
    """The names of the shipped scenarios."""
    folder = resources.files(__package__) / "scenarios"
    return sorted(item.name.removesuffix(".toml") for item in folder.iterdir() if item.name.endswith(".toml"))


def load(name: str, overrides: str = "") -> Scenario:
    """Loads a shipped scenario by name, or a file by path. Raises toml.FaultError."""
    if name in shipped():
        return parse(_shipped_text(name), f"{name}.toml", overrides)
    path = Path(name)
    if not path.suffix:
        raise toml.FaultError(f"{name}: no such scenario; there are {', '.join(shipped())}, or a path to a .toml file")
    return parse(toml.read(path), str(path), overrides)


def load_for_load(name: str, overrides: list[str]) -> Scenario:
    """As `load`, but a rate among the overrides replaces the scenario's load or trace. Raises toml.FaultError."""
    scenario = load(name, "\n".join(line for line in overrides if not line.startswith("clients.rate_per_s")))
    for line in overrides:
        if line.startswith("clients.rate_per_s"):
            rate = float(line.partition("=")[2])
            clients = msgspec.structs.replace(scenario.clients, rate_per_s=rate, load=None, trace=None, wave=0.0)
            scenario = msgspec.structs.replace(scenario, clients=clients)
    return scenario


def read_trace(path: str, scenario: Scenario) -> tuple[TraceRow, ...]:
    """Reads rows `at_ms,class,account,size` in order of time; equal times are allowed. Raises toml.FaultError."""
    classes = {cls.name: number for number, cls in enumerate(scenario.cls)}
    accounts = {account.name: number for number, account in enumerate(scenario.account)}
    rows: list[TraceRow] = []
    last_ms = 0.0
    try:
        with open(path, encoding="utf-8", newline="") as file:
            for number, row in enumerate(csv.DictReader(file), 2):
                try:
                    at_ms, size = float(row["at_ms"]), float(row.get("size") or 1.0)
                    cls = classes[row["class"]]
                    account = accounts[row["account"]] if accounts else 0
                except (KeyError, ValueError, TypeError) as error:
                    raise toml.FaultError(f"{path}:{number}: {error}") from None
                if not (at_ms >= last_ms and 0 < size < 1e6):
                    raise toml.FaultError(f"{path}:{number}: expected times in order and a size above 0")
                last_ms = at_ms
                rows.append(TraceRow(at_ms, cls, account, size))
    except (OSError, UnicodeDecodeError) as error:
        raise toml.FaultError(f"{path}: {error}") from None
    return tuple(rows)

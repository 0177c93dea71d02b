"""Open-loop clients: requests arrive whether or not earlier ones were answered, and some clients retry.

The rate may swing as a wave, and accounts may surge; a trace of requests may replace both. The properties of a request
(class, account, size of its work, patience) are drawn when it is created, from the clients' own random streams: the
same seed gives the same requests, whatever the sidecars decide about them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import exp, log, pi, sin, sqrt

from .chance import Chance, Seeds


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests; `work_ms` is the work of all tiers together, on one reference core."""

    name: str
    share: float
    work_ms: float
    effect: str = "idempotent"
    scope: str = "all"
    window_ms: float = 0.0
    dist: str = "exp"  # exp, lognormal, fixed
    cv: float = 1.0
    attempt_noise: float = (
        0.0  # standard deviation of the logarithm of the factor by which the work of attempts differs
    )
    aim_ms: float = 1000.0
    deadline_ms: float = 3000.0
    worth: float = 1.0
    late_worth: float = 0.0
    carried: bool = True  # lower-tier requests have the size of their request; otherwise each draws its own


@dataclass(frozen=True, slots=True)
class AccountSpec:
    """An account (tenant)."""

    name: str
    share: float  # of the fleet's quota
    usage: float = 1.0  # the usual traffic, as a part of the share


@dataclass(frozen=True, slots=True)
class ClientSpec:
    """The behaviour of all clients; pairs are ranges that are drawn from."""

    rate_per_s: float = 10.0
    wave: float = 0.0  # amplitude of the wave, as a part of the rate
    wave_ms: float = 30_000.0
    retries: int = 0  # maximum of a client
    retry_share: float = 1.0  # share of the clients that retry at all
    backoff_ms: tuple[float, float] = (100.0, 800.0)
    backoff_grows: bool = False
    honour: float = 0.9  # share of the clients that obey Retry-After
    patience: tuple[float, float] = (
        1.0,
        1.0,
    )  # how long a client waits for an attempt, as a part of the class's deadline
    zone_skew: float = 0.0


@dataclass(slots=True)
class Request:
    """A request of a client; each of its attempts is a request of its own to a sidecar."""

    number: int
    created_at_ms: float
    cls: int
    account: int
    size: float  # factor of the work of its class
    budget_ms: float
    zone: int
    retries: int
    honours_retry_after: bool
    key: str
    within_quota: bool = True
    attempts: int = 0
    outcomes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TraceRow:
    """A request of a trace."""

    at_ms: float
    cls: int
    account: int
    size: float = 1.0


def draw_size(spec: ClassSpec, chance: Chance) -> float:
    """Draws a size, with mean 1."""
    if spec.dist == "fixed":
        return 1.0
    if spec.dist == "exp":
        return chance.exponential()
    variance = log(1.0 + spec.cv * spec.cv)
    return exp(sqrt(variance) * chance.normal() - variance / 2)


class Clients:
    """Creates the requests of a run."""

    def __init__(
        self,
        spec: ClientSpec,
        classes: tuple[ClassSpec, ...],
        accounts: tuple[AccountSpec, ...],
        zones: int,
        quota_per_s: float,
        seeds: Seeds,
        trace: tuple[TraceRow, ...] | None = None,
    ) -> None:
        """`quota_per_s` is the rate that all accounts together may send within their quotas."""
        self.spec, self.classes, self.accounts = spec, classes, accounts
        self.quota_per_s = quota_per_s
        self._arrivals, self._properties = seeds.stream("clients", "gaps"), seeds.stream("clients", "what")
        self._backoff = seeds.stream("clients", "back")
        self._trace: Iterator[TraceRow] | None = iter(trace) if trace is not None else None
        total_usage = sum(a.share * a.usage for a in accounts) or 1.0
        self._usual_shares = [a.share * a.usage / total_usage for a in accounts] or [1.0]
        self.surge_factors = [1.0] * len(self._usual_shares)
        self._phase = seeds.stream("clients", "wave").uniform()
        weights = [1.0 + spec.zone_skew * (1.0 if z == 0 else 0.0) for z in range(zones)]
        self._zones = [w / sum(weights) for w in weights]
        self._shares = [c.share / sum(c.share for c in classes) for c in classes]
        self._quota_tokens = [0.0] * len(
            self._usual_shares
        )  # by account, a token bucket; and the time of its last update
        self._quota_updated_ms = [0.0] * len(self._usual_shares)
        self.request_count = 0

    def rate_per_s(self, now: float) -> float:
        """The present rate of new requests."""
        spec = self.spec
        wave = 1.0 + spec.wave * sin(2 * pi * (now / spec.wave_ms + self._phase)) if spec.wave else 1.0
        return (
            spec.rate_per_s
            * wave
            * sum(
                usual_share * surge_factor
                for usual_share, surge_factor in zip(self._usual_shares, self.surge_factors, strict=True)
            )
        )

    def next(self, now: float) -> Request | None:
        """The next request after `now`; None at the end of a trace."""
        if self._trace is not None:
            row = next(self._trace, None)
            return None if row is None else self._request(max(row.at_ms, now), row.cls, row.account, row.size)
        rate = self.rate_per_s(now)
        created_at_ms = now + self._arrivals.exponential() * 1000.0 / max(rate, 1e-9)
        cls = _pick(self._shares, self._properties.uniform())
        weights = [
            usual_share * surge_factor
            for usual_share, surge_factor in zip(self._usual_shares, self.surge_factors, strict=True)
        ]
        total_weight = sum(weights)
        account = _pick([w / total_weight for w in weights], self._properties.uniform())
        return self._request(created_at_ms, cls, account, draw_size(self.classes[cls], self._properties))

    def _request(self, created_at_ms: float, cls: int, account: int, size: float) -> Request:
        spec, properties = self.spec, self._properties
        self.request_count += 1
        retries = spec.retries if properties.uniform() < spec.retry_share else 0
        budget = self.classes[cls].deadline_ms * properties.between(*spec.patience)
        zone = _pick(self._zones, properties.uniform())
        honours_retry_after = properties.uniform() < spec.honour
        key = f"k{self.request_count}" if self.classes[cls].effect == "deduplicated" else ""
        request = Request(
            self.request_count, created_at_ms, cls, account, size, budget, zone, retries, honours_retry_after, key
        )
        request.within_quota = self._take_quota_token(created_at_ms, account)
        return request

    def _take_quota_token(self, now: float, account: int) -> bool:
        if not self.accounts:
            return True
        rate = self.accounts[account].share * self.quota_per_s
        tokens = min(
            self._quota_tokens[account] + (now - self._quota_updated_ms[account]) * rate / 1000.0, max(rate, 1.0)
        )
        available = tokens >= 1.0
        self._quota_tokens[account], self._quota_updated_ms[account] = tokens - 1.0 if available else tokens, now
        return available

    def retry_delay_ms(self, request: Request, outcome: str, retry_after_ms: float) -> float | None:
        """The delay in ms until the client retries; None: it gives up. `outcome` is not `served`."""
        if request.attempts > request.retries:
            return None
        low, high = self.spec.backoff_ms
        delay_ms = self._backoff.between(low, high) * (
            2.0 ** (request.attempts - 1) if self.spec.backoff_grows else 1.0
        )
        if outcome == "rejected" and request.honours_retry_after and retry_after_ms > 0:
            # Clients that obey Retry-After return over a short span, as real clients do.
            delay_ms = max(delay_ms, retry_after_ms * (1.0 + 0.2 * self._backoff.uniform()))
        return delay_ms


def _pick(shares: list[float], draw: float) -> int:
    for number, share in enumerate(shares):
        draw -= share
        if draw < 0:
            return number
    return len(shares) - 1

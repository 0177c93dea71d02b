"""The record of a run: results that are the same for the same seed, on any machine and with any number of processes.

Latencies go into HDR histograms (1 us to 10 min, three digits). The latency of a request counts from its creation and
includes all attempts of its client. A request that is served within its class's latency objective earns its worth, a
later one `late_worth` of it, any other nothing. Traffic beyond an account's quota is worth `over_share_worth` of that.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

from .model.faults import FaultInterval
from .model.rules import RULES, RuleChecker
from .tallies import Sums, TierSums, Window, histogram, quantiles

if TYPE_CHECKING:
    from .model.clients import Request
    from .model.fleet import Fleet
    from .planning import Plan

WINDOW_MS = 1000.0
WORST_STRETCH_WINDOWS = 10  # consecutive seconds; the worst such stretch is part of the score
MAX_SERIES = 150  # up to so many providers each has its series; with more, only the tiers' quantiles are recorded
MAX_EVENTS = 2000

OUTCOMES = ("served", "rejected", "failed", "timed out", "unmade")


def _rounded(values: Iterable[float], digits: int = 4) -> list[float]:
    return [round(value, digits) for value in values]


@dataclass
class Series:
    """The state of one provider over time, one value per sample."""

    name: str
    kind: str
    zone: str
    runnable: list[int] = field(default_factory=list)
    held: list[int] = field(default_factory=list)
    util: list[float] = field(default_factory=list)
    state: list[str] = field(default_factory=list)  # one letter of STATES per sample


STATES = {"r": "ready", "c": "cold", "k": "choked", "d": "draining", "x": "down", "s": "silent", "t": "stalled"}


class Record:
    """Collects the events of one run."""

    def __init__(self, plan: Plan, intervals: list[FaultInterval]) -> None:
        self.plan, self.intervals = plan, intervals
        count = int(plan.length_ms / WINDOW_MS) + 1
        self.windows = [Window() for _ in range(count)]
        self.classes = [Sums() for _ in plan.classes]
        self.accounts = [Sums() for _ in plan.accounts]
        self.tiers = [TierSums() for _ in plan.tiers]
        self.latency = [histogram() for _ in plan.classes]
        self.finals = dict.fromkeys(OUTCOMES, 0)  # by the outcome of the last attempt of each request
        self.tries = self.retries = self.lines_told = 0
        self.events: list[tuple[float, str, str]] = []
        self.sampled_ms: list[float] = []
        self.spread: list[dict[str, list[float]]] = [{} for _ in plan.tiers]
        self.series: list[list[Series]] = []
        goodput = sum(len(tier.machines) for tier in plan.tiers)
        if goodput <= MAX_SERIES:
            kinds = [[kind.name for kind in tier.kind] for tier in plan.scenario.tier]
            self.series = [
                [
                    Series(f"{tier.name}-{m.index}", kinds[m.tier][m.kind], plan.network.zones[m.zone])
                    for m in tier.machines
                ]
                for tier in plan.tiers
            ]
        self._busy: dict[tuple[int, int], tuple[object, float]] = {}
        self.rules: RuleChecker | None = None
        self.work: list[dict[str, float]] = []
        self.cut_short = False
        self.machine: dict[str, Any] = {}  # of emulated runs: measurements of this machine
        self.host: dict[str, Any] = {}

    # Events from the host

    def _window(self, at: float) -> Window:
        return self.windows[min(int(at / WINDOW_MS), len(self.windows) - 1)]

    def _worth(self, request: Request) -> float:
        worth = self.plan.classes[request.cls].worth
        return worth if request.within_quota else worth * self.plan.scenario.sidecars.over_share_worth

    def request_created(self, request: Request) -> None:
        worth = self._worth(request)
        window = self._window(request.created_at_ms)
        sums = [self.classes[request.cls]]
        if self.accounts:
            sums.append(self.accounts[request.account])
        window.asked += 1
        window.worth += worth
        for each in sums:
            each.asked += 1
            each.worth += worth

    def attempt_started(self, now: float, request: Request) -> None:
        window = self._window(now)
        window.tries += 1
        self.tries += 1
        if request.attempts > 1:
            window.retries += 1
            self.retries += 1

    def attempt_sent(self, now: float, tier: int, number: int, crossing: bool) -> None:
        window, sums = self._window(now), self.tiers[tier]
        sums.attempts += 1
        sums.crossings += crossing
        window.attempts += 1
        if number:
            sums.again += 1
            window.copies += 1

    def attempt_ended(self, now: float, request: Request, outcome: str, retry_after_ms: float) -> None:
        """An attempt of a client has ended. The outcome of a request is that of its last attempt."""
        window = self._window(now)
        if request.outcomes:
            self.finals[request.outcomes[-1]] -= 1
        request.outcomes.append(outcome)
        self.finals[outcome] += 1
        if outcome == "rejected":
            window.rejected += 1
        elif outcome == "failed":
            window.failed += 1
        elif outcome == "timed out":
            window.timed_out += 1
        elif outcome == "served":
            window.served += 1
            self._served(now, request)

    def _served(self, now: float, request: Request) -> None:
        spec = self.plan.classes[request.cls]
        took = now - request.created_at_ms
        self.latency[request.cls].record_value(max(int(took * 1000.0), 1))
        in_time = took <= spec.aim_ms
        earned = self._worth(request) * (1.0 if in_time else spec.late_worth)
        self._window(request.created_at_ms).earned += earned
        sums = [self.classes[request.cls]]
        if self.accounts:
            sums.append(self.accounts[request.account])
        for each in sums:
            each.earned += earned
            each.served += 1
            each.in_time += in_time

    def list_entries_sent(self, lines: int) -> None:
        self.lines_told += lines

    def event(self, now: float, what: str, name: str) -> None:
        if len(self.events) < MAX_EVENTS:
            self.events.append((round(now, 3), what, name))

    def sample(self, now: float, fleet: Fleet) -> None:
        """Samples the state of every provider."""
        self.sampled_ms.append(round(now, 3))
        for tier, sites in enumerate(fleet.sites):
            loads: list[float] = []
            utils: list[float] = []
            states = dict.fromkeys(STATES, 0)
            for site in sites:
                process = site.process
                runnable = held = 0
                util = 0.0
                if process is not None and site.is_running:
                    process.report(now)  # updates its sums
                    key = (tier, site.machine.index)
                    before = self._busy.get(key)
                    busy = process.ledger.busy_ms
                    since = before[1] if before is not None and before[0] is process else busy
                    span = WINDOW_MS * process.spec.cores
                    util = min((busy - since) / span, 1.0)
                    self._busy[key] = (process, busy)
                    runnable, held = process.runnable, process.job_count
                state = state_of(site, now)
                states[state] += 1
                loads.append(runnable / max(site.machine.spec.cores, 1))
                utils.append(util)
                if self.series:
                    series = self.series[tier][site.machine.index]
                    series.runnable.append(runnable)
                    series.held.append(held)
                    series.util.append(round(util, 3))
                    series.state.append(state)
            spread = self.spread[tier]
            loads.sort()
            utils.sort()
            for name, values in (("load", loads), ("util", utils)):
                for quantile in (0.1, 0.5, 0.9, 1.0):
                    at = min(int(quantile * len(values)), len(values) - 1)
                    spread.setdefault(f"{name}_{quantile:g}", []).append(round(values[at], 3))
            for letter, count in states.items():
                spread.setdefault(STATES[letter], []).append(count)

    def end(self, now: float, world: Any) -> None:
        """The run has ended: takes over the checked rules and the balance of the providers' work."""
        self.rules = world.rules
        self.cut_short = world.cut_short
        self.work = work_balance(now, world.fleet)

    # Results

    def _worst_stretch(self) -> float:
        worst = 1.0
        windows = self.windows[:-1] if self.windows[-1].asked == 0 else self.windows
        span = min(WORST_STRETCH_WINDOWS, len(windows))
        for first in range(len(windows) - span + 1):
            stretch = windows[first : first + span]
            worth = sum(w.worth for w in stretch)
            if worth > 0:
                worst = min(worst, sum(w.earned for w in stretch) / worth)
        return worst

    def result(self) -> dict[str, Any]:
        """All results, for JSON. They depend on the scenario, the seed and the policy alone."""
        worth, earned = sum(w.worth for w in self.windows), sum(w.earned for w in self.windows)
        goodput = earned / worth if worth else 1.0
        worst_class = min((c.service for c in self.classes if c.asked), default=1.0)
        worst_account = min((a.service for a in self.accounts if a.asked), default=worst_class)
        stretch = self._worst_stretch()
        asked = sum(w.asked for w in self.windows)
        done = sum(w["served"] for w in self.work)
        wasted = sum(w["wasted"] for w in self.work)
        rules = self.rules
        assert rules is not None
        attempts = sum(t.attempts for t in self.tiers)
        everything = histogram()
        for each in self.latency:
            everything.add(each)
        return {
            "format": 1,
            "scenario": self.plan.scenario.name,
            "look_for": self.plan.scenario.look_for,
            "seed": self.plan.seed,
            "length_ms": self.plan.length_ms,
            "rate_per_s": round(self.plan.first_rate, 3),
            "capacity_per_s": round(self.plan.rate_per_s, 3),
            "sidecars": self.plan.scenario.sidecars.count,
            "providers": [len(t.machines) for t in self.plan.tiers],
            "metrics": {
                "goodput": round(goodput, 5),
                "worst_10s": round(stretch, 5),
                "worst_class": round(worst_class, 5),
                "worst_account": round(worst_account, 5),
                "score": round(0.5 * goodput + 0.1 * stretch + 0.3 * worst_class + 0.1 * worst_account, 5),
                "in_time": round(sum(c.in_time for c in self.classes) / max(asked, 1), 5),
                "rejected": round(self.finals["rejected"] / max(asked, 1), 5),
                "failed": round((self.finals["failed"] + self.finals["timed out"]) / max(asked, 1), 5),
                "retries": round(self.retries / max(asked, 1), 5),
                "again": round(sum(t.again for t in self.tiers) / max(attempts, 1), 5),
                "crossings": round(sum(t.crossings for t in self.tiers) / max(attempts, 1), 5),
                "wasted_work": round(wasted / max(done + wasted, 1e-9), 5),
                "p50_ms": quantiles(everything).get("p50", 0.0),
                "p95_ms": quantiles(everything).get("p95", 0.0),
                "p99_ms": quantiles(everything).get("p99", 0.0),
                "cold_push": round(max((w["pushed_most"] for w in self.work), default=0.0), 4),
                "rules_broken": sum(rules.counts.values()),
            },
            "requests": {"asked": asked, "tries": self.tries, **self.finals},
            "cut_short": self.cut_short,
            "host": "",
            "classes": [
                {"name": spec.name, **_sums(sums), "latency_ms": quantiles(hist)}
                for spec, sums, hist in zip(self.plan.classes, self.classes, self.latency, strict=True)
            ],
            "accounts": [
                {"name": spec.name, **_sums(sums)} for spec, sums in zip(self.plan.accounts, self.accounts, strict=True)
            ],
            "tiers": [
                {"name": tier.name, "providers": len(tier.machines), **asdict(sums), "work": work}
                for tier, sums, work in zip(self.plan.tiers, self.tiers, self.work, strict=bool(self.work))
            ],
            "directory_lines": self.lines_told,
            "rules": {
                "kept": rules.all_hold,
                "counts": {rule: rules.counts[rule] for rule in RULES},
                "violations": [asdict(violation) for violation in rules.violations],
            },
            "faults": [asdict(band) for band in self.intervals],
            "events": [list(event) for event in self.events],
            "windows": {name: _rounded([getattr(w, name) for w in self.windows]) for name in Window.__slots__},
            "samples": {
                "at_ms": self.sampled_ms,
                "tiers": [
                    {"spread": spread, "providers": [_series(s) for s in self.series[n]] if self.series else []}
                    for n, spread in enumerate(self.spread)
                ],
            },
            "histograms": {
                spec.name: hist.encode().decode("ascii")
                for spec, hist in zip(self.plan.classes, self.latency, strict=True)
            },
        }


def _sums(sums: Sums) -> dict[str, Any]:
    return {
        "asked": sums.asked,
        "served": sums.served,
        "in_time": sums.in_time,
        "worth": round(sums.worth, 4),
        "earned": round(sums.earned, 4),
        "service": round(sums.service, 5),
    }


def _series(series: Series) -> dict[str, Any]:
    return {
        "name": series.name,
        "kind": series.kind,
        "zone": series.zone,
        "runnable": series.runnable,
        "held": series.held,
        "util": series.util,
        "state": "".join(series.state),
    }


def state_of(site: Any, now: float) -> str:
    """The state of a site as a letter of STATES."""
    process = site.process
    if process is None or not site.is_running:
        return "x"
    if site.silent:
        return "s"
    if site.draining:
        return "d"
    if site.stalled:
        return "t"
    if process.choked:
        return "k"
    return "c" if process.warmth(now) < 1.0 else "r"


def work_balance(now: float, fleet: Fleet) -> list[dict[str, float]]:
    """Each tier's sums of work and time, and their relative errors (`work_error`, `little_error`)."""
    result = []
    for tier in range(len(fleet.sites)):
        sums = dict.fromkeys(("offered", "refused", "served", "wasted", "unspent", "excess", "held_work"), 0.0)
        counts = dict.fromkeys(("jobs", "turned_away", "repeats", "double"), 0)
        held, sojourn, max_load_ratio = 0.0, 0.0, 0.0
        for process in fleet.all_processes[tier]:
            process.report(now)
            ledger = process.ledger
            for name in sums:
                sums[name] += process.held_work if name == "held_work" else getattr(ledger, name)
            for name in counts:
                counts[name] += getattr(ledger, name)
            held += ledger.held_ms
            sojourn += process.sojourn_ms(now)
            max_load_ratio = max(max_load_ratio, process.max_cold_load_ratio)
        accounted = sums["refused"] + sums["served"] + sums["wasted"] + sums["unspent"] + sums["held_work"]
        result.append(
            {
                **{name: round(value, 3) for name, value in sums.items()},
                **counts,
                "pushed_most": round(max_load_ratio, 4),
                "held_ms": round(held, 3),
                "sojourn_ms": round(sojourn, 3),
                "work_error": float(f"{abs(sums['offered'] - accounted) / max(sums['offered'], 1.0):.1e}"),
                "little_error": float(f"{abs(held - sojourn) / max(sojourn, 1.0):.1e}"),
            }
        )
    return result

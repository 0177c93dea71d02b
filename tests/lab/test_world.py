"""Complete simulated runs: results are reproducible, faults take effect, and broken rules are found."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

import limenotch.balancing
from limenotch import toml
from limenotch.cli import main
from limenotch.lab import planning, policy, scenario
from limenotch.lab.experiment import Job, play, play_all
from limenotch.lab.model.rules import COLD, ONE_ANSWER, REPEATS
from limenotch.lab.simulate.kernel import Kernel
from limenotch.lab.simulate.world import World

TWO_TIERS = """
name = "two"
length_s = 12
[clients]
load = 0.4
retries = 1
[network]
zones = ["a", "b"]
[sidecars]
count = 2
[[tier]]
name = "top"
providers = 4
work = 0.5
calls = 1.5
[[tier.kind]]
name = "t"
cores = 2
slots = 8
queue = 4
cold_from = 0.3
cold_s = 6
[[tier]]
name = "low"
providers = 6
work = 0.5
[[tier.kind]]
name = "l"
cores = 1
slots = 2
queue = 6
cold_from = 0.3
cold_s = 6
[[class]]
name = "read"
share = 0.7
work_ms = 60
aim_ms = 1000
deadline_ms = 3000
[[class]]
name = "write"
share = 0.3
work_ms = 90
aim_ms = 1500
deadline_ms = 3000
effect = "deduplicated"
scope = "zone"
window_s = 10
late_worth = 0.5
"""


def fault(kind: str, tier: str = "top", **more: Any) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in {"at_s": 4, "length_s": 4, **more}.items()]
    return "\n".join(["[[fault]]", f'kind = "{kind}"', f'tier = "{tier}"', *lines]) + "\n"


def world(text: str, seed: int = 1, spec: str = "installed") -> World:
    made = World(planning.plan(scenario.parse(text, "t"), seed), policy.load(spec))
    made.run()
    return made


def figures(text: str, seed: int = 1, spec: str = "installed") -> dict[str, Any]:
    return world(text, seed, spec).record.result()


@pytest.fixture
def two(tmp_path: Path) -> str:
    path = tmp_path / "two.toml"
    path.write_text(TWO_TIERS)
    return str(path)


def test_a_calm_run_serves_nearly_all_and_its_books_close() -> None:
    made = world(TWO_TIERS)
    result = made.record.result()
    assert result["metrics"]["in_time"] > 0.97 and result["rules"]["kept"]
    assert result["requests"]["asked"] > 200 and made.kernel.pending == 0
    for tier in result["tiers"]:
        assert tier["work"]["work_error"] < 1e-9 and tier["work"]["little_error"] < 1e-9
        assert tier["work"]["held_work"] == 0  # every request is answered or dropped in the end
    assert not made._attempts and not made._lower_requests and made.rules.open == 0
    assert all(process.connections >= 0 for tier in made.fleet.all_processes for process in tier)


def test_the_same_bytes_in_one_process_and_in_several(two: str, tmp_path: Path) -> None:
    jobs = [Job(two, seed) for seed in (3, 4, 5)]
    alone = [json.dumps(r.figures) for r in play_all(jobs, processes=1)]
    heard: list[int] = []
    spread = [json.dumps(r.figures) for r in play_all(jobs, processes=3, done=lambda r: heard.append(r.job.seed))]
    assert alone == spread and sorted(heard) == [3, 4, 5] and len(set(alone)) == 3
    out = [tmp_path / "a.json", tmp_path / "b.json"]
    for path in out:
        assert main(["lab", "run", two, "--seed", "3", "--json", str(path)]) == 0
    assert out[0].read_bytes() == out[1].read_bytes()


def test_measuring_the_decisions_changes_nothing(two: str) -> None:
    timed = play(Job(two, 3, timed=True))
    assert timed.figures == play(Job(two, 3)).figures and timed.cost["deciding_s"] > 0


def rows(result: dict[str, Any], tier: int = 0) -> list[dict[str, Any]]:
    providers: list[dict[str, Any]] = result["samples"]["tiers"][tier]["providers"]
    return providers


def test_each_fault_does_what_it_says() -> None:
    calm = figures(TWO_TIERS)
    assert all(set(row["state"]) == {"r"} for row in rows(calm))
    killed = figures(TWO_TIERS + fault("kill", victims=[1]))
    assert rows(killed)[1]["state"].startswith("rrrrxxxxc") and rows(killed)[0]["state"] == "r" * 13
    assert [event[1] for event in killed["events"]] == ["stopped", "started"]
    drained = figures(TWO_TIERS + fault("deploy", victims=[2], drain_s=2.0))
    assert "dd" in rows(drained)[2]["state"] and "c" in rows(drained)[2]["state"]
    silent = figures(TWO_TIERS + fault("silent", "low", victims=[0]))
    assert "ssss" in rows(silent, 1)[0]["state"]
    stalled = figures(TWO_TIERS + fault("stall", "low", victims=[0]))
    assert "tttt" in rows(stalled, 1)[0]["state"] and max(rows(stalled, 1)[0]["runnable"]) >= 2
    slow = figures(TWO_TIERS + fault("slow", part=1.0, size=4.0))
    assert slow["metrics"]["p95_ms"] > 1.5 * calm["metrics"]["p95_ms"]
    taken = figures(TWO_TIERS + fault("neighbour", part=1.0, size=0.85, on_s=1.0))
    assert taken["metrics"]["p95_ms"] > 1.1 * calm["metrics"]["p95_ms"]
    failing = figures(TWO_TIERS + fault("error_burst", part=1.0, size=0.9))
    assert failing["metrics"]["failed"] + failing["metrics"]["rejected"] > 0.1
    spoilt = figures(TWO_TIERS + fault("spoil", part=1.0, size=0.9))
    assert spoilt["metrics"]["failed"] + spoilt["metrics"]["rejected"] > 0.1
    cut = figures(TWO_TIERS + fault("cut_link", zones=["a", "b"]))
    assert cut["metrics"]["p99_ms"] > calm["metrics"]["p99_ms"] or cut["metrics"]["failed"] > 0
    for result in (killed, drained, silent, stalled, slow, taken, failing, spoilt, cut):
        assert result["rules"]["kept"], result["rules"]["violations"]


def test_a_provider_that_drains_while_it_is_cold() -> None:
    result = figures(
        TWO_TIERS
        + fault("kill", at_s=2, length_s=0.5, victims=[1])
        + fault("deploy", at_s=4, length_s=2, victims=[1], drain_s=2.0)
    )
    assert "cdd" in rows(result)[1]["state"].replace("cc", "c") and result["rules"]["kept"]
    assert [event[1] for event in result["events"]] == ["stopped", "started", "drains", "stopped", "started"]


def test_faults_of_the_whole() -> None:
    accounts = "".join(f'[[account]]\nname = "{name}"\nshare = 0.5\n' for name in ("x", "y"))
    surge = figures(TWO_TIERS + accounts + fault("surge", account="y", size=6.0))
    asked = surge["windows"]["asked"]
    assert sum(asked[4:8]) > 2 * sum(asked[:4]) and surge["accounts"][1]["asked"] > 1.5 * surge["accounts"][0]["asked"]
    hot = world(TWO_TIERS + fault("hot_sidecar", size=0.9))
    assert hot.record.result()["rules"]["kept"] and not hot.fleet.hot_shares
    down = figures(TWO_TIERS + fault("directory_down") + fault("kill", at_s=5, victims=[0]))
    up = figures(TWO_TIERS + fault("kill", at_s=5, victims=[0]))
    assert down["directory_lines"] != up["directory_lines"] and down["rules"]["kept"]
    lost = figures(TWO_TIERS + fault("forget", victims=[0, 1]))
    assert lost["directory_lines"] > figures(TWO_TIERS)["directory_lines"]


def test_a_retry_that_arrives_after_its_first_try_was_served() -> None:
    """Impatient clients retry while the first attempt is still running: each request earns its worth once."""
    text = TWO_TIERS.replace("retries = 1", "retries = 2\npatience = [0.05, 0.06]\nbackoff_ms = [1, 2]")
    result = figures(text.replace("load = 0.4", "load = 0.9"))
    requests = result["requests"]
    assert requests["tries"] > requests["asked"] * 1.1 and result["rules"]["kept"]
    finals = sum(requests[name] for name in ("served", "rejected", "failed", "timed out", "unmade"))
    assert finals == requests["asked"] == sum(c["asked"] for c in result["classes"])
    assert all(c["earned"] <= c["worth"] + 1e-6 for c in result["classes"])


def test_an_answer_at_the_very_end_is_in_time() -> None:
    kernel, order = Kernel(), list[str]()
    kernel.schedule_last(5.0, order.append, "deadline")
    kernel.schedule(5.0, order.append, "answer")
    kernel.schedule(4.0, kernel.schedule, 5.0, order.append, "asked later")
    kernel.run()
    assert order == ["answer", "asked later", "deadline"]


PLANTED = {
    # Faults injected into the decision module: file, text to replace, replacement.
    ONE_ANSWER: (
        "balancer.py",
        "            actions.append(FailRequest(request.name))",
        "            pass",
    ),
    REPEATS: (
        "endpoint_selection.py",
        "    if not earlier or request.traffic_class.effect is Effect.IDEMPOTENT and not state.settings.restricted:",
        "    if True:",
    ),
    COLD: (
        "endpoint_statistics.py",
        "        if self.started_at <= 0 or age_ms >= slow_start.warmup_ms:",
        "        if True:",
    ),
}


@pytest.mark.parametrize("rule", PLANTED)
def test_a_policy_that_breaks_a_rule_is_caught(rule: str, tmp_path: Path) -> None:
    file, old, new = PLANTED[rule]
    text = (Path(limenotch.balancing.__file__).parent / file).read_text()
    assert old in text
    variant = tmp_path / file
    variant.write_text(text.replace(old, new))
    rough = TWO_TIERS + fault("error_burst", part=1.0, size=0.8) + fault("spoil", at_s=8, part=1.0, size=0.8)
    if rule == COLD:
        colder = TWO_TIERS.replace("cold_from = 0.3\ncold_s = 6", "cold_from = 0.12\ncold_s = 20")
        rough = (
            colder.replace("load = 0.4", "load = 0.9")
            + "[rules]\nfall_multiple = 0.8\n"
            + fault("kill", length_s=1, part=0.5)
        )
    assert figures(rough)["rules"]["kept"]
    broken = figures(rough, spec=str(variant))["rules"]
    assert broken["counts"][rule] > 0
    assert any(v["rule"] == rule and (v["history"] or rule == COLD) for v in broken["violations"])


def test_policies_that_cannot_be_used(tmp_path: Path) -> None:
    bad = tmp_path / "balancer.py"
    bad.write_text("def broken(:")
    for spec, says in ((str(bad), "SyntaxError"), ("nowhere.py", "No such file"), ("git:no-such-revision", "git:no-")):
        with pytest.raises(toml.FaultError, match=says):
            policy.load(spec)
    same = tmp_path / "same.py"
    same.write_text((Path(limenotch.balancing.__file__).parent / "balancer.py").read_text())
    assert policy.load(str(same)).types is not policy.load("installed").types
    assert policy.digest(str(same)) == policy.digest("installed")

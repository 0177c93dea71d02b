"""Two zones, nothing reported, never twice: the scenario in which one zone's boxes choked while the other's waited."""

from __future__ import annotations

from limenotch.lab import planning, scenario
from limenotch.lab.experiment import Job, play


def test_no_answer_carries_a_report_there() -> None:
    for name, reports in (("two-zones", False), ("calm", True)):
        plan = planning.plan(scenario.load(name), 1)
        assert all(machine.spec.reports is reports for tier in plan.tiers for machine in tier.machines)


def test_two_zones_near_their_limit_keep_the_rules_and_most_of_the_worth() -> None:
    """Means over four seeds; before placement by queue and the tight door it was 0.802."""
    figures = [play(Job("two-zones", seed)).figures for seed in (1, 2, 3, 4)]
    assert all(each["rules"]["kept"] for each in figures), [each["rules"]["violations"] for each in figures]
    assert sum(each["metrics"]["in_time"] for each in figures) / 4 > 0.815

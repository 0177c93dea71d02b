"""Scenarios: faults by file, line and key; what a seed draws; the ones that ship."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from limenotch import toml
from limenotch.balancing.settings import read_settings
from limenotch.cli import main
from limenotch.lab import planning, scenario
from limenotch.lab.model.chance import Seeds
from limenotch.lab.model.faults import FaultSchedule

SMALL = """
name = "small"
length_s = 5
[clients]
rate_per_s = 20
[[tier]]
name = "only"
providers = 3
[[tier.kind]]
name = "k"
speed = [1.0, 2.0]
[[class]]
name = "c"
work_ms = 10
aim_ms = 100
deadline_ms = 500
"""


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("speed = [1.0, 2.0]", "speed = [2.0, 1.0]", "s.toml:11: tier[0].kind[0].speed: expected low and high"),
        ("speed = [1.0, 2.0]", "sped = 1", "s.toml:11: tier[0].kind[0].sped: unknown key"),
        ("speed = [1.0, 2.0]", "speed = 0.0", "s.toml:11: tier[0].kind[0].speed: expected a number above 0"),
        ("providers = 3", "providers = 0", "s.toml:8: tier[0].providers: expected"),
        ("providers = 3", "providers = 99999", "s.toml:6: tier: more than"),
        ("rate_per_s = 20", "rate_per_s = 20\nload = 0.5", "s.toml:4: clients: expected one of"),
        ("aim_ms = 100\n", "", "s.toml:12: class[0].aim_ms: missing"),
        ("[[class]]", '[[fault]]\nkind = "tornado"\nat_s = 1\n[[class]]', "s.toml:13: fault[0].kind: invalid enum"),
        ("[[class]]", '[[fault]]\nkind = "slow"\nat_s = 1\n[[class]]', "s.toml:12: fault[0].size: expected how many"),
        (
            "[[class]]",
            '[[fault]]\nkind = "kill"\nat_s = 1\nvictims = [3]\n[[class]]',
            "s.toml:15: fault[0].victims: tier",
        ),
        (
            "[[class]]",
            '[[fault]]\nkind = "kill"\nat_s = 1\ntier = "x"\n[[class]]',
            "s.toml:15: fault[0].tier: 'x' is no",
        ),
        ("[[class]]", '[[fault]]\nkind = "surge"\nat_s = 1\nsize=2.0\n[[class]]', "s.toml:13: fault[0].kind: a surge"),
        ('name = "small"', 'name = "small"\nextends = "none"', "s.toml:3: extends: 'none' is no shipped"),
        ("length_s = 5", "length_s = ", "s.toml: not TOML"),
    ],
)
def test_faults_name_file_line_and_key(old: str, new: str, says: str) -> None:
    assert old in SMALL
    with pytest.raises(toml.FaultError, match="^" + re.escape(says)):
        scenario.parse(SMALL.replace(old, new, 1), "s.toml")


def test_a_scenario_that_extends_another() -> None:
    night = scenario.load("bad-night")
    calm = scenario.load("calm")
    assert night.tier == calm.tier and night.clients.retries == calm.clients.retries
    assert night.clients.load != calm.clients.load and [f.kind for f in night.fault] == ["deploy", "neighbour", "surge"]
    with pytest.raises(toml.FaultError, match=re.escape("x.toml:4: clients.honour: expected 1 at most")):
        scenario.parse('extends = "calm"\nname = "x"\n[clients]\nhonour = 1.5', "x.toml")


@pytest.mark.parametrize("name", scenario.shipped())
def test_the_shipped_ones_can_be_played(name: str) -> None:
    loaded = scenario.load(name)
    assert loaded.name == name and len(loaded.look_for) > 40
    plan = planning.plan(loaded, 1)
    assert plan.first_rate > 0
    for tier in range(len(plan.tiers)):
        settings = read_settings(planning.settings_of(plan, tier, 0, 4, 0))
        assert settings.tier_index == tier and len(settings.classes) == len(plan.classes)
    schedule = FaultSchedule(plan, Seeds(1))
    assert len(schedule.intervals) == len(loaded.fault)
    assert [action.at_ms for action in schedule.actions] == sorted(action.at_ms for action in schedule.actions)


def test_what_a_seed_draws() -> None:
    one, same, other = (planning.plan(scenario.parse(SMALL, "s"), seed) for seed in (1, 1, 2))
    assert one == same and one.tiers != other.tiers
    assert all(1.0 <= machine.spec.speed <= 2.0 for machine in one.tiers[0].machines)


def test_the_load_is_a_part_of_what_the_tightest_tier_can_do() -> None:
    text = SMALL.replace("rate_per_s = 20", "load = 0.5").replace("[1.0, 2.0]", "2.0")
    assert planning.plan(scenario.parse(text, "s"), 1).first_rate == pytest.approx(0.5 * 3 * 2.0 * 1000 / 10)


def test_a_trace(tmp_path: Path) -> None:
    path = tmp_path / "t.csv"
    text = SMALL.replace("rate_per_s = 20", f'trace = "{path}"')
    path.write_text("at_ms,class,account,size\n5,c,,1\n5,c,,2\n5.0,c,,\n")
    rows = planning.plan(scenario.parse(text, "s"), 1).trace
    assert rows is not None and [(row.at_ms, row.size) for row in rows] == [(5.0, 1.0), (5.0, 2.0), (5.0, 1.0)]
    for line, says in (("4,c,,1", "times in order"), ("9,d,,1", "'d'"), ("x,c,,1", "could not convert")):
        path.write_text(f"at_ms,class,account,size\n5,c,,1\n{line}\n")
        with pytest.raises(toml.FaultError, match=f"t.csv:3: .*{says}"):
            planning.plan(scenario.parse(text, "s"), 1)


def test_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "own.toml"
    path.write_text(SMALL)
    assert main(["lab", "scenarios"]) == 0
    assert all(name in capsys.readouterr().out for name in ["calm"])
    assert main(["lab", "scenarios", "--check", str(path)]) == 0 and "small: 3 providers" in capsys.readouterr().out
    path.write_text(SMALL.replace("[1.0, 2.0]", '"fast"'))
    assert main(["lab", "scenarios", "--check", str(path)]) == 2
    assert f"{path}:11: tier[0].kind[0].speed: expected" in capsys.readouterr().err
    assert main(["lab", "run", "nowhere"]) == 2 and "no such scenario; there are" in capsys.readouterr().err
    assert main(["lab", "run", "calm", "--seeds", "0"]) == 2 and "--seeds: expected" in capsys.readouterr().err
    assert main(["lab", "dance"]) == 2 and main(["lab"]) == 2 and main(["lab", "run", "--what"]) == 2

"""The canary's test goes back on a planted rise, and seldom without one."""

from __future__ import annotations

from random import Random

import pytest

from limenotch.fleet.rules.canary import Trend, Tuning


def run(seed: int, chance: float, canary: float) -> tuple[str, int]:
    """One canary of ten sidecars, a look each second of 20 calls at each; what came of it and after how many looks."""
    random = Random(seed)
    trend = Trend(Tuning(alpha=0.01, rise=2.0, span_ms=300_000), 0.0)
    for look in range(1, 400):
        bad = sum(random.random() < canary for _ in range(20))
        others = sum(random.random() < chance for _ in range(180))
        found = trend.look(look * 1000.0, 20, bad, 180, others)
        if found:
            return found, look
    raise AssertionError("no end")


def test_few_go_back_for_nothing() -> None:
    assert sum(run(seed, 0.02, 0.02)[0] == "back" for seed in range(150)) <= 3  # of 150: alpha is 1%


def test_a_rise_goes_back_soon() -> None:
    looks = [run(seed, 0.02, 0.06) for seed in range(60)]
    assert all(found == "back" for found, _ in looks)
    assert sorted(count for _, count in looks)[30] <= 30  # half within 30 s


def test_few_calls_are_no_proof() -> None:
    trend = Trend(Tuning(span_ms=1000, most_ms=5000), 0.0)
    assert trend.look(2000.0, 3, 1, 30, 10) == ""
    assert trend.look(5000.0, 3, 1, 30, 10) == "back"
    assert Trend(Tuning(), 0.0).look(1.0, 0, 0, 100, 100) == ""


@pytest.mark.parametrize(("key", "value"), [("alpha", 0.0), ("rise", 1.0), ("span_ms", 0.0), ("least_calls", 0)])
def test_settings_name_themselves(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        Tuning(**{key: value})  # type: ignore[arg-type]

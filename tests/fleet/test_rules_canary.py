"""A canary trial's sequential test withdraws a change that raises failures, and seldom another."""

from __future__ import annotations

from random import Random

import pytest

from limenotch.fleet.rules.canary import SequentialTest, Tuning


def run_trial(seed: int, base_rate: float, canary_rate: float) -> tuple[str, int]:
    """One canary of ten sidecars, a sample each second of 20 requests at each; returns verdict and sample count."""
    random = Random(seed)
    test = SequentialTest(Tuning(alpha=0.01, rise=2.0, span_ms=300_000), 0.0)
    for sample in range(1, 400):
        unsuccessful = sum(random.random() < canary_rate for _ in range(20))
        other_unsuccessful = sum(random.random() < base_rate for _ in range(180))
        verdict = test.add_sample(sample * 1000.0, 20, unsuccessful, 180, other_unsuccessful)
        if verdict:
            return verdict, sample
    raise AssertionError("no end")


def test_a_harmless_change_is_seldom_withdrawn() -> None:
    assert sum(run_trial(seed, 0.02, 0.02)[0] == "back" for seed in range(150)) <= 3  # of 150: alpha is 1%


def test_a_change_that_raises_failures_is_withdrawn_soon() -> None:
    results = [run_trial(seed, 0.02, 0.06) for seed in range(60)]
    assert all(verdict == "back" for verdict, _ in results)
    assert sorted(count for _, count in results)[30] <= 30  # half within 30 s


def test_few_requests_decide_nothing() -> None:
    test = SequentialTest(Tuning(span_ms=1000, most_ms=5000), 0.0)
    assert test.add_sample(2000.0, 3, 1, 30, 10) == ""
    assert test.add_sample(5000.0, 3, 1, 30, 10) == "back"
    assert SequentialTest(Tuning(), 0.0).add_sample(1.0, 0, 0, 100, 100) == ""


@pytest.mark.parametrize(("key", "value"), [("alpha", 0.0), ("rise", 1.0), ("span_ms", 0.0), ("least_calls", 0)])
def test_an_error_names_the_setting(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        Tuning(**{key: value})  # type: ignore[arg-type]

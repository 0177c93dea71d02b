"""Agreed rules put in force: completely or not at all, ejections first, and without the sidecar's own settings."""

from __future__ import annotations

import math
from copy import deepcopy
from typing import Any

import pytest

from limenotch.config import Config, parse
from limenotch.configuration_applier import NEVER, ConfigurationApplier

from .helpers.http_peers import SETTINGS

RAW = {
    "listen": "127.0.0.1:5000",
    "discovery": "127.0.0.1:8500",
    "name": "n3",
    "seed": "ff",
    "limits": {"memory_mb": 64, "sockets": 300},
    "settings": {**SETTINGS, "rank": 2, "balancers": 5, "locality": 0},
}


class RecordingTarget:
    """Records what it is called with."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def apply_config(self, config: Config) -> None:
        self.calls.append(("adopt", config))

    def set_ejected(self, name: str, ejected: bool, at_ms: float) -> None:
        self.calls.append(("ban", name, ejected, at_ms))

    def set_lease(self, until_ms: float, slow_start_divisor: float, reject_without_lease: bool) -> None:
        self.calls.append(("lease", until_ms, slow_start_divisor, reject_without_lease))

    def take_calls(self) -> list[tuple[Any, ...]]:
        calls, self.calls = self.calls, []
        return calls


def new_applier() -> tuple[ConfigurationApplier, RecordingTarget, dict[str, Any]]:
    target = RecordingTarget()
    applier = ConfigurationApplier(parse(RAW, {}), target)
    return applier, target, applier.initial_document()


def changed(base: dict[str, Any], **permissions: Any) -> dict[str, Any]:
    document = deepcopy(base)
    document["settings"]["permissions"].update(permissions)
    return document


def test_the_initial_document_is_the_files_without_the_sidecars_own_keys() -> None:
    applier, _, initial = new_applier()
    assert not {"rank", "balancers", "locality", "layer"} & initial["settings"].keys()
    assert initial["directory"] == "127.0.0.1:8500" and applier.check(initial) is None


def test_own_index_and_limits_stay_and_agreed_settings_apply() -> None:
    applier, target, initial = new_applier()
    applier.put_in_force({**changed(initial, max_attempts=1), "directory": "127.0.0.1:8600"}, 5000.0, 3, 2)
    (_, config), lease = target.take_calls()
    assert config.settings.max_attempts == 1 and config.discovery == ("127.0.0.1", 8600)
    assert (config.settings.balancer_index, config.settings.balancers, config.sockets) == (2, 5, 300)
    assert (config.name, config.seed, config.memory_mb) == ("n3", 255, 64.0)
    assert lease == ("lease", 5000.0, 3.0, False) and applier.version == 2


def test_ejections_apply_before_the_new_settings() -> None:
    applier, target, initial = new_applier()
    applier.put_in_force({**initial, "bans": {"p1": {"out": True, "at_ms": 0.0}}}, 5000.0, 1, 2)
    assert [call[0] for call in target.take_calls()] == ["ban", "adopt", "lease"]
    applier.put_in_force({**initial, "bans": {"p1": {"out": False, "at_ms": 77.0}}}, 6000.0, 1, 3)
    assert target.take_calls() == [("ban", "p1", False, 77.0), ("lease", 6000.0, 1.0, False)]  # no settings changed


def test_the_same_document_again_only_renews_the_lease() -> None:
    applier, target, initial = new_applier()
    applier.put_in_force(initial, 5000.0, 2, 1)
    target.take_calls()
    applier.put_in_force(initial, 6000.0, 0, 1)
    assert target.take_calls() == [("lease", 6000.0, math.inf, False)]  # and no share of the slow-start allowance


@pytest.mark.parametrize("fault", [{"max_attempts": 0}, {"conn_idle_ms": -1}, {"max_attempts": "many"}])
def test_an_unreadable_document_is_named_and_never_in_force(fault: dict[str, Any]) -> None:
    applier, target, initial = new_applier()
    applier.put_in_force(initial, 5000.0, 2, 1)
    target.take_calls()
    unreadable = changed(initial, **fault)
    error = applier.check(unreadable)
    assert error is not None and next(iter(fault)) in error
    applier.put_in_force(unreadable, 9000.0, 2, 2)
    assert target.take_calls() == [("lease", NEVER, math.inf, True)]
    applier.restrict(unreadable, False, 2)
    assert target.take_calls() == [("lease", NEVER, math.inf, True)]
    applier.put_in_force(changed(initial, max_attempts=1), 9500.0, 2, 3)  # the next readable one
    assert [call[0] for call in target.take_calls()] == ["adopt", "lease"]


@pytest.mark.parametrize("reject_all", [True, False])
def test_without_a_lease_restricted_mode_or_rejection(reject_all: bool) -> None:
    applier, target, initial = new_applier()
    applier.restrict(changed(initial, parallel_tries=False), reject_all, 1)
    (_, config), lease = target.take_calls()
    assert not config.settings.may_hedge and lease == ("lease", NEVER, math.inf, reject_all)


def test_a_reloaded_file_changes_only_the_sidecars_own_settings() -> None:
    applier, target, initial = new_applier()
    applier.put_in_force(changed(initial, max_attempts=1), 5000.0, 1, 2)
    target.take_calls()
    reloaded = deepcopy(RAW)
    reloaded["settings"]["permissions"]["max_attempts"] = 6  # type: ignore[index]
    reloaded["settings"]["rank"], reloaded["limits"]["sockets"] = 4, 500  # type: ignore[index]
    applier.file_reloaded(parse(reloaded, {}))
    ((_, config),) = target.take_calls()
    assert (config.settings.max_attempts, config.settings.balancer_index, config.sockets) == (1, 4, 500)

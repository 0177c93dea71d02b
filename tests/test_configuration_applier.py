"""What was agreed on, put in force: whole or not at all, what is out first, and what is a sidecar's own kept."""

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


class Deeds:
    def __init__(self) -> None:
        self.done: list[tuple[Any, ...]] = []

    def apply_config(self, config: Config) -> None:
        self.done.append(("adopt", config))

    def set_ejected(self, name: str, out: bool, at_ms: float) -> None:
        self.done.append(("ban", name, out, at_ms))

    def set_lease(self, until_ms: float, cold_parts: float, refusing: bool) -> None:
        self.done.append(("lease", until_ms, cold_parts, refusing))

    def took(self) -> list[tuple[Any, ...]]:
        done, self.done = self.done, []
        return done


def acting() -> tuple[ConfigurationApplier, Deeds, dict[str, Any]]:
    deeds = Deeds()
    made = ConfigurationApplier(parse(RAW, {}), deeds)
    return made, deeds, made.initial_document()


def changed(document: dict[str, Any], **permissions: Any) -> dict[str, Any]:
    new = deepcopy(document)
    new["settings"]["permissions"].update(permissions)
    return new


def test_the_first_document_is_the_files_without_what_is_a_sidecars_own() -> None:
    made, _, first = acting()
    assert not {"rank", "balancers", "locality", "layer"} & first["settings"].keys()
    assert first["directory"] == "127.0.0.1:8500" and made.check(first) is None


def test_own_place_and_limits_stay_what_was_agreed_comes() -> None:
    made, deeds, first = acting()
    made.put_in_force({**changed(first, max_attempts=1), "directory": "127.0.0.1:8600"}, 5000.0, 3, 2)
    (_, config), lease = deeds.took()
    assert config.settings.max_attempts == 1 and config.discovery == ("127.0.0.1", 8600)
    assert (config.settings.balancer_index, config.settings.balancers, config.sockets) == (2, 5, 300)
    assert (config.name, config.seed, config.memory_mb) == ("n3", 255, 64.0)
    assert lease == ("lease", 5000.0, 3.0, False) and made.version == 2


def test_who_is_out_is_out_before_the_new_settings_count() -> None:
    made, deeds, first = acting()
    made.put_in_force({**first, "bans": {"p1": {"out": True, "at_ms": 0.0}}}, 5000.0, 1, 2)
    assert [what[0] for what in deeds.took()] == ["ban", "adopt", "lease"]
    made.put_in_force({**first, "bans": {"p1": {"out": False, "at_ms": 77.0}}}, 6000.0, 1, 3)
    assert deeds.took() == [("ban", "p1", False, 77.0), ("lease", 6000.0, 1.0, False)]  # no settings changed


def test_the_same_again_only_moves_the_lease() -> None:
    made, deeds, first = acting()
    made.put_in_force(first, 5000.0, 2, 1)
    deeds.took()
    made.put_in_force(first, 6000.0, 0, 1)
    assert deeds.took() == [("lease", 6000.0, math.inf, False)]  # and has no part of what cold ones may get


@pytest.mark.parametrize("fault", [{"max_attempts": 0}, {"conn_idle_ms": -1}, {"max_attempts": "many"}])
def test_what_this_program_cant_read_is_named_and_never_in_force(fault: dict[str, Any]) -> None:
    made, deeds, first = acting()
    made.put_in_force(first, 5000.0, 2, 1)
    deeds.took()
    bad = changed(first, **fault)
    said = made.check(bad)
    assert said is not None and next(iter(fault)) in said
    made.put_in_force(bad, 9000.0, 2, 2)
    assert deeds.took() == [("lease", NEVER, math.inf, True)]
    made.restrict(bad, False, 2)
    assert deeds.took() == [("lease", NEVER, math.inf, True)]
    made.put_in_force(changed(first, max_attempts=1), 9500.0, 2, 3)  # the next that can be read
    assert [what[0] for what in deeds.took()] == ["adopt", "lease"]


@pytest.mark.parametrize("refuse", [True, False])
def test_without_a_lease_the_narrow_rules_or_none(refuse: bool) -> None:
    made, deeds, first = acting()
    made.restrict(changed(first, parallel_tries=False), refuse, 1)
    (_, config), lease = deeds.took()
    assert not config.settings.may_hedge and lease == ("lease", NEVER, math.inf, refuse)


def test_a_file_read_again_moves_what_is_own_alone() -> None:
    made, deeds, first = acting()
    made.put_in_force(changed(first, max_attempts=1), 5000.0, 1, 2)
    deeds.took()
    again = deepcopy(RAW)
    again["settings"]["permissions"]["max_attempts"] = 6  # type: ignore[index]
    again["settings"]["rank"], again["limits"]["sockets"] = 4, 500  # type: ignore[index]
    made.file_reloaded(parse(again, {}))
    ((_, config),) = deeds.took()
    assert (config.settings.max_attempts, config.settings.balancer_index, config.sockets) == (1, 4, 500)

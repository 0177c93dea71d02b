"""Actions of operators in simulated time: ejections, changed settings, replaced processes; the rules always hold."""

from __future__ import annotations

from pathlib import Path

import pytest

from limenotch.lab import planning, scenario
from limenotch.lab.emulate.host import Rehearsal
from limenotch.lab.experiment import Job, play
from limenotch.lab.simulate.sidecar import Sidecar
from limenotch.toml import FaultError


@pytest.mark.parametrize(("name", "in_time"), [("bans", 0.97), ("retune", 0.93), ("upgrade", 0.93)])
def test_the_rules_hold_and_service_goes_on(name: str, in_time: float) -> None:
    result = play(Job(name, 1)).figures
    assert result["rules"]["kept"], result["rules"]["violations"]
    assert result["metrics"]["in_time"] > in_time
    assert result["metrics"]["cold_push"] < 0.75


def test_a_sidecar_that_does_not_heed_a_ban_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    def ignore_ejections(self: Sidecar, name: str, ejected: bool) -> None:
        if ejected:
            self._ejected.add(name)
            self._report_stage(name)
            self._ejected.discard(name)

    monkeypatch.setattr(Sidecar, "set_ejected", ignore_ejections)
    assert not play(Job("bans", 1)).figures["rules"]["kept"]


def test_a_retune_to_no_attempts_is_a_fault_of_the_scenario() -> None:
    for size in ("0", "1.5"):
        with pytest.raises(FaultError, match=r"fault\[0\].size: expected a number of attempts"):
            scenario.load("calm", f'fault = [{{ kind = "retune", at_s = 1, size = {size} }}]')


@pytest.mark.parametrize("name", ["bans", "retune", "upgrade"])
def test_a_rehearsal_on_sockets_says_that_it_cannot_play_them(name: str, tmp_path: Path) -> None:
    with pytest.raises(FaultError, match="simulated time only"):
        Rehearsal(planning.plan(scenario.load(name), 1), tmp_path)

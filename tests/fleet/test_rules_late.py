"""What a canary is judged by: rejected and failed calls, and answers beyond their class's aim."""

from __future__ import annotations

from copy import deepcopy
from time import monotonic
from typing import Any

import pytest

from limenotch.config import parse
from limenotch.configuration_applier import ConfigurationApplier
from limenotch.fleet.hub import ComponentEvent
from limenotch.fleet.rules.api import Counted
from limenotch.fleet.rules.tuning import Tuning
from limenotch.fleet_adapters.base import NodeContext
from limenotch.fleet_adapters.rules import RulesAdapter
from limenotch.net.request import FinalResponse, Request, Verdict
from tests.test_configuration_applier import RAW, Deeds


def call(kind: str, spent_s: float, verdict: Verdict | None) -> Request:
    """As it ends now, `spent_s` after its message's last byte."""
    left = 20.0
    made = Request(1, b"1", kind, None, monotonic() - spent_s + left, left, lambda final: None)
    made.final = FinalResponse(verdict) if verdict is not None else None
    return made


@pytest.mark.parametrize("aim_s", [9.0, 2.0])
def test_late_answers_count_by_the_aim_in_force(aim_s: float) -> None:
    told: list[Any] = []
    layer = RulesAdapter(NodeContext("a", 1, ("a",), b"", told.append, lambda: 0.0), Tuning())
    acting = ConfigurationApplier(parse(RAW, {}), Deeds())
    counts = [10, 1]
    layer.follow(acting, lambda: (counts[0], counts[1]))
    document = deepcopy(acting.initial_document())
    document["settings"]["classes"][0]["target_ms"] = aim_s * 1000.0
    acting.put_in_force(document, 1e12, 1, 2)
    assert layer.interceptor is not None
    for spent_s, verdict in (
        (1.0, Verdict.SERVED),
        (3.0, Verdict.SERVED),
        (9.5, Verdict.SERVED),
        (9.5, Verdict.FAILED),
        (9.5, None),
    ):
        layer.interceptor.request_closed(call("look", spent_s, verdict))
    layer.interceptor.request_closed(call("no class of these rules", 100.0, Verdict.SERVED))
    counts[:] = [16, 2]
    layer._count()
    assert told == [ComponentEvent("ru.", Counted(6, 1 + (1 if aim_s == 9.0 else 2)))]
    layer._count()
    assert told[1] == ComponentEvent("ru.", Counted(0, 0))

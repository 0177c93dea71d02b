"""What decides on a canary trial: rejected and failed requests, and responses beyond their latency objective."""

from __future__ import annotations

from copy import deepcopy
from time import monotonic
from typing import Any

import pytest

from limenotch.config import parse
from limenotch.configuration_applier import ConfigurationApplier
from limenotch.fleet.hub import ComponentEvent
from limenotch.fleet.rules.api import RequestsCounted
from limenotch.fleet.rules.tuning import Tuning
from limenotch.fleet_adapters.base import NodeContext
from limenotch.fleet_adapters.rules import RulesAdapter
from limenotch.net.request import FinalResponse, Request, Verdict
from tests.test_configuration_applier import RAW, RecordingTarget


def closed_request(class_name: str, spent_s: float, verdict: Verdict | None) -> Request:
    """A request that closes now, `spent_s` after its last byte arrived."""
    remaining_s = 20.0
    request = Request(1, b"1", class_name, None, monotonic() - spent_s + remaining_s, remaining_s, lambda final: None)
    request.final = FinalResponse(verdict) if verdict is not None else None
    return request


@pytest.mark.parametrize("objective_s", [9.0, 2.0])
def test_overdue_responses_count_by_the_latency_objective_in_force(objective_s: float) -> None:
    events: list[Any] = []
    adapter = RulesAdapter(NodeContext("a", 1, ("a",), b"", events.append, lambda: 0.0), Tuning())
    applier = ConfigurationApplier(parse(RAW, {}), RecordingTarget())
    counts = [10, 1]
    adapter.attach(applier, lambda: (counts[0], counts[1]))
    document = deepcopy(applier.initial_document())
    document["settings"]["classes"][0]["target_ms"] = objective_s * 1000.0
    applier.put_in_force(document, 1e12, 1, 2)
    assert adapter.interceptor is not None
    for spent_s, verdict in (
        (1.0, Verdict.SERVED),
        (3.0, Verdict.SERVED),
        (9.5, Verdict.SERVED),
        (9.5, Verdict.FAILED),
        (9.5, None),
    ):
        adapter.interceptor.request_closed(closed_request("look", spent_s, verdict))
    adapter.interceptor.request_closed(closed_request("no class of these rules", 100.0, Verdict.SERVED))
    counts[:] = [16, 2]
    adapter._count()
    assert events == [ComponentEvent("ru.", RequestsCounted(6, 1 + (1 if objective_s == 9.0 else 2)))]
    adapter._count()
    assert events[1] == ComponentEvent("ru.", RequestsCounted(0, 0))

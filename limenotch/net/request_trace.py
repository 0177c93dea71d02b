"""Log lines of single requests, at level `debug`; lab/timeline.py reads them."""

from __future__ import annotations

from collections.abc import Mapping

from .. import logs
from ..load_balancer_types import AttemptEnding
from .request import Attempt, FinalResponse, Request

log = logs.get(__name__)


def trace_accepted(request: Request, usable_ms: float) -> None:
    """Logs that a request was accepted, and for how many milliseconds it may stay open."""
    log.debug(
        "taken",
        call=request.number,
        id=request.request_id.decode("latin-1"),
        kind=request.class_name,
        account=request.tenant,
        left_ms=round(usable_ms),
        resent=request.details.is_retry,
    )


def trace_attempt(
    attempt: Attempt, ending: AttemptEnding, spent_ms: float, utilisation: float | None, per_s: float | None
) -> None:
    """Logs that an attempt has ended after `spent_ms`; `utilisation` and `per_s` (requests per second) are from the
    load report in its response.
    """
    log.debug(
        "invoked",
        call=attempt.request.number,
        number=attempt.number,
        provider=attempt.endpoint_name,
        ending=ending.value,
        spent_ms=round(spent_ms, 1),
        util=utilisation,
        per_s=per_s,
    )


def trace_final(request: Request, final: FinalResponse, decision_metrics: Mapping[str, float]) -> None:
    """Logs the final response of a request, with the metrics that the load balancer's decisions are based on."""
    log.debug(
        "final",
        call=request.number,
        verdict=final.verdict.value,
        invoked=len(request.attempts),
        **decision_metrics,
    )

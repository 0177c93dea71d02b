"""Final responses that the network code decides by itself, without the load balancer."""

from __future__ import annotations

from ..load_balancer import LoadBalancer
from .request import FinalResponse, Request, Verdict

METRIC_ENDINGS = {Verdict.SERVED: "answered", Verdict.REJECTED: "deferred", Verdict.FAILED: "errored"}
NO_CAPACITY_RETRY_AFTER_MS = 1000.0  # the settings may allow less


def without_capacity(load_balancer: LoadBalancer) -> FinalResponse:
    """For a request that was not accepted, for want of descriptors or memory."""
    return FinalResponse(
        Verdict.REJECTED, retry_after_ms=min(NO_CAPACITY_RETRY_AFTER_MS, load_balancer.max_retry_after_ms)
    )


def without_memory_for_response(request: Request, load_balancer: LoadBalancer) -> FinalResponse:
    """For a request that has run, and whose long response can't be forwarded."""
    return without_capacity(load_balancer) if request.policy.is_idempotent else FinalResponse(Verdict.FAILED)


def abandoned(request: Request) -> FinalResponse:
    """For a request whose time is over."""
    if any(attempt.may_have_run for attempt in request.attempts):
        return FinalResponse(Verdict.FAILED, timed_out=True)
    return FinalResponse(Verdict.REJECTED)

"""Reads an endpoint's response: how the attempt ended, and the endpoint's load."""

from __future__ import annotations

from typing import NamedTuple

from ..load_balancer_types import AttemptEnding
from . import http1

# The largest plausible value of each metric of a load report. Utilization is relative to the endpoint's cores, and
# includes noise; requests per second are those of one endpoint.
MAX_REPORTED = {b"util": 4.0, b"qps": 1e6}


class ExchangeOutcome(NamedTuple):
    """How the exchange of a request and its response on a connection ended."""

    ending: AttemptEnding
    response: http1.Message | None = None
    complete: bool = False  # whether request and response were transferred to their last byte


def attempt_ending(response: http1.Message) -> AttemptEnding:
    """How the attempt ended; only a response marked as rejected tells that the request never ran."""
    if response.status == 200:
        return AttemptEnding.SERVED
    if response.status in (503, 504) and response.fields.get(b"x-rejected") == b"1":
        return AttemptEnding.REJECTED
    return AttemptEnding.ERROR


def load_report(report: bytes) -> tuple[float | None, float | None]:
    """The utilization (of the endpoint's cores) and the requests per second in an `X-Load-Report`.

    None for each that is missing; None for both if one of them is malformed or out of range.
    """
    reported: dict[bytes, float] = {}
    for pair in report.removeprefix(b"TEXT ").split(b","):
        name, _, value = pair.strip().partition(b"=")
        if name not in MAX_REPORTED:
            continue
        try:
            number = float(value)
        except ValueError:
            return None, None
        if not 0.0 <= number <= MAX_REPORTED[name]:
            return None, None
        reported[name] = number
    return reported.get(b"util"), reported.get(b"qps")


def load_of(response: http1.Message) -> tuple[float | None, float | None]:
    """The load report that a response carries; see load_report."""
    return load_report(response.fields.get(b"x-load-report", b""))

"""What an endpoint's answer says: how the attempt ended, and how loaded the endpoint is."""

from __future__ import annotations

from ..load_balancer_types import AttemptEnding
from . import http1

# No busy share of its cores is more, noise included, and no endpoint of one process serves more a second.
MOST_REPORTED = {b"util": 4.0, b"qps": 1e6}


def attempt_ending(response: http1.Message) -> AttemptEnding:
    """Only a response marked as rejected says that the call never ran."""
    if response.status == 200:
        return AttemptEnding.SERVED
    if response.status in (503, 504) and response.fields.get(b"x-rejected") == b"1":
        return AttemptEnding.REJECTED
    return AttemptEnding.ERROR


def load_report(report: bytes) -> tuple[float | None, float | None]:
    """`util` and `qps` of a load report; None for what is missing or out of any range.

    A report that is malformed in one of them is spoilt: neither counts.
    """
    found: dict[bytes, float] = {}
    for pair in report.removeprefix(b"TEXT ").split(b","):
        name, _, value = pair.strip().partition(b"=")
        if name in MOST_REPORTED:
            try:
                number = float(value)
            except ValueError:
                return None, None
            if not 0.0 <= number <= MOST_REPORTED[name]:
                return None, None
            found[name] = number
    return found.get(b"util"), found.get(b"qps")

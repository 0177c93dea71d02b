"""The one check that stands right before an attempt's first byte. Nothing is sent to an endpoint around it.

Between the choice of an endpoint and that moment lies the wait for a connection, in which the call may end, its client
leave, its time run out, the endpoint begin to drain or start anew, and the time for a repeat pass.
"""

from __future__ import annotations

from enum import Enum

from ..load_balancer_types import DiscoveredEndpoint
from .request import Attempt


class Obstacle(Enum):
    """Why an attempt may not begin."""

    CALL_OVER = "its call has its answer"
    CLIENT_GONE = "its client has gone"
    ENDED = "the attempt has ended"
    NO_TIME = "its time is over"
    NOT_IN_SERVICE = "the endpoint takes nothing new"
    RESTARTED = "the endpoint is not the process that was chosen"  # the cold budget was charged for another one
    ANOTHER_OUT = "another attempt of the call is out"
    MAY_HAVE_RUN = "an earlier attempt may have run, and no repeat is allowed there or any more"


def obstacle_to(attempt: Attempt, endpoint: DiscoveredEndpoint | None, now: float) -> Obstacle | None:
    """What stops the attempt now, by `time.monotonic`; None: it may begin.

    `endpoint` is the attempt's by the newest list; None if that takes nothing new.
    """
    call, chosen = attempt.request, attempt.endpoint
    if call.client_gone or not call.client_connected():
        return Obstacle.CLIENT_GONE
    if call.final is not None:
        return Obstacle.CALL_OVER
    if attempt.ended:
        return Obstacle.ENDED
    if now >= attempt.deadline:
        return Obstacle.NO_TIME
    if endpoint is None or chosen is None:
        return Obstacle.NOT_IN_SERVICE
    if (endpoint.address, endpoint.started_ms) != (chosen.address, chosen.started_ms):
        return Obstacle.RESTARTED
    sent = call.possible_executions()
    if not call.policy.allows_concurrent(sent):
        return Obstacle.ANOTHER_OUT
    if not call.policy.allows_retry(sent, endpoint.zone, endpoint.group, now * 1000.0):
        return Obstacle.MAY_HAVE_RUN
    return None

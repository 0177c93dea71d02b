"""The check right before the first byte of an attempt. No attempt is sent to an endpoint without it.

After its endpoint was chosen, an attempt waits for a connection. Meanwhile the request may get its response, its client
may disconnect, its deadline or the time for a retry may pass, and the endpoint may start draining or restart.
"""

from __future__ import annotations

from enum import Enum

from ..load_balancer_types import DiscoveredEndpoint
from .request import Attempt


class Obstacle(Enum):
    """Why an attempt may not be sent."""

    REQUEST_ANSWERED = "the request has its response"
    CLIENT_DISCONNECTED = "the client has disconnected"
    ATTEMPT_ENDED = "the attempt has ended"
    DEADLINE_PASSED = "the deadline of the attempt has passed"
    NOT_IN_SERVICE = "the endpoint accepts no requests"
    RESTARTED = "the endpoint has restarted since it was chosen"  # slow start counted the attempt for another process
    ANOTHER_IN_FLIGHT = "another attempt of the request is in flight"
    RETRY_NOT_ALLOWED = "an earlier attempt may have run, and no retry is allowed there or any more"


def obstacle_to(attempt: Attempt, endpoint: DiscoveredEndpoint | None, now: float) -> Obstacle | None:
    """What prevents sending the attempt at `now` (seconds of `time.monotonic`); None if it may be sent.

    `endpoint` is the attempt's endpoint in the newest list; None if it accepts no requests.
    """
    request = attempt.request
    chosen = attempt.endpoint
    if request.client_has_disconnected or not request.client_connected():
        return Obstacle.CLIENT_DISCONNECTED
    if request.final is not None:
        return Obstacle.REQUEST_ANSWERED
    if attempt.ended:
        return Obstacle.ATTEMPT_ENDED
    if now >= attempt.deadline:
        return Obstacle.DEADLINE_PASSED
    if endpoint is None or chosen is None:
        return Obstacle.NOT_IN_SERVICE
    if (endpoint.address, endpoint.started_ms) != (chosen.address, chosen.started_ms):
        return Obstacle.RESTARTED
    sent = request.possible_executions()
    if not request.policy.allows_concurrent(sent):
        return Obstacle.ANOTHER_IN_FLIGHT
    if not request.policy.allows_retry(sent, endpoint.zone, endpoint.group, now * 1000.0):
        return Obstacle.RETRY_NOT_ALLOWED
    return None

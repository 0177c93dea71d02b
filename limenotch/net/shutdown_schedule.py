"""The schedule of a graceful shutdown, from SIGTERM to the end of the process, computed from the settings."""

from __future__ import annotations

from typing import NamedTuple

# SIGKILL follows SIGTERM after the longest deadline, limited to MAX_KILL_DELAY_S, plus KILL_GRACE_S, or later. The
# other two are margins before SIGKILL; half of END_MARGIN_S is for writing and reading the responses.
MAX_KILL_DELAY_S = 3.0
KILL_GRACE_S = 0.7
ANSWER_MARGIN_S = 0.2
END_MARGIN_S = 0.1
STANDBY_MARGIN_S = 0.2  # in addition, for the state that the process on standby takes over
STANDBY_ANSWER_S = 1.0  # for the requests that were accepted last, while connections wait for the next process


class Schedule(NamedTuple):
    """The steps of a graceful shutdown, in seconds after SIGTERM."""

    accept_s: float  # new connections are accepted until then
    close_s: float  # from then on idle connections are closed, and each other connection after its next response
    answer_s: float  # requests accepted during the shutdown are answered by then, incomplete ones rejected
    end_s: float  # connections that owe no response are closed, whatever their clients do
    wait_s: float  # requests accepted before SIGTERM, and responses that have begun, are awaited until then


def schedule(
    longest_deadline_s: float, accept_s: float, keep_s: float, handed_over: bool = False, standby: bool = False
) -> Schedule:
    """The schedule for request classes whose longest deadline is `longest_deadline_s`.

    `accept_s` and `keep_s` are the operator's upper limits for accepting and keeping connections. The last request that
    is accepted still has half of the longest deadline. If the listener was `handed_over`, no connection is accepted.
    If the next process is on `standby`, this one serves for as long as it can, and ends soon after the last connection
    that it accepts: until then new ones wait.
    """
    counted_s = min(longest_deadline_s, MAX_KILL_DELAY_S)
    kill_s = counted_s + KILL_GRACE_S
    answer_s = kill_s - ANSWER_MARGIN_S
    latest_s = answer_s - counted_s / 2
    last_accept_s = 0.0 if handed_over else min(accept_s, latest_s)
    end_s = kill_s - END_MARGIN_S
    if standby:
        answer_s, end_s = answer_s - STANDBY_MARGIN_S, end_s - STANDBY_MARGIN_S
        stop_s = answer_s - min(counted_s / 2, STANDBY_ANSWER_S)
        return Schedule(accept_s=stop_s, close_s=stop_s, answer_s=answer_s, end_s=end_s, wait_s=end_s)
    return Schedule(
        accept_s=last_accept_s,
        close_s=max(last_accept_s, min(keep_s, latest_s)),
        answer_s=answer_s,
        end_s=end_s,
        wait_s=end_s + longest_deadline_s,
    )

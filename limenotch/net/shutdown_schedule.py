"""What happens when between SIGTERM and the end of the process: a schedule that follows from the settings alone."""

from __future__ import annotations

from typing import NamedTuple

# What ends a process after SIGTERM comes no earlier than the longest deadline, counted as so much at most ...
MAX_KILL_DELAY_S = 3.0
KILL_GRACE_S = 0.7  # ... and so much more.
ANSWER_MARGIN_S = 0.2  # before that the last answers are given ...
END_MARGIN_S = 0.1  # ... and the connections ended: half of it is for writing and reading the answers


class Schedule(NamedTuple):
    """In seconds after SIGTERM."""

    accept_s: float  # new connections are taken until then
    close_s: float  # from then on a connection without a call ends, each other one with its answer
    answer_s: float  # until then calls taken while leaving are answered; requests that are not whole are turned off
    end_s: float  # connections end of which nothing is owed, whatever their clients do
    wait_s: float  # calls taken before SIGTERM, and answers that have begun, are waited for: what we leave is lost


def schedule(longest_deadline_s: float, accept_s: float, keep_s: float, handed_over: bool = False) -> Schedule:
    """For classes whose longest deadline is `longest_s`. `accept_s` and `keep_s` are what operators wish at most.

    Whoever is taken last has half of the longest deadline left, be it long or short. With the listener `handed_on`
    there is nothing to accept.
    """
    counted = min(longest_deadline_s, MAX_KILL_DELAY_S)
    kill = counted + KILL_GRACE_S
    answer = kill - ANSWER_MARGIN_S
    latest = answer - counted / 2
    accept = 0.0 if handed_over else min(accept_s, latest)
    end = kill - END_MARGIN_S
    return Schedule(accept, max(accept, min(keep_s, latest)), answer, end, end + longest_deadline_s)

"""The bench's wire on standard input and output; one Balancer per instance, nothing shared.

Only translation lives here. Every decision is made in the files that deploy/balancer.toml names under `policy`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import TextIO

from .actions import Action, CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from .balancer import Balancer
from .events import (
    AttemptFinished,
    BalancerStarted,
    ClientDisconnected,
    Event,
    MembershipKind,
    MembershipUpdate,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from .settings import read_settings
from .types import Endpoint, EndpointState, Outcome

OUTCOMES = {
    "100": Outcome.OK,
    "301": Outcome.ERROR,
    "302": Outcome.REJECTED,
    "303": Outcome.TIMEOUT,
    "304": Outcome.CONNECT_FAILED,
    "305": Outcome.RESET,
    "306": Outcome.CANCELLED,
    "307": Outcome.NOT_SENT,
}
LISTINGS = {
    "patch": MembershipKind.INCREMENTAL,
    "whole": MembershipKind.COMPLETE,
    "stale_copy": MembershipKind.COMPLETE,
    "broken": MembershipKind.UNAVAILABLE,
}
STAGES = {stage.value: stage for stage in EndpointState}
IGNORED = frozenset({"CHECKED", "PEER_DATA"})  # probes and peers are not used
SHEETS = 16


class WireError(Exception):
    """A line that breaks the wire's grammar; says what was expected."""


def _fields(parts: list[str]) -> dict[str, str]:
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise WireError("expected name=value pairs set apart by one space") from None


def _row(line: str) -> Endpoint:
    parts = line.split(" ")
    if parts[0] != "ROW":
        raise WireError("expected ROW")
    pairs = _fields(parts[1:])
    return Endpoint(
        pairs["upstream"],
        STAGES[pairs["stage_state"]],
        float(pairs.get("nominal", 1.0)),
        int(pairs.get("hw", 0)),
        int(pairs.get("locality", 0)),
        int(pairs.get("unit_group", 0)),
        float(pairs.get("started_at_ms", 0.0)),
    )


def _report(report: str | None) -> tuple[float | None, float | None]:
    """Utilisation and requests a second; None for what the report lacks."""
    values = dict(pair.split(":", 1) for pair in (report or "").split(",") if ":" in pair)
    util, per_s = values.get("util"), values.get("qps")
    return (float(util) if util else None, float(per_s) if per_s else None)


def _event(name: str, pairs: dict[str, str]) -> Event:
    """One wire event other than the list's and the instance's own start and stop."""
    if name == "KNOCK":
        return RequestArrived(
            pairs["handle"],
            int(pairs["kind"]),
            float(pairs["budget_ms"]),
            int(pairs.get("party", 0)),
            pairs.get("resent") == "1",
        )
    if name == "RESULT":
        return AttemptFinished(
            pairs["handle"],
            pairs["upstream"],
            int(pairs["copy"]),
            float(pairs["spent_ms"]),
            OUTCOMES[pairs["how"]],
            pairs.get("closed") == "1",
            *_report(pairs.get("report")),
        )
    if name == "TIMER":
        return TimerFired(int(pairs["ctx"]))
    if name == "LEFT":
        return ClientDisconnected(pairs["handle"])
    if name == "HEAD_RECEIVED":
        return ResponseStarted(
            pairs["handle"], pairs["upstream"], int(pairs["copy"]), float(pairs["spent_ms"])
        )
    raise WireError("expected an event of the wire")


def _line(action: Action, at: str) -> str:
    """One action as the wire writes it."""
    if isinstance(action, SendAttempt):
        return (
            f"RELAY balancer_id={at} handle={action.request} "
            f"try_for_ms={action.timeout_ms:.3f} upstream={action.endpoint}"
        )
    if isinstance(action, SetTimer):
        return f"WAKE_ME balancer_id={at} at_ms={action.at_ms:.3f} ctx={action.token}"
    if isinstance(action, CancelAttempt):
        return f"WITHDRAW balancer_id={at} handle={action.request} copy={action.attempt}"
    if isinstance(action, RejectRequest):
        return f"TURN_AWAY balancer_id={at} handle={action.request} hold_off_ms={action.retry_after_ms:.3f}"
    if isinstance(action, FailRequest):
        return f"GIVE_UP balancer_id={at} handle={action.request}"
    return f"WATCH balancer_id={at} active=1"


class SimulatorAdapter:
    """Reads batches, hands events to their instances, writes replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.sink = sink
        self.number = 0
        self.source = source
        self.sheets: dict[int, tuple[Endpoint, ...]] = {}
        self.instances: dict[str, Balancer] = {}

    def lines(self) -> Iterator[str]:
        for raw in self.source:
            self.number += 1
            yield raw.rstrip("\n")

    def run(self) -> None:
        lines = self.lines()
        for line in lines:
            if not line:
                continue
            if not line.startswith("BATCH "):
                raise WireError("expected BATCH")
            self.batch(float(_fields(line.split(" ")[1:])["at_time_ms"]), lines)

    def batch(self, now: float, lines: Iterator[str]) -> None:
        reply: list[str] = []
        for line in lines:
            if line == "EOF_BATCH":
                reply.append("DONE\n")
                self.sink.write("\n".join(reply))
                self.sink.flush()
                return
            if line:
                self.event(now, line, lines, reply)
        raise WireError("expected EOF_BATCH before the end of input")

    def event(self, now: float, line: str, lines: Iterator[str], reply: list[str]) -> None:
        head, _, env = line.partition(" env=")
        parts = head.split(" ")
        name, pairs = parts[0], _fields(parts[1:])
        if name == "REGISTER":
            number = int(pairs["sheet"])
            if not 0 <= number < SHEETS:
                raise WireError(f"expected a sheet from 0 to {SHEETS - 1}")
            rows = []
            for _ in range(int(pairs["hosts"])):
                row = next(lines, None)
                if row is None:
                    raise WireError("expected ROW before the end of input")
                rows.append(_row(row))
            self.sheets[number] = tuple(rows)
            return
        at = pairs["balancer_id"]
        event: Event
        if name == "LAUNCH":
            self.instances[at] = Balancer(read_settings(json.loads(env)), int(pairs["seed"]))
            event = BalancerStarted()
        elif name == "TEARDOWN":
            self.instances.pop(at, None)
            return
        elif name in IGNORED:
            return
        elif name == "MEMBERSHIP":
            listing = LISTINGS[pairs["how"]]
            rows_held: tuple[Endpoint, ...] = ()
            if listing is not MembershipKind.UNAVAILABLE:
                number = int(pairs["sheet"])
                if number not in self.sheets:
                    raise WireError(f"expected a registered sheet, not {number}")
                rows_held = self.sheets[number]
            event = MembershipUpdate(listing, rows_held)
        else:
            event = _event(name, pairs)
        balancer = self.instances.get(at)
        if balancer is None:
            raise WireError(f"expected LAUNCH before anything else for instance {at}")
        for action in balancer.handle(now, event):
            reply.append(_line(action, at))


def main() -> int:
    link = SimulatorAdapter(sys.stdin, sys.stdout)
    try:
        link.run()
    except WireError as error:
        problem = str(error)
    except KeyError as error:
        problem = f"expected a known value or field in place of {error}"
    except (ValueError, IndexError) as error:
        problem = str(error)
    else:
        return 0
    print(f"line {link.number}: {problem}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())

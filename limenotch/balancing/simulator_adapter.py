"""Adapter to the simulator's wire protocol on standard input and output, with one Balancer per instance.

The instances share no state. This module only translates between the names of the protocol and those of the
package. All decisions are made in the files that deploy/balancer.toml lists under `policy`.
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
MEMBERSHIP_KINDS = {
    "patch": MembershipKind.INCREMENTAL,
    "whole": MembershipKind.COMPLETE,
    "stale_copy": MembershipKind.COMPLETE,
    "broken": MembershipKind.UNAVAILABLE,
}
ENDPOINT_STATES = {state.value: state for state in EndpointState}
# Results of health checks and messages of peers: the balancer does not use them.
IGNORED_EVENTS = frozenset({"CHECKED", "PEER_DATA"})
MAX_ENDPOINT_LISTS = 16  # endpoint lists ("sheets" on the wire), numbered from 0


class WireError(Exception):
    """A line that breaks the grammar of the wire protocol. The message says what was expected."""


def _parse_fields(parts: list[str]) -> dict[str, str]:
    """Fields by name from `name=value` parts. Raises WireError."""
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise WireError("expected name=value pairs separated by one space") from None


def _parse_row(line: str) -> Endpoint:
    """One entry of an endpoint list. Raises WireError, KeyError or ValueError."""
    parts = line.split(" ")
    if parts[0] != "ROW":
        raise WireError("expected ROW")
    fields = _parse_fields(parts[1:])
    return Endpoint(
        name=fields["upstream"],
        state=ENDPOINT_STATES[fields["stage_state"]],
        weight=float(fields.get("nominal", 1.0)),
        kind=int(fields.get("hw", 0)),
        zone=int(fields.get("locality", 0)),
        cell=int(fields.get("unit_group", 0)),
        started_ms=float(fields.get("started_at_ms", 0.0)),
    )


def _parse_load_report(report: str | None) -> tuple[float | None, float | None]:
    """Utilisation and requests per s of a load report; None for a value that it lacks."""
    values = dict(pair.split(":", 1) for pair in (report or "").split(",") if ":" in pair)
    utilisation = values.get("util")
    requests_per_s = values.get("qps")
    return (float(utilisation) if utilisation else None, float(requests_per_s) if requests_per_s else None)


def _parse_event(name: str, fields: dict[str, str]) -> Event:
    """Parse an event other than the start, stop and endpoint list of an instance.

    Raises WireError, KeyError or ValueError.
    """
    if name == "KNOCK":
        return RequestArrived(
            fields["handle"],
            int(fields["kind"]),
            float(fields["budget_ms"]),
            int(fields.get("party", 0)),
            fields.get("resent") == "1",
        )
    if name == "RESULT":
        return AttemptFinished(
            fields["handle"],
            fields["upstream"],
            int(fields["copy"]),
            float(fields["spent_ms"]),
            OUTCOMES[fields["how"]],
            fields.get("closed") == "1",
            *_parse_load_report(fields.get("report")),
        )
    if name == "TIMER":
        return TimerFired(int(fields["ctx"]))
    if name == "LEFT":
        return ClientDisconnected(fields["handle"])
    if name == "HEAD_RECEIVED":
        return ResponseStarted(
            fields["handle"], fields["upstream"], int(fields["copy"]), float(fields["spent_ms"])
        )
    raise WireError("expected an event of the wire protocol")


def _format_action(action: Action, balancer_id: str) -> str:
    """The line of the wire protocol for an action."""
    if isinstance(action, SendAttempt):
        return (
            f"RELAY balancer_id={balancer_id} handle={action.request} "
            f"try_for_ms={action.timeout_ms:.3f} upstream={action.endpoint}"
        )
    if isinstance(action, SetTimer):
        return f"WAKE_ME balancer_id={balancer_id} at_ms={action.at_ms:.3f} ctx={action.token}"
    if isinstance(action, CancelAttempt):
        return f"WITHDRAW balancer_id={balancer_id} handle={action.request} copy={action.attempt}"
    if isinstance(action, RejectRequest):
        return (
            f"TURN_AWAY balancer_id={balancer_id} handle={action.request} "
            f"hold_off_ms={action.retry_after_ms:.3f}"
        )
    if isinstance(action, FailRequest):
        return f"GIVE_UP balancer_id={balancer_id} handle={action.request}"
    return f"WATCH balancer_id={balancer_id} active=1"


class SimulatorAdapter:
    """Reads batches of events, passes them to their balancers and writes the actions as replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Read from `source` and write to `sink` once `run` is called."""
        self.line_number = 0  # number of the line that was read last, from 1
        self._source = source
        self._sink = sink
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}  # by sheet number
        self._balancers: dict[str, Balancer] = {}  # by instance

    def run(self) -> None:
        """Handle all batches until the end of the input.

        Raises WireError, KeyError, ValueError or IndexError for a malformed line.
        """
        lines = self._read_lines()
        for line in lines:
            if not line:
                continue
            if not line.startswith("BATCH "):
                raise WireError("expected BATCH")
            self._handle_batch(float(_parse_fields(line.split(" ")[1:])["at_time_ms"]), lines)

    def _read_lines(self) -> Iterator[str]:
        for raw in self._source:
            self.line_number += 1
            yield raw.rstrip("\n")

    def _handle_batch(self, now: float, lines: Iterator[str]) -> None:
        reply: list[str] = []
        for line in lines:
            if line == "EOF_BATCH":
                reply.append("DONE\n")
                self._sink.write("\n".join(reply))
                self._sink.flush()
                return
            if line:
                reply += self._handle_line(now, line, lines)
        raise WireError("expected EOF_BATCH before the end of input")

    def _handle_line(self, now: float, line: str, lines: Iterator[str]) -> list[str]:
        """Handle one event and return the lines of the reply. The rows of an endpoint list are read from `lines`."""
        head, _, settings_json = line.partition(" env=")
        parts = head.split(" ")
        name, fields = parts[0], _parse_fields(parts[1:])
        if name == "REGISTER":
            self._register_endpoint_list(fields, lines)
            return []
        balancer_id = fields["balancer_id"]
        event: Event
        if name == "LAUNCH":
            settings = read_settings(json.loads(settings_json))
            self._balancers[balancer_id] = Balancer(settings, int(fields["seed"]))
            event = BalancerStarted()
        elif name == "TEARDOWN":
            self._balancers.pop(balancer_id, None)
            return []
        elif name in IGNORED_EVENTS:
            return []
        elif name == "MEMBERSHIP":
            event = self._membership_update(fields)
        else:
            event = _parse_event(name, fields)
        balancer = self._balancers.get(balancer_id)
        if balancer is None:
            raise WireError(f"expected LAUNCH before anything else for instance {balancer_id}")
        return [_format_action(action, balancer_id) for action in balancer.handle(now, event)]

    def _register_endpoint_list(self, fields: dict[str, str], lines: Iterator[str]) -> None:
        number = int(fields["sheet"])
        if not 0 <= number < MAX_ENDPOINT_LISTS:
            raise WireError(f"expected a sheet from 0 to {MAX_ENDPOINT_LISTS - 1}")
        endpoints = []
        for _ in range(int(fields["hosts"])):
            row = next(lines, None)
            if row is None:
                raise WireError("expected ROW before the end of input")
            endpoints.append(_parse_row(row))
        self._endpoint_lists[number] = tuple(endpoints)

    def _membership_update(self, fields: dict[str, str]) -> MembershipUpdate:
        kind = MEMBERSHIP_KINDS[fields["how"]]
        if kind is MembershipKind.UNAVAILABLE:
            return MembershipUpdate(kind)
        number = int(fields["sheet"])
        if number not in self._endpoint_lists:
            raise WireError(f"expected a registered sheet, not {number}")
        return MembershipUpdate(kind, self._endpoint_lists[number])


def main() -> int:
    """Run on standard input and output; return the exit code: 0, or 2 after a malformed line."""
    adapter = SimulatorAdapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except WireError as error:
        problem = str(error)
    except KeyError as error:
        problem = f"expected a known value or field in place of {error}"
    except (ValueError, IndexError) as error:
        problem = str(error)
    else:
        return 0
    print(f"line {adapter.line_number}: {problem}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())

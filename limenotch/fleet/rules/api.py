"""Events and actions between the rules component, the host and operators, besides `interfaces` and the log's API."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

# Events


class OperatorRequest(NamedTuple):
    """An operator's request.

    Each gets exactly one OperatorResponse with its ticket, `ask_ms` and a little later at the latest.

    | what | document |
    | --- | --- |
    | propose | `change` (partial, see document.py); `base` (default: the newest here); `canary`: names |
    | back | `to`: the version whose document is to be restored |
    | ban | `upstream`: the endpoint to eject |
    | return | `upstream`: the endpoint to readmit; `at_ms` of the readmission |
    | diff | `one`, `two`: versions |
    | status | |
    """

    ticket: int
    what: str
    document: Mapping[str, Any]
    id: str = ""  # counted once; made of name, process epoch and ticket if empty


class VotersChanged(NamedTuple):
    """The voters of the log have changed: they check each change of the rules."""

    names: tuple[str, ...]


class RequestsCounted(NamedTuple):
    """Requests of this sidecar since the last such event, under the document then in force."""

    requests: int
    unsuccessful: int  # rejected, failed or overdue


# Actions


class OperatorResponse(NamedTuple):
    """If not `ok`, `text` names the faulty key, or the version that won."""

    ticket: int
    ok: bool
    text: str
    version: int


class RulesInForce(NamedTuple):
    """The rules in force under a lease.

    For each request the host compares its own clock with `lease_until_ms`: below it, `document` is in force; from then
    on `restricted_document` (or all requests are rejected, by the settings), until the next RulesInForce. The same
    object as before means that nothing in it changed. A `divisor` of 0: nothing is sent to endpoints in slow
    start.
    """

    document: dict[str, Any]
    lease_until_ms: float
    divisor: int
    restricted_document: dict[str, Any]
    version: int  # the newest that this sidecar has applied
    active: int


class RestrictedRules(NamedTuple):
    """No lease is valid: `document` is in force in restricted mode. `reject_all`: all requests are rejected."""

    document: dict[str, Any]
    reject_all: bool
    version: int

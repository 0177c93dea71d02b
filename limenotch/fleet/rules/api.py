"""What operators and the host say to the rules and hear of them, besides contract.py and the log's api.py."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

# Events


class OperatorRequest(NamedTuple):
    """An operator's. Each gets exactly one OperatorResponse with its ticket, in `ask_ms` and a little at the latest.

    | what | document |
    | --- | --- |
    | propose | `change` (partial, see document.py); `base` (the newest here, if not said); `canary`: names |
    | back | `to`: the version whose body is to come again |
    | ban | `upstream` |
    | return | `upstream`; `at_ms` of the return |
    | diff | `one`, `two`: versions |
    | status | |
    """

    ticket: int
    what: str
    document: Mapping[str, Any]
    id: str = ""  # counts once; made of name, life and ticket if empty


class Voters(NamedTuple):
    """Who votes on the log now: they check each change."""

    names: tuple[str, ...]


class Counted(NamedTuple):
    """What this sidecar has counted of calls since it was told last, under the document then in force."""

    taken: int
    bad: int  # rejected, failed or late


# Actions


class OperatorResponse(NamedTuple):
    """`text` of one that is not ok names the key, or the version that won."""

    ticket: int
    ok: bool
    text: str
    version: int


class InForce(NamedTuple):
    """The host acts on `document` while its own clock, looked at for each call, is below `lease_until_ms`; from then
    on `narrow` (or refuses, by the settings), until the next InForce. The same object again: it did not change.
    `parts` 0: nothing is sent to cold providers.
    """

    document: dict[str, Any]
    lease_until_ms: float
    parts: int
    narrow: dict[str, Any]
    version: int  # the newest held
    active: int


class Narrow(NamedTuple):
    """No lease is held. `refuse`: no call is taken at all."""

    document: dict[str, Any]
    refuse: bool
    version: int

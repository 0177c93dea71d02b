"""The endpoint list's events and actions, its messages between sidecars, and its log entries."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from msgspec import Struct

from ..interfaces import Message

READY = "ready"
STAGES = ("ready", "draining", "gone")  # each restricts more than the one before
MAX_NOTICE_ENTRIES = 2000  # of one notice
DATAGRAM_NAME_BYTES = 700  # bytes of names in a notice sent as a datagram
MAX_REPORT_ENTRIES = 64  # of one report to the leader, or of one log entry
MAX_NAME_BYTES = 80  # a longer name is served as listed by the own directory, but not reported to peers


class ListedEndpoint(Struct, frozen=True, array_like=True):
    """An endpoint as a directory lists it."""

    name: str
    address: str
    zone: str = ""
    kind: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


# Events


class DirectoryListed(NamedTuple):
    """What this sidecar's own directory reported on a live watch: name to stage, and the ready endpoints in full.

    `complete`: an endpoint that is not named is gone. `requested_at_ms`: when such a list was requested; by default,
    after everything received so far.
    """

    directory: str
    index: int  # type: ignore[assignment]
    complete: bool
    stages: dict[str, str]
    ready: tuple[ListedEndpoint, ...] = ()
    requested_at_ms: float = float("inf")


class DirectorySilent(NamedTuple):
    """The watch ended or failed.

    The list that it reported last stays in use, with peers' drains and the endpoints that the fleet agreed on.
    """

    directory: str


# Actions


class PeerDrainsChanged(NamedTuple):
    """The host starts no new attempts to these, whatever its own list says.

    `restricted`: names to `draining` or `gone`.
    """

    restricted: dict[str, str]


class AgreedEndpointsChanged(NamedTuple):
    """Endpoints agreed on and missing from the last list of this sidecar's own directory, which is silent.

    None: the directory answers again.
    """

    endpoints: tuple[ListedEndpoint, ...]


# Between sidecars


class StageNotice(Message, frozen=True, array_like=True, tag="li.word"):
    """Stages of endpoints by the sender's own directory.

    Notices of one serial belong together; one of an older serial is ignored. Sent by datagram when something changed;
    by stream, with all that the directory restricts, in response to a NoticeRequest.
    """

    process_epoch: int  # differs between two processes of the sender's name
    directory: str
    index: int
    serial: int
    live: bool  # its watch is live
    stages: tuple[tuple[str, str], ...] = ()  # by name
    complete: bool = False  # everything that it restricts


class NoticeRequest(Message, frozen=True, array_like=True, tag="li.pull"):
    """Requests a complete notice."""


class DifferenceReport(Message, frozen=True, array_like=True, tag="li.know"):
    """How the directory of a voter differs from what was agreed on; sent to the leader."""

    directory: str
    ready: tuple[ListedEndpoint, ...] = ()
    gone: tuple[str, ...] = ()


# In the log


class AgreedChange(Struct, frozen=True, array_like=True):
    """A quorum of voters had these endpoints from this directory, and no longer had those that are `gone`."""

    directory: str
    ready: tuple[ListedEndpoint, ...] = ()
    gone: tuple[str, ...] = ()


class AgreedState(Struct, frozen=True, array_like=True):
    """For the log's snapshot: name to directory and endpoint."""

    agreed: dict[str, tuple[str, ListedEndpoint]]


_encoder = msgspec.msgpack.Encoder()
_change_decoder: msgspec.msgpack.Decoder[AgreedChange] = msgspec.msgpack.Decoder(AgreedChange)
_state_decoder: msgspec.msgpack.Decoder[AgreedState] = msgspec.msgpack.Decoder(AgreedState)


def encode(entry: AgreedChange | AgreedState) -> bytes:
    return _encoder.encode(entry)


def decode_change(data: bytes) -> AgreedChange | None:
    """None if the data are not such an entry, so of a newer program."""
    try:
        return _change_decoder.decode(data)
    except msgspec.DecodeError:
        return None


def decode_state(data: bytes) -> AgreedState:
    """Raises msgspec.DecodeError if the data are no encoded state."""
    return _state_decoder.decode(data)

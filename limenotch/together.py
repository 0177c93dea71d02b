"""The fleet's side of the program: parts, hub, wire and sockets put together. Imported only where `[fleet]` is set.

Which parts there are is said in one place, `parts`; all else here is the same whatever they are.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, get_args

import msgspec

from . import logs
from .config import Address, host_port
from .fleet.contract import Message, Part
from .fleet.hub import Hub, Names
from .fleet.membership import Membership
from .fleet.membership.messages import Spoken
from .fleet.settings import Fleet, Placed, place
from .fleet.wire import Wire
from .net import http1
from .net.operators import Extra
from .net.others import Disk, Others

log = logs.get(__name__)

LEAVE_S = 0.5  # from the word that this process goes to the end of its sockets
PATH = "/fleet"


class Built(NamedTuple):
    """What a factory of parts gives."""

    messages: Sequence[type[Message]]  # of all parts
    parts: Sequence[tuple[str, Part]]  # with the prefix of their messages' tags, membership first
    names: Names | None = None
    members: Callable[[float], list[dict[str, Any]]] = lambda now: []  # for operators, as JSON
    figures: Mapping[str, Callable[[], Any]] = {}  # by part, as JSON too
    disk: Disk | None = None


Parts = Callable[[Placed, int, int], Built]  # settings, life, seed


def parts(placed: Placed, life: int, seed: int) -> Built:
    """The parts that this program has."""
    membership = Membership(
        placed.name, placed.at, life, placed.seeds, placed.table.membership, seed, placed.addresses
    )
    return Built(
        get_args(Spoken), [("mb.", membership)], _Known(membership), lambda now: members(membership, now),
        {"membership": membership.figures},
    )


class _Known:
    """Addresses as membership knows them, the settings' own first."""

    def __init__(self, membership: Membership) -> None:
        self._ground = membership.ground

    def address_of(self, name: str) -> Address | None:
        return self._ground.at_of(name) if self._ground.table.get(name) is not None else None


def members(membership: Membership, now: float) -> list[dict[str, Any]]:
    return [
        {"name": seen.name, "state": seen.state.value, "incarnation": seen.incarnation, "life": seen.life,
         "address": host_port(seen.address), "since_ms": round(now - seen.since)}
        for seen in membership.members()
    ]


class Together:
    """One process among others. Made on the loop's thread."""

    def __init__(self, table: Fleet, sidecar: str, parts: Parts = parts) -> None:
        """Raises toml.FaultError on settings that can't be used."""
        placed = place(table, sidecar)
        self.name, self.group = placed.name, placed.group
        # Of two processes of one name the later has the higher one, unless the wall clock was set back in between:
        # the only use of that clock here, and to membership it is just a number.
        self.life = time.time_ns() // 1000
        self._built = parts(placed, self.life, int.from_bytes(os.urandom(8), "big"))
        hub = Hub(self._built.parts, self._built.names)
        wire = Wire(placed.key, placed.group, self._built.messages)
        self._others = Others(
            placed.listen, placed.name, self.life, hub, wire, table.streams, self._built.disk, placed.at
        )
        self._at = placed.at
        self._end: asyncio.TimerHandle | None = None
        self.descriptors = table.descriptors
        self.paths: dict[str, Extra] = {PATH: self._answer}

    def start(self) -> None:
        self._others.start()

    def leave(self) -> None:
        """Tell the others. A little later the address is free: the next process of this sidecar may wait for it."""
        if self._end is None:
            self._others.leave()
            self._end = asyncio.get_running_loop().call_later(LEAVE_S, self._others.close)

    def close(self) -> None:
        if self._end is not None:
            self._end.cancel()
        self._others.close()

    def state(self) -> dict[str, Any]:
        at: Address = self._at
        return {
            "name": self.name,
            "group": self.group,
            "life": self.life,
            "at": host_port(at),
            "members": self._built.members(self._others.now()),
            **self._others.state(),
            "parts": {name: figures() for name, figures in self._built.figures.items()},
        }

    async def _answer(self, request: http1.Message) -> bytes:
        if request.method != b"GET":
            return http1.write_response(405, [(b"Allow", b"GET")], b"", close=True)
        body = msgspec.json.format(msgspec.json.encode(self.state()), indent=1) + b"\n"
        return http1.write_response(200, [(b"Content-Type", b"application/json")], body, close=True)

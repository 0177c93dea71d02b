"""The fleet's side of the program: parts, hub, wire and sockets put together. Imported only where `[fleet]` is set.

The log and what is above it are there only where `voters` are set, and join when the store has been read: until then,
and for good where it can't be read, this process is a member without a log.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, get_args

import msgspec
from tornado.ioloop import PeriodicCallback

from . import logs, toml
from .acting import Acting
from .config import Address, host_port
from .fleet import above
from .fleet.agreement import Agreement
from .fleet.agreement import messages as of_the_log
from .fleet.contract import Message
from .fleet.hub import LOG, Asked, Hub
from .fleet.membership import Membership
from .fleet.membership.messages import Spoken
from .fleet.promises import LATE_MS, Answer, Promises
from .fleet.rules import Rules
from .fleet.rules import messages as of_the_rules
from .fleet.rules.api import Answer as RulesAnswer
from .fleet.rules.api import Counted, InForce, Narrow, Voters
from .fleet.settings import Fleet, Placed, place
from .fleet.wire import Wire
from .net import http1
from .net.kept import Folder, Memory, UnreadableError
from .net.operators import Extra
from .net.others import Disk, Others
from .net.promised import PREFIX, Promised, no_log
from .net.ruled import PREFIX as OF_RULES
from .net.ruled import RULES, Ruled, no_rules
from .store.records import Held

log = logs.get(__name__)

LEAVE_S = 0.5  # from the word that this process goes to the end of its sockets
PATH = "/fleet"
COUNT_S = 1.0  # between two words of what calls came to
SPARE_S = 1.0  # for an answer that comes by the log's own bounds


def messages() -> tuple[type[Message], ...]:
    """Of all parts."""
    found = [kind for kind in (*vars(of_the_log).values(), *vars(of_the_rules).values())
             if isinstance(kind, type) and issubclass(kind, Message) and kind is not Message]
    return (*get_args(Spoken), *found)


def members(membership: Membership, now: float) -> list[dict[str, Any]]:
    return [
        {"name": seen.name, "state": seen.state.value, "incarnation": seen.incarnation, "life": seen.life,
         "address": host_port(seen.address), "since_ms": round(now - seen.since)}
        for seen in membership.members()
    ]


class Together:
    """One process among others. Made on the loop's thread."""

    def __init__(self, table: Fleet, sidecar: str) -> None:
        """Raises toml.FaultError on settings that can't be used."""
        self._placed = placed = place(table, sidecar)
        self.name, self.group = placed.name, placed.group
        # Of two processes of one name the later has the higher one, unless the wall clock was set back in between:
        # the only use of that clock here, and to membership it is just a number.
        self.life = time.time_ns() // 1000
        self._membership = Membership(
            placed.name, placed.at, self.life, placed.seeds, table.membership, _seed(), placed.addresses)
        self._hub = Hub([("mb.", self._membership)], self._membership)
        wire = Wire(placed.key, placed.group, messages())
        self._others = Others(placed.listen, placed.name, self.life, self._hub, wire, table.streams, at=placed.at)
        self._disk = _disk(placed)
        self._agreement: Agreement | None = None
        self._promises = Promises()
        self._why = "the log is not read yet" if self._disk is not None else ""
        self._promised = Promised(self._others.tell, (table.agreement.ask_ms + LATE_MS) / 1000.0 + SPARE_S)
        self._hub.hears(Answer, self._promised.heed)
        self._acting: Acting | None = None
        self._counted: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self._before = (0, 0)
        self._voters: tuple[str, ...] = table.voters
        self._counting: PeriodicCallback | None = None
        self._rules: Rules | None = None
        ask_s = (table.rules.ask_ms if table.rules is not None else 0.0) / 1000.0 + SPARE_S
        self._ruled = Ruled(self._others.tell, ask_s, self._rules_state)
        self._hub.hears(RulesAnswer, self._ruled.heed)
        self._hub.hears(InForce, self._in_force)
        self._hub.hears(Narrow, self._narrow)
        self._end: asyncio.TimerHandle | None = None
        self.descriptors = table.descriptors
        self.paths: dict[str, Extra] = {PATH: self._answer}
        if self._disk is not None:
            self.paths |= {path: self._through(path) for path in self._promised.paths}
        if table.rules is not None:
            self.paths[RULES] = self._through_rules

    @property
    def ruled(self) -> bool:
        """Whether this sidecar's rules are those that many agree on."""
        return self._placed.table.rules is not None

    def now(self) -> float:
        """The clock that leases are counted on, in ms."""
        return self._others.now()

    def follow(self, acting: Acting, counted: Callable[[], tuple[int, int]]) -> None:
        """Put what is agreed on in force there. To be called before `start`; without `[fleet.rules]` nothing is.

        `counted`: calls taken so far, and those of them rejected or failed: what a canary is judged by.
        """
        tuning = self._placed.table.rules
        if tuning is not None:
            self._acting = acting
            acting.alone(tuning.without_lease == "refuse")
            self._counted, self._before = counted, counted()
            self._counting = PeriodicCallback(self._count, COUNT_S * 1000.0)

    def _count(self) -> None:
        (taken, bad), (taken_before, bad_before) = self._counted(), self._before
        self._before = taken, bad
        if self._rules is not None and self._agreement is not None:
            self._others.tell(Asked(OF_RULES, Counted(taken - taken_before, bad - bad_before)))
            voters = tuple(self._agreement.voters)
            if voters != self._voters:  # one was replaced: who votes on the log checks changes
                self._voters = voters
                self._others.tell(Asked(OF_RULES, Voters(voters)))

    def _in_force(self, said: InForce) -> None:
        if self._acting is not None:
            self._acting.in_force(said.document, said.lease_until_ms, said.parts, said.version)

    def _narrow(self, said: Narrow) -> None:
        if self._acting is not None:
            self._acting.narrow(said.document, said.refuse, said.version)

    def start(self) -> None:
        self._others.start(self._found if self._disk is not None else None)

    async def _found(self) -> Disk | None:
        """The log and the layers above it, from what the disk has. A disk that can't be read costs the log alone."""
        disk, placed = self._disk, self._placed
        assert disk is not None
        try:
            held = await disk.open() if isinstance(disk, Folder) else Held(entries=[])
            agreement = Agreement(placed.name, placed.table.voters, held, placed.table.agreement, _seed())
            states = above.parted(agreement.state)
            promises = Promises(states.get(PREFIX), agreement.index)
            rules = self._with_rules(states.get(OF_RULES))
        except (UnreadableError, msgspec.DecodeError, ValueError) as error:
            self._why = f"no log: {error}"
            log.error("fleet: goes on without the log", folder=placed.table.folder, error=str(error))
            disk.close()
            return None
        self._hub.add(LOG, agreement)
        self._hub.add(PREFIX, promises)
        if rules is not None and self._counting is not None:
            self._counting.start()
            self._hub.add(OF_RULES, rules)
            self._rules = rules
        self._hub.found(states)
        self._agreement, self._promises, self._why = agreement, promises, ""
        return disk

    def _with_rules(self, state: bytes | None) -> Rules | None:
        table, acting = self._placed.table, self._acting
        if table.rules is None or acting is None:
            return None
        return Rules(self.name, self.life, table.voters, acting.first(), acting.check, table.rules, state)

    def leave(self) -> None:
        """Tell the others. A little later the address is free: the next process of this sidecar may wait for it."""
        if self._end is None:
            self._others.leave()
            self._end = asyncio.get_running_loop().call_later(LEAVE_S, self._others.close)

    def close(self) -> None:
        if self._counting is not None:
            self._counting.stop()
        if self._end is not None:
            self._end.cancel()
        self._others.close()

    # For operators

    def state(self) -> dict[str, Any]:
        at: Address = self._placed.at
        parts: dict[str, Any] = {"membership": self._membership.figures()}
        if self._disk is not None:
            parts["agreement"] = self._log_state()
            if self._placed.table.rules is not None:
                parts["rules"] = self._rules_state()
            parts["promises"] = {"kept": len(self._promises), "unreadable": self._promises.bad}
        return {
            "name": self.name,
            "group": self.group,
            "life": self.life,
            "at": host_port(at),
            "members": members(self._membership, self._others.now()),
            **self._others.state(),
            "parts": parts,
        }

    def _log_state(self) -> dict[str, Any]:
        if self._agreement is None:
            return {"role": "none", "why": self._why}
        return {**self._agreement.figures(), "store": self._disk.state() if self._disk is not None else ""}

    def _through(self, path: str) -> Extra:
        async def answer(request: http1.Message) -> bytes:
            return await (no_log(self._why) if self._why else self._promised.paths)[path](request)

        return answer

    def _rules_state(self) -> dict[str, Any]:
        rules = self._rules
        if rules is None:
            return {"state": "none", "why": self._why}
        book, holder, now = rules.book, rules.holder, self._others.now()
        left = max(holder.until - now, 0.0) if holder.holds(now) else 0.0
        return {
            "state": "leased" if left else "narrow", "newest": book.newest, "active": book.active,
            "lease_left_ms": round(left), "parts": holder.parts, "contradiction_ms": rules.tuning.contradiction_ms,
            "leader": rules.leader, "counts": dict(rules.counts),
        }

    async def _through_rules(self, request: http1.Message) -> bytes:
        return await (no_rules(self._why) if self._why else self._ruled.answer)(request)

    async def _answer(self, request: http1.Message) -> bytes:
        if request.method != b"GET":
            return http1.write_response(405, [(b"Allow", b"GET")], b"", close=True)
        body = msgspec.json.format(msgspec.json.encode(self.state()), indent=1) + b"\n"
        return http1.write_response(200, [(b"Content-Type", b"application/json")], body, close=True)


def _seed() -> int:
    return int.from_bytes(os.urandom(8), "big")


def _disk(placed: Placed) -> Folder | Memory | None:
    """None: no voters, so no log. Raises toml.FaultError where a library is not there."""
    table = placed.table
    if not table.voters:
        return None
    if table.folder is None:
        log.info("fleet: no folder, what is agreed is held in memory only")
        return Memory(placed.name)
    try:
        return Folder(Path(table.folder))
    except ImportError as error:
        raise toml.FaultError(f"fleet.folder: needs the library {error}: pip install 'limenotch[fleet]'") from None

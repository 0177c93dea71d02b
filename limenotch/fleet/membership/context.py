"""What all sides of membership stand on: who one is, what one knows, and how one speaks."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from random import Random
from typing import Any

from ..interfaces import Action, Address, Carrier, Fenced, LogLine, MemberChanged, Message, SendToAddress
from .dissemination import Broadcasts
from .health import Health
from .messages import Claim, Me
from .states import CODES, State, wins
from .table import Table
from .timer_queue import Agenda
from .tuning import Tuning

MOST_TOLD_OFF = 8  # as many as there are probes in a period, unless set otherwise


class Phase(Enum):
    JOINING = "joining"  # asks seeds; nobody has been told of it
    OUT = "out"  # another process has its name; it holds no duty
    INSIDE = "inside"
    GONE = "gone"  # it left


class Ground:
    def __init__(
        self,
        name: str,
        address: Address,
        process_epoch: int,
        seeds: Iterable[Address],
        tuning: Tuning,
        seed: int,
        addresses: Mapping[str, Address],
    ) -> None:
        self.name, self.address, self.process_epoch, self.incarnation = name, address, process_epoch, 0
        self.seeds = tuple(dict.fromkeys(seed for seed in seeds if seed != address))
        self.tuning, self.addresses = tuning, addresses
        self.random = Random(f"{seed} {name} {process_epoch}")
        self.phase = Phase.JOINING
        self.table = Table(tuning.most_members - 1)
        self.agenda = Agenda()
        self.health = Health(tuning.health)
        self.queue = Broadcasts()
        self.counts: dict[str, int] = {}  # what was heard and not believed, by why
        self.acts: list[Action] = []
        self._seq = 0
        self._told_off: dict[str, tuple[float, int]] = {}  # whom one told what is held of it: since when, how often

    @property
    def size(self) -> int:
        """Members held alive or suspect, and oneself."""
        return len(self.table.live) + 1

    @property
    def me(self) -> Me:
        return Me(self.address, self.process_epoch, self.incarnation, self.phase is Phase.INSIDE)

    def seq(self) -> int:
        self._seq += 1
        return self._seq

    def count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1

    def note(self, text: str, **fields: Any) -> None:
        self.acts.append(LogLine(text, fields))

    def where(self, name: str, otherwise: Address) -> Address:
        return self.addresses.get(name, otherwise)

    def at_of(self, name: str) -> Address:
        return self.where(name, self.table[name].address)

    def say(self, address: Address, message: Message, carrier: Carrier = Carrier.DATAGRAM) -> None:
        self.acts.append(SendToAddress(address, message, carrier))

    def own_claim(self, state: State = State.ALIVE) -> Claim:
        return Claim(self.name, CODES.index(state), self.address, self.process_epoch, self.incarnation)

    def against(self, name: str, me: Me | None, now: float) -> Claim | None:
        """What is held of somebody that beats what it says of itself: it must hear of that first."""
        held = self.table.get(name)
        if held is None:
            return None
        if me is None:
            return None if held.state is State.ALIVE else held.claim(now)
        return held.claim(now) if wins(held.standing, (me.process_epoch, State.ALIVE, me.incarnation)) else None

    def may_tell_off(self, name: str, now: float) -> bool:
        """Whether to tell it now what is held against it: MOST_TOLD_OFF times a period and member, then counted.

        Who is dead and goes on in that life does not listen, or is faulty; each of its messages must not bring one.
        """
        since, told = self._told_off.get(name, (now, 0))
        if now - since >= self.tuning.period_ms:
            since, told = now, 0
        if told >= MOST_TOLD_OFF:
            self.count("told often enough")
            return False
        if name not in self._told_off and len(self._told_off) >= self.tuning.most_members:
            del self._told_off[next(iter(self._told_off))]
        self._told_off[name] = (since, told + 1)
        return True

    def news(self, first: Claim | None = None) -> tuple[Claim, ...]:
        return self.queue.take(self.tuning.sends(self.size), first)

    def tell(self, claim: Claim) -> None:
        """To be spread; and soon, even if nothing else is to be said."""
        self.queue.add(claim)

    def all_known(self, now: float) -> tuple[Claim, ...]:
        known = [member.claim(now) for member in self.table]
        if self.phase is Phase.INSIDE:
            known.append(self.own_claim())
        return tuple(known)

    def changed(self, state: State) -> None:
        """Oneself, for the parts above."""
        self.acts.append(MemberChanged(self.name, state.value, self.address, self.incarnation, self.process_epoch))

    def fenced(self, **fields: Any) -> None:
        self.acts.append(Fenced())
        self.note("fenced", **fields)

"""State that all modules of membership share: this process, the table of members, timers, and the actions to send."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from random import Random
from typing import Any

from ..interfaces import Action, Address, Carrier, Fenced, LogLine, MemberChanged, Message, SendToAddress
from .dissemination import GossipQueue
from .health import Health
from .messages import Claim, SenderInfo
from .states import STATES_BY_CODE, State, supersedes
from .table import MemberTable
from .timer_queue import TimerQueue
from .tuning import Tuning

MAX_CORRECTIONS_PER_PERIOD = 8  # the default number of probes in a period


class Phase(Enum):
    """The phases of this process as a member."""

    JOINING = "joining"  # queries the seeds; not announced to any member yet
    DISPLACED = "out"  # another process has its name; this one may hold no lease
    ACTIVE = "inside"
    LEFT = "gone"  # it has left


class Context:
    """The shared state of membership, and the actions of the event that is being handled."""

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
        self.table = MemberTable(tuning.most_members - 1)
        self.timers = TimerQueue()
        self.health = Health(tuning.health)
        self.gossip_queue = GossipQueue()
        self.counts: dict[str, int] = {}  # received and rejected claims and messages, by reason
        self.actions: list[Action] = []
        self._seq = 0
        self._corrections: dict[str, tuple[float, int]] = {}  # by member: start of its period in ms, number sent

    @property
    def size(self) -> int:
        """Number of members that are alive or suspect, this process included."""
        return len(self.table.live) + 1

    @property
    def sender(self) -> SenderInfo:
        """This process as the sender of a message."""
        return SenderInfo(self.address, self.process_epoch, self.incarnation, self.phase is Phase.ACTIVE)

    def next_seq(self) -> int:
        """A new sequence number for a ping."""
        self._seq += 1
        return self._seq

    def count(self, reason: str) -> None:
        """Count a rejected claim or message by its reason."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def log(self, text: str, **fields: Any) -> None:
        """Add a structured log line."""
        self.actions.append(LogLine(text, fields))

    def send_address(self, name: str, otherwise: Address) -> Address:
        """The configured address of a member; `otherwise` if there is none."""
        return self.addresses.get(name, otherwise)

    def address_of(self, name: str) -> Address:
        """Where to send to a known member."""
        return self.send_address(name, self.table[name].address)

    def send(self, address: Address, message: Message, carrier: Carrier = Carrier.DATAGRAM) -> None:
        """Send a message to an address."""
        self.actions.append(SendToAddress(address, message, carrier))

    def own_claim(self, state: State = State.ALIVE) -> Claim:
        """A claim about this process."""
        return Claim(self.name, STATES_BY_CODE.index(state), self.address, self.process_epoch, self.incarnation)

    def contradiction(self, name: str, sender: SenderInfo | None, now: float) -> Claim | None:
        """The claim here that supersedes what a member claims of itself, if any: the member must receive it first."""
        known = self.table.get(name)
        if known is None:
            return None
        if sender is None:
            return None if known.state is State.ALIVE else known.to_claim(now)
        return (
            known.to_claim(now)
            if supersedes(known.standing, (sender.process_epoch, State.ALIVE, sender.incarnation))
            else None
        )

    def may_correct(self, name: str, now: float) -> bool:
        """Whether to send a member the claim that contradicts it: MAX_CORRECTIONS_PER_PERIOD times, then only counted.

        A process that was declared dead and continues under its old epoch does not receive, or is faulty; not every
        message of it may cause a response.
        """
        period_start_ms, sent = self._corrections.get(name, (now, 0))
        if now - period_start_ms >= self.tuning.period_ms:
            period_start_ms, sent = now, 0
        if sent >= MAX_CORRECTIONS_PER_PERIOD:
            self.count("told often enough")
            return False
        if name not in self._corrections and len(self._corrections) >= self.tuning.most_members:
            del self._corrections[next(iter(self._corrections))]
        self._corrections[name] = (period_start_ms, sent + 1)
        return True

    def next_claims(self, first: Claim | None = None) -> tuple[Claim, ...]:
        """The claims to piggyback on the next message; `first` is always included."""
        return self.gossip_queue.next_claims(self.tuning.sends(self.size), first)

    def disseminate(self, claim: Claim) -> None:
        """Queue a claim for gossip; it is sent soon, even if no other message is due."""
        self.gossip_queue.add(claim)

    def all_claims(self, now: float) -> tuple[Claim, ...]:
        """The complete table as claims, with this process if it is active."""
        known = [member.to_claim(now) for member in self.table]
        if self.phase is Phase.ACTIVE:
            known.append(self.own_claim())
        return tuple(known)

    def report_own_state(self, state: State) -> None:
        """Report this process's own state to the other components."""
        self.actions.append(MemberChanged(self.name, state.value, self.address, self.incarnation, self.process_epoch))

    def report_fenced(self, **fields: Any) -> None:
        """Report to the other components that this process was fenced, and log it."""
        self.actions.append(Fenced())
        self.log("fenced", **fields)

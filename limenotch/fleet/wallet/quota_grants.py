"""The leader's side: who may spend, who wants what, how much each gets, who is asked to give back, who is gone.

| tenant | what |
| --- | --- |
| wanted, credit left | Grants: what each wants, at most left / (2 x those who want), smaller towards the end |
| short: less left than wanted | Recalls to its other holders, the ms to keep halved each time; without progress rarer |
| of a holder without a lease | a question to its slices' witnesses, then Expire |

- A lease is answered only after the log has said that it leads yet (ReadAt), so none is after another leader's Expire.
- While a holder's Expire is on its way it gets no lease; a lease that is granted ends the question.
- Whoever wants gets at most one slice for each time it has said so, knowing of all it had before.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ..interfaces import Carrier, SendToMember
from ..leases import NEVER
from . import entries, messages
from .lease import Granter
from .ledger import Book, Owner, Wallet
from .spend_witness import MOST_ASKED, Gone
from .tuning import Tuning

GONE = frozenset({"dead", "left"})
MOST_SLICES = 8  # of one tenant at one holder, not settled yet
Propose = Callable[[tuple[entries.Entry, ...], str], int]


class Wanted(NamedTuple):
    newest: int  # the newest slice that its holder knows of
    amount: int
    least: int  # 0: nobody was turned away
    pace: int  # what it uses in `slice_ms`
    until: float


class Short:
    """A tenant of which more is wanted than is left: whoever holds or wants of it has enough for `keep_ms` alone."""

    __slots__ = ("keep_ms", "gap_ms", "at", "look_at", "spent", "credit", "demand", "seen", "new")

    def __init__(self, now: float, tuning: Tuning, wallet: Wallet) -> None:
        self.keep_ms, self.gap_ms = tuning.slice_ms / 2, tuning.record_ms / 2
        self.at = self.look_at = self.seen = now  # of the next recall; of the next look; when there was a want last
        self.spent, self.credit = wallet.spent, wallet.credit
        self.new = True  # nobody was told
        self.demand: dict[Owner, int] = {}  # what each used in `slice_ms`, when it wanted last


class Granting:
    def __init__(
        self, name: str, process_epoch: int, book: Book, tuning: Tuning, voters: tuple[str, ...], propose: Propose
    ) -> None:
        self._own: Owner = (name, process_epoch)
        self._book, self._tuning, self._propose = book, tuning, propose
        self.voters = voters
        self.members: dict[str, str] = {}
        self.leases = Granter(tuning)
        self.out: list[Any] = []
        self.term = 0
        self.leads = False
        self._wants: dict[str, dict[Owner, Wanted]] = {}  # those who came first, first
        self._dirty: set[str] = set()
        self._short: dict[str, Short] = {}
        self._recalls: dict[Owner, list[tuple[str, float]]] = {}
        self._serials: dict[str, int] = {}  # proposed last
        self._flying: dict[int, dict[str, int]] = {}  # ticket of a Grant: units by tenant
        self._granting: dict[tuple[str, Owner], int] = {}  # the ticket
        self._expiring: dict[int, Owner] = {}  # by ticket
        self._gone: dict[Owner, Gone] = {}
        self._number = 0
        self._gone_at = NEVER

    def begin(self, now: float, term: int) -> None:
        self.end()
        self.leads, self.term = True, term
        self.leases.begin(now)
        self._gone_at = now + self._tuning.held_ms

    def end(self) -> None:
        self.leads = False
        self.leases.end()
        for table in (
            self._wants,
            self._short,
            self._serials,
            self._flying,
            self._granting,
            self._expiring,
            self._gone,
            self._recalls,
            self._dirty,
        ):
            table.clear()
        self._gone_at = NEVER

    # Leases

    def lease(self, now: float, name: str, ask: messages.AskLease) -> messages.Lease | None:
        """The log has said since the ask that this process leads."""
        owner = (name, ask.process_epoch)
        if owner in self._expiring.values():
            return None
        if owner not in self.leases.records:
            self._dirty.update(self._wants)  # it may have wanted before it had a lease
        if not self.leases.grant(now, owner):
            return None
        self._gone.pop(owner, None)
        return messages.Lease(ask.process_epoch, ask.serial, self._tuning.lease_ms, self._book.index)

    # Wants

    def wanted(self, now: float, name: str, want: messages.Want) -> None:
        if not self.leads:
            return
        owner, until = (name, want.process_epoch), now + self._tuning.lease_ms
        for tenant, newest, amount, least, pace in want.wants:
            if tenant not in self._book.wallets or amount <= 0 or least < 0 or pace < 0:
                continue
            wants = self._wants.setdefault(tenant, {})
            if owner in wants or len(wants) < self._tuning.most_holders:
                wants[owner] = Wanted(newest, amount, min(least, amount), pace, until)
                self._dirty.add(tenant)

    def changed(self, tenant: str) -> None:
        """The book, of that wallet."""
        if tenant in self._wants:
            self._dirty.add(tenant)

    def ended(self, ticket: int, agreed: bool) -> None:
        """What was proposed is agreed, or refused. What was refused is not proposed again at once, or a log that
        refuses would be asked without end: whoever wants says so again."""
        flying = self._flying.pop(ticket, {})
        self._granting = {key: held for key, held in self._granting.items() if held != ticket}
        self._expiring.pop(ticket, None)
        if agreed:
            self._dirty.update(tenant for tenant in flying if tenant in self._wants)

    def unknown(self, ticket: int) -> None:
        """It may be agreed yet, in this epoch alone: a holder whose Expire it is gets no lease of this leader."""
        if ticket not in self._expiring:
            self.ended(ticket, False)

    def tick(self, now: float) -> None:
        if not self.leads:
            return
        for tenant, short in self._short.items():
            if now >= short.look_at:
                self._dirty.add(tenant)
        if self._dirty:
            self._grant(now)
        for (name, process_epoch), recalls in self._recalls.items():
            for at in range(0, len(recalls), messages.MOST):
                part = tuple(recalls[at : at + messages.MOST])
                self.out.append(
                    SendToMember(
                        name, messages.Recall(process_epoch, part), messages.carrier([recall[0] for recall in part])
                    )
                )
        self._recalls.clear()
        if now >= self._gone_at:
            self._look(now)

    def due(self) -> float:
        if not self.leads:
            return NEVER
        return min(self._gone_at, min((short.look_at for short in self._short.values()), default=NEVER))

    def witnesses(self, now: float) -> tuple[Owner, ...]:
        """The voters that have asked for a lease lately, as they live now; none if those are not most of the voters."""
        process_epochs = self.leases.process_epochs(now)
        process_epochs[self._own[0]] = self._own[1]
        found = tuple((name, process_epochs[name]) for name in self.voters if name in process_epochs)
        return found if 2 * len(found) > len(self.voters) else ()

    def _grant(self, now: float) -> None:
        witnesses = self.witnesses(now)
        if not witnesses:  # they ask for leases soon
            for short in self._short.values():
                short.look_at = max(short.look_at, now + short.gap_ms)
            return
        dirty, self._dirty = self._dirty, set()
        grants: list[entries.Entry] = []
        for tenant in sorted(dirty):
            wallet = self._book.wallets.get(tenant)
            if wallet is None:
                continue
            if len(grants) + len(self._wants.get(tenant, ())) > entries.MOST and grants:
                self._dirty.add(tenant)
                continue
            grants += self._shares(now, tenant, wallet, witnesses)
        for at in range(0, len(grants), entries.MOST):
            part = tuple(grants[at : at + entries.MOST])
            flying: dict[str, int] = {}
            ticket = self._propose(part, "grant")
            for grant in part:
                assert isinstance(grant, entries.Grant)
                flying[grant.tenant] = flying.get(grant.tenant, 0) + grant.amount
                self._granting[grant.tenant, (grant.name, grant.process_epoch)] = ticket
            self._flying[ticket] = flying

    def _shares(self, now: float, tenant: str, wallet: Wallet, witnesses: tuple[Owner, ...]) -> list[entries.Grant]:
        """Grants of what is left of one wallet, and a recall if that is too little."""
        wants = self._wants.get(tenant, {})
        held: dict[Owner, list[int]] = {}
        for one in wallet.slices.values():
            held.setdefault(one.owner, []).append(one.serial)
        for owner, want in list(wants.items()):
            if now >= want.until or max(held.get(owner, (0,))) > want.newest:
                del wants[owner]  # it got one since it said so, and will say so again
        free = wallet.left - sum(units.get(tenant, 0) for units in self._flying.values())
        grants: list[entries.Grant] = []
        # Slices that are still to be settled hold the credit that is wanted: more of them would bring nothing.
        open_to = [
            (owner, want)
            for owner, want in wants.items()
            if (tenant, owner) not in self._granting
            and len(held.get(owner, ())) < MOST_SLICES
            and now < self.leases.records.get(owner, -NEVER)
        ]
        short = self._judge(now, tenant, wallet, open_to, free)
        unmet, half = False, free // (2 * max(1, len(open_to)))
        for owner, want in open_to:
            if short is None:
                share = max(want.least, half)
            else:
                share = max(want.least, int(want.pace * short.keep_ms / self._tuning.slice_ms), 1)
            # Of what is short half stays, for those who use little and would else run dry until the next recall.
            most = free if short is None else min(free, max(want.least, (free + 1) // 2))
            amount = min(want.amount, share, most)
            unmet = unmet or amount < min(want.amount, share)
            if amount <= 0:
                break
            serial = self._serials[tenant] = max(wallet.serial, self._serials.get(tenant, 0)) + 1
            grants.append(entries.Grant(tenant, *owner, serial, amount, witnesses, self.term))
            del wants[owner]
            free -= amount
        if short is not None and now >= short.at:
            if (unmet or short.new) and held.keys() - {owner for owner, _ in open_to[:1]}:
                self._recall(now, tenant, wallet, short, [*held, *(owner for owner in wants if owner not in held)])
            else:
                short.look_at = now + short.gap_ms
        if not wants:
            self._wants.pop(tenant, None)
        return grants

    def _judge(
        self, now: float, tenant: str, wallet: Wallet, open_to: list[tuple[Owner, Wanted]], free: int
    ) -> Short | None:
        """It is short from when less is left than two slices for each who wants, until there is credit, or so much is
        left for all who have wanted since."""
        short = self._short.get(tenant)
        if short is None:
            if not open_to or 2 * sum(want.pace for _, want in open_to) <= free:
                return None
            short = self._short[tenant] = Short(now, self._tuning, wallet)
        for owner, want in open_to:
            short.demand[owner], short.seen = want.pace, now
        late = now >= short.seen + 2 * self._tuning.idle_ms
        if late or wallet.credit != short.credit or free > 2 * sum(short.demand.values()):
            del self._short[tenant]
            return None
        return short

    def _recall(self, now: float, tenant: str, wallet: Wallet, short: Short, owners: list[Owner]) -> None:
        tuning = self._tuning
        if wallet.spent != short.spent:
            short.spent, short.gap_ms = wallet.spent, tuning.record_ms / 2
        if not short.new:
            short.keep_ms = max(short.keep_ms / 2, tuning.record_ms / 4)
        short.new = False
        for owner in owners:
            self._recalls.setdefault(owner, []).append((tenant, short.keep_ms))
        short.at = short.look_at = now + short.gap_ms
        short.gap_ms = min(2 * short.gap_ms, max(tuning.idle_ms, tuning.record_ms / 2))

    # Holders that are gone

    def _lost(self, now: float, gone: Gone, witness: Owner) -> bool:
        """Whether that witness can't tell any more: another life is under its name, or it is held dead, for long
        enough, by one that is itself in reach of most voters."""
        name, process_epoch = witness
        if witness == self._own or now < self.leases.records.get(witness, -NEVER):
            return False
        if name == self._own[0] or self.leases.process_epochs(now).get(name, process_epoch) != process_epoch:
            return True
        late = now >= gone.since + self._tuning.held_ms
        return late and self.members.get(name) in GONE and bool(self.witnesses(now))

    def _look(self, now: float) -> None:
        """Asks, and asks again, for slices of holders that surely don't spend."""
        tuning = self._tuning
        self._gone_at = now + tuning.lease_ms / 6
        for owner in [owner for owner in self._gone if owner not in self._book.owners]:
            del self._gone[owner]
        for owner, slices in self._book.owners.items():
            if owner in self._expiring.values() or not self.leases.free(now, owner):
                continue
            gone = self._gone.get(owner)
            if gone is None:
                self._number += 1
                asked = {
                    key: one
                    for key in sorted(slices)[:MOST_ASKED]
                    if (one := self._book.slice(key[0], *owner, key[1])) is not None
                }
                gone = self._gone[owner] = Gone(self._number, owner, asked, now)
            elif now < gone.asked_at + tuning.lease_ms / 3:
                self._resolve(now, gone)
                continue
            gone.asked_at = now
            for name, process_epoch in sorted(gone.witnesses()):
                if not self._lost(now, gone, (name, process_epoch)):
                    self._ask(name, gone)
            self._resolve(now, gone)

    def _ask(self, name: str, gone: Gone) -> None:
        self.out.append(
            SendToMember(name, messages.Question(gone.number, self._own[1], *gone.owner, gone.keys), Carrier.STREAM)
        )

    def told(self, now: float, name: str, told: messages.Told) -> None:
        gone = next((gone for gone in self._gone.values() if gone.number == told.number), None)
        if not self.leads or told.asker != self._own[1] or gone is None or len(told.marks) != len(gone.slices):
            return
        gone.told((name, told.process_epoch), dict(zip(gone.keys, told.marks, strict=True)))
        self._resolve(now, gone)

    def _resolve(self, now: float, gone: Gone) -> None:
        ends = gone.ends(self.term, lambda witness: self._lost(now, gone, witness))
        if ends and self.leases.free(now, gone.owner):
            del self._gone[gone.owner]
            self._expiring[self._propose(tuple(ends), "expire")] = gone.owner

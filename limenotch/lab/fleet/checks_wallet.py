"""Checks a history of spending, independent of the wallet's own code: it knows calls, operators and agreed states.

Told in the order of true time: what operators asked and were answered, each reservation and its end at every sidecar,
and each member's agreed state after each entry. Raises AssertionError at the first of these:

1. What is charged and reserved at all sidecars, dead ones too, is more than the credit that anybody holds as agreed.
2. An agreed state in which credit is not spent + left + held, something is below 0, or credit or spent fell.
3. Two members with different states after one entry.
4. More credit than the ids asked for make; credit answered and not there at the end.
5. More taken of a slice than the agreed states leave it, before or after it was settled or expired.
6. At the end: a call charged and not in `spent`; more in `spent` than was taken, beyond the bound for each slice.

With an advance, sidecars may be ahead of the credit by as much as `advance` for each process that ever ran.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple

Key = tuple[str, str, int, int]  # tenant, name, life, serial


class Part(NamedTuple):
    """A slice in an agreed state."""

    top: int  # what of it may be spent at all
    spent: int
    witnesses: tuple[tuple[str, int], ...] = ()  # names, lives


class Claim(NamedTuple):
    """What an entry says of a slice."""

    spent: int
    expired: bool  # by the leader, not by its holder


class Kept(NamedTuple):
    """One tenant's wallet in an agreed state."""

    credit: int
    spent: int
    left: int
    slices: Mapping[tuple[str, int, int], Part]  # by name, life, serial

    @property
    def held(self) -> int:
        return sum(part.top - part.spent for part in self.slices.values())


@dataclass
class Slice:
    """What is known of one, from the states alone."""

    amount: int  # as granted
    top: int  # what may be taken of it; when it is closed, what counts as spent
    spent: int = 0  # of it, in the wallet's `spent`
    taken: int = 0  # reserved and charged
    peak: int = 0  # the most that was taken at any time: what was given back since may count as spent
    closed: bool = False
    over: int = 0  # at its closing: counted as spent and not taken
    bound: int = 0  # of `over`: 0 where its holder settled it
    witnesses: tuple[tuple[str, int], ...] = ()


@dataclass
class Sums:
    """Of one tenant, over all sidecars and their lives."""

    ids: dict[str, int] = field(default_factory=dict)  # asked for: id, amount
    sure: set[str] = field(default_factory=set)  # answered done or counted
    charged: int = 0
    reserved: int = 0
    ahead: int = 0  # of both: on the advance
    credit: int = 0  # the highest that was agreed anywhere
    served: list[tuple[float, str]] = field(default_factory=list)
    turned: list[tuple[float, str, int]] = field(default_factory=list)  # with what was taken in all by then
    coming: int = 0  # turned away for a moment only


class Checker:
    def __init__(self, step: float, advance: int = 0, least: int = 1) -> None:
        """`step`: the share of a slice that a death may count wrongly, `least` units at the least."""
        self.step, self.advance, self.least = step, advance, least
        self.sums: dict[str, Sums] = defaultdict(Sums)
        self.slices: dict[Key, Slice] = {}
        self.process_epochs: dict[str, int] = {}  # the latest of each name
        self.ended: set[tuple[str, int]] = set()
        self.away: set[str] = set()  # paused or cut off, now or a moment ago
        self.index = 0
        self.states: dict[int, int] = {}  # index: digest
        self.latest: dict[str, Kept] = {}
        self.empties: dict[str, list[float]] = defaultdict(list)  # when nothing was left any more
        self._open: set[tuple[str, int, int]] = set()  # name, life, number of the call

    # Sidecars

    def started(self, name: str, process_epoch: int) -> None:
        for before in range(self.process_epochs.get(name, process_epoch), process_epoch):
            self.ended.add((name, before))
        self.process_epochs[name] = process_epoch

    def died(self, name: str) -> None:
        if name in self.process_epochs:
            self.ended.add((name, self.process_epochs[name]))

    # Operators

    def asked(self, tenant: str, ident: str, amount: int) -> None:
        """The first amount of an id is what it counts for."""
        self.sums[tenant].ids.setdefault(ident, amount)

    def answered(self, tenant: str, ident: str, word: str) -> None:
        if word in ("done", "counted"):
            self.sums[tenant].sure.add(ident)
            self._is(ident in self.sums[tenant].ids, f"{tenant}: {ident} is answered {word} and was never asked")

    # Calls

    def reserved(
        self, at: float, name: str, process_epoch: int, number: int, tenant: str, slices: Iterable[tuple[int, int]]
    ) -> None:
        """`slices`: serial and units; serial 0 is the advance."""
        sums, who = self.sums[tenant], f"{at:.1f}: {name}.{process_epoch} {tenant}"
        self._is((name, process_epoch) not in self.ended, f"{who}: reserves after its end")
        self._open.add((name, process_epoch, number))
        for serial, units in slices:
            self._is(units > 0, f"{who}: reserves {units}")
            sums.reserved += units
            if not serial:
                sums.ahead += units
                continue
            part = self.slices.get((tenant, name, process_epoch, serial))
            self._is(part is not None, f"{who}: reserves of slice {serial}, which is agreed nowhere")
            assert part is not None
            part.taken += units
            part.peak = max(part.peak, part.taken)
            self._is(
                part.taken <= part.top,
                f"{who}: slice {serial} has {part.top}{' and is closed' * part.closed}, {part.taken} are taken",
            )
        whole = sums.charged + sums.reserved
        bound = sums.credit + self.advance * max(1, len(self.ended) + len(self.process_epochs))
        self._is(
            whole <= bound,
            f"{who}: overspent: {whole} charged and reserved, {sums.credit} credited, {sums.ahead} of them ahead of it",
        )
        if sum(units for _, units in slices):
            sums.served.append((at, name))

    def charged(
        self, name: str, process_epoch: int, number: int, tenant: str, slices: Iterable[tuple[int, int]]
    ) -> None:
        self._end(name, process_epoch, number)
        for _, units in slices:
            self.sums[tenant].reserved -= units
            self.sums[tenant].charged += units

    def given_back(
        self, name: str, process_epoch: int, number: int, tenant: str, slices: Iterable[tuple[int, int]]
    ) -> None:
        self._end(name, process_epoch, number)
        for serial, units in slices:
            self.sums[tenant].reserved -= units
            if serial:
                self.slices[(tenant, name, process_epoch, serial)].taken -= units
            else:
                self.sums[tenant].ahead -= units

    def turned(self, at: float, name: str, tenant: str, coming: bool = False) -> None:
        """`coming`: told to come again at once, as there is credit that is not here yet."""
        sums = self.sums[tenant]
        if coming:
            sums.coming += 1
        else:
            sums.turned.append((at, name, sums.charged + sums.reserved))

    def _end(self, name: str, process_epoch: int, number: int) -> None:
        self._is((name, process_epoch, number) in self._open, f"{name}.{process_epoch}: call {number} ends twice")
        self._open.discard((name, process_epoch, number))

    # Agreed states

    def agreed(
        self, at: float, name: str, index: int, state: Mapping[str, Kept], claims: Mapping[Key, Claim] | None = None
    ) -> None:
        """The whole state of `name` right after entry `index`.

        `claims`: what the entry says of slices, as the states don't tell what of a sum is whose when several end with
        it; the sum is held against the states. Without a claim a slice counts as settled by its holder.
        """
        digest = hash(
            tuple(
                (tenant, kept.credit, kept.spent, kept.left, frozenset(kept.slices.items()))
                for tenant, kept in sorted(state.items())
            )
        )
        if index <= self.index:
            known = self.states.get(index)
            self._is(known is None or known == digest, f"{at:.1f}: {name} differs from others after entry {index}")
            return
        self.index, self.states[index] = index, digest
        for tenant, kept in state.items():
            before = self.latest.get(tenant)
            if kept != before:
                self._step(f"{at:.1f}: {name}, entry {index}, {tenant}", at, tenant, before, kept, claims or {})
        lost = self.latest.keys() - state.keys()
        self._is(not lost, f"{at:.1f}: {name}, entry {index}: wallets gone: {sorted(lost)}")
        self.latest = dict(state)

    def _step(
        self, where: str, at: float, tenant: str, before: Kept | None, kept: Kept, claims: Mapping[Key, Claim]
    ) -> None:
        before = before or Kept(0, 0, 0, {})
        sums = self.sums[tenant]
        self._is(
            kept.credit == kept.spent + kept.left + kept.held,
            f"{where}: credit {kept.credit} is not spent {kept.spent} + left {kept.left} + held {kept.held}",
        )
        below = [key for key, part in kept.slices.items() if not 0 <= part.spent <= part.top]
        self._is(
            not below and (kept.left >= 0 or self.advance > 0), f"{where}: below 0: left {kept.left}, slices {below}"
        )
        self._is(kept.credit >= before.credit, f"{where}: credit fell from {before.credit} to {kept.credit}")
        self._is(kept.spent >= before.spent, f"{where}: spent fell from {before.spent} to {kept.spent}")
        asked = sum(sums.ids.values())
        self._is(kept.credit <= asked, f"{where}: credit {kept.credit}, all ids asked for make {asked}")
        sums.credit = max(sums.credit, kept.credit)
        self._slices(where, tenant, before, kept, claims)
        if kept.left <= 0 < before.left:
            self.empties[tenant].append(at)

    def _slices(self, where: str, tenant: str, before: Kept, kept: Kept, claims: Mapping[Key, Claim]) -> None:
        rest = kept.spent - before.spent
        for owner, part in kept.slices.items():
            key = (tenant, *owner)
            if owner not in before.slices:
                self._is(key not in self.slices, f"{where}: slice {owner} is granted again")
                self.slices[key] = Slice(part.top, part.top, witnesses=part.witnesses)
            one = self.slices[key]
            self._is(
                part.top <= one.top and part.spent >= one.spent,
                f"{where}: slice {owner} grew from {one.spent} of {one.top} to {part.spent} of {part.top}",
            )
            rest -= part.spent - one.spent
            one.top, one.spent = part.top, part.spent
            self._is(one.taken <= one.top, f"{where}: slice {owner} has {one.top} now, {one.taken} are taken")
        gone = [owner for owner in before.slices if owner not in kept.slices]
        for owner in gone:
            key = (tenant, *owner)
            one = self.slices[key]
            claim = claims.get(key, Claim(one.spent + rest, False))
            new = min(one.top, max(one.spent, claim.spent)) - one.spent
            rest -= new
            one.spent += new
            one.top, one.closed, one.over = one.spent, True, one.spent - one.taken
            one.bound = self._bound(one) if claim.expired else 0
            self._is(one.over >= 0, f"{where}: slice {owner} is closed with {one.spent} spent, {one.taken} are taken")
        self._is(rest == 0 or rest > 0 and self.advance > 0, f"{where}: spent is {rest} more than its slices tell")

    def _bound(self, part: Slice) -> int:
        there = sum(not self._gone(name, process_epoch) for name, process_epoch in part.witnesses)
        step = max(self.least, ceil(self.step * part.amount))
        return part.amount if 2 * there <= len(part.witnesses) else min(part.amount, step + part.peak - part.taken)

    def _gone(self, name: str, process_epoch: int) -> bool:
        return (
            (name, process_epoch) in self.ended
            or self.process_epochs.get(name, process_epoch) != process_epoch
            or name in self.away
        )

    # The end

    def finished(self) -> None:
        """After a calm in which all calls ended and each slice was settled or expired."""
        for tenant, sums in self.sums.items():
            kept = self.latest.get(tenant, Kept(0, 0, 0, {}))
            sure = sum(sums.ids[one] for one in sums.sure)
            self._is(kept.credit >= sure, f"{tenant}: credit lost: {kept.credit}, answered were {sure}")
            taken = sums.charged + sums.reserved
            untold = sums.ahead if self.advance else 0
            self._is(kept.spent + untold >= taken, f"{tenant}: {taken} were taken, {kept.spent} count as spent")
            self._is(not kept.slices, f"{tenant}: slices are held yet: {dict(kept.slices)}")
        for key, part in self.slices.items():
            self._is(
                part.over <= part.bound,
                f"{key}: {part.over} of {part.amount} count as spent for nothing, at the most {part.bound} may",
            )

    def paused_ms(self, tenant: str, since: float) -> float:
        """From when first nothing was left and somebody was turned away, till the last reservation anywhere."""
        empty = min((at for at in self.empties[tenant] if at >= since), default=float("inf"))
        first = min((at for at, _, _ in self.sums[tenant].turned if at >= empty), default=float("inf"))
        return max([0.0, *(at - first for at, _ in self.sums[tenant].served if at > first)])

    def resumed_ms(self, tenant: str, since: float, names: Iterable[str]) -> float:
        """From `since`, when credit was answered, till each of `names` has had a reservation."""
        firsts: dict[str, float] = {}
        for at, name in self.sums[tenant].served:
            if at >= since:
                firsts.setdefault(name, at)
        return max(firsts.get(name, float("inf")) for name in names) - since

    @staticmethod
    def _is(holds: bool, fault: str) -> None:
        if not holds:
            raise AssertionError(fault)

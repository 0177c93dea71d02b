"""The wallet in simulated time: membership, log and wallet of each member in one hub, calls and operators from a seed.

Each call is reserved at its member when it comes, and charged or given back when it is over; one that is under way when
its process dies stays reserved for ever. All is held against checks_wallet.Checker. The storms are in wallet_storm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from limenotch.fleet import consensus
from limenotch.fleet.consensus import api as log
from limenotch.fleet.hub import ComponentEvent, ComponentHub
from limenotch.fleet.interfaces import LogLine, Started
from limenotch.fleet.log_multiplexer import split_states
from limenotch.fleet.membership import Membership
from limenotch.fleet.membership import Tuning as Members
from limenotch.fleet.wallet import api, entries
from limenotch.fleet.wallet.core import Wallet
from limenotch.fleet.wallet.ledger import Book
from limenotch.fleet.wallet.tuning import Tuning
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_wallet import Checker, Claim, Kept, Key, Part
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIX = "wa."
LOG = consensus.Tuning(
    heartbeat_ms=50,
    election_least_ms=200,
    election_most_ms=400,
    learner_ms=200,
    learner_batch_ms=10,
    retry_ms=100,
    ask_ms=1000,
    snapshot_entries=60,
    tail_entries=10,
)
MEMBERS = Members(period_ms=200, timeout_ms=50, gossip_ms=20)
QUICK = Tuning(
    lease_ms=600,
    drift=0.02,
    slice_ms=400,
    least_slice=4,
    record_ms=50,
    idle_ms=500,
    retry_after_ms=1000,
    ask_ms=2000,
    cost={"dear": 5},
)


class Call(NamedTuple):
    """Of a consumer: over after `span_ms`, `served` or not. `number` is the run's own."""

    number: int
    tenant: str
    kind: str = "plain"
    span_ms: float = 20.0
    served: bool = True


class Calls(NamedTuple):
    """At one instant; how many were taken is noted."""

    calls: tuple[Call, ...]


class Over(NamedTuple):
    number: int
    served: bool


def kept_of(book: Book) -> dict[str, Kept]:
    """The agreed state as the checker takes it: the one place here that knows how the book holds it."""
    return {
        tenant: Kept(
            wallet.credit,
            wallet.spent,
            wallet.left,
            {
                (one.name, one.process_epoch, one.serial): Part(one.top, one.spent, one.witnesses)
                for one in wallet.slices.values()
            },
        )
        for tenant, wallet in book.wallets.items()
    }


def claims_of(data: bytes) -> dict[Key, Claim]:
    """What an entry says of slices that may end with it."""
    claims: dict[Key, Claim] = {}
    for entry in entries.decode(data) or ():
        if isinstance(entry, (entries.Settle, entries.Expire)):
            expired = isinstance(entry, entries.Expire)
            key = (entry.tenant, entry.name, entry.process_epoch, entry.serial)
            claims[key] = Claim(entry.mark if isinstance(entry, entries.Expire) else entry.spent, expired)
    return claims


class Watched:
    """The wallet's part, its agreed state told to the checker after each entry."""

    def __init__(self, member: Member, wallet: Wallet) -> None:
        self.member, self.wallet = member, wallet

    def state(self) -> bytes:
        return self.wallet.state()

    def handle(self, now: float, event: Any) -> list[Any]:
        out = self.wallet.handle(now, event)
        if isinstance(event, (log.EntryCommitted, log.SnapshotInstalled)):
            self.member.agreed(event)
        return out


class Member:
    """A part for the world. Hosts the purse as the program does: calls first, `Look` when it wants something."""

    def __init__(self, run: Run, name: str, seed: int, process_epoch: int, held: StoredLog) -> None:
        self.run, self.name, self.process_epoch = run, name, process_epoch
        seeds = [address(one) for one in run.names[:2]]
        self.membership = Membership(name, address(name), process_epoch, seeds, run.members, seed)
        self.agreement = consensus.Consensus(name, run.voters, held, run.log, seed)
        state = split_states(self.agreement.state).get(PREFIX)
        self.wallet = Wallet(name, process_epoch, run.tuning, run.voters, state)
        self.purse = self.wallet.purse
        self.hub = ComponentHub(
            [("mb.", self.membership), ("ag.", self.agreement), (PREFIX, Watched(self, self.wallet))], self.membership
        )
        self.hub.register_action_handler(api.OperatorResponse, self._answered)
        self.open: dict[int, api.Reservation] = {}
        self.serving: dict[str, bool] = {}
        self._notes: list[Any] = []
        self._wanted = False
        run.checker.started(name, process_epoch)

    def agreed(self, event: log.EntryCommitted | log.SnapshotInstalled) -> None:
        run = self.run
        if run.watched is None or self.name in run.watched:
            claims = claims_of(event.data) if isinstance(event, log.EntryCommitted) else {}
            run.checker.agreed(run.now(), self.name, event.index, kept_of(self.wallet.book), claims)

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = []
        if isinstance(event, Call):
            self._call(now, event)
        elif isinstance(event, Calls):
            taken = sum([self._call(now, call) for call in event.calls])
            self._notes.append(LogLine(f"takes {taken} of {len(event.calls)}"))
        elif isinstance(event, Over):
            self._over(now, event)
        else:
            if isinstance(event, (api.OperatorRequest, api.Look, api.Witnesses)):
                event = ComponentEvent(PREFIX, event)
            out = self.hub.handle(now, event)
            if isinstance(event, Started):
                out += self.hub.handle(now, ComponentEvent(PREFIX, api.Witnesses(self.run.voters)))
        # Once each time that it turns true.
        wants = self.purse.wants()
        if wants and not self._wanted:
            out += self.hub.handle(now, ComponentEvent(PREFIX, api.Look()))
            wants = self.purse.wants()
        self._wanted = wants
        out, self._notes = self._notes + out, []
        return out

    def _call(self, now: float, call: Call) -> bool:
        run, at = self.run, self.run.now()
        got = self.purse.reserve(now, call.tenant, call.kind)
        if isinstance(got, api.Turned):
            run.checker.turned(at, self.name, call.tenant, got.coming)
        else:
            run.checker.reserved(at, self.name, self.process_epoch, call.number, call.tenant, got.slices)
            self.open[call.number] = got
            run.later(call.span_ms, self.name, Over(call.number, call.served))
        served = not isinstance(got, api.Turned)
        if self.serving.get(call.tenant) != served:
            self.serving[call.tenant] = served
            self._notes.append(LogLine(f"{'serves' if served else 'turns away'} {call.tenant}"))
        return served

    def _over(self, now: float, over: Over) -> None:
        held = self.open.pop(over.number, None)
        if held is None:
            return  # it was taken by an earlier process of this name
        if over.served:
            self.purse.charge(now, held)
            self.run.checker.charged(self.name, self.process_epoch, over.number, held.tenant, held.slices)
        else:
            self.purse.give_back(now, held)
            self.run.checker.given_back(self.name, self.process_epoch, over.number, held.tenant, held.slices)

    def _answered(self, answer: api.OperatorResponse) -> None:
        self.run.answered(answer)
        told = answer.body if isinstance(answer.body, dict) else {}  # of one counted before: its amount
        text, shown = answer.word, told.get(self.run.asks[answer.ticket].tenant)
        if shown is not None:
            text = "shown: " + " ".join(f"{key} {shown[key]}" for key in ("spent", "left", "held"))
        self._notes.append(LogLine(text, {"text": answer.text}))


class Run:
    """`world` is made by `begin`, or is a drawing's own."""

    def __init__(
        self,
        nodes: Iterable[str],
        voters: tuple[str, ...],
        tuning: Tuning = QUICK,
        *,
        log_tuning: consensus.Tuning = LOG,
        members: Members = MEMBERS,
        watched: Iterable[str] | None = None,
    ) -> None:
        """`watched`: whose agreed states the checker is told; all, if not said."""
        self.names, self.voters = list(nodes), voters
        self.tuning, self.log, self.members = tuning, log_tuning, members
        self.watched = None if watched is None else frozenset(watched)
        advance = tuning.advance if tuning.without_lease == "advance" else 0
        dearest = max(tuning.other_cost, *tuning.cost.values(), 1)
        self.checker = Checker(tuning.step, advance, max(tuning.least_slice, dearest))
        self.world: World = None  # type: ignore[assignment]
        self.asks: dict[int, api.OperatorRequest] = {}
        self.answers: dict[int, tuple[float, api.OperatorResponse]] = {}
        self.calls = 0
        self._paused: set[str] = set()
        self._cut: set[str] = set()  # the smaller side of each cut
        self._streams: dict[tuple[str, str], int] = {}  # node, tenant: the stream that runs now

    def begin(self, seed: int, **weather: Any) -> None:
        self.world = World(self.names, self.make, seed, **weather)

    def make(self, name: str, seed: int, process_epoch: int, held: StoredLog) -> Member:
        return Member(self, name, seed, process_epoch, held)

    def now(self) -> float:
        return self.world.now

    def later(self, ms: float, name: str, event: Any) -> None:
        self.world.kernel.at(self.world.now + ms, self.world.poke, name, event)

    # Operators

    def ask(self, name: str, what: str, tenant: str = "", amount: int = 0, ident: str = "") -> int:
        ask = api.OperatorRequest(len(self.asks) + 1, what, tenant, amount, ident)
        self.asks[ask.ticket] = ask
        if what == "add":
            self.checker.asked(tenant, ident, amount)
        self.world.poke(name, ask)
        return ask.ticket

    def answered(self, answer: api.OperatorResponse) -> None:
        ask = self.asks[answer.ticket]
        if answer.ticket in self.answers:
            raise AssertionError(f"{ask} is answered twice: {self.answers[answer.ticket]}, {answer}")
        self.answers[answer.ticket] = (self.world.now, answer)
        if ask.what == "add":
            self.checker.answered(ask.tenant, ask.id, answer.word)

    def add(self, tenant: str, amount: int, ident: str, most_ms: float = 20_000.0) -> float:
        """Asks one member after the other until it is done; gives the time of that answer."""
        until, turn = self.world.now + most_ms, 0
        while self.world.now < until:
            name = self.names[turn % len(self.names)]
            turn += 1
            if not self.world.alive(name):
                continue
            ticket = self.ask(name, "add", tenant, amount, ident)
            while ticket not in self.answers and self.world.now < until:
                self.world.run(self.world.now + 5)
            at, answer = self.answers.get(ticket, (0.0, None))
            if answer is not None and answer.word in ("done", "counted"):
                return at
            self.world.run(self.world.now + 50)
        raise AssertionError(f"{ident}: {amount} for {tenant} were not credited within {most_ms:g} ms")

    # Consumers

    def call(self, name: str, tenant: str, kind: str = "plain", span_ms: float = 20.0, served: bool = True) -> None:
        self.calls += 1
        self.world.poke(name, Call(self.calls, tenant, kind, span_ms, served))

    def stream(
        self,
        name: str,
        tenant: str,
        per_s: float,
        random: Random | None = None,
        dear: float = 0.0,
        failed: float = 0.0,
        span_ms: float = 20.0,
    ) -> None:
        """Calls at that rate from now on, instead of those before; evenly, or as `random` has them. 0: none."""
        number = self._streams[name, tenant] = self._streams.get((name, tenant), 0) + 1
        if per_s > 0:
            gap = 1000 / per_s
            first = random.random() * gap if random else gap
            self.world.kernel.at(
                self.world.now + first, self._next, name, tenant, number, gap, random, (dear, failed, span_ms)
            )

    def _next(
        self, name: str, tenant: str, number: int, gap: float, random: Random | None, kind: tuple[float, float, float]
    ) -> None:
        if self._streams[name, tenant] != number:
            return
        dear, failed, span = kind
        if random is None:
            self.call(name, tenant, span_ms=span)
            after = gap
        else:
            self.call(
                name,
                tenant,
                "dear" if random.random() < dear else "plain",
                span * random.expovariate(1.0),
                random.random() >= failed,
            )
            after = gap * random.expovariate(1.0)
        self.world.kernel.at(self.world.now + after, self._next, name, tenant, number, gap, random, kind)

    def quiet(self) -> None:
        """No further calls."""
        for key in self._streams:
            self._streams[key] += 1

    # Processes

    def fault(self, text: str) -> None:
        self.world.fault(faults.parse(text))
        words = text.split()
        if words[0] in ("kill", "wipe", "leave"):
            for name in words[1:]:
                self.checker.died(name)
        elif words[0] == "pause":
            self._paused.update(words[1:])
        elif words[0] == "wake":
            self._paused.difference_update(words[1:])
        elif words[0] in ("cut", "mute"):
            sides = [side.split() for side in " ".join(words[1:]).replace(">", "|").split("|")]
            self._cut.update(sides[0] if len(sides[0]) <= len(sides[-1]) else sides[-1])
        elif words[0] == "heal":
            self._cut.clear()
        self.checker.away = self._paused | self._cut

    def leader(self) -> str | None:
        leading = [
            (part.agreement.term, name)
            for name in self.names
            if (part := self.world.part(name)) is not None and part.agreement.leader == name
        ]
        return max(leading)[1] if leading else None

    def until(self, holds: Callable[[], bool], most_ms: float, what: str, step_ms: float = 10.0) -> float:
        """Runs till it holds; gives the ms that took. AssertionError when it doesn't in time."""
        began = self.world.now
        while not holds():
            if self.world.now - began >= most_ms:
                raise AssertionError(f"{what}: not within {most_ms:g} ms; {self.checker.latest}")
            self.world.run(self.world.now + step_ms)
        return self.world.now - began

    def begun(self, most_ms: float = 10_000.0) -> None:
        """Till all follow a leader and know each other."""

        def ready() -> bool:
            parts = [self.world.part(name) for name in self.names]
            return all(
                part is not None and part.agreement.leader is not None and part.membership.size() == len(self.names)
                for part in parts
            )

        self.until(ready, most_ms, "all follow a leader")

    def settled(self, most_ms: float = 20_000.0) -> None:
        """Till no slice is held that its holder does not spend from any more: after calls ended, none at all."""
        self.until(lambda: not any(kept.slices for kept in self.checker.latest.values()), most_ms, "all slices settled")

"""The wallet in simulated time: each member has a hub with membership, log and wallet.

Each request is reserved at its member when it arrives, and charged or released when it ends; a request in flight at the
crash of its process stays reserved for ever. All is checked by checks_wallet.Checker. Randomized fault runs are in
wallet_storm.
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
from limenotch.fleet.membership import Tuning as MembershipTuning
from limenotch.fleet.wallet import api, entries
from limenotch.fleet.wallet.core import Wallet
from limenotch.fleet.wallet.ledger import Ledger
from limenotch.fleet.wallet.tuning import Tuning
from limenotch.lab.fleet import faults
from limenotch.lab.fleet.checks_wallet import AgreedAllocation, AgreedWallet, AllocationKey, Checker, Claim
from limenotch.lab.fleet.world import World, address
from limenotch.store.records import StoredLog

PREFIX = "wa."
LOG_TUNING = consensus.Tuning(
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
MEMBERSHIP_TUNING = MembershipTuning(period_ms=200, timeout_ms=50, gossip_ms=20)
FAST_TUNING = Tuning(
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


class ClientRequest(NamedTuple):
    """A client's request that ends after `duration_ms`, `served` or not. `number` is unique in the run."""

    number: int
    tenant: str
    request_class: str = "plain"
    duration_ms: float = 20.0
    served: bool = True


class RequestBurst(NamedTuple):
    """Several requests at one instant; a log line states how many were admitted."""

    requests: tuple[ClientRequest, ...]


class RequestEnded(NamedTuple):
    number: int
    served: bool


def agreed_state(ledger: Ledger) -> dict[str, AgreedWallet]:
    """The ledger in the checker's terms; the only place here that depends on the ledger's structure."""
    return {
        tenant: AgreedWallet(
            wallet.credit,
            wallet.spent,
            wallet.unallocated,
            {
                (allocation.name, allocation.process_epoch, allocation.serial): AgreedAllocation(
                    allocation.ceiling, allocation.spent, allocation.witnesses
                )
                for allocation in wallet.allocations.values()
            },
        )
        for tenant, wallet in ledger.wallets.items()
    }


def claims_in(data: bytes) -> dict[AllocationKey, Claim]:
    """What a log entry states about allocations that may end with it."""
    claims: dict[AllocationKey, Claim] = {}
    for entry in entries.decode(data) or ():
        if isinstance(entry, (entries.Settle, entries.Expire)):
            expired = isinstance(entry, entries.Expire)
            key = (entry.tenant, entry.name, entry.process_epoch, entry.serial)
            claims[key] = Claim(entry.spend_limit if isinstance(entry, entries.Expire) else entry.spent, expired)
    return claims


class ObservedWallet:
    """The wallet component; reports its state to the checker after each entry."""

    def __init__(self, member: Member, wallet: Wallet) -> None:
        self.member, self.wallet = member, wallet

    def state(self) -> bytes:
        return self.wallet.state()

    def handle(self, now: float, event: Any) -> list[Any]:
        out = self.wallet.handle(now, event)
        if isinstance(event, (log.EntryCommitted, log.SnapshotInstalled)):
            self.member.entry_applied(event)
        return out


class Member:
    """A node for the simulator. Calls the spender, and sends `DemandChanged`, as the program does."""

    def __init__(self, run: Run, name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> None:
        self.run, self.name, self.process_epoch = run, name, process_epoch
        seeds = [address(peer) for peer in run.names[:2]]
        self.membership = Membership(name, address(name), process_epoch, seeds, run.member_tuning, seed)
        self.agreement = consensus.Consensus(name, run.voters, stored_log, run.log_tuning, seed)
        state = split_states(self.agreement.state).get(PREFIX)
        self.wallet = Wallet(name, process_epoch, run.tuning, run.voters, state)
        self.spender = self.wallet.spender
        self.hub = ComponentHub(
            [("mb.", self.membership), ("ag.", self.agreement), (PREFIX, ObservedWallet(self, self.wallet))],
            self.membership,
        )
        self.hub.register_action_handler(api.OperatorResponse, self._responded)
        self.reservations: dict[int, api.Reservation] = {}
        self.is_serving: dict[str, bool] = {}
        self._log_lines: list[Any] = []
        self._had_changes = False
        run.checker.started(name, process_epoch)

    def entry_applied(self, event: log.EntryCommitted | log.SnapshotInstalled) -> None:
        """Reports the replicated state to the checker."""
        run = self.run
        if run.observed is None or self.name in run.observed:
            claims = claims_in(event.data) if isinstance(event, log.EntryCommitted) else {}
            run.checker.state_applied(run.now(), self.name, event.index, agreed_state(self.wallet.ledger), claims)

    def handle(self, now: float, event: Any) -> list[Any]:
        out: list[Any] = []
        if isinstance(event, ClientRequest):
            self._arrived(now, event)
        elif isinstance(event, RequestBurst):
            taken = sum([self._arrived(now, request) for request in event.requests])
            self._log_lines.append(LogLine(f"takes {taken} of {len(event.requests)}"))
        elif isinstance(event, RequestEnded):
            self._ended(now, event)
        else:
            if isinstance(event, (api.OperatorRequest, api.DemandChanged, api.VotersChanged)):
                event = ComponentEvent(PREFIX, event)
            out = self.hub.handle(now, event)
            if isinstance(event, Started):
                out += self.hub.handle(now, ComponentEvent(PREFIX, api.VotersChanged(self.run.voters)))
        # Once each time that it becomes true.
        has_changes = self.spender.has_changes()
        if has_changes and not self._had_changes:
            out += self.hub.handle(now, ComponentEvent(PREFIX, api.DemandChanged()))
            has_changes = self.spender.has_changes()
        self._had_changes = has_changes
        out, self._log_lines = self._log_lines + out, []
        return out

    def _arrived(self, now: float, request: ClientRequest) -> bool:
        run, at_ms = self.run, self.run.now()
        got = self.spender.reserve(now, request.tenant, request.request_class)
        if isinstance(got, api.Rejected):
            run.checker.rejected(at_ms, self.name, request.tenant, got.allocation_pending)
        else:
            run.checker.reserved(at_ms, self.name, self.process_epoch, request.number, request.tenant, got.allocations)
            self.reservations[request.number] = got
            run.later(request.duration_ms, self.name, RequestEnded(request.number, request.served))
        served = not isinstance(got, api.Rejected)
        if self.is_serving.get(request.tenant) != served:
            self.is_serving[request.tenant] = served
            self._log_lines.append(LogLine(f"{'serves' if served else 'turns away'} {request.tenant}"))
        return served

    def _ended(self, now: float, end: RequestEnded) -> None:
        reserved = self.reservations.pop(end.number, None)
        if reserved is None:
            return  # it was reserved by an earlier process of this name
        if end.served:
            self.spender.charge(now, reserved)
            self.run.checker.charged(self.name, self.process_epoch, end.number, reserved.tenant, reserved.allocations)
        else:
            self.spender.release(now, reserved)
            self.run.checker.released(self.name, self.process_epoch, end.number, reserved.tenant, reserved.allocations)

    def _responded(self, response: api.OperatorResponse) -> None:
        self.run.responded(response)
        # for `counted` it is the amount of the earlier request
        body = response.body if isinstance(response.body, dict) else {}
        text, shown = response.outcome, body.get(self.run.operator_requests[response.ticket].tenant)
        if shown is not None:
            text = "shown: " + " ".join(f"{key} {shown[key]}" for key in ("spent", "left", "held"))
        self._log_lines.append(LogLine(text, {"text": response.text}))


class Run:
    """A simulated fleet. `world` is created by `begin`."""

    def __init__(
        self,
        nodes: Iterable[str],
        voters: tuple[str, ...],
        tuning: Tuning = FAST_TUNING,
        *,
        log_tuning: consensus.Tuning = LOG_TUNING,
        member_tuning: MembershipTuning = MEMBERSHIP_TUNING,
        observed: Iterable[str] | None = None,
    ) -> None:
        """`observed`: the members whose states are reported to the checker; all by default."""
        self.names, self.voters = list(nodes), voters
        self.tuning, self.log_tuning, self.member_tuning = tuning, log_tuning, member_tuning
        self.observed = None if observed is None else frozenset(observed)
        advance = tuning.advance if tuning.without_lease == "advance" else 0
        dearest = max(tuning.other_cost, *tuning.cost.values(), 1)
        self.checker = Checker(tuning.step, advance, max(tuning.least_slice, dearest))
        self.world: World = None  # type: ignore[assignment]
        self.operator_requests: dict[int, api.OperatorRequest] = {}
        self.responses: dict[int, tuple[float, api.OperatorResponse]] = {}
        self.request_count = 0
        self._paused: set[str] = set()
        self._partitioned: set[str] = set()  # the smaller side of each partition
        # by node and tenant: number of the request stream that is active
        self._streams: dict[tuple[str, str], int] = {}

    def begin(self, seed: int, **conditions: Any) -> None:
        """Creates the world; `conditions` are World's."""
        self.world = World(self.names, self.make, seed, **conditions)

    def make(self, name: str, seed: int, process_epoch: int, stored_log: StoredLog) -> Member:
        return Member(self, name, seed, process_epoch, stored_log)

    def now(self) -> float:
        return self.world.now

    def later(self, delay_ms: float, name: str, event: Any) -> None:
        self.world.kernel.schedule(self.world.now + delay_ms, self.world.deliver_event, name, event)

    # Operators

    def operator_request(self, name: str, action: str, tenant: str = "", amount: int = 0, credit_id: str = "") -> int:
        """Sends an operator's request to a member; returns its ticket."""
        request = api.OperatorRequest(len(self.operator_requests) + 1, action, tenant, amount, credit_id)
        self.operator_requests[request.ticket] = request
        if action == "add":
            self.checker.credit_requested(tenant, credit_id, amount)
        self.world.deliver_event(name, request)
        return request.ticket

    def responded(self, response: api.OperatorResponse) -> None:
        """Each request must be answered once."""
        request = self.operator_requests[response.ticket]
        if response.ticket in self.responses:
            raise AssertionError(f"{request} is answered twice: {self.responses[response.ticket]}, {response}")
        self.responses[response.ticket] = (self.world.now, response)
        if request.action == "add":
            self.checker.responded(request.tenant, request.id, response.outcome)

    def add_credit(self, tenant: str, amount: int, credit_id: str, limit_ms: float = 20_000.0) -> float:
        """Sends the credit to one member after the other until it is done; returns the time of that response."""
        deadline_ms, turn = self.world.now + limit_ms, 0
        while self.world.now < deadline_ms:
            name = self.names[turn % len(self.names)]
            turn += 1
            if not self.world.alive(name):
                continue
            ticket = self.operator_request(name, "add", tenant, amount, credit_id)
            while ticket not in self.responses and self.world.now < deadline_ms:
                self.world.run(self.world.now + 5)
            at_ms, response = self.responses.get(ticket, (0.0, None))
            if response is not None and response.outcome in ("done", "counted"):
                return at_ms
            self.world.run(self.world.now + 50)
        raise AssertionError(f"{credit_id}: {amount} for {tenant} were not credited within {limit_ms:g} ms")

    # Clients

    def send_request(
        self, name: str, tenant: str, request_class: str = "plain", duration_ms: float = 20.0, served: bool = True
    ) -> None:
        self.request_count += 1
        self.world.deliver_event(name, ClientRequest(self.request_count, tenant, request_class, duration_ms, served))

    def send_stream(
        self,
        name: str,
        tenant: str,
        per_s: float,
        random: Random | None = None,
        dear: float = 0.0,
        failed: float = 0.0,
        duration_ms: float = 20.0,
    ) -> None:
        """Sends requests at that rate from now on, replacing the current ones; evenly, or at random times. 0: none."""
        number = self._streams[name, tenant] = self._streams.get((name, tenant), 0) + 1
        if per_s > 0:
            gap = 1000 / per_s
            first = random.random() * gap if random else gap
            self.world.kernel.schedule(
                self.world.now + first, self._next, name, tenant, number, gap, random, (dear, failed, duration_ms)
            )

    def _next(
        self, name: str, tenant: str, number: int, gap: float, random: Random | None, mix: tuple[float, float, float]
    ) -> None:
        if self._streams[name, tenant] != number:
            return
        dear, failed, duration_ms = mix
        if random is None:
            self.send_request(name, tenant, duration_ms=duration_ms)
            after = gap
        else:
            self.send_request(
                name,
                tenant,
                "dear" if random.random() < dear else "plain",
                duration_ms * random.expovariate(1.0),
                random.random() >= failed,
            )
            after = gap * random.expovariate(1.0)
        self.world.kernel.schedule(self.world.now + after, self._next, name, tenant, number, gap, random, mix)

    def stop_streams(self) -> None:
        """Sends no further requests."""
        for key in self._streams:
            self._streams[key] += 1

    # Processes

    def fault(self, text: str) -> None:
        """Applies a fault, in the words of faults.py, and notifies the checker."""
        self.world.apply_fault(faults.parse(text))
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
            self._partitioned.update(sides[0] if len(sides[0]) <= len(sides[-1]) else sides[-1])
        elif words[0] == "heal":
            self._partitioned.clear()
        self.checker.unreachable = self._paused | self._partitioned

    def leader(self) -> str | None:
        leading = [
            (member.agreement.term, name)
            for name in self.names
            if (member := self.world.component(name)) is not None and member.agreement.leader == name
        ]
        return max(leading)[1] if leading else None

    def run_until(self, condition: Callable[[], bool], limit_ms: float, label: str, step_ms: float = 10.0) -> float:
        """Runs until the condition holds; returns the ms that took. AssertionError after `limit_ms`."""
        began_ms = self.world.now
        while not condition():
            if self.world.now - began_ms >= limit_ms:
                raise AssertionError(f"{label}: not within {limit_ms:g} ms; {self.checker.latest_state}")
            self.world.run(self.world.now + step_ms)
        return self.world.now - began_ms

    def wait_for_leader(self, limit_ms: float = 10_000.0) -> None:
        """Runs until all members follow a leader and know each other."""

        def ready() -> bool:
            members = [self.world.component(name) for name in self.names]
            return all(
                member is not None
                and member.agreement.leader is not None
                and member.membership.size() == len(self.names)
                for member in members
            )

        self.run_until(ready, limit_ms, "all follow a leader")

    def wait_until_settled(self, limit_ms: float = 20_000.0) -> None:
        """Runs until no allocation is left: once requests have ended, all of them are settled or expired."""
        self.run_until(
            lambda: not any(wallet.allocations for wallet in self.checker.latest_state.values()),
            limit_ms,
            "all allocations settled",
        )

"""A sidecar in simulated time: the decision module, and what the network code around it does on sockets.

It does what `limenotch.net` does: a margin on each call's time, connections that are kept and opened, a last check
before the first byte, each invoker call reported once, abandoned by closing its connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

from limenotch.balancing.learned_state import export_state, import_state

from ... import settings
from ...load_balancer import usable_budget_ms
from ..model.directory import Broken, Tell
from ..model.provider import Provider
from .calls import Answer, Attempt, Call, allowed_by

if TYPE_CHECKING:
    from .world import World

IDLE_PART = settings.EndpointSettings().idle_part  # the program's own


class Sidecar:
    def __init__(
        self, world: World, key: tuple[int, int], zone: int, tier: int, told: dict[str, Any], seed: int
    ) -> None:
        """`told` are its settings; `tier` is the one it sends to; `key` is unique in the world."""
        self.world, self.key, self.zone, self.tier = world, key, zone, tier
        self.told = told
        self.alive = True
        self.calls: dict[int, Call] = {}
        self.decide = world.policy.instance(told, seed)
        self._decisions = world.policy
        self._idle: dict[Provider, list[float]] = {}  # when each idle connection was last used
        self._stage: dict[str, str] = {}  # as told
        self._allowed = allowed_by(told)
        self._banned: set[str] = set()
        plan = world.plan.tiers[tier]
        self._idle_ms, self._rtts, self._connect_ms = plan.idle_ms, plan.handshake_rtts, plan.connect_timeout_ms
        decisions = self._decisions
        outcome = decisions.types.Outcome
        fields = world.plan.scenario.tier[tier].report.fields
        self._shown: tuple[bool, ...] = ("util" in fields, "qps" in fields)  # of a report
        if "requests_per_s" not in decisions.events.AttemptFinished._fields:
            self._shown = self._shown[:1]  # a variant of an older interface
        self._outcomes = {
            "served": outcome.OK,
            "error": outcome.ERROR,
            "refused": outcome.REJECTED,
            "reset": outcome.RESET,
        }
        self._do: dict[type, Callable[[Any], None]] = {
            decisions.actions.SendAttempt: self._send,
            decisions.actions.SetTimer: self._set_timer,
            decisions.actions.CancelAttempt: self._abandon,
            decisions.actions.RejectRequest: self._reject,
            decisions.actions.FailRequest: self._fail,
            decisions.actions.Subscribe: self._subscribe,
        }

    # What it is told

    def start(self) -> None:
        self._handle(self._decisions.events.BalancerStarted())
        known = tuple(self.world.fleet.directories[self.tier].entries.values())
        self.heard(Tell(self.key, True, known))
        self.world.ask(self)

    def heard(self, told: Tell | Broken) -> None:
        if not self.alive:
            return
        decisions = self._decisions
        if isinstance(told, Broken):
            self._handle(decisions.events.MembershipUpdate(decisions.events.MembershipKind.UNAVAILABLE))
            return
        now, rules = self.world.kernel.now, self.world.rules
        if told.whole:
            listed = {entry.name for entry in told.entries}
            for name in [name for name in self._stage if name not in listed]:
                rules.told(now, self.key, name, "gone")
                del self._stage[name]
                self._close_idle(name)
        upstreams = []
        for entry in told.entries:
            if entry.stage == "gone":
                self._stage.pop(entry.name, None)
            else:
                self._stage[entry.name] = entry.stage
            if entry.stage != "ready":
                self._close_idle(entry.name)
            self._tell_rules(entry.name)
            upstreams.append(
                decisions.types.Endpoint(
                    entry.name,
                    decisions.types.EndpointState(entry.stage),
                    entry.weight,
                    entry.kind,
                    entry.zone,
                    entry.group,
                    entry.started_ms,
                )
            )
        listing = (
            decisions.events.MembershipKind.COMPLETE if told.whole else decisions.events.MembershipKind.INCREMENTAL
        )
        self._handle(decisions.events.MembershipUpdate(listing, tuple(upstreams)))

    def ban(self, name: str, out: bool) -> None:
        """As the operators' address does; to the rules it is a drain until the call back."""
        now = self.world.kernel.now
        if out:
            self._banned.add(name)
            self._close_idle(name)
        else:
            self._banned.discard(name)
        self._tell_rules(name)
        self._handle(self._decisions.events.OperatorEjection(name, out, now))

    def _tell_rules(self, name: str) -> None:
        stage = self._stage.get(name, "gone")
        told = "draining" if name in self._banned and stage == "ready" else stage
        self.world.rules.told(self.world.kernel.now, self.key, name, told)

    def retune(self, attempts: int) -> None:
        """As SIGHUP does with a file that gives another number of attempts."""
        self.told = {**self.told, "permissions": {**self.told["permissions"], "max_attempts": attempts}}
        self._allowed = allowed_by(self.told)
        self._handle(self._decisions.events.SettingsChanged(self.world.policy.read_settings(self.told)))

    def together(self, processes: int) -> None:
        """As while one process takes over from another."""
        settings = replace(self.world.policy.read_settings(self.told), processes=processes)
        self._handle(self._decisions.events.SettingsChanged(settings))

    def take_over(self, old: Sidecar) -> None:
        """What the old process hands to this one: list, bans and knowledge."""
        self._banned = set(old._banned)
        entries = tuple(
            entry for entry in self.world.fleet.directories[self.tier].entries.values() if entry.name in old._stage
        )
        self._handle(self._decisions.events.BalancerStarted())
        self.heard(Tell(self.key, True, tuple(replace(entry, stage=old._stage[entry.name]) for entry in entries)))
        for name in sorted(self._banned):
            self._handle(self._decisions.events.OperatorEjection(name, True, 0.0))
        import_state(cast(Any, self.decide), export_state(cast(Any, old.decide)))

    def _close_idle(self, name: str) -> None:
        process = self.world.find(self.tier, name)[1]
        for _ in self._idle.pop(process, ()) if process is not None else ():
            assert process is not None
            process.disconnect(self.world.kernel.now)

    def take(
        self,
        number: int,
        cls: int,
        account: int,
        size: float,
        key: str,
        budget_ms: float,
        end: float,
        answer: Answer,
        again: bool = False,
    ) -> Call:
        """A call came in, whole; `answer` is called once unless its consumer leaves."""
        world = self.world
        call = Call(number, cls, size, key, end, answer)
        self.calls[number] = call
        spec = world.plan.classes[cls]
        world.rules.taken(world.kernel.now, number, spec.effect, spec.scope, spec.window_ms, end, self._allowed)
        left = usable_budget_ms(min(budget_ms, spec.deadline_ms))
        self._handle(self._decisions.events.RequestArrived(str(number), cls, left, account, again))
        return call

    def depart(self, call: Call) -> None:
        """The consumer is gone."""
        if call.closed or not self.alive:
            return
        self.world.rules.departed(self.world.kernel.now, call.number)
        self._close(call)
        self._handle(self._decisions.events.ClientDisconnected(str(call.number)))
        for attempt in call.attempts:  # those that the module may not cancel
            if not attempt.over:
                self._cut(attempt, self._decisions.types.Outcome.CANCELLED)

    def die(self) -> None:
        """Its machine's process is gone: its calls are lost, its connections reset."""
        self.alive = False
        world = self.world
        for call in list(self.calls.values()):
            world.rules.lost(call.number)
            call.closed = True
            for attempt in call.attempts:
                if not attempt.over:
                    attempt.over = True
                    world.abandon(self, attempt)
                    if attempt.connected and attempt.process is not None:
                        attempt.process.disconnect(world.kernel.now)
        for process, idle in self._idle.items():
            for _ in idle:
                process.disconnect(world.kernel.now)
        self._idle.clear()
        self.calls.clear()
        world.rules.forget(self.key)

    # What the module orders

    def _handle(self, event: Any) -> None:
        world = self.world
        if world.clock is None:
            actions = self.decide.handle(world.kernel.now, event)
        else:
            began = world.clock()
            actions = self.decide.handle(world.kernel.now, event)
            world.deciding += world.clock() - began
        do = self._do
        for action in actions:
            do[type(action)](action)

    def _set_timer(self, action: Any) -> None:
        self.world.kernel.at(action.at_ms, self._timer, action.token)

    def _timer(self, token: int) -> None:
        if self.alive:
            self._handle(self._decisions.events.TimerFired(token))

    def _subscribe(self, action: Any) -> None:
        self.world.ask(self)

    def _reject(self, action: Any) -> None:
        self._final(int(action.request), "rejected", action.retry_after_ms)

    def _fail(self, action: Any) -> None:
        self._final(int(action.request), "failed", 0.0)

    def _final(self, number: int, verdict: str, retry_after_ms: float) -> None:
        world = self.world
        call = self.calls.get(number)
        if call is None or call.closed:
            # On sockets the network code would not give a second answer; here it is the module's fault seen.
            world.rules.answered(world.kernel.now, number, verdict)
            return
        world.rules.advised(world.kernel.now, number, retry_after_ms)
        world.rules.answered(world.kernel.now, number, verdict)
        self._close(call)
        call.answer(verdict, retry_after_ms)

    def _close(self, call: Call) -> None:
        call.closed = True
        if all(attempt.over for attempt in call.attempts):
            self.calls.pop(call.number, None)

    def _abandon(self, action: Any) -> None:
        call = self.calls.get(int(action.request))
        if call is not None and 0 <= action.attempt < len(call.attempts):
            self.world.rules.cancelled(self.world.kernel.now, call.number)
            self._cut(call.attempts[action.attempt], self._decisions.types.Outcome.CANCELLED)

    def _send(self, action: Any) -> None:
        world, call = self.world, self.calls[int(action.request)]
        now = world.kernel.now
        site, process = world.find(self.tier, action.endpoint)
        attempt = Attempt(call, len(call.attempts), site, process, action.endpoint, now, now + action.timeout_ms)
        call.attempts.append(attempt)
        world.kernel.late(attempt.end, self._timed_out, attempt)
        if self._stage.get(action.endpoint) != "ready" or action.endpoint in self._banned:
            world.kernel.at(now, self._ended, attempt, self._decisions.types.Outcome.NOT_SENT, None)
            return
        idle = self._idle.get(process) if process is not None else None
        while idle:
            if now - idle.pop() <= self._idle_ms * IDLE_PART:
                attempt.connected = True
                self._write(attempt)
                return
            assert process is not None
            process.disconnect(now)
        # SYN and its answer, and the handshake's further rounds.
        delay = world.one_way(self.zone, site)
        if site is None or process is None or not world.reaches(self.zone, site):
            wait = self._connect_ms if site is not None else 2 * delay
            world.kernel.at(now + wait, self._ended, attempt, self._decisions.types.Outcome.CONNECT_FAILED, None)
            return
        world.kernel.at(now + delay, self._connect, attempt, delay)

    def _connect(self, attempt: Attempt, delay: float) -> None:
        world, process = self.world, attempt.process
        assert process is not None and attempt.site is not None
        if attempt.over:
            return
        if not process.connect(world.kernel.now):
            world.kernel.at(
                world.kernel.now + delay, self._ended, attempt, self._decisions.types.Outcome.CONNECT_FAILED, None
            )
            return
        world.wake(attempt.site)
        attempt.connected = True
        world.kernel.at(world.kernel.now + delay * max(2 * self._rtts - 1, 1), self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        """The last check, then the first byte."""
        world = self.world
        if attempt.over or not self.alive:
            return
        now = world.kernel.now
        usable = self._stage.get(attempt.name) == "ready" and attempt.name not in self._banned
        if not usable or attempt.call.closed or now >= attempt.end:
            self._ended(attempt, self._decisions.types.Outcome.NOT_SENT, None)
            return
        assert attempt.site is not None
        group = world.fleet.group_of(attempt.site.machine)
        attempt.order = world.rules.sent(now, attempt.call.number, self.key, attempt.name, group)
        world.carry(self, attempt)

    # How attempts end

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.over and self.alive:
            decisions = self._decisions
            self._cut(
                attempt, decisions.types.Outcome.TIMEOUT if attempt.order >= 0 else decisions.types.Outcome.NOT_SENT
            )

    def _cut(self, attempt: Attempt, outcome: Any) -> None:
        """From here: by closing its connection."""
        if not attempt.over:
            self.world.abandon(self, attempt)
            self._ended(attempt, outcome, None)

    def ended(self, attempt: Attempt, how: str, report: tuple[float, float] | None) -> None:
        """From there: `served`, `error`, `refused`, `reset`."""
        self._ended(attempt, self._outcomes[how], report)

    def _ended(self, attempt: Attempt, outcome: Any, report: tuple[float, float] | None) -> None:
        if attempt.over or not self.alive:
            return
        world, call, decisions = self.world, attempt.call, self._decisions
        now = world.kernel.now
        attempt.over = True
        kept = outcome in (decisions.types.Outcome.OK, decisions.types.Outcome.ERROR, decisions.types.Outcome.REJECTED)
        if attempt.connected:
            assert attempt.process is not None
            if kept and not attempt.process.stopped and self._stage.get(attempt.name) == "ready":
                self._idle.setdefault(attempt.process, []).append(now)
            else:
                attempt.process.disconnect(now)
        if attempt.order >= 0:
            ran = outcome not in decisions.types.NEVER_RAN
            world.rules.ended(now, call.number, attempt.order, outcome.value, ran)
        if outcome is decisions.types.Outcome.OK and not call.closed:
            world.rules.answered(now, call.number, "served")
            self._close(call)
            call.answer("served", 0.0)
        elif call.closed:
            self._close(call)
        told = [value if shown else None for value, shown in zip(report or (), self._shown, strict=False)]
        event = decisions.events.AttemptFinished(
            str(call.number), attempt.name, attempt.number, now - attempt.began, outcome, call.closed, *told
        )
        self._handle(event)

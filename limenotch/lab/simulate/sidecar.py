"""A sidecar in simulated time: the decision module, and a model of the network code around that module.

The model does what `limenotch.net` does on sockets: it takes a margin off each request's time budget, reuses idle
connections and opens new ones, checks the endpoint again before the first byte, reports the end of each attempt once,
and cancels an attempt by closing its connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

from limenotch.balancing.learned_state import export_state, import_state

from ... import settings
from ...load_balancer import usable_budget_ms
from ..model.directory import ListUpdate, WatchFailed
from ..model.provider import Provider
from .calls import Attempt, RequestCallback, SidecarRequest, permissions_of

if TYPE_CHECKING:
    from .world import World

IDLE_PART = (
    settings.EndpointSettings().idle_part
)  # the part of an endpoint's idle time-out for which the program reuses a connection


class Sidecar:
    """One simulated sidecar process."""

    def __init__(
        self, world: World, key: tuple[int, int], zone: int, tier: int, settings: dict[str, Any], seed: int
    ) -> None:
        """Creates a sidecar that sends to tier `tier`. `key` is unique in the world."""
        self.world, self.key, self.zone, self.tier = world, key, zone, tier
        self.settings = settings
        self.alive = True
        self.requests: dict[int, SidecarRequest] = {}
        self.balancer = world.policy.instance(settings, seed)
        self._policy = world.policy
        self._idle: dict[Provider, list[float]] = {}  # when each idle connection was last used
        self._stages: dict[str, str] = {}  # by endpoint, as last listed
        self._permissions = permissions_of(settings)
        self._ejected: set[str] = set()
        plan = world.plan.tiers[tier]
        self._idle_ms, self._handshake_rtts, self._connect_timeout_ms = (
            plan.idle_ms,
            plan.handshake_rtts,
            plan.connect_timeout_ms,
        )
        policy = self._policy
        outcome = policy.types.Outcome
        fields = world.plan.scenario.tier[tier].report.fields
        self._reported_fields: tuple[bool, ...] = (
            "util" in fields,
            "qps" in fields,
        )  # util and qps: which of them a load report has
        if "requests_per_s" not in policy.events.AttemptFinished._fields:
            self._reported_fields = self._reported_fields[:1]  # a decision module with the older interface
        self._outcomes = {
            "served": outcome.OK,
            "error": outcome.ERROR,
            "refused": outcome.REJECTED,
            "reset": outcome.RESET,
        }
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            policy.actions.SendAttempt: self._send,
            policy.actions.SetTimer: self._set_timer,
            policy.actions.CancelAttempt: self._cancel_attempt,
            policy.actions.RejectRequest: self._reject,
            policy.actions.FailRequest: self._fail,
            policy.actions.Subscribe: self._subscribe,
        }

    # Events from outside

    def start(self) -> None:
        """Starts the decision module with the present endpoint list and queries the directory."""
        self._handle(self._policy.events.BalancerStarted())
        known = tuple(self.world.fleet.directories[self.tier].entries.values())
        self.on_list_update(ListUpdate(self.key, True, known))
        self.world.query_directory(self)

    def on_list_update(self, update: ListUpdate | WatchFailed) -> None:
        """Passes an update of the endpoint list, or the failure of its watch, to the decision module."""
        if not self.alive:
            return
        policy = self._policy
        if isinstance(update, WatchFailed):
            self._handle(policy.events.MembershipUpdate(policy.events.MembershipKind.UNAVAILABLE))
            return
        now, rules = self.world.kernel.now, self.world.rules
        if update.complete:
            listed = {entry.name for entry in update.entries}
            for name in [name for name in self._stages if name not in listed]:
                rules.stage_reported(now, self.key, name, "gone")
                del self._stages[name]
                self._close_idle(name)
        endpoints = []
        for entry in update.entries:
            if entry.stage == "gone":
                self._stages.pop(entry.name, None)
            else:
                self._stages[entry.name] = entry.stage
            if entry.stage != "ready":
                self._close_idle(entry.name)
            self._report_stage(entry.name)
            endpoints.append(
                policy.types.Endpoint(
                    entry.name,
                    policy.types.EndpointState(entry.stage),
                    entry.weight,
                    entry.kind,
                    entry.zone,
                    entry.group,
                    entry.started_ms,
                )
            )
        kind = policy.events.MembershipKind.COMPLETE if update.complete else policy.events.MembershipKind.INCREMENTAL
        self._handle(policy.events.MembershipUpdate(kind, tuple(endpoints)))

    def set_ejected(self, name: str, ejected: bool) -> None:
        """Ejects or readmits an endpoint, as an operator does. The rule checker counts an ejection as a drain."""
        now = self.world.kernel.now
        if ejected:
            self._ejected.add(name)
            self._close_idle(name)
        else:
            self._ejected.discard(name)
        self._report_stage(name)
        self._handle(self._policy.events.OperatorEjection(name, ejected, now))

    def _report_stage(self, name: str) -> None:
        stage = self._stages.get(name, "gone")
        settings = "draining" if name in self._ejected and stage == "ready" else stage
        self.world.rules.stage_reported(self.world.kernel.now, self.key, name, settings)

    def set_max_attempts(self, attempts: int) -> None:
        """Changes the maximum number of attempts, as SIGHUP does after a change of the settings file."""
        self.settings = {**self.settings, "permissions": {**self.settings["permissions"], "max_attempts": attempts}}
        self._permissions = permissions_of(self.settings)
        self._handle(self._policy.events.SettingsChanged(self.world.policy.read_settings(self.settings)))

    def set_process_count(self, processes: int) -> None:
        """Sets the number of processes of this sidecar that run side by side during an upgrade."""
        settings = replace(self.world.policy.read_settings(self.settings), processes=processes)
        self._handle(self._policy.events.SettingsChanged(settings))

    def take_over(self, old_sidecar: Sidecar) -> None:
        """Starts from the old process's endpoint list, ejections and learned state."""
        self._ejected = set(old_sidecar._ejected)
        entries = tuple(
            entry
            for entry in self.world.fleet.directories[self.tier].entries.values()
            if entry.name in old_sidecar._stages
        )
        self._handle(self._policy.events.BalancerStarted())
        self.on_list_update(
            ListUpdate(
                self.key, True, tuple(replace(entry, stage=old_sidecar._stages[entry.name]) for entry in entries)
            )
        )
        for name in sorted(self._ejected):
            self._handle(self._policy.events.OperatorEjection(name, True, 0.0))
        import_state(cast(Any, self.balancer), export_state(cast(Any, old_sidecar.balancer)))

    def _close_idle(self, name: str) -> None:
        process = self.world.find(self.tier, name)[1]
        for _ in self._idle.pop(process, ()) if process is not None else ():
            assert process is not None
            process.disconnect(self.world.kernel.now)

    def accept_request(
        self,
        number: int,
        cls: int,
        account: int,
        size: float,
        key: str,
        budget_ms: float,
        deadline_at_ms: float,
        on_completed: RequestCallback,
        is_retry: bool = False,
    ) -> SidecarRequest:
        """Accepts a complete request. `on_completed` is called once unless the client disconnects before."""
        world = self.world
        request = SidecarRequest(number, cls, size, key, deadline_at_ms, on_completed)
        self.requests[number] = request
        spec = world.plan.classes[cls]
        world.rules.request_accepted(
            world.kernel.now, number, spec.effect, spec.scope, spec.window_ms, deadline_at_ms, self._permissions
        )
        usable_ms = usable_budget_ms(min(budget_ms, spec.deadline_ms))
        self._handle(self._policy.events.RequestArrived(str(number), cls, usable_ms, account, is_retry))
        return request

    def on_client_disconnected(self, request: SidecarRequest) -> None:
        """Handles the disconnection of the client."""
        if request.closed or not self.alive:
            return
        self.world.rules.client_disconnected(self.world.kernel.now, request.number)
        self._close_request(request)
        self._handle(self._policy.events.ClientDisconnected(str(request.number)))
        for attempt in request.attempts:  # those that the decision module may not cancel
            if not attempt.finished:
                self._close_attempt(attempt, self._policy.types.Outcome.CANCELLED)

    def stop(self) -> None:
        """Stops with its machine's process: its requests are lost, its connections reset."""
        self.alive = False
        world = self.world
        for request in list(self.requests.values()):
            world.rules.request_lost(request.number)
            request.closed = True
            for attempt in request.attempts:
                if not attempt.finished:
                    attempt.finished = True
                    world.cancel_attempt(self, attempt)
                    if attempt.connected and attempt.process is not None:
                        attempt.process.disconnect(world.kernel.now)
        for process, idle in self._idle.items():
            for _ in idle:
                process.disconnect(world.kernel.now)
        self._idle.clear()
        self.requests.clear()
        world.rules.sidecar_stopped(self.key)

    # Actions of the decision module

    def _handle(self, event: Any) -> None:
        world = self.world
        if world.clock is None:
            actions = self.balancer.handle(world.kernel.now, event)
        else:
            started_at_ms = world.clock()
            actions = self.balancer.handle(world.kernel.now, event)
            world.decision_time_s += world.clock() - started_at_ms
        handlers = self._action_handlers
        for action in actions:
            handlers[type(action)](action)

    def _set_timer(self, action: Any) -> None:
        self.world.kernel.schedule(action.at_ms, self._timer, action.token)

    def _timer(self, token: int) -> None:
        if self.alive:
            self._handle(self._policy.events.TimerFired(token))

    def _subscribe(self, action: Any) -> None:
        self.world.query_directory(self)

    def _reject(self, action: Any) -> None:
        self._complete_request(int(action.request), "rejected", action.retry_after_ms)

    def _fail(self, action: Any) -> None:
        self._complete_request(int(action.request), "failed", 0.0)

    def _complete_request(self, number: int, verdict: str, retry_after_ms: float) -> None:
        world = self.world
        request = self.requests.get(number)
        if request is None or request.closed:
            # The network code would not send a second response. Here the rule checker records it as the module's fault.
            world.rules.request_answered(world.kernel.now, number, verdict)
            return
        world.rules.retry_advised(world.kernel.now, number, retry_after_ms)
        world.rules.request_answered(world.kernel.now, number, verdict)
        self._close_request(request)
        request.on_completed(verdict, retry_after_ms)

    def _close_request(self, request: SidecarRequest) -> None:
        request.closed = True
        if all(attempt.finished for attempt in request.attempts):
            self.requests.pop(request.number, None)

    def _cancel_attempt(self, action: Any) -> None:
        request = self.requests.get(int(action.request))
        if request is not None and 0 <= action.attempt < len(request.attempts):
            self.world.rules.attempt_cancelled(self.world.kernel.now, request.number)
            self._close_attempt(request.attempts[action.attempt], self._policy.types.Outcome.CANCELLED)

    def _send(self, action: Any) -> None:
        world, request = self.world, self.requests[int(action.request)]
        now = world.kernel.now
        site, process = world.find(self.tier, action.endpoint)
        attempt = Attempt(request, len(request.attempts), site, process, action.endpoint, now, now + action.timeout_ms)
        request.attempts.append(attempt)
        world.kernel.schedule_last(attempt.deadline_at_ms, self._timed_out, attempt)
        if self._stages.get(action.endpoint) != "ready" or action.endpoint in self._ejected:
            world.kernel.schedule(now, self._finish_attempt, attempt, self._policy.types.Outcome.NOT_SENT, None)
            return
        idle = self._idle.get(process) if process is not None else None
        while idle:
            if now - idle.pop() <= self._idle_ms * IDLE_PART:
                attempt.connected = True
                self._write(attempt)
                return
            assert process is not None
            process.disconnect(now)
        # The delay of SYN and SYN-ACK; the further round trips of the handshake follow in `_connect`.
        delay = world.delay_ms(self.zone, site)
        if site is None or process is None or not world.is_reachable(self.zone, site):
            wait = self._connect_timeout_ms if site is not None else 2 * delay
            world.kernel.schedule(
                now + wait, self._finish_attempt, attempt, self._policy.types.Outcome.CONNECT_FAILED, None
            )
            return
        world.kernel.schedule(now + delay, self._connect, attempt, delay)

    def _connect(self, attempt: Attempt, delay: float) -> None:
        world, process = self.world, attempt.process
        assert process is not None and attempt.site is not None
        if attempt.finished:
            return
        if not process.connect(world.kernel.now):
            world.kernel.schedule(
                world.kernel.now + delay, self._finish_attempt, attempt, self._policy.types.Outcome.CONNECT_FAILED, None
            )
            return
        world.schedule_run(attempt.site)
        attempt.connected = True
        world.kernel.schedule(world.kernel.now + delay * max(2 * self._handshake_rtts - 1, 1), self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        """Checks the endpoint, the request and the deadline a last time and sends the attempt."""
        world = self.world
        if attempt.finished or not self.alive:
            return
        now = world.kernel.now
        usable = self._stages.get(attempt.name) == "ready" and attempt.name not in self._ejected
        if not usable or attempt.request.closed or now >= attempt.deadline_at_ms:
            self._finish_attempt(attempt, self._policy.types.Outcome.NOT_SENT, None)
            return
        assert attempt.site is not None
        group = world.fleet.group_of(attempt.site.machine)
        attempt.check_index = world.rules.attempt_sent(now, attempt.request.number, self.key, attempt.name, group)
        world.transmit(self, attempt)

    # Ends of attempts

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.finished and self.alive:
            policy = self._policy
            self._close_attempt(
                attempt, policy.types.Outcome.TIMEOUT if attempt.check_index >= 0 else policy.types.Outcome.NOT_SENT
            )

    def _close_attempt(self, attempt: Attempt, outcome: Any) -> None:
        """Ends an attempt from the sidecar's side, by closing its connection."""
        if not attempt.finished:
            self.world.cancel_attempt(self, attempt)
            self._finish_attempt(attempt, outcome, None)

    def on_response(self, attempt: Attempt, result: str, report: tuple[float, float] | None) -> None:
        """Ends an attempt with the endpoint's result: `served`, `error`, `refused` or `reset`."""
        self._finish_attempt(attempt, self._outcomes[result], report)

    def _finish_attempt(self, attempt: Attempt, outcome: Any, report: tuple[float, float] | None) -> None:
        if attempt.finished or not self.alive:
            return
        world, request, policy = self.world, attempt.request, self._policy
        now = world.kernel.now
        attempt.finished = True
        reusable = outcome in (policy.types.Outcome.OK, policy.types.Outcome.ERROR, policy.types.Outcome.REJECTED)
        if attempt.connected:
            assert attempt.process is not None
            if reusable and not attempt.process.stopped and self._stages.get(attempt.name) == "ready":
                self._idle.setdefault(attempt.process, []).append(now)
            else:
                attempt.process.disconnect(now)
        if attempt.check_index >= 0:
            ran = outcome not in policy.types.NEVER_RAN
            world.rules.attempt_ended(now, request.number, attempt.check_index, outcome.value, ran)
        if outcome is policy.types.Outcome.OK and not request.closed:
            world.rules.request_answered(now, request.number, "served")
            self._close_request(request)
            request.on_completed("served", 0.0)
        elif request.closed:
            self._close_request(request)
        load_report = [
            value if shown else None for value, shown in zip(report or (), self._reported_fields, strict=False)
        ]
        event = policy.events.AttemptFinished(
            str(request.number),
            attempt.name,
            attempt.number,
            now - attempt.started_at_ms,
            outcome,
            request.closed,
            *load_report,
        )
        self._handle(event)

"""Invariants of every simulated run of the affinity table, checked from outside in the simulator's true time.

Rules, and what violates them:
- none early: a member no longer finds a key (or removes it as expired) that a member not held dead used within its
  idle time.
- none late: a key is found later than guaranteed after its last use anywhere. That time begins anew after a link to a
  member not held dead was impaired, with the time to converge added.
- no revival: a key that had expired and was not found is found again without a use in between.
- honest ages: a binding is reported as younger than its last use at any member.
- one provider: in calm, two members find different endpoints for a key for too long, or a binding that all members
  found moves although its endpoint was not removed.
- none missing: in calm, a complete member does not find a key that a running member used within its idle time.
- gone: a binding is found 250 ms after its endpoint left the member's list (a `key` keeps cell and zone).
- full: a `key` inside its window is evicted; two replicas evict the same keys in different order.

The checker calls no code under test. A *use* belongs to the process that observed it: (node, count of processes and
fences). A use within the idle time continues the binding; one just later may find it or not: both are accepted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from .bindings_history import DEAD, EDGE_MS, KEY, LOSSY_MS, LOST_MS, Guarantees, Key, Process, Truth, Use

__all__ = ["LOSSY_MS", "Checker", "Guarantees", "Key"]


class Checker:
    """Receives all events in order of time. `check` raises AssertionError if a rule was violated."""

    def __init__(self, guarantees: Guarantees, nodes: Iterable[str]) -> None:
        self.guarantees = guarantees
        self.truths: dict[Key, Truth] = {}
        self.processes: dict[str, Process | None] = dict.fromkeys(nodes)
        self._numbers: dict[str, int] = {}
        self._impaired_links: dict[tuple[str, str], float | None] = {}  # link: until when; None: still
        self._unstable_until: float | None = 0.0  # None: a fault is active
        self._unstable_since = self._max_unstable_ms = 0.0
        self.lossy_until = 0.0  # streams are delayed, without a bound
        self.slowest_link_ms = 0.0  # so far; an age may be too low by the shortest delay of a message
        self._answers: dict[Key, dict[str, Any]] = {}
        self._disagreeing_since: dict[Key, float] = {}
        self._agreed_endpoint: dict[Key, str] = {}
        self.violations: dict[str, None] = {}
        self.max_disagreement_ms = 0.0  # in calm
        self.max_overdue_ms = 0.0  # found after the last use + idle time, in calm
        self.counts = dict.fromkeys(("found", "forgotten", "dropped", "gave way", "moved", "judged late"), 0)

    def check(self) -> None:
        if self.violations:
            raise AssertionError(
                "; ".join(list(self.violations)[:3])
                + (f" (and {len(self.violations) - 3} more)" if len(self.violations) > 3 else "")
            )

    def _report(self, now: float, rule: str, node: str, key: Key, text: str) -> None:
        if len(self.violations) < 50:
            self.violations[f"{rule}: {now:.1f} {node} {key[1].decode('latin-1')}: {text}"] = None

    # Processes, members, links

    def process_started(self, now: float, node: str, process_epoch: int) -> None:
        """A process starts, or continues after fencing: then it no longer vouches for its earlier observations."""
        number = self._numbers[node] = self._numbers.get(node, 0) + 1
        self.processes[node] = Process(number, process_epoch, now, changed_ms=now)

    def fenced(self, now: float, node: str) -> None:
        old = self.processes[node]
        assert old is not None
        self.process_started(now, node, old.process_epoch + 1)
        new = self.processes[node]
        assert new is not None
        new.endpoints, new.removed, new.peers, new.expired = (old.endpoints, old.removed, old.peers, old.expired)
        new.pre_fence = old.pre_fence | old.found.keys()

    def process_ended(self, now: float, node: str) -> None:
        self.processes[node] = None

    def member_changed(self, now: float, node: str, other: str, state: str, process_epoch: int) -> None:
        process = self.processes[node]
        if process is None:
            return
        if other == node:
            process.process_epoch = process_epoch
        elif process.peers.get(other) != (state, process_epoch):
            process.peers[other] = (state, process_epoch)
            if state != "suspect":
                process.changed_ms = now

    def links_impaired(self, now: float, links: Iterable[tuple[str, str]]) -> None:
        """Sets all links (from, to) that from now on lose all messages, or delay them without bound."""
        links = set(links)
        for link in links:
            self._impaired_links[link] = None
        for link, until in self._impaired_links.items():
            if until is None and link not in links:
                self._impaired_links[link] = now
        if links and self._unstable_until is not None:
            self._unstable_until, self._unstable_since = None, now
        elif not links and self._unstable_until is None:
            self._unstable_until, self._max_unstable_ms = (now, max(self._max_unstable_ms, now - self._unstable_since))

    def faults_ended(self, now: float) -> None:
        """Other faults (loss, delays) have ended now; members need time to converge after them."""
        if self._unstable_until is not None:
            self._unstable_until = now

    def endpoints_changed(self, now: float, node: str, names: Iterable[str]) -> None:
        process = self.processes[node]
        if process is None:
            return
        names = frozenset(names)
        for name in process.endpoints - names:
            process.removed[name] = now
        for name in names:
            process.removed.pop(name, None)
        process.endpoints = names

    # Calls of the host

    def use_recorded(self, now: float, node: str, key: Key, endpoint: str, state: int, accepted: bool) -> None:
        """A use of a key; `endpoint`: what `find` returned before it, or the requested one."""
        process = self.processes[node]
        if process is None or not accepted:
            return
        bounds = self.guarantees
        use = Use(now, node, process.number, process.process_epoch, endpoint, state)
        truth = self.truths.get(key)
        if truth is None or now >= self._expires_at(key, truth):
            certain = not any(
                other is not None and (key in other.found or key in other.pre_fence)
                for other in self.processes.values()
            )
            self.truths[key] = Truth(
                now, now, now, state, now, {state}, {endpoint}, {(node, process.number): use}, certain
            )
        else:
            idle_ms = min(bounds.idle_ms(key[0], each) for each in truth.states)
            refresh_ms = idle_ms * (1 - bounds.announce_share) * (1 - bounds.drift) - bounds.propagation_ms
            if now - truth.last_ms >= refresh_ms or key not in process.found or not self.is_calm(now):
                truth.recreated_ms = now  # its observer may not have received the use before
            if key not in process.found and now - truth.created_ms > bounds.propagation_ms:
                truth.certain = False  # another binding here: partitioned, or not received yet
            if not any(self._observer_runs(past) and now - past.at_ms < idle_ms for past in truth.uses.values()):
                truth.certain = False
            truth.last_ms = now
            truth.endpoints.add(endpoint)
            truth.states.add(state)
            if state > truth.state:
                truth.state, truth.state_since_ms = state, now
            truth.uses[node, process.number] = use
            if now > truth.created_ms + bounds.lifetime_ms(key[0]) * (1 - bounds.drift):
                # A member with a fast clock has a new binding, one with a slow clock still the old one.
                truth.certain, truth.recreated_ms = False, now
        process.end_reasons.pop(key, None)
        process.expired.pop(key, None)

    def binding_undone(self, now: float, node: str, key: Key) -> None:
        for process in self.processes.values():
            if process is not None:
                process.end_reasons[key] = "undo"
        truth = self.truths.get(key)
        if truth is not None:
            truth.certain = False

    def lookup(self, now: float, node: str, key: Key, bound: Any, complete: bool) -> None:
        """A result of `find`. `bound`: None, or has `endpoint` and `idle_ms`."""
        process = self.processes[node]
        if process is None:
            return
        truth = self.truths.get(key)
        self.counts["found"] += 1
        process.pre_fence.discard(key)
        if bound is None:
            self._agreed_endpoint.pop(key, None)
            if key in process.found:
                self.counts["forgotten"] += 1
                self._check_not_early(now, node, process, key, "no longer finds it")
                del process.found[key]
            tolerance_ms = self.guarantees.age_error_ms + self._clock_error_ms(now) + EDGE_MS
            if truth is not None and now >= self._certainly_expired_at(key, truth) + tolerance_ms:
                process.expired.setdefault(key, now)
        else:
            process.found[key] = (now, bound.endpoint)
            process.end_reasons.pop(key, None)
            if truth is None:
                self._report(now, "no revival", node, key, "found, and was never used")
                return
            self._check_not_late(now, node, process, key, truth)
            self._check_age(now, node, key, truth, bound)
            expired_ms = process.expired.pop(key, None)
            if expired_ms is not None and truth.last_ms < expired_ms:
                self._report(
                    now, "no revival", node, key, f"used {truth.last_ms:.1f}, missing {expired_ms:.1f}, found again"
                )
            removed_ms = process.removed.get(bound.endpoint)
            if removed_ms is not None and now - removed_ms > self.guarantees.removal_ms + EDGE_MS and key[0] != KEY:
                self._report(now, "gone", node, key, f"{bound.endpoint} left the list at {removed_ms:.1f}")
        if complete:
            self._answers.setdefault(key, {})[node] = bound

    def row_ended(self, now: float, node: str, key: Key, reason: str) -> None:
        """A row ended; `reason` as in entries.EndCallback: `over` by age, `full` by eviction, others by their names."""
        process = self.processes[node]
        if process is None:
            return
        self.counts["dropped"] += 1
        self._agreed_endpoint.pop(key, None)
        if reason == "over":
            self._check_not_early(now, node, process, key, "removed it as expired")
        else:
            process.end_reasons[key] = reason
        process.found.pop(key, None)
        if reason == "full":
            self._record_eviction(now, node, process, key)

    # Rules

    def _expires_at(self, key: Key, truth: Truth) -> float:
        """When the binding actually expires, by its latest state."""
        bounds = self.guarantees
        return min(truth.last_ms + bounds.idle_ms(key[0], truth.state), truth.created_ms + bounds.lifetime_ms(key[0]))

    def _certainly_expired_at(self, key: Key, truth: Truth) -> float:
        """When the binding has expired for a member that knows any of its states."""
        bounds = self.guarantees
        return min(
            truth.last_ms + max(bounds.idle_ms(key[0], state) for state in truth.states),
            truth.recreated_ms + bounds.lifetime_ms(key[0]),
        )

    def _observer_idle_ms(self, key: Key, truth: Truth, use: Use) -> float:
        """Idle time at the observer, which has the state that it observed, or a later one that it received."""
        return min(self.guarantees.idle_ms(key[0], state) for state in truth.states if state >= use.state)

    def _observer_runs(self, use: Use) -> bool:
        """Whether the process that observed the use still runs: a use that was not announced is lost with it."""
        observer = self.processes[use.node]
        return observer is not None and observer.number == use.process

    def _check_not_early(self, now: float, node: str, process: Process, key: Key, what: str) -> None:
        truth = self.truths.get(key)
        if truth is None or not truth.certain or process.end_reasons.get(key) is not None:
            return
        found, bounds = process.found.get(key), self.guarantees
        if process.removed.keys() & truth.endpoints or (found is not None and found[1] in process.removed):
            return
        if (node, process.number) not in truth.uses and (found is None or found[0] < truth.created_ms):
            return  # it had an earlier binding of the key
        if now >= truth.created_ms + bounds.lifetime_ms(key[0]) * (1 - bounds.drift) - EDGE_MS:
            return
        for use in truth.uses.values():
            idle = self._observer_idle_ms(key, truth, use)
            if now - use.at_ms >= idle * (1 - bounds.drift) - EDGE_MS:
                continue
            observer = self.processes[use.node]
            if use.node == node:
                if use.process == process.number:
                    self._report(now, "none early", node, key, f"{what}, used it itself at {use.at_ms:.1f}")
                continue
            if observer is None or observer.number == use.process:
                # A killed process is waited for too, until it is held dead; a fenced one continues as another.
                state, process_epoch = process.peers.get(use.node, ("dead", 0))
                if state not in DEAD and process_epoch == use.process_epoch:
                    self._report(
                        now,
                        "none early",
                        node,
                        key,
                        f"{what}, {use.node} (held {state}) used it at {use.at_ms:.1f}, idle time {idle:g}",
                    )

    def _check_not_late(self, now: float, node: str, process: Process, key: Key, truth: Truth) -> None:
        bounds = self.guarantees
        excused_ms = process.changed_ms if process.changed_ms > truth.last_ms else 0.0
        for (source, target), until in self._impaired_links.items():
            if target != node and source != node:
                continue
            other = source if target == node else target
            if until is None:
                if process.peers.get(other, ("dead", 0))[0] not in DEAD:
                    return  # waits for that member until it is held dead
            elif until > truth.last_ms:
                excused_ms = max(excused_ms, until)
        idle = bounds.idle_ms(key[0], truth.state)
        if excused_ms > truth.state_since_ms or (self._unstable_until or now) > truth.state_since_ms:
            # The latest state may not have arrived everywhere.
            idle = max(bounds.idle_ms(key[0], state) for state in truth.states)
        lifetime = bounds.lifetime_ms(key[0])
        deadline = (
            min(truth.last_ms + idle, truth.recreated_ms + lifetime)
            + bounds.margin_ms
            + 2 * bounds.drift * (idle if truth.last_ms + idle < truth.recreated_ms + lifetime else lifetime)
        )
        allowed = max(deadline, excused_ms + bounds.convergence_ms + bounds.margin_ms if excused_ms else 0.0)
        if now < self.lossy_until:
            allowed += LOSSY_MS
        self.counts["judged late"] += 1
        if now > allowed + EDGE_MS:
            self._report(now, "none late", node, key, f"last used at {truth.last_ms:.1f}, allowed until {allowed:.1f}")
        if not excused_ms and now >= self.lossy_until:
            self.max_overdue_ms = max(self.max_overdue_ms, now - truth.last_ms - idle)

    def _check_age(self, now: float, node: str, key: Key, truth: Truth, bound: Any) -> None:
        bounds = self.guarantees
        age = now - truth.last_ms
        if bound.idle_ms < age * (1 - bounds.drift) - bounds.age_error_ms - self._clock_error_ms(now) - EDGE_MS:
            self._report(now, "honest ages", node, key, f"reported idle for {bound.idle_ms:.1f}, actually {age:.1f}")

    def _clock_error_ms(self, now: float) -> float:
        """Error of ages by clock drift and message delays while a link was impaired."""
        longest_ms = max([self._max_unstable_ms, now - self._unstable_since if self._unstable_until is None else 0.0])
        if now < self.lossy_until:
            longest_ms = max(longest_ms, LOST_MS)
        return self.slowest_link_ms + 2 * self.guarantees.drift * longest_ms

    def _record_eviction(self, now: float, node: str, process: Process, key: Key) -> None:
        process.evicted_keys.append(key)
        self.counts["gave way"] += 1
        truth = self.truths.get(key)
        if truth is not None and key[0] == KEY and now < self._expires_at(key, truth) - EDGE_MS:
            self._report(now, "full", node, key, "evicted inside its window")

    def is_calm(self, now: float) -> bool:
        """Whether there has been no fault for long enough that all members should have converged."""
        convergence_ms = self.guarantees.convergence_ms
        if now < self.lossy_until or self._unstable_until is None or now <= self._unstable_until + convergence_ms:
            return False
        return all(
            process is not None and now > process.changed_ms + convergence_ms for process in self.processes.values()
        )

    def sweep(self, now: float) -> None:
        """Compares the lookups since the last sweep: all members were queried for all keys at this instant."""
        answers, self._answers = self._answers, {}
        calm, bounds = self.is_calm(now), self.guarantees
        for key, by_node in answers.items():
            bound = {node: answer.endpoint for node, answer in by_node.items() if answer is not None}
            if len(set(bound.values())) > 1:
                span = now - self._disagreeing_since.setdefault(key, now)
                if calm:
                    self.max_disagreement_ms = max(self.max_disagreement_ms, span)
                    if span > bounds.agreement_ms:
                        self._report(now, "one provider", min(bound), key, f"for {span:.0f} ms they find {bound}")
            else:
                self._disagreeing_since.pop(key, None)
            self._check_endpoint_stays(now, key, by_node, bound)
            if calm:
                self._check_none_missing(now, key, by_node, bound)

    def _check_endpoint_stays(self, now: float, key: Key, by_node: Mapping[str, Any], bound: Mapping[str, str]) -> None:
        running = sum(process is not None for process in self.processes.values())
        distinct = set(bound.values())
        old = self._agreed_endpoint.get(key)
        if len(distinct) == 1 and len(bound) == running:
            new = next(iter(distinct))
            if old is not None and old != new:
                self.counts["moved"] += 1
                if all(process is None or old in process.endpoints for process in self.processes.values()) and (
                    self.is_calm(now)
                ):
                    self._report(now, "one provider", min(bound), key, f"all found {old}, which stayed; now {new}")
            self._agreed_endpoint[key] = new

    def _check_none_missing(self, now: float, key: Key, by_node: Mapping[str, Any], bound: Mapping[str, str]) -> None:
        truth, bounds = self.truths.get(key), self.guarantees
        if truth is None or not truth.certain or len(bound) == len(by_node):
            return
        grace_ms = bounds.propagation_ms + bounds.agreement_ms
        times = [
            use.at_ms
            for use in truth.uses.values()
            if self._observer_runs(use)
            and now - use.at_ms < self._observer_idle_ms(key, truth, use) * (1 - bounds.drift) - EDGE_MS
        ]
        if (
            not times
            or now - truth.created_ms < grace_ms
            or now > truth.created_ms + bounds.lifetime_ms(key[0]) * (1 - bounds.drift)
        ):
            return
        for node in by_node.keys() - bound.keys():
            process = self.processes[node]
            assert process is not None
            if key not in process.end_reasons and not process.removed:
                self._report(now, "none missing", node, key, f"used at {max(times):.1f} by a running process")

    def check_eviction_order(self, now: float) -> None:
        """Two replicas that evicted the same keys have to have evicted them in the same order."""
        lists = [(node, process.evicted_keys) for node, process in self.processes.items() if process is not None]
        for number, (node, evicted) in enumerate(lists):
            for other, other_keys in lists[number + 1 :]:
                both = set(evicted) & set(other_keys)
                ours, theirs = ([key for key in keys if key in both] for keys in (evicted, other_keys))
                for first, second in zip(ours, theirs, strict=False):
                    if first != second:
                        self._report(now, "full", node, first, f"evicted before {second!r}, at {other} after it")
                        break

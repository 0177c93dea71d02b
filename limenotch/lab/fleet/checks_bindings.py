"""What must hold of every run of the bindings, seen from outside, in the world's true time.

- none early: one that found a key finds it no more (or drops it as over), while a member that it does not hold dead saw
  that key within its idle time.
- none late: a key is found later than the stated time after its last sight anywhere. While a way to somebody not held
  dead is impaired that time does not begin; afterwards it begins anew, with what mending takes.
- no revival: a key that was over in truth and was not found is found again, without a sight between.
- honest ages: a binding is told to be younger than the last sight of it by anybody.
- one provider: in calm two members find different providers of one key for longer than is stated, or one that all
  found moves though its provider stayed.
- none missing: in calm a member that is whole does not find what a running one saw within its idle time.
- gone: a binding of a provider that left a member's list is found there 250 ms later (a `key` keeps cell and zone).
- full: a `key` inside its window gives way; two replicas let the same keys go in different order.

Nothing of the decisions is called. A *sight* counts for the process that had it: (node, how many processes and fences
there were of it). A sight continues the binding if it comes within the idle time of the one before, anywhere; where it
comes just after, before all can have forgotten, either view is right and nothing is judged.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from .bindings_history import DEAD, EDGE_MS, KEY, LOSSY_MS, LOST_MS, Key, Process, Sight, Stated, Truth

__all__ = ["LOSSY_MS", "Checker", "Key", "Stated"]


class Checker:
    """Told all in order of time. `broken` says what did not hold, each once; `check` raises AssertionError then."""

    def __init__(self, stated: Stated, nodes: Iterable[str]) -> None:
        self.stated = stated
        self.truths: dict[Key, Truth] = {}
        self.processes: dict[str, Process | None] = dict.fromkeys(nodes)
        self._numbers: dict[str, int] = {}
        self._impaired: dict[tuple[str, str], float | None] = {}  # way: until when; None: still
        self._rough_until: float | None = 0.0  # None: something is the matter now
        self._rough_since = self._longest_rough = 0.0
        self.lossy_until = 0.0  # streams are late, without a bound that could be stated
        self.slow_ms = 0.0  # of the slowest way so far: an age may be too young by the shortest way of a message
        self._answers: dict[Key, dict[str, Any]] = {}
        self._differ: dict[Key, float] = {}
        self._agreed: dict[Key, str] = {}
        self.broken: dict[str, None] = {}
        self.longest_disagreement = 0.0  # ms, in calm
        self.latest_found = 0.0  # ms after the last sight + idle, in calm
        self.counts = dict.fromkeys(("found", "forgotten", "dropped", "gave way", "moved", "judged late"), 0)

    def check(self) -> None:
        if self.broken:
            raise AssertionError(
                "; ".join(list(self.broken)[:3])
                + (f" (and {len(self.broken) - 3} more)" if len(self.broken) > 3 else "")
            )

    def _wrong(self, at: float, rule: str, node: str, key: Key, text: str) -> None:
        if len(self.broken) < 50:
            self.broken[f"{rule}: {at:.1f} {node} {key[1].decode('latin-1')}: {text}"] = None

    # Processes, members, ways

    def began(self, at: float, node: str, process_epoch: int) -> None:
        """A process begins, or begins anew after a fence: what it held before is not its own word any more."""
        number = self._numbers[node] = self._numbers.get(node, 0) + 1
        self.processes[node] = Process(number, process_epoch, at, changed=at)

    def fenced(self, at: float, node: str) -> None:
        held = self.processes[node]
        assert held is not None
        self.began(at, node, held.process_epoch + 1)
        now = self.processes[node]
        assert now is not None
        now.there, now.gone, now.holds, now.over = held.there, held.gone, held.holds, held.over
        now.before = held.before | held.found.keys()

    def ended(self, at: float, node: str) -> None:
        self.processes[node] = None

    def holds(self, at: float, node: str, other: str, state: str, process_epoch: int) -> None:
        process = self.processes[node]
        if process is None:
            return
        if other == node:
            process.process_epoch = process_epoch
        elif process.holds.get(other) != (state, process_epoch):
            process.holds[other] = (state, process_epoch)
            if state != "suspect":
                process.changed = at

    def impaired(self, at: float, ways: Iterable[tuple[str, str]]) -> None:
        """All ways (from, to) on which nothing passes from now on, or late without bound."""
        ways = set(ways)
        for way in ways:
            self._impaired[way] = None
        for way, until in self._impaired.items():
            if until is None and way not in ways:
                self._impaired[way] = at
        if ways and self._rough_until is not None:
            self._rough_until, self._rough_since = None, at
        elif not ways and self._rough_until is None:
            self._rough_until, self._longest_rough = at, max(self._longest_rough, at - self._rough_since)

    def rough(self, at: float) -> None:
        """Something else ended only now after which all need mending: loss, delays."""
        if self._rough_until is not None:
            self._rough_until = at

    def endpoints(self, at: float, node: str, names: Iterable[str]) -> None:
        process = self.processes[node]
        if process is None:
            return
        names = frozenset(names)
        for name in process.there - names:
            process.gone[name] = at
        for name in names:
            process.gone.pop(name, None)
        process.there = names

    # What the host asks of the table

    def sees(self, at: float, node: str, key: Key, endpoint: str, state: int, taken: bool) -> None:
        """A sight, before or after which it was bound to `provider` (what `find` says after it)."""
        process = self.processes[node]
        if process is None or not taken:
            return
        stated = self.stated
        sight = Sight(at, node, process.number, process.process_epoch, endpoint, state)
        truth = self.truths.get(key)
        if truth is None or at >= self._over(key, truth):
            sure = not any(
                other is not None and (key in other.found or key in other.before) for other in self.processes.values()
            )
            self.truths[key] = Truth(at, at, at, state, at, {state}, {endpoint}, {(node, process.number): sight}, sure)
        else:
            idle = min(stated.idle(key[0], each) for each in truth.states)
            crossed = idle * (1 - stated.tell) * (1 - stated.drift) - stated.told_ms
            if at - truth.last >= crossed or key not in process.found or not self.calm(at):
                truth.anew = at  # its seer may not have heard of the sight before
            if key not in process.found and at - truth.made > stated.told_ms:
                truth.sure = False  # here it is another binding: cut off, or not yet heard of
            if not any(self._word(one) and at - one.at < idle for one in truth.sights.values()):
                truth.sure = False
            truth.last = at
            truth.endpoints.add(endpoint)
            truth.states.add(state)
            if state > truth.state:
                truth.state, truth.state_at = state, at
            truth.sights[node, process.number] = sight
            if at > truth.made + stated.longest(key[0]) * (1 - stated.drift):
                truth.sure, truth.anew = False, at  # by one's longest time it is another binding, by another's not yet
        process.ended.pop(key, None)
        process.over.pop(key, None)

    def undone(self, at: float, node: str, key: Key) -> None:
        for process in self.processes.values():
            if process is not None:
                process.ended[key] = "undo"
        truth = self.truths.get(key)
        if truth is not None:
            truth.sure = False

    def found(self, at: float, node: str, key: Key, bound: Any, whole: bool) -> None:
        """`bound`: None, or with `provider` and `seen_ms`."""
        process = self.processes[node]
        if process is None:
            return
        truth = self.truths.get(key)
        self.counts["found"] += 1
        process.before.discard(key)
        if bound is None:
            self._agreed.pop(key, None)
            if key in process.found:
                self.counts["forgotten"] += 1
                self._not_early(at, node, process, key, "finds it no more")
                del process.found[key]
            spare = self.stated.young_ms + self._unclear_ms(at) + EDGE_MS
            if truth is not None and at >= self._surely_over(key, truth) + spare:
                process.over.setdefault(key, at)
        else:
            process.found[key] = (at, bound.endpoint)
            process.ended.pop(key, None)
            if truth is None:
                self._wrong(at, "no revival", node, key, "found, and was never seen")
                return
            self._not_late(at, node, process, key, truth)
            self._honest(at, node, key, truth, bound)
            before = process.over.pop(key, None)
            if before is not None and truth.last < before:
                self._wrong(
                    at,
                    "no revival",
                    node,
                    key,
                    f"last seen at {truth.last:.1f}, over and not found at {before:.1f}, found again",
                )
            since = process.gone.get(bound.endpoint)
            if since is not None and at - since > self.stated.gone_ms + EDGE_MS and key[0] != KEY:
                self._wrong(at, "gone", node, key, f"{bound.endpoint} left the list at {since:.1f}")
        if whole:
            self._answers.setdefault(key, {})[node] = bound

    def dropped(self, at: float, node: str, key: Key, why: str) -> None:
        """A row ended: `over` by age, `full` for another; others by name."""
        process = self.processes[node]
        if process is None:
            return
        self.counts["dropped"] += 1
        self._agreed.pop(key, None)
        if why == "over":
            self._not_early(at, node, process, key, "dropped as over")
        else:
            process.ended[key] = why
        process.found.pop(key, None)
        if why == "full":
            self._gives_way(at, node, process, key)

    # Rules

    def _over(self, key: Key, truth: Truth) -> float:
        """When it is over in truth, by the state that is known best."""
        stated = self.stated
        return min(truth.last + stated.idle(key[0], truth.state), truth.made + stated.longest(key[0]))

    def _surely_over(self, key: Key, truth: Truth) -> float:
        """When it is over whichever of its states is known."""
        stated = self.stated
        return min(
            truth.last + max(stated.idle(key[0], state) for state in truth.states), truth.anew + stated.longest(key[0])
        )

    def _idle_after(self, key: Key, truth: Truth, sight: Sight) -> float:
        """Its seer holds it in the state it saw, or in a later one that it heard of."""
        return min(self.stated.idle(key[0], state) for state in truth.states if state >= sight.state)

    def _word(self, sight: Sight) -> bool:
        """Whether it still is the word of one who runs: what others were not told of a sight is lost with its seer."""
        seer = self.processes[sight.node]
        return seer is not None and seer.number == sight.process

    def _not_early(self, at: float, node: str, process: Process, key: Key, what: str) -> None:
        truth = self.truths.get(key)
        if truth is None or not truth.sure or process.ended.get(key) is not None:
            return
        found, stated = process.found.get(key), self.stated
        if process.gone.keys() & truth.endpoints or (found is not None and found[1] in process.gone):
            return
        if (node, process.number) not in truth.sights and (found is None or found[0] < truth.made):
            return  # it was not this binding that it had
        if at >= truth.made + stated.longest(key[0]) * (1 - stated.drift) - EDGE_MS:
            return
        for sight in truth.sights.values():
            idle = self._idle_after(key, truth, sight)
            if at - sight.at >= idle * (1 - stated.drift) - EDGE_MS:
                continue
            seer = self.processes[sight.node]
            if sight.node == node:
                if sight.process == process.number:
                    self._wrong(at, "none early", node, key, f"{what}, saw it itself at {sight.at:.1f}")
                continue
            if seer is None or seer.number == sight.process:
                # One that fell is waited for too, until it is held dead. One that was fenced is somebody else now.
                state, process_epoch = process.holds.get(sight.node, ("dead", 0))
                if state not in DEAD and process_epoch == sight.process_epoch:
                    self._wrong(
                        at,
                        "none early",
                        node,
                        key,
                        f"{what}, {sight.node} (held {state}) saw it at {sight.at:.1f}, idle time {idle:g}",
                    )

    def _not_late(self, at: float, node: str, process: Process, key: Key, truth: Truth) -> None:
        stated = self.stated
        excused = process.changed if process.changed > truth.last else 0.0
        for (frm, to), until in self._impaired.items():
            if to != node and frm != node:
                continue
            other = frm if to == node else to
            if until is None:
                if process.holds.get(other, ("dead", 0))[0] not in DEAD:
                    return  # it is silent, and not waited for once it is held dead
            elif until > truth.last:
                excused = max(excused, until)
        idle = stated.idle(key[0], truth.state)
        if excused > truth.state_at or (self._rough_until or at) > truth.state_at:
            idle = max(stated.idle(key[0], state) for state in truth.states)  # its state may not have come through
        longest = stated.longest(key[0])
        due = (
            min(truth.last + idle, truth.anew + longest)
            + stated.spare_ms
            + 2 * stated.drift * (idle if truth.last + idle < truth.anew + longest else longest)
        )
        allowed = max(due, excused + stated.mend_ms + stated.spare_ms if excused else 0.0)
        if at < self.lossy_until:
            allowed += LOSSY_MS
        self.counts["judged late"] += 1
        if at > allowed + EDGE_MS:
            self._wrong(at, "none late", node, key, f"last seen at {truth.last:.1f}, stated was {allowed:.1f}")
        if not excused and at >= self.lossy_until:
            self.latest_found = max(self.latest_found, at - truth.last - idle)

    def _honest(self, at: float, node: str, key: Key, truth: Truth, bound: Any) -> None:
        stated = self.stated
        age = at - truth.last
        if bound.idle_ms < age * (1 - stated.drift) - stated.young_ms - self._unclear_ms(at) - EDGE_MS:
            self._wrong(at, "honest ages", node, key, f"seen {bound.idle_ms:.1f} ago, in truth {age:.1f}")

    def _unclear_ms(self, at: float) -> float:
        """What clocks may have gained on each other, and messages been late, while a way was impaired."""
        longest = max([self._longest_rough, at - self._rough_since if self._rough_until is None else 0.0])
        if at < self.lossy_until:
            longest = max(longest, LOST_MS)
        return self.slow_ms + 2 * self.stated.drift * longest

    def _gives_way(self, at: float, node: str, process: Process, key: Key) -> None:
        process.given.append(key)
        self.counts["gave way"] += 1
        truth = self.truths.get(key)
        if truth is not None and key[0] == KEY and at < self._over(key, truth) - EDGE_MS:
            self._wrong(at, "full", node, key, "inside its window, and gave way")

    def calm(self, at: float) -> bool:
        """For so long that all should be one again."""
        mend = self.stated.mend_ms
        if at < self.lossy_until or self._rough_until is None or at <= self._rough_until + mend:
            return False
        return all(process is not None and at > process.changed + mend for process in self.processes.values())

    def sweep(self, at: float) -> None:
        """All members were asked for all keys at this instant: `found` since the last sweep."""
        answers, self._answers = self._answers, {}
        calm, stated = self.calm(at), self.stated
        for key, by in answers.items():
            bound = {node: answer.endpoint for node, answer in by.items() if answer is not None}
            if len(set(bound.values())) > 1:
                span = at - self._differ.setdefault(key, at)
                if calm:
                    self.longest_disagreement = max(self.longest_disagreement, span)
                    if span > stated.agree_ms:
                        self._wrong(at, "one provider", min(bound), key, f"for {span:.0f} ms they find {bound}")
            else:
                self._differ.pop(key, None)
            self._stays(at, key, by, bound)
            if calm:
                self._none_missing(at, key, by, bound)

    def _stays(self, at: float, key: Key, by: Mapping[str, Any], bound: Mapping[str, str]) -> None:
        running = sum(process is not None for process in self.processes.values())
        one = set(bound.values())
        before = self._agreed.get(key)
        if len(one) == 1 and len(bound) == running:
            now = next(iter(one))
            if before is not None and before != now:
                self.counts["moved"] += 1
                if all(process is None or before in process.there for process in self.processes.values()) and (
                    self.calm(at)
                ):
                    self._wrong(at, "one provider", min(bound), key, f"all found {before}, which stayed; now {now}")
            self._agreed[key] = now

    def _none_missing(self, at: float, key: Key, by: Mapping[str, Any], bound: Mapping[str, str]) -> None:
        truth, stated = self.truths.get(key), self.stated
        if truth is None or not truth.sure or len(bound) == len(by):
            return
        told = stated.told_ms + stated.agree_ms
        seen = [
            sight.at
            for sight in truth.sights.values()
            if self._word(sight) and at - sight.at < self._idle_after(key, truth, sight) * (1 - stated.drift) - EDGE_MS
        ]
        if not seen or at - truth.made < told or at > truth.made + stated.longest(key[0]) * (1 - stated.drift):
            return
        for node in by.keys() - bound.keys():
            process = self.processes[node]
            assert process is not None
            if key not in process.ended and not process.gone:
                self._wrong(at, "none missing", node, key, f"last seen at {max(seen):.1f} by one that runs on")

    def same_order(self, at: float) -> None:
        """Where two replicas let the same keys go for others, they did so in one order."""
        lists = [(node, process.given) for node, process in self.processes.items() if process is not None]
        for number, (node, given) in enumerate(lists):
            for other, theirs in lists[number + 1 :]:
                both = set(given) & set(theirs)
                one, two = ([key for key in keys if key in both] for keys in (given, theirs))
                for mine, their in zip(one, two, strict=False):
                    if mine != their:
                        self._wrong(at, "full", node, mine, f"gave way before {their!r}, at {other} after it")
                        break

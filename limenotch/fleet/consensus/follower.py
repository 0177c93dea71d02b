"""The side that follows: takes what a leader appends, tells what of it is on disk, finds a leader when it has none.

- Nothing agreed is ever cut off: an append that would is counted and not answered.
- `match` in an Ack is on disk and the same as this leader's; no Ack leaves before the epoch itself is on disk.
- A learner asks voters in turn, at `learner_ms`, until one leads or names who does.

Source: Ongaro, Ousterhout (2014), figure 2, AppendEntries; section 5.3 for the hint that skips an epoch at a time.
"""

from __future__ import annotations

from . import messages
from .node import NEVER, Node
from .snapshots import Incoming
from .states import Cause, Role

BEHIND = 64  # entries; who was that far behind tells when it has caught up


class Following:
    def __init__(self, node: Node, dead: set[str]) -> None:
        self._node, self._dead = node, dead
        self._same = 0  # up to here the log is this leader's, in `_epoch`
        self._epoch = 0
        self._round = 0
        self._behind = False
        self._asked = 0
        self.search_at = NEVER
        self.incoming = Incoming(node.tuning)

    def _heard(self, sender: str, term: int, number: int) -> bool:
        """Whether the sender leads now; then it is followed."""
        node = self._node
        if term < node.term:
            return False
        if term > node.term:
            node.adopt(term)
        if node.leads or (node.leader not in (None, sender)):
            node.count("two leaders")  # never, unless a rule of this package is broken
            return False
        if node.role in (Role.CANDIDATE, Role.PRE):
            node.become(Cause.HEARD)
        if self._epoch != term or node.leader is None:
            self._epoch, self._same, self._round = term, 0, 0
        node.follow(sender)
        node.heard_at = node.now
        self._round = max(self._round, number)
        node.wait()
        if not node.standing:
            node.wait_until = node.now + 3 * node.tuning.learner_ms
        self.search_at = NEVER
        return True

    def on_append(self, sender: str, message: messages.Append) -> None:
        node = self._node
        if not self._heard(sender, message.term, message.round):
            if message.term < node.term:
                self._answer(sender, False, 0)
            return
        log = node.log
        entries, prev, prev_term = message.entries, message.prev, message.prev_term
        if prev < log.snapped:  # all up to a snapshot is agreed, so the same
            skip = min(len(entries), log.snapped - prev)
            entries, prev = entries[skip:], prev + skip
            if prev < log.snapped:
                self._answer(sender, True, 0)
                return
            prev_term = log.term_of(prev) or 0
        mine = log.term_of(prev)
        if message.commit > node.commit + BEHIND:
            self._behind = True
        if mine != prev_term:
            self._answer(sender, False, log.last if mine is None else self._before(prev, mine))
            return
        place = log.conflict(entries)
        fresh = entries[place:]
        if fresh and fresh[0].index <= node.commit:
            node.count("append behind what is agreed")
            return
        if fresh and node.full:
            node.count(node.full)
            self._answer(sender, True, 0)
            return
        if fresh:
            node.append(fresh)
            node.settle()
        self._same = max(self._same, prev + len(entries))
        node.commit = max(node.commit, min(message.commit, self._same))
        if self._behind and node.commit >= message.commit:
            self._behind = False
            node.note(f"caught up {node.commit}")
        self._answer(sender, True, 0)

    def _before(self, index: int, term: int) -> int:
        """The last index before those of that epoch: none of them can be the leader's."""
        log = self._node.log
        least = max(log.snapped, self._node.commit)
        while index > least and log.term_of(index) == term:
            index -= 1
        return index

    def _answer(self, leader: str, ok: bool, hint: int) -> None:
        node = self._node
        if not node.ballot_stored:
            return
        match = min(self._same, node.log.stored)
        node.tell(leader, messages.Ack(node.term, ok, match, self._same if ok else hint, self._round, node.birth))

    def stored(self) -> None:
        node = self._node
        if node.leader is not None and not node.leads and self._epoch == node.term:
            self._answer(node.leader, True, 0)

    def on_chunk(self, sender: str, message: messages.Chunk) -> None:
        node = self._node
        if not self._heard(sender, message.term, message.round):
            return
        if message.index <= node.commit:  # has it: the leader's next append finds where they agree
            self.incoming.drop()
            self._same = max(self._same, node.commit)
            self._answer(sender, True, 0)
            return
        self._behind = True
        wanted, whole = self.incoming.take(message)
        if whole is not None:
            node.install(*whole)
            node.settle()
            self._same = message.index
            self._answer(sender, True, 0)
        elif node.ballot_stored:
            node.tell(sender, messages.ChunkAck(node.term, message.index, wanted, self._round, node.birth))

    # In search of a leader

    def silence(self) -> None:
        """A learner's wait is over."""
        node = self._node
        node.follow(None)
        node.wait_until = NEVER
        self.search_at = node.now

    def search(self) -> None:
        node = self._node
        self.search_at = node.now + node.tuning.learner_ms
        if node.on_disk is None:
            return
        known = sorted((set(node.log.voters.births) or set(node.named)) - {node.name})
        names = [name for name in known if name not in self._dead] or known
        if names:
            self._asked += 1
            node.tell(names[self._asked % len(names)], messages.Follow(node.birth, node.log.last))

    def on_leads(self, message: messages.Leads) -> None:
        node = self._node
        lost = node.role in (Role.LEARNER, Role.PRE) and node.leader is None
        if message.term >= node.term and lost and message.leader != node.name:
            node.tell(message.leader, messages.Follow(node.birth, node.log.last))

"""Elections: how a group is founded, and how a voter that misses its leader comes to lead.

- Founding: only when *all* voters that the settings name are blank does the first of them (by name) found the group:
  its first line names the voters with their births. A disk that was lost can't take part in this twice.
- A voter that heard a leader within election_least_ms, or started within it, answers neither PreVote nor Vote, but
  when the leader itself handed over. That is what the lease rests on (lease.py).
- A yes to Vote leaves only when the ballot is on disk; a candidate counts its own vote from then on.
- Who asks names the birth of the one asked by its own log: a voter too new to have read of its admission answers,
  one on another disk than the log means does not.

Source: Ongaro, Ousterhout (2014), section 5.2, 5.4.1; thesis, 9.6 (pre-vote), 4.2.3 (disruptive members).
"""

from __future__ import annotations

from collections.abc import Callable

from ...store.records import LogEntry
from . import messages
from .log import VOTERS, Voters, pack
from .node import Node
from .states import Cause, Role


class Elections:
    def __init__(self, node: Node, won: Callable[[], None]) -> None:
        self._node, self._won = node, won
        self._yes: set[str] = set()
        self._promise: tuple[int, str] | None = None  # a yes that waits for the disk: epoch, candidate
        self._blanks: dict[str, str] = {}
        self._latest = 0  # epoch of any blank one

    # Founding

    @property
    def founder(self) -> bool:
        node = self._node
        return node.blank and node.on_disk is not None and bool(node.named) and node.name == min(node.named)

    def found(self) -> None:
        """Asks the others, at each heartbeat of one in search."""
        node = self._node
        for name in node.named:
            if name != node.name:
                node.tell(name, messages.Found(node.named))
        self._found()

    def on_found(self, sender: str, message: messages.Found) -> None:
        node = self._node
        if set(message.voters) != set(node.named):
            node.count("found: other voters named")
        elif node.blank and node.on_disk is not None and not node.ill:
            node.tell(sender, messages.Blank(node.named, node.birth, node.term))

    def on_blank(self, sender: str, message: messages.Blank) -> None:
        if self.founder and set(message.voters) == set(self._node.named):
            self._blanks[sender] = message.birth
            self._latest = max(self._latest, message.term)
            self._found()

    def _found(self) -> None:
        node = self._node
        births = {name: self._blanks.get(name, "") for name in node.named}
        births[node.name] = node.birth
        if self.founder and not node.ill and all(births.values()):
            node.cast(max(self._latest, node.term) + 1, node.name)
            node.append((LogEntry(1, node.term, VOTERS, pack(Voters(births))),))
            node.become(Cause.FOUNDS)
            self._won()

    # Standing

    def silence(self) -> None:
        """The wait is over."""
        node = self._node
        node.wait()
        if node.role is Role.LEADER or not node.standing or node.ill or node.on_disk is None:
            return
        node.become(Cause.SILENCE)
        node.follow(None)
        self._yes = {node.name}
        self._ask(pre=True)
        self._pre_count()

    def told(self, term: int) -> None:
        node = self._node
        if term == node.term and node.role is Role.FOLLOWER and node.standing and not node.ill:
            node.become(Cause.TOLD)
            self._stand(handed=True)

    def _stand(self, handed: bool) -> None:
        node = self._node
        node.cast(node.term + 1, node.name)
        node.follow(None)
        node.wait()
        self._yes = set()
        self._ask(pre=False, handed=handed)

    def _ask(self, pre: bool, handed: bool = False) -> None:
        node = self._node
        log = node.log
        for name, birth in log.voters.births.items():
            if name == node.name:
                continue
            if pre:
                node.tell(name, messages.PreVote(node.term + 1, log.last, log.last_term, birth))
            else:
                node.tell(name, messages.Vote(node.term, log.last, log.last_term, birth, handed))

    def _pre_count(self) -> None:
        node = self._node
        if node.role is Role.PRE and len(self._yes & node.log.voters.births.keys()) >= node.log.voters.quorum:
            node.become(Cause.WOULD)
            self._stand(handed=False)

    def _count(self) -> None:
        node = self._node
        if node.role is Role.CANDIDATE and len(self._yes & node.log.voters.births.keys()) >= node.log.voters.quorum:
            node.become(Cause.ELECTED)
            self._won()

    # Answering

    def _able(self, message: messages.PreVote | messages.Vote) -> bool:
        """Whether this disk is the one meant, works, and lacks nothing that the asker has not."""
        node = self._node
        log = node.log
        return (
            message.birth == node.birth
            and not node.ill
            and node.on_disk is not None
            and (message.last_term, message.last) >= (log.last_term, log.last)
        )

    def _led(self) -> bool:
        node = self._node
        return node.leads or node.now - node.heard_at < node.tuning.election_least_ms

    def on_pre(self, sender: str, message: messages.PreVote) -> None:
        node = self._node
        yes = message.term > node.term and not self._led() and self._able(message)
        node.tell(sender, messages.PreVoted(message.term if yes else node.term, yes))
        if not yes and node.leader is not None:  # it may have been removed, and nobody told it
            node.tell(sender, messages.Leads(node.term, node.leader, tuple(node.log.voters.births)))

    def on_vote(self, sender: str, message: messages.Vote) -> None:
        node = self._node
        if message.term < node.term:
            node.tell(sender, messages.Voted(node.term, False))
            return
        if self._led() and not message.handed:
            return
        if message.term > node.term:
            node.adopt(message.term)
        elif node.role is Role.PRE:
            node.become(Cause.EPOCH)
        yes = node.vote in ("", sender) and node.role in (Role.FOLLOWER, Role.LEARNER) and self._able(message)
        if not yes:
            node.tell(sender, messages.Voted(node.term, False))
            return
        if node.vote != sender:
            node.cast(node.term, sender)
        node.wait()
        self._promise = (node.term, sender)
        self.stored()

    def on_prevoted(self, sender: str, message: messages.PreVoted) -> None:
        node = self._node
        if message.term > node.term and not message.yes:
            node.adopt(message.term)
        elif message.yes and message.term == node.term + 1 and node.role is Role.PRE:
            self._yes.add(sender)
            self._pre_count()

    def on_voted(self, sender: str, message: messages.Voted) -> None:
        node = self._node
        if message.term > node.term:
            node.adopt(message.term)
        elif message.yes and message.term == node.term and node.role is Role.CANDIDATE:
            self._yes.add(sender)
            self._count()

    def stored(self) -> None:
        """Something came to disk: what waited for it may leave."""
        node = self._node
        if not node.ballot_stored:
            return
        if self._promise is not None:
            term, candidate = self._promise
            if (term, candidate) == node.on_disk:
                node.tell(candidate, messages.Voted(term, True))
            self._promise = None
        if node.role is Role.CANDIDATE and node.on_disk == (node.term, node.name):
            self._yes.add(node.name)
            self._count()

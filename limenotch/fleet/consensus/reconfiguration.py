"""Voters come and go one at a time, while the log runs.

- A change is one line that adds or removes one voter; no other follows before it is agreed, and none comes before a
  line of the leader's own epoch is agreed (Ongaro's correction of 2015).
- Who is added has first caught up as a learner; a leader that is removed leads until that is agreed, then hands over.
- A voter back on another disk is removed at once if a quorum of the rest was heard lately, and added when it has caught
  up; the line itself says that it returns, so the next leader goes on with it.

Source: thesis, chapter 4.
"""

from __future__ import annotations

from .client_requests import Asker, Asks
from .log import Voters
from .node import NEVER, Node
from .replicate import Leading

NEAR = 16  # entries that a new voter may lack
MOST = 9  # voters: each more costs every promise a further disk


class Changing:
    def __init__(self, node: Node, leading: Leading, asks: Asks) -> None:
        self._node, self._leading, self._asks = node, leading, asks
        self._asked: tuple[Asker, str, str, float] | None = None

    def ask(self, asker: Asker, add: str, remove: str) -> None:
        node = self._node
        births = node.log.voters.births
        why = ""
        if not node.leads:
            self._asks.forward(asker, "change", ident=add, other=remove)
            return
        if self._asked is not None:
            why = "a change is under way"
        elif not add and not remove or add == remove:
            why = "no change"
        elif add and add not in births and len(births) >= MOST:
            why = f"at most {MOST} voters"
        elif remove in births and not add and len(births) == 1:
            why = "the last voter"
        if why:
            self._asks.answer(asker, "refused", why=why)
        else:
            self._asked = (asker, add, remove, node.now + node.tuning.change_ms)

    def lost(self) -> None:
        if self._asked is not None:
            asker, self._asked = self._asked[0], None
            self._asks.answer(asker, "unknown")

    def due(self) -> float:
        return self._asked[3] if self._asked is not None else NEVER

    def advance(self) -> None:
        node, leading = self._node, self._leading
        voters = node.log.voters
        if not node.leads or not leading.sure or node.log.voters_at > node.commit:
            return
        if not node.standing:
            if self._asked is not None and self._asked[1] in ("", *voters.births):
                self._asks.answer(self._asked[0], "promised", node.log.voters_at)
                self._asked = None
            leading.hand_over()
        elif self._asked is not None:
            self._step(voters, *self._asked)
        else:
            self._returns(voters)

    def _step(self, voters: Voters, asker: Asker, add: str, remove: str, until: float) -> None:
        node, leading = self._node, self._leading
        if add and add not in voters.births:
            if self._near(add):
                leading.change(voters.plus(add, leading.peers[add].birth or ""))
            elif node.now >= until:
                self._asked = None
                self._asks.answer(asker, "refused", why=f"{add} did not catch up")
        elif remove in voters.births:
            leading.change(voters.without(remove, returns=False))
        else:
            self._asked = None
            self._asks.answer(asker, "promised", node.log.voters_at)

    def _returns(self, voters: Voters) -> None:
        leading = self._leading
        for name, birth in voters.births.items():
            peer = leading.peers.get(name)
            if peer is not None and peer.birth not in (None, birth) and self._quorum_without(voters, name):
                leading.change(voters.without(name, returns=True))
                return
        for name in voters.returning:
            if name not in voters.births and len(voters.births) < MOST and self._near(name):
                leading.change(voters.plus(name, leading.peers[name].birth or ""))
                return

    def _quorum_without(self, voters: Voters, gone: str) -> bool:
        node, leading = self._node, self._leading
        heard = sum(
            1
            for name, birth in voters.births.items()
            if name != gone
            and (
                name == node.name
                or leading.peers[name].birth == birth
                and node.now - leading.peers[name].heard_at < node.tuning.election_most_ms
            )
        )
        return heard >= (len(voters.births) - 1) // 2 + 1

    def _near(self, name: str) -> bool:
        peer = self._leading.peers.get(name)
        return peer is not None and peer.birth is not None and peer.match + NEAR >= self._node.commit > 0

"""Faults planted into the log by hand, one at a time, each such as a program has had: the checker must find them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from limenotch.fleet.consensus import elections, lease, node, replicate
from limenotch.fleet.consensus.log import Log, pack
from limenotch.store.records import TermVote

Plant = Callable[[pytest.MonkeyPatch], None]


def vote_not_persisted(patch: pytest.MonkeyPatch) -> None:
    def cast(self: node.Node, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self.on_disk = (term, vote)
        self._store(TermVote(term, f"?{self.birth}"))

    patch.setattr(node.Node, "cast", cast)


def acked_before_stored(patch: pytest.MonkeyPatch) -> None:
    real = Log.append

    def append(self: Log, entries: Any) -> None:
        real(self, entries)
        self.stored = self.last

    patch.setattr(Log, "append", append)


def old_epoch_counted(patch: pytest.MonkeyPatch) -> None:
    def count(self: replicate.Leading) -> None:
        self._node.commit = max(self._node.commit, self.majority())

    patch.setattr(replicate.Leading, "count", count)


def lease_over_a_pause(patch: pytest.MonkeyPatch) -> None:
    def holds(self: lease.Lease, now: float, voters: Any) -> bool:
        return not self.void and self.quorum_round(voters) > 0

    patch.setattr(lease.Lease, "holds", holds)
    patch.setattr(replicate.Leading, "look", lambda self: None)


def not_cut_on_conflict(patch: pytest.MonkeyPatch) -> None:
    def conflict(self: Log, entries: Any) -> int:
        return sum(1 for entry in entries if entry.index <= self.last)

    patch.setattr(Log, "conflict", conflict)


def ids_not_in_snapshot(patch: pytest.MonkeyPatch) -> None:
    real = pack
    patch.setattr(node, "pack", lambda state: real(msgspec.structs.replace(state, ids=[])))


def votes_twice(patch: pytest.MonkeyPatch) -> None:
    real = elections.Elections.on_vote

    def on_vote(self: elections.Elections, sender: str, message: Any) -> None:
        if message.term == self._node.term and self._node.role.value == "follower":
            self._node.vote = ""
        real(self, sender, message)

    patch.setattr(elections.Elections, "on_vote", on_vote)


def shorter_log_elected(patch: pytest.MonkeyPatch) -> None:
    def able(self: elections.Elections, message: Any) -> bool:
        return message.birth == self._node.birth and not self._node.ill

    patch.setattr(elections.Elections, "_able", able)


def wiped_disk_counts(patch: pytest.MonkeyPatch) -> None:
    """A voter back on an empty disk is what it was."""
    real = node.Node.__init__

    def init(self: node.Node, name: str, named: Any, held: Any, tuning: Any, seed: int) -> None:
        real(self, name, named, held, tuning, seed)
        if self.newborn:
            self.birth = f"{name}0"

    patch.setattr(node.Node, "__init__", init)


def read_of_a_new_leader(patch: pytest.MonkeyPatch) -> None:
    """Reads before anything of its own epoch is agreed."""
    patch.setattr(replicate.Leading, "sure", property(lambda self: True))


def retried_twice(patch: pytest.MonkeyPatch) -> None:
    """An id on its way, and one agreed, are forgotten."""

    def apply(self: node.Node) -> Any:
        self.ids.clear()
        return real(self)

    real = node.Node.apply
    patch.setattr(node.Node, "apply", apply)


def goes_on_with_full_disk(patch: pytest.MonkeyPatch) -> None:
    """A failed write is taken for done."""
    patch.setattr(node.Node, "failed", lambda self, ticket, why: self.stored(ticket))


PLANTED: dict[str, Plant] = {
    plant.__name__: plant
    for plant in (
        vote_not_persisted,
        acked_before_stored,
        old_epoch_counted,
        lease_over_a_pause,
        not_cut_on_conflict,
        ids_not_in_snapshot,
        votes_twice,
        shorter_log_elected,
        wiped_disk_counts,
        read_of_a_new_leader,
        retried_twice,
        goes_on_with_full_disk,
    )
}

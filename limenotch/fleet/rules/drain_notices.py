"""Drains and departures that peers tell of: they act when heard, and end only by who may know better.

Each peer's word is its own directory's; it is not passed on, so it has one teller and can be taken back by it.

    a drain told by P stands until       | because
    P, in the same process, takes it back | its directory names the provider ready again
    own index reaches the drain's        | the same directory, in the same of its runs, has told all up to there
    a whole list of the same directory   | what it says is younger than what P had heard before
      was asked for after the drain was heard
    own directory names it ready later,  | nobody is there to take it back: P is dead, left, begun anew, or its own
      while nobody vouches for it        | directory is silent

An index counts within one directory and one of its runs. A whole list with a lower index than the one before is a new
run; of drains heard before that, no index is compared any more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .endpoint_list_messages import READY, STAGES, Word

MOST_TELLERS = 8  # of one provider that are told apart; a ninth adds nothing
ENOUGH = 3  # tellers of the same directory: who has heard of so many does not tell it again
_NO_INDEX = -1


@dataclass(slots=True)
class Claim:
    stage: str
    begun: int  # of its teller's process
    directory: str
    index: int  # _NO_INDEX: of a run that is over
    at: float  # heard last


@dataclass(slots=True)
class Peer:
    state: str = "absent"
    process_epoch: int = 0  # as membership has it: another one after a fence, too
    begun: int = 0  # differs between two processes of its name
    serial: int = -1  # the latest word's, of that process
    live: bool = False  # its directory answers, by its own word


class Drains:
    """What each peer said. At most `most` providers."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.peers: dict[str, Peer] = {}
        self.claims: dict[str, dict[str, Claim]] = {}  # provider, teller
        self.counts: dict[str, int] = {}

    def stages(self) -> dict[str, str]:
        """What restricts here."""
        return {
            name: max((claim.stage for claim in told.values()), key=STAGES.index) for name, told in self.claims.items()
        }

    def told_enough(self, name: str, directory: str, stage: str) -> bool:
        told = self.claims.get(name, {})
        return (
            sum(
                claim.directory == directory and STAGES.index(claim.stage) >= STAGES.index(stage)
                for claim in told.values()
            )
            >= ENOUGH
        )

    def member(self, name: str, state: str, process_epoch: int) -> bool:
        """Whether somebody is there who was not."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= self._most:
                return False
            peer = self.peers[name] = Peer()
        new = state in ("alive", "suspect") and (
            peer.state not in ("alive", "suspect") or peer.process_epoch != process_epoch
        )
        if peer.process_epoch != process_epoch:
            peer.live = False  # until it says so: it may have begun anew
        peer.state, peer.process_epoch = state, process_epoch
        return new

    def vouched(self, teller: str, claim: Claim) -> bool:
        """Whether its teller is there to take it back, and hears its directory."""
        peer = self.peers.get(teller)
        return peer is not None and peer.state in ("alive", "suspect") and peer.begun == claim.begun and peer.live

    def heard(self, now: float, teller: str, word: Word, own: Callable[[str], str] = lambda name: READY) -> None:
        """`own`: a provider's stage by one's own directory, as far as that has told more than this word."""
        peer = self.peers.get(teller)
        if peer is None:
            self._count("word of nobody")  # it is asked for all when membership tells of it
            return
        if word.begun != peer.begun:
            peer.begun, peer.serial = word.begun, -1
        if word.serial < peer.serial:
            self._count("old word")
            return
        if word.whole:
            # What a process of its name before it restricted it knows nothing of: that is not taken back.
            for name in [
                name for name, told in self.claims.items() if teller in told and told[teller].begun == word.begun
            ]:
                self._end(name, teller)
        peer.serial, peer.live = word.serial, word.live
        for name, stage in word.names:
            if stage not in STAGES or not name:
                self._count("bad drain")
            elif stage == READY:
                self._end(name, teller)
            elif STAGES.index(own(name)) >= STAGES.index(stage):
                self._end(name, teller)  # it restricts already
            elif name not in self.claims and len(self.claims) >= self._most:
                self._count("too many drains")
            else:
                told = self.claims.setdefault(name, {})
                if teller in told or len(told) < MOST_TELLERS:
                    told[teller] = Claim(stage, word.begun, word.directory, word.index, now)

    def restarted(self, directory: str) -> None:
        """One's own began a new run."""
        for told in self.claims.values():
            for claim in told.values():
                if claim.directory == directory:
                    claim.index = _NO_INDEX

    def listed(self, directory: str, index: int, ready: set[str], asked: float) -> None:
        """One's own told all up to `index`, and these as ready just now. `asked`: when for a whole list; else -inf."""
        for name in list(self.claims):
            for teller, claim in list(self.claims[name].items()):
                ends = name in ready and not self.vouched(teller, claim)
                if claim.directory == directory:
                    ends = ends and claim.index == _NO_INDEX or _NO_INDEX != claim.index <= index or claim.at < asked
                if ends:
                    self._end(name, teller)

    def _end(self, name: str, teller: str) -> None:
        told = self.claims.get(name)
        if told is not None and told.pop(teller, None) is not None and not told:
            del self.claims[name]

    def _count(self, why: str) -> None:
        self.counts[why] = self.counts.get(why, 0) + 1

"""Drains and departures of endpoints that peers report: each applies at once, until better information ends it.

Each peer reports its own directory's state. Notices are not passed on, so each claim has one reporter, which can take
it back.

    a drain reported by P applies until    | because
    P, in the same process, takes it back  | its directory lists the endpoint as ready again
    the index of the own directory reaches | the same directory, in the same run, has reported all changes up to there
      that of the drain
    a complete list of the same directory  | what it says is newer than what P had received before
      arrives that was requested after the drain was received
    the own directory lists it as ready    | nobody is left to take it back: P is dead, has left or restarted, or its
      later, while P does not vouch for it | own directory is silent

An index is valid within one directory and one run of it. A complete list with a lower index than the one before belongs
to a new run; for drains received before that, indexes are no longer compared.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .endpoint_list_messages import READY, STAGES, StageNotice

MAX_REPORTERS = 8  # of one endpoint that are kept apart; a ninth adds nothing
SUFFICIENT_REPORTERS = 3  # a sidecar that has received a drain from so many with the same directory does not report it
_NO_INDEX = -1


@dataclass(slots=True)
class DrainClaim:
    """What one reporter said of one endpoint."""

    stage: str
    process_epoch: int  # of its reporter
    directory: str
    index: int  # _NO_INDEX: of a run that is over
    received_at_ms: float  # by the latest notice


@dataclass(slots=True)
class Peer:
    """A member that may report drains."""

    state: str = "absent"
    process_epoch: int = 0  # as membership reports it: a fence changes it, too
    notice_epoch: int = 0  # of the process that sent the latest notice
    serial: int = -1  # of that process's latest notice
    directory_live: bool = False  # whether its directory answers, by its own report


class PeerDrains:
    """What each peer reported, of at most `max_endpoints` endpoints."""

    def __init__(self, max_endpoints: int) -> None:
        self._max_endpoints = max_endpoints
        self.peers: dict[str, Peer] = {}
        self.claims: dict[str, dict[str, DrainClaim]] = {}  # by endpoint and reporter
        self.counts: dict[str, int] = {}

    def restrictions(self) -> dict[str, str]:
        """The most restrictive stage reported of each endpoint."""
        return {
            name: max((claim.stage for claim in reporters.values()), key=STAGES.index)
            for name, reporters in self.claims.items()
        }

    def is_widely_reported(self, name: str, directory: str, stage: str) -> bool:
        """Whether enough peers reported this stage, or a more restrictive one, from this directory."""
        reporters = self.claims.get(name, {})
        return (
            sum(
                claim.directory == directory and STAGES.index(claim.stage) >= STAGES.index(stage)
                for claim in reporters.values()
            )
            >= SUFFICIENT_REPORTERS
        )

    def member_changed(self, name: str, state: str, process_epoch: int) -> bool:
        """Whether a member is reachable that was not, or in another process."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= self._max_endpoints:
                return False
            peer = self.peers[name] = Peer()
        is_new = state in ("alive", "suspect") and (
            peer.state not in ("alive", "suspect") or peer.process_epoch != process_epoch
        )
        if peer.process_epoch != process_epoch:
            peer.directory_live = False  # until it reports otherwise: it may have restarted
        peer.state, peer.process_epoch = state, process_epoch
        return is_new

    def is_vouched_for(self, reporter: str, claim: DrainClaim) -> bool:
        """Whether the reporter is still there to take the claim back, and receives from its directory."""
        peer = self.peers.get(reporter)
        return (
            peer is not None
            and peer.state in ("alive", "suspect")
            and peer.notice_epoch == claim.process_epoch
            and peer.directory_live
        )

    def notice_received(
        self, now: float, reporter: str, notice: StageNotice, own_stage: Callable[[str], str] = lambda name: READY
    ) -> None:
        """Apply a peer's notice.

        `own_stage`: an endpoint's stage by this sidecar's own directory, if that has reported more than this notice.
        """
        peer = self.peers.get(reporter)
        if peer is None:
            self._count("word of nobody")  # it is sent a NoticeRequest when membership reports it
            return
        if notice.process_epoch != peer.notice_epoch:
            peer.notice_epoch, peer.serial = notice.process_epoch, -1
        if notice.serial < peer.serial:
            self._count("old word")
            return
        if notice.complete:
            # A claim of an earlier process of that name is not taken back: this process knows nothing of it.
            for name in [
                name
                for name, reporters in self.claims.items()
                if reporter in reporters and reporters[reporter].process_epoch == notice.process_epoch
            ]:
                self._end_claim(name, reporter)
        peer.serial, peer.directory_live = notice.serial, notice.live
        for name, stage in notice.stages:
            if stage not in STAGES or not name:
                self._count("bad drain")
            elif stage == READY:
                self._end_claim(name, reporter)
            elif STAGES.index(own_stage(name)) >= STAGES.index(stage):
                self._end_claim(name, reporter)  # the own directory restricts as much already
            elif name not in self.claims and len(self.claims) >= self._max_endpoints:
                self._count("too many drains")
            else:
                reporters = self.claims.setdefault(name, {})
                if reporter in reporters or len(reporters) < MAX_REPORTERS:
                    reporters[reporter] = DrainClaim(stage, notice.process_epoch, notice.directory, notice.index, now)

    def directory_restarted(self, directory: str) -> None:
        """This sidecar's own directory began a new run."""
        for reporters in self.claims.values():
            for claim in reporters.values():
                if claim.directory == directory:
                    claim.index = _NO_INDEX

    def list_received(self, directory: str, index: int, ready: set[str], requested_at_ms: float) -> None:
        """The own directory has reported all changes up to `index`, and these endpoints as ready just now.

        `requested_at_ms`: when it was requested, if it is a complete list; else -inf.
        """
        for name in list(self.claims):
            for reporter, claim in list(self.claims[name].items()):
                ends = name in ready and not self.is_vouched_for(reporter, claim)
                if claim.directory == directory:
                    ends = (
                        ends
                        and claim.index == _NO_INDEX
                        or _NO_INDEX != claim.index <= index
                        or claim.received_at_ms < requested_at_ms
                    )
                if ends:
                    self._end_claim(name, reporter)

    def _end_claim(self, name: str, reporter: str) -> None:
        reporters = self.claims.get(name)
        if reporters is not None and reporters.pop(reporter, None) is not None and not reporters:
            del self.claims[name]

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

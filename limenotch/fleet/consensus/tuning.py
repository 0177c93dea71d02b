"""Settings of the log. Times in ms of a member's own monotonic clock; ranges are checked when a value is made.

`drift`: the bound on how much the rate of each clock differs from true time, as a fraction. The lease of a leader is
shorter, by that bound on both sides, than the time in which its voters elect no other leader (lease.py).
"""

from __future__ import annotations

from msgspec import Struct

RANGES: dict[str, tuple[float, float]] = {
    "heartbeat_ms": (10, 10_000),
    "election_least_ms": (50, 60_000),
    "election_most_ms": (60, 120_000),
    "drift": (0, 0.2),
    "learner_ms": (50, 60_000),
    "learner_batch_ms": (1, 10_000),
    "retry_ms": (10, 60_000),
    "ask_ms": (100, 120_000),
    "change_ms": (1000, 3_600_000),
    "most_entry_bytes": (64, 16 << 20),
    "most_batch_bytes": (1024, 16 << 20),
    "most_batch_entries": (1, 100_000),
    "most_flight": (1, 1024),
    "most_flight_bytes": (1024, 64 << 20),
    "most_pending": (1, 100_000),
    "most_log_entries": (16, 10_000_000),
    "most_log_bytes": (4096, 1 << 30),
    "most_ids": (0, 1_000_000),
    "most_learners": (0, 10_000),
    "snapshot_entries": (4, 1_000_000),
    "snapshot_bytes": (1024, 1 << 30),
    "tail_entries": (0, 1_000_000),
    "most_snapshot_bytes": (1024, 1 << 30),
    "chunk_bytes": (64, 1 << 20),
    "snapshot_bytes_per_s": (1024, 1 << 30),
    "most_transfers": (1, 64),
}


class Tuning(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings. Raises ValueError naming the setting that is out of range."""

    heartbeat_ms: float = 150.0  # from a leader to its voters
    election_least_ms: float = 600.0  # no voter elects another leader before the leader was silent this long
    election_most_ms: float = 1200.0  # each election timeout is drawn between the two
    drift: float = 0.02
    learner_ms: float = 1000.0  # between heartbeats to a learner, and between its queries for the leader
    learner_batch_ms: float = 50.0  # at least so long between two batches of committed entries to learners
    retry_ms: float = 500.0  # until the write to a failed disk is retried
    ask_ms: float = 5000.0  # time limit of a forwarded request and of a read
    change_ms: float = 60_000.0  # time limit for a new voter to catch up
    most_entry_bytes: int = 256 << 10
    most_batch_bytes: int = 256 << 10  # of one message
    most_batch_entries: int = 512
    most_flight: int = 16  # messages with entries to one member that have no response yet
    most_flight_bytes: int = 1 << 20
    most_pending: int = 1000  # of each: pending proposals, reads, forwarded requests
    most_log_entries: int = 100_000  # in memory; beyond it proposals are refused and appends not taken
    most_log_bytes: int = 64 << 20
    most_ids: int = 10_000  # ids of the latest proposals, by which a repeated proposal is recognized
    most_learners: int = 1000
    snapshot_entries: int = 10_000  # entries after which a snapshot is requested
    snapshot_bytes: int = 8 << 20
    tail_entries: int = 1000  # kept in memory before a snapshot's index, for members slightly behind
    most_snapshot_bytes: int = 64 << 20
    chunk_bytes: int = 64 << 10
    snapshot_bytes_per_s: int = 8 << 20  # of one leader, to all members together
    most_transfers: int = 2  # snapshot transfers at the same time

    def __post_init__(self) -> None:
        """Raises ValueError naming the setting."""
        for name, (minimum, maximum) in RANGES.items():
            value = getattr(self, name)
            if not minimum <= value <= maximum:
                raise ValueError(f"{name}: {value} is not within {minimum:g} to {maximum:g}")
        if self.election_least_ms < 2 * self.heartbeat_ms:
            raise ValueError("election_least_ms: less than two of heartbeat_ms")
        if self.election_most_ms < 1.2 * self.election_least_ms:
            raise ValueError(
                "election_most_ms: less than 1.2 times election_least_ms; voters would start elections at the same time"
            )
        if self.chunk_bytes > self.snapshot_bytes_per_s:
            raise ValueError("chunk_bytes: more than a second's snapshot_bytes_per_s")

    @property
    def lease_ms(self) -> float:
        """By the leader's clock; ends before `election_least_ms` by any voter's clock within the bound on drift."""
        return self.election_least_ms * (1 - self.drift) / (1 + self.drift)

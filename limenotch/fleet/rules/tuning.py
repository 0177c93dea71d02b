"""Settings of the rules. Times are in ms of a sidecar's own monotonic clock; ranges are checked on construction."""

from __future__ import annotations

from msgspec import Struct

from .canary import Tuning as CanaryTuning

RANGES: dict[str, tuple[float, float]] = {
    "lease_ms": (30, 600_000),
    "drift": (0, 0.2),
    "grace_ms": (0, 60_000),
    "check_ms": (10, 60_000),
    "ask_ms": (50, 120_000),
    "most_document_bytes": (256, 1 << 20),
    "most_versions": (4, 1000),
    "most_asks": (1, 1000),
    "most_bans": (1, 100_000),
    "most_holders": (1, 10_000),
}
WITHOUT_LEASE_MODES = ("narrow", "refuse")


class Tuning(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings under `[fleet.rules]`."""

    lease_ms: float = 3000.0
    drift: float = 0.02  # by which share one sidecar's clock may run faster than another's
    grace_ms: float = 250.0  # from the check of a request to its last sending: requests in flight when a lease ends
    without_lease: str = "narrow"
    check_ms: float = 1000.0  # reachable voters have this long to check a change
    ask_ms: float = 10_000.0  # after which an operator's change whose outcome is not known is answered `unknown`
    most_document_bytes: int = 128 << 10
    most_versions: int = 32  # of those retained for restoring and of those not yet active: each
    most_asks: int = 64
    most_bans: int = 1000  # ejections that no version contains yet
    most_holders: int = 1000
    canary: CanaryTuning = CanaryTuning()

    def __post_init__(self) -> None:
        """Raises ValueError naming the setting."""
        for name, (low, high) in RANGES.items():
            value = getattr(self, name)
            if not low <= value <= high:
                raise ValueError(f"{name}: {value} is not within {low:g} to {high:g}")
        if self.without_lease not in WITHOUT_LEASE_MODES:
            raise ValueError(f"without_lease: {self.without_lease!r} is none of {', '.join(WITHOUT_LEASE_MODES)}")

    @property
    def max_lease_ms(self) -> float:
        """How long the holder of a lease may use it, at most, by the clock of its granter."""
        return self.lease_ms * (1 + self.drift)

    @property
    def contradiction_ms(self) -> float:
        """From the agreement on a version until no sidecar uses what it forbids."""
        return self.max_lease_ms + self.grace_ms

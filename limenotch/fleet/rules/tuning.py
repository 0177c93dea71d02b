"""Settings of the rules. Times in ms of a sidecar's own monotonic clock; every range is checked when one is made."""

from __future__ import annotations

from msgspec import Struct

from .canary import Tuning as Canary

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
WITHOUT = ("narrow", "refuse")


class Tuning(Struct, frozen=True, forbid_unknown_fields=True):
    lease_ms: float = 3000.0
    drift: float = 0.02  # how much faster one sidecar's clock may run than another's, as a share
    grace_ms: float = 250.0  # from the check of a call to its last sending: what is under way when a lease ends
    without_lease: str = "narrow"
    check_ms: float = 1000.0  # voters in reach have this long to look at a change
    ask_ms: float = 10_000.0  # an operator's change without a word of its end is answered `unknown`
    most_document_bytes: int = 128 << 10
    most_versions: int = 32  # kept to go back to, and waiting to be active: each
    most_asks: int = 64
    most_bans: int = 1000  # told, and not in a version yet
    most_holders: int = 1000
    canary: Canary = Canary()

    def __post_init__(self) -> None:
        """Raises ValueError naming the setting."""
        for name, (least, most) in RANGES.items():
            value = getattr(self, name)
            if not least <= value <= most:
                raise ValueError(f"{name}: {value} is not within {least:g} to {most:g}")
        if self.without_lease not in WITHOUT:
            raise ValueError(f"without_lease: {self.without_lease!r} is none of {', '.join(WITHOUT)}")

    @property
    def held_ms(self) -> float:
        """How long a lease may be held yet, by the clock of whoever granted it."""
        return self.lease_ms * (1 + self.drift)

    @property
    def contradiction_ms(self) -> float:
        """From a version's agreement until no sidecar acts on what it forbids."""
        return self.held_ms + self.grace_ms

"""Token bucket for a tenant's quota."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class QuotaBucket:
    """Requests that a tenant may still send within its quota."""

    saved: float  # requests
    updated_at: float = 0.0  # ms

    def take_request(self, now: float, per_ms: float, capacity: float) -> bool:
        """Refill at `per_ms` up to `capacity`, then take one request; return whether there was one."""
        saved = min(self.saved + (now - self.updated_at) * per_ms, capacity)
        self.saved = max(saved - 1, min(saved, 0.0))
        self.updated_at = now
        return saved >= 1

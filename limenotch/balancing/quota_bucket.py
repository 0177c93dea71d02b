"""Token bucket for a tenant's quota."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class QuotaBucket:
    """Token bucket of one tenant, with one token for each request within its quota."""

    tokens: float  # requests that may be sent now
    updated_at: float = 0.0  # time to which `tokens` is filled, in ms

    def take_request(self, now: float, per_ms: float, capacity: float) -> bool:
        """Refill at `per_ms` up to `capacity`, take one token, and return whether there was one."""
        tokens = min(self.tokens + (now - self.updated_at) * per_ms, capacity)
        self.tokens = max(tokens - 1, min(tokens, 0.0))
        self.updated_at = now
        return tokens >= 1

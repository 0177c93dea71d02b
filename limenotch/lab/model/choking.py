"""When a provider chokes: too many jobs runnable for too long, until it has had rest or enough time has passed."""

from __future__ import annotations

from math import inf

from .jobs import EPSILON
from .provider_spec import ProviderSpec


class Choking:
    """Told of the runnable jobs after each change; times that never run back."""

    def __init__(self, spec: ProviderSpec) -> None:
        self.choked = False
        self._spec = spec
        self._over_since = inf  # since when there have been too many jobs, while it is not choked
        self._rest_since = inf  # since when there have been few, while it is
        self._choked_at = inf

    def due(self) -> float:
        """When to look again though nothing changes; inf if never."""
        spec = self._spec
        if self.choked:
            return min(self._choked_at + spec.choke_most_ms, self._rest_since + spec.choke_rest_ms)
        return self._over_since + spec.choke_over_ms

    def look(self, now: float, runnable: int) -> None:
        """With so many jobs runnable from now on."""
        spec = self._spec
        if not self.choked:
            if runnable <= spec.choke_at * spec.cores:
                self._over_since = inf
            elif self._over_since == inf:
                self._over_since = now
            elif now - self._over_since >= spec.choke_over_ms - EPSILON:
                self.choked = True
                self._choked_at = now
                self._over_since = inf
        if self.choked:
            if runnable >= spec.choke_below * spec.cores:
                self._rest_since = inf
            elif self._rest_since == inf:
                self._rest_since = now
            rested = now - self._rest_since >= spec.choke_rest_ms - EPSILON
            if rested or now - self._choked_at >= spec.choke_most_ms - EPSILON:
                self.choked = False
                self._choked_at = self._rest_since = inf

"""Choking: a provider is slowed down after too many jobs were runnable for too long, until it has recovered."""

from __future__ import annotations

from math import inf

from .jobs import EPSILON
from .provider_spec import ProviderSpec


class Choking:
    """Whether a provider is choked. Gets the number of runnable jobs after each change; times must not decrease."""

    def __init__(self, spec: ProviderSpec) -> None:
        self.choked = False
        self._spec = spec
        self._overloaded_since_ms = inf  # while it is not choked
        self._recovering_since_ms = inf  # while it is choked: since when few jobs have been runnable
        self._choked_since_ms = inf

    def next_event_ms(self) -> float:
        """The time of the next call of `update` without a change; inf if none is necessary."""
        spec = self._spec
        if self.choked:
            return min(self._choked_since_ms + spec.choke_most_ms, self._recovering_since_ms + spec.choke_rest_ms)
        return self._overloaded_since_ms + spec.choke_over_ms

    def update(self, now: float, runnable: int) -> None:
        """Updates the state with the number of jobs that are runnable from now on."""
        spec = self._spec
        if not self.choked:
            if runnable <= spec.choke_at * spec.cores:
                self._overloaded_since_ms = inf
            elif self._overloaded_since_ms == inf:
                self._overloaded_since_ms = now
            elif now - self._overloaded_since_ms >= spec.choke_over_ms - EPSILON:
                self.choked = True
                self._choked_since_ms = now
                self._overloaded_since_ms = inf
        if self.choked:
            if runnable >= spec.choke_below * spec.cores:
                self._recovering_since_ms = inf
            elif self._recovering_since_ms == inf:
                self._recovering_since_ms = now
            recovered = now - self._recovering_since_ms >= spec.choke_rest_ms - EPSILON
            if recovered or now - self._choked_since_ms >= spec.choke_most_ms - EPSILON:
                self.choked = False
                self._choked_since_ms = self._recovering_since_ms = inf

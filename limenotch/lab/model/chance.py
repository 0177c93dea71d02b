"""Random numbers: one NumPy generator for each user of random numbers, derived from the run's seed by name.

Streams are keyed by name and not by the order of their creation, so an additional provider or another policy leaves
all other draws unchanged. This makes runs of two variants comparable seed by seed.
"""

from __future__ import annotations

from zlib import crc32

import numpy as np

BLOCK = 64  # numbers drawn at once: a scalar draw costs ten times its share of a block


class Chance:
    """A stream of random numbers."""

    __slots__ = ("_generator", "_uniform", "_exponential", "_normal")

    def __init__(self, seed: np.random.SeedSequence) -> None:
        self._generator = np.random.Generator(np.random.PCG64(seed))
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """Draws from [0, 1)."""
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return self._uniform.pop()

    def between(self, low: float, high: float) -> float:
        """Draws from [low, high)."""
        return low + (high - low) * self.uniform()

    def exponential(self) -> float:
        """Draws from the exponential distribution with mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(BLOCK).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        """Draws from the standard normal distribution."""
        if not self._normal:
            self._normal = self._generator.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def index(self, count: int) -> int:
        """Draws an integer from 0 to count - 1."""
        return min(int(self.uniform() * count), count - 1)

    def occurs(self, probability: float) -> bool:
        """Whether an event of this probability occurs; a probability of 0 takes no draw."""
        return probability > 0 and self.uniform() < probability

    def permutation(self, count: int) -> list[int]:
        """Draws a permutation of 0 to count - 1."""
        permutation: list[int] = self._generator.permutation(count).tolist()
        return permutation


class Seeds:
    """Creates the streams of one run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, *name: str | int) -> Chance:
        """The stream of this name; a second call with the same name returns a stream from its beginning."""
        key = tuple(part if isinstance(part, int) else crc32(part.encode()) for part in name)
        return Chance(np.random.SeedSequence(entropy=self.seed, spawn_key=key))

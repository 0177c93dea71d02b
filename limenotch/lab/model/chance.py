"""Random numbers: NumPy generators, one for each thing that draws, spawned from the run's seed by name.

Streams are keyed by name and not by the order of their making, so that one more provider or another policy leaves
all other draws as they were. That is what makes runs of two variants comparable seed by seed.
"""

from __future__ import annotations

from zlib import crc32

import numpy as np

BLOCK = 64  # numbers drawn at once: a scalar draw costs ten times its share of a block


class Chance:
    """One stream of draws."""

    __slots__ = ("_generator", "_uniform", "_exponential", "_normal")

    def __init__(self, seed: np.random.SeedSequence) -> None:
        self._generator = np.random.Generator(np.random.PCG64(seed))
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """From [0, 1)."""
        if not self._uniform:
            self._uniform = self._generator.random(BLOCK).tolist()
        return self._uniform.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.uniform()

    def exponential(self) -> float:
        """With mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(BLOCK).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        if not self._normal:
            self._normal = self._generator.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def index(self, count: int) -> int:
        """From 0 to count - 1."""
        return min(int(self.uniform() * count), count - 1)

    def happens(self, chance: float) -> bool:
        return chance > 0 and self.uniform() < chance

    def order(self, count: int) -> list[int]:
        """A permutation of 0 to count - 1."""
        order: list[int] = self._generator.permutation(count).tolist()
        return order


class Seeds:
    """Gives out the streams of one run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, *name: str | int) -> Chance:
        """The stream of this name; asked for twice, it begins anew."""
        key = tuple(part if isinstance(part, int) else crc32(part.encode()) for part in name)
        return Chance(np.random.SeedSequence(entropy=self.seed, spawn_key=key))

"""The network between zones: delays with jitter, and links that are cut.

A cut link is silent: what is sent over it is lost and nobody is told, as with a machine that has vanished.
"""

from __future__ import annotations

from dataclasses import dataclass

from .chance import Chance, Seeds


@dataclass(frozen=True, slots=True)
class NetworkSpec:
    zones: tuple[str, ...] = ("a",)
    same_ms: float = 0.2  # one way
    cross_ms: tuple[float, float] = (5.0, 10.0)  # one way, drawn for each pair
    client_ms: float = 0.5
    jitter: float = 0.1  # mean of what chance adds, as a part of the delay


class Network:
    def __init__(self, spec: NetworkSpec, seeds: Seeds) -> None:
        self.spec = spec
        draw = seeds.stream("network", "pairs")
        count = len(spec.zones)
        self._base = [[spec.same_ms] * count for _ in range(count)]
        for one in range(count):
            for two in range(one):
                self._base[one][two] = self._base[two][one] = draw.between(*spec.cross_ms)
        self._chance: Chance = seeds.stream("network", "jitter")
        self.cut: dict[tuple[int, int], int] = {}  # pairs of zones, and by how many faults

    def base_ms(self, one: int, two: int) -> float:
        """One way, without jitter."""
        return self._base[one][two]

    def delay_ms(self, one: int, two: int) -> float:
        """One way, for one message."""
        return self._base[one][two] * (1.0 + self.spec.jitter * self._chance.exponential())

    def client_delay_ms(self) -> float:
        return self.spec.client_ms * (1.0 + self.spec.jitter * self._chance.exponential())

    def reaches(self, one: int, two: int) -> bool:
        return not self.cut or (one, two) not in self.cut

    def cut_link(self, one: int, two: int, cut: bool) -> None:
        for pair in {(one, two), (two, one)}:
            left = self.cut.get(pair, 0) + (1 if cut else -1)
            if left > 0:
                self.cut[pair] = left
            else:
                self.cut.pop(pair, None)

"""The network between zones: delays with jitter, and links that are cut.

A cut link drops messages silently; the sender gets no error, as if the other machine had vanished.
"""

from __future__ import annotations

from dataclasses import dataclass

from .chance import Chance, Seeds


@dataclass(frozen=True, slots=True)
class NetworkSpec:
    """Delays of the network, in ms."""

    zones: tuple[str, ...] = ("a",)
    same_ms: float = 0.2  # one way
    cross_ms: tuple[float, float] = (5.0, 10.0)  # one way, drawn for each pair
    client_ms: float = 0.5
    jitter: float = 0.1  # mean of the random part, relative to the delay


class Network:
    """Delays and reachability between zones; zones are given by index."""

    def __init__(self, spec: NetworkSpec, seeds: Seeds) -> None:
        self.spec = spec
        draw = seeds.stream("network", "pairs")
        count = len(spec.zones)
        self._base = [[spec.same_ms] * count for _ in range(count)]
        for first_zone in range(count):
            for second_zone in range(first_zone):
                self._base[first_zone][second_zone] = self._base[second_zone][first_zone] = draw.between(*spec.cross_ms)
        self._chance: Chance = seeds.stream("network", "jitter")
        self.cut_links: dict[tuple[int, int], int] = {}  # number of active faults that cut the pair of zones

    def base_ms(self, first_zone: int, second_zone: int) -> float:
        """The one-way delay without jitter."""
        return self._base[first_zone][second_zone]

    def delay_ms(self, first_zone: int, second_zone: int) -> float:
        """Draws the one-way delay of one message."""
        return self._base[first_zone][second_zone] * (1.0 + self.spec.jitter * self._chance.exponential())

    def client_delay_ms(self) -> float:
        """Draws the one-way delay between a client and an entry sidecar."""
        return self.spec.client_ms * (1.0 + self.spec.jitter * self._chance.exponential())

    def is_reachable(self, first_zone: int, second_zone: int) -> bool:
        """Whether no fault cuts the link between the zones."""
        return not self.cut_links or (first_zone, second_zone) not in self.cut_links

    def set_link_cut(self, first_zone: int, second_zone: int, is_cut: bool) -> None:
        """Begins or ends one fault that cuts the link in both directions; such faults may overlap."""
        for pair in {(first_zone, second_zone), (second_zone, first_zone)}:
            remaining = self.cut_links.get(pair, 0) + (1 if is_cut else -1)
            if remaining > 0:
                self.cut_links[pair] = remaining
            else:
                self.cut_links.pop(pair, None)

"""What comes to the door and what is answered in time: rates and sums that entry.py weighs. Rates a ms."""

from __future__ import annotations

from .endpoint_statistics import FadingRate

TRUST = 5.0  # in time for each miss, under which the pace shown falls fast: a lull holds it, a jam not
FADE = 0.7  # of the values of calls that came, at each window's end


class ArrivalRates:
    """Counts only; nothing is decided here."""

    def __init__(self) -> None:
        self.goodput = self.sustained_goodput = (
            0.0  # answers in time: of the last windows, and the most that was shown, fading
        )
        self.arrivals, self.answers = FadingRate(), FadingRate()
        self._served = 0
        self._values: dict[float, float] = {}  # of the calls that came, and how many

    def count_answer(self, now: float) -> None:
        self._served += 1
        self.answers.add(now)

    def end_window(self, span: float, good: float, bad: float) -> None:
        """A window of `span` ms ends; `good` answers in time and `bad` misses, both fading."""
        self.goodput += (self._served / span - self.goodput) * (0.4 if self.goodput else 1.0)
        self.sustained_goodput = max(
            self.goodput, self.sustained_goodput * (0.9 if good >= TRUST * bad else 0.5)
        )
        self._served = 0

    def count_arrival(self, now: float, value: float) -> float:
        """One call more, of this worth for its work; tells the part of all that came that is worth more."""
        self.arrivals.add(now)
        value = float(f"{value:.1g}")
        self._values[value] = self._values.get(value, 0.0) + 1
        return sum(n for v, n in self._values.items() if v > value) / sum(self._values.values())

    def fade_values(self) -> None:
        self._values = {value: part * FADE for value, part in self._values.items() if part > 0.1}

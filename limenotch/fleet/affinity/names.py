"""Providers and members by number, so that a row holds a number. Bounded by rows: what none holds is forgotten."""

from __future__ import annotations

from collections.abc import Mapping

from .messages import Place

MOST_WENT = 10_000  # names of providers that went and are not back
MOST_MEMBERS = 20_000


class Members:
    """Who made values. Never forgotten: a name each, however many lives it had."""

    def __init__(self) -> None:
        self.bytes: list[bytes] = []
        self.names: list[str] = []
        self._numbers: dict[str, int] = {}

    def number(self, name: str) -> int:
        """Raises ValueError beyond MOST_MEMBERS."""
        found = self._numbers.get(name)
        if found is None:
            if len(self.names) >= MOST_MEMBERS:
                raise ValueError("too many names")
            found = self._numbers[name] = len(self.names)
            self.names.append(name)
            self.bytes.append(name.encode())
        return found


class Providers:
    """A provider that went and is back has a new number: what was bound to it before has ended and stays so."""

    def __init__(self) -> None:
        self.places: list[Place] = []
        self.gone: list[bool] = []
        self.there: Mapping[str, tuple[str, str]] = {}
        self._rows: list[int] = []  # how many hold it
        self._numbers: dict[Place, int] = {}
        self._unheld: dict[int, None] = {}  # numbers that may be used again, if still none holds them
        self._went: dict[str, None] = {}

    def number(self, place: Place) -> int:
        found = self._numbers.get(place)
        if found is None:
            found = self._again()
            if found >= 0:
                self.places[found], self.gone[found] = place, place[0] in self._went
            else:
                found = len(self.places)
                self.places.append(place)
                self.gone.append(place[0] in self._went)
                self._rows.append(0)
            self._numbers[place] = found
        return found

    def place(self, provider: str) -> Place:
        """Where it stands by the list; empty cell and zone for one that the list has not."""
        return (provider, *self.there.get(provider, ("", "")))

    def hold(self, number: int) -> None:
        self._rows[number] += 1

    def leave(self, number: int) -> None:
        self._rows[number] -= 1
        if not self._rows[number]:
            self._unheld[number] = None  # a row that is changed leaves it and holds it again

    def _again(self) -> int:
        while self._unheld:
            number, _ = self._unheld.popitem()
            if not self._rows[number]:
                if self._numbers.get(self.places[number]) == number:
                    del self._numbers[self.places[number]]
                return number
        return -1

    def held(self, number: int) -> int:
        return self._rows[number]

    def now(self, there: Mapping[str, tuple[str, str]]) -> list[int]:
        """The whole list. Numbers that have gone by it."""
        was, self.there = self.there, dict(there)
        for name in there:
            if name in self._went:
                del self._went[name]
                for place in [place for place in self._numbers if place[0] == name]:
                    del self._numbers[place]
        went = {name for name, at in was.items() if there.get(name) != at}
        for name in went - there.keys():
            self._went[name] = None
        while len(self._went) > MOST_WENT:
            del self._went[next(iter(self._went))]
        ended = [
            number
            for place, number in self._numbers.items()
            if place[0] in went and not self.gone[number] and there.get(place[0]) != place[1:]
        ]
        for number in ended:
            self.gone[number] = True
        return ended

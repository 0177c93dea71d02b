"""Numbers for endpoints and members, so that a row stores a number. Numbers of endpoints without rows are reused."""

from __future__ import annotations

from collections.abc import Mapping

from .messages import Placement

MAX_REMOVED_NAMES = 10_000  # names of removed endpoints that have not been listed again
MAX_MEMBERS = 20_000


class MemberNumbers:
    """Numbers of the members that wrote values. Never released: one number per name, whatever its process epochs."""

    def __init__(self) -> None:
        self.bytes: list[bytes] = []
        self.names: list[str] = []
        self._numbers: dict[str, int] = {}

    def number(self, name: str) -> int:
        """Raises ValueError beyond MAX_MEMBERS."""
        found = self._numbers.get(name)
        if found is None:
            if len(self.names) >= MAX_MEMBERS:
                raise ValueError("too many member names")
            found = self._numbers[name] = len(self.names)
            self.names.append(name)
            self.bytes.append(name.encode())
        return found


class EndpointNumbers:
    """Numbers of placements. An endpoint that is removed and listed again gets a new number, so that bindings to its
    earlier number stay ended.
    """

    def __init__(self) -> None:
        self.placements: list[Placement] = []
        self.removed: list[bool] = []
        self.listed: Mapping[str, tuple[str, str]] = {}
        self._row_counts: list[int] = []  # by number
        self._numbers: dict[Placement, int] = {}
        self._unused: dict[int, None] = {}  # numbers to reuse, unless a row has acquired them since
        self._removed_names: dict[str, None] = {}

    def number(self, placement: Placement) -> int:
        found = self._numbers.get(placement)
        if found is None:
            found = self._reuse_number()
            if found >= 0:
                self.placements[found], self.removed[found] = placement, placement[0] in self._removed_names
            else:
                found = len(self.placements)
                self.placements.append(placement)
                self.removed.append(placement[0] in self._removed_names)
                self._row_counts.append(0)
            self._numbers[placement] = found
        return found

    def placement(self, endpoint: str) -> Placement:
        """The endpoint with its cell and zone as listed; both are empty for an endpoint that is not listed."""
        return (endpoint, *self.listed.get(endpoint, ("", "")))

    def acquire(self, number: int) -> None:
        self._row_counts[number] += 1

    def release(self, number: int) -> None:
        self._row_counts[number] -= 1
        if not self._row_counts[number]:
            self._unused[number] = None  # a row that changes may release and acquire it again

    def _reuse_number(self) -> int:
        while self._unused:
            number, _ = self._unused.popitem()
            if not self._row_counts[number]:
                if self._numbers.get(self.placements[number]) == number:
                    del self._numbers[self.placements[number]]
                return number
        return -1

    def row_count(self, number: int) -> int:
        return self._row_counts[number]

    def update_listed(self, listed: Mapping[str, tuple[str, str]]) -> list[int]:
        """Sets the complete list of endpoints. Returns the numbers that it removed."""
        before, self.listed = self.listed, dict(listed)
        for name in listed:
            if name in self._removed_names:
                del self._removed_names[name]
                for placement in [placement for placement in self._numbers if placement[0] == name]:
                    del self._numbers[placement]
        changed_names = {name for name, location in before.items() if listed.get(name) != location}
        for name in changed_names - listed.keys():
            self._removed_names[name] = None
        while len(self._removed_names) > MAX_REMOVED_NAMES:
            del self._removed_names[next(iter(self._removed_names))]
        removed_numbers = [
            number
            for placement, number in self._numbers.items()
            if placement[0] in changed_names and not self.removed[number] and listed.get(placement[0]) != placement[1:]
        ]
        for number in removed_numbers:
            self.removed[number] = True
        return removed_numbers

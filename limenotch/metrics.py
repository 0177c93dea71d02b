"""Figures of one process, in statsd's lines. No I/O: counters are told, gauges are handed in when asked for."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Mapping

PREFIX = "lb"
ENDS = ("answered", "deferred", "errored", "departed")  # how a call can end; the last: its consumer had gone
RESERVED = re.compile(r"[^A-Za-z0-9_-]")  # a name must not end its part of the line


class Metrics:
    """The one owner of the counters. All begin at 0 with the process and only rise; a dropped class keeps its own."""

    def __init__(self) -> None:
        self._classes: dict[str, Counter[str]] = {}
        self._counts: Counter[str] = Counter({"taken": 0, "sends": 0, "conf_loaded": 0, "conf_invalid": 0})

    def register_classes(self, classes: Iterable[str]) -> None:
        """Classes in force, which have lines from now on."""
        for name in classes:
            self._of(name)

    def _of(self, class_name: str) -> Counter[str]:
        counter = self._classes.get(class_name)
        if counter is None:
            counter = self._classes[class_name] = Counter(dict.fromkeys((*ENDS, "sends"), 0))
        return counter

    def count_taken(self) -> None:
        """A call was taken."""
        self._counts["taken"] += 1

    def count_ended(self, class_name: str, end: str) -> None:
        """A call ended, as one of ENDS."""
        self._of(class_name)[end] += 1

    def count_sent(self, class_name: str) -> None:
        """The last byte of an attempt was written."""
        self._of(class_name)["sends"] += 1
        self._counts["sends"] += 1

    def count_reload(self, taken: bool) -> None:
        """A configuration was taken, or turned down."""
        self._counts["conf_loaded" if taken else "conf_invalid"] += 1

    def count(self, end: str) -> int:
        """Of all classes, one of ENDS; or a counter of the process."""
        return sum(counter[end] for counter in self._classes.values()) if end in ENDS else self._counts[end]

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """One `name:value|type` a line: c for counters, g for gauges."""
        lines = [
            f"{PREFIX}.transactions.{RESERVED.sub('_', name)}.{what}:{value}|c"
            for name, counter in self._classes.items()
            for what, value in counter.items()
        ]
        lines += [f"{PREFIX}.{what}:{value}|c" for what, value in self._counts.items()]
        lines += [f"{PREFIX}.{what}:{value:g}|g" for what, value in gauges.items()]
        return ("\n".join(lines) + "\n").encode()

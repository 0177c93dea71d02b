"""Metrics of one process, as lines of statsd. No I/O: counters are reported, gauges are passed in when rendering."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType

# All metric names begin with it.
PREFIX = "lb"
# How a request can end; the last: its client had disconnected.
ENDS = ("answered", "deferred", "errored", "departed")
# Characters that would end a metric's name within its line.
RESERVED = re.compile(r"[^A-Za-z0-9_-]")


class Metrics:
    """Owns all counters. They begin at 0 with the process and only rise; a class that is dropped keeps its own."""

    def __init__(self) -> None:
        """All counters at 0, and no classes yet."""
        self._by_class: dict[str, Counter[str]] = {}
        self._process: Counter[str] = Counter({"taken": 0, "sends": 0, "conf_loaded": 0, "conf_invalid": 0})

    def register_classes(self, classes: Iterable[str]) -> None:
        """Traffic classes in force, which have lines from now on."""
        for name in classes:
            self._counters_of(name)

    def _counters_of(self, class_name: str) -> Counter[str]:
        counters = self._by_class.get(class_name)
        if counters is None:
            counters = Counter(dict.fromkeys((*ENDS, "sends"), 0))
            self._by_class[class_name] = counters
        return counters

    def count_taken(self) -> None:
        """A request was accepted."""
        self._process["taken"] += 1

    def count_ended(self, class_name: str, end: str) -> None:
        """A request ended, as one of ENDS."""
        self._counters_of(class_name)[end] += 1

    def count_sent(self, class_name: str) -> None:
        """The last byte of an attempt was written."""
        self._counters_of(class_name)["sends"] += 1
        self._process["sends"] += 1

    def count_reload(self, applied: bool) -> None:
        """A configuration was applied, or rejected."""
        self._process["conf_loaded" if applied else "conf_invalid"] += 1

    def count(self, name: str) -> int:
        """One of ENDS, over all classes; or a counter of the process."""
        if name in ENDS:
            return sum(counters[name] for counters in self._by_class.values())
        return self._process[name]

    def render(self, gauges: Mapping[str, float], counters: Mapping[str, int] = MappingProxyType({})) -> bytes:
        """One `name:value|type` a line: c for counters, g for gauges. `counters`: those that other parts own."""
        lines = [
            f"{PREFIX}.transactions.{RESERVED.sub('_', class_name)}.{name}:{value}|c"
            for class_name, counters in self._by_class.items()
            for name, value in counters.items()
        ]
        lines += [f"{PREFIX}.{name}:{value}|c" for name, value in {**self._process, **counters}.items()]
        lines += [f"{PREFIX}.{name}:{value:g}|g" for name, value in gauges.items()]
        return ("\n".join(lines) + "\n").encode()

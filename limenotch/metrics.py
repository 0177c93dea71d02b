"""Metrics of a process in statsd format. Counters are kept here, and gauges are passed to `render`. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType

# Prefix of all metric names.
PREFIX = "lb"
# How a request can end. "answered": an endpoint's response was returned (to its end if streamed). "deferred": rejected.
# "errored": failed, or its streamed response broke off. "departed": its client disconnected.
REQUEST_ENDINGS = ("answered", "deferred", "errored", "departed")
# Characters of class names that are replaced, since some would end the metric's name within its line.
RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class Metrics:
    """Owns all counters. They start at 0 with the process and never fall; those of a removed class remain."""

    def __init__(self) -> None:
        """Start with all counters at 0, and without classes."""
        self._by_class: dict[str, Counter[str]] = {}
        self._process: Counter[str] = Counter({"taken": 0, "sends": 0, "conf_loaded": 0, "conf_invalid": 0})

    def register_classes(self, classes: Iterable[str]) -> None:
        """Register the current traffic classes, so that their counters are rendered even at 0."""
        for name in classes:
            self._counters_of(name)

    def _counters_of(self, class_name: str) -> Counter[str]:
        counters = self._by_class.get(class_name)
        if counters is None:
            counters = Counter(dict.fromkeys((*REQUEST_ENDINGS, "sends"), 0))
            self._by_class[class_name] = counters
        return counters

    def count_taken(self) -> None:
        """Count a request that was received, even if it is rejected at once for lack of capacity."""
        self._process["taken"] += 1

    def count_ended(self, class_name: str, ending: str) -> None:
        """Count a request that ended with `ending`, one of REQUEST_ENDINGS."""
        self._counters_of(class_name)[ending] += 1

    def count_sent(self, class_name: str) -> None:
        """Count an attempt whose last byte was written."""
        self._counters_of(class_name)["sends"] += 1
        self._process["sends"] += 1

    def count_reload(self, applied: bool) -> None:
        """Count a reload of the configuration that was applied or rejected."""
        self._process["conf_loaded" if applied else "conf_invalid"] += 1

    def count(self, name: str) -> int:
        """The sum over all classes of one of REQUEST_ENDINGS, or a counter of the process."""
        if name in REQUEST_ENDINGS:
            return sum(counters[name] for counters in self._by_class.values())
        return self._process[name]

    def render(self, gauges: Mapping[str, float], counters: Mapping[str, int] = MappingProxyType({})) -> bytes:
        """Render `name:value|type` lines, with type c for counters and g for gauges.

        `counters`: further counters, which other components own.
        """
        lines = [
            f"{PREFIX}.transactions.{RESERVED_CHARACTERS.sub('_', class_name)}.{name}:{value}|c"
            for class_name, counters in self._by_class.items()
            for name, value in counters.items()
        ]
        lines += [f"{PREFIX}.{name}:{value}|c" for name, value in {**self._process, **counters}.items()]
        lines += [f"{PREFIX}.{name}:{value:g}|g" for name, value in gauges.items()]
        return ("\n".join(lines) + "\n").encode()

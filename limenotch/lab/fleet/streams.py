"""Kept connections in simulated time: one each way between two nodes, in order while it lasts.

It opens with the first message and ends with the process at either end; what is in it then is lost and its sender is
not told. Under a cut it is silent and keeps what it is given; after the heal all of that arrives in order, unless the
cut lasted longer than `patience` ms since the first message that waits: then it is given up, with all in it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limenotch.fleet.interfaces import Carrier
from limenotch.lab.fleet.weather import Weather
from limenotch.lab.simulate.kernel import Kernel

MOST_WAITING = 1024  # messages that one stream keeps under a cut; later ones are dropped


class _Stream:
    __slots__ = ("frm", "to", "last", "opened", "waiting")

    def __init__(self, frm: str, to: Any) -> None:
        self.frm = frm
        self.to = to
        self.last = 0.0  # when the latest message given to it arrives
        self.opened = 0  # which connection it is on: what was given to an earlier one does not arrive
        self.waiting: list[Any] = []


class Streams:
    """`arrive(node, heard)` is called in order; `count(why)` for each message dropped. `to` has a `name`."""

    def __init__(
        self,
        kernel: Kernel,
        weather: Weather,
        arrive: Callable[[Any, Any], None],
        count: Callable[[str], None],
        patience: float,
    ) -> None:
        self._kernel = kernel
        self._weather = weather
        self._arrive = arrive
        self._count = count
        self._patience = patience
        self._streams: dict[tuple[str, str], _Stream] = {}
        self._of: dict[str, list[_Stream]] = {}  # by either end

    def send(self, frm: str, to: Any, heard: Any) -> None:
        key = (frm, to.name)
        stream = self._streams.get(key)
        if stream is None:
            stream = self._streams[key] = _Stream(frm, to)
            self._of.setdefault(frm, []).append(stream)
            self._of.setdefault(to.name, []).append(stream)
        if stream.waiting:
            self._keep(stream, heard)
        else:
            self._give(stream, heard)

    def heal(self) -> None:
        for stream in list(self._streams.values()):
            if stream.waiting and not self._weather.is_cut(stream.frm, stream.to.name):
                waiting, stream.waiting = stream.waiting, []
                for heard in waiting:
                    self._give(stream, heard)

    def end(self, name: str, *, in_order: bool = False) -> None:
        """The process of that name has ended, and its connections with it; `in_order`: what it said still arrives."""
        for stream in self._of.get(name, ()):
            if not in_order or stream.frm != name:
                self._break(stream)

    def _give(self, stream: _Stream, heard: Any) -> None:
        now, to = self._kernel.now, stream.to
        fate = self._weather.fate(now, stream.frm, to.name, Carrier.STREAM) if stream.frm != to.name else [0.0]
        if not fate:
            self._kernel.schedule(now + self._patience, self._give_up, stream, stream.opened, heard)
            self._keep(stream, heard)
            return
        stream.last = max(stream.last, now + fate[0])
        self._kernel.schedule(stream.last, self._deliver, stream, stream.opened, heard)

    def _keep(self, stream: _Stream, heard: Any) -> None:
        if len(stream.waiting) < MOST_WAITING:
            stream.waiting.append(heard)
        else:
            self._count("stream full")

    def _deliver(self, stream: _Stream, opened: int, heard: Any) -> None:
        if opened != stream.opened:
            self._count("stream broken")
        else:
            self._arrive(stream.to, heard)

    def _give_up(self, stream: _Stream, opened: int, first: Any) -> None:
        if opened == stream.opened and stream.waiting and stream.waiting[0] is first:
            self._break(stream)

    def _break(self, stream: _Stream) -> None:
        stream.opened += 1
        stream.last = 0.0
        for _ in stream.waiting:
            self._count("stream broken")
        stream.waiting = []

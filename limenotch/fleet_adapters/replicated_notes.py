"""Operators' promises, kept by the log, and the voters' replacement."""

from __future__ import annotations

from typing import Any

from ..fleet.consensus.tuning import Tuning
from ..fleet.replicated_notes import LATE_MS, Answer, Promises
from ..net.admin.log import PREFIX, Promised, refused
from .base import SPARE_S, Among, Layer


class PromisesLayer(Layer):
    name, prefix = "promises", PREFIX

    def __init__(self, among: Among, tuning: Tuning) -> None:
        super().__init__()
        self._promises = Promises()
        self._promised = Promised(among.tell, (tuning.ask_ms + LATE_MS) / 1000.0 + SPARE_S)
        self.hears = {Answer: self._promised.heed}
        self.paths = self._promised.paths

    def part(self, state: bytes | None, index: int) -> Promises:
        self._promises = Promises(state, index)
        return self._promises

    def figures(self) -> dict[str, Any]:
        return {"kept": len(self._promises), "unreadable": self._promises.bad}

    def refuse(self, why: str) -> bytes:
        return refused(why)

"""Operators' promises, kept by the log, and the voters' replacement."""

from __future__ import annotations

from typing import Any

from ..fleet.consensus.tuning import Tuning
from ..fleet.replicated_notes import LATE_MS, OperatorResponse, ReplicatedNotes
from ..net.admin.log import PREFIX, LogQueries, unavailable
from .base import RESPONSE_MARGIN_S, FleetAdapter, NodeContext


class ReplicatedNotesAdapter(FleetAdapter):
    name, prefix = "promises", PREFIX

    def __init__(self, among: NodeContext, tuning: Tuning) -> None:
        super().__init__()
        self._promises = ReplicatedNotes()
        self._promised = LogQueries(among.dispatch, (tuning.ask_ms + LATE_MS) / 1000.0 + RESPONSE_MARGIN_S)
        self.action_handlers = {OperatorResponse: self._promised.handle_answer}
        self.routes = self._promised.paths

    def component(self, state: bytes | None, index: int) -> ReplicatedNotes:
        self._promises = ReplicatedNotes(state, index)
        return self._promises

    def status(self) -> dict[str, Any]:
        return {"kept": len(self._promises), "unreadable": self._promises.bad}

    def unavailable_response(self, why: str) -> bytes:
        return unavailable(why)

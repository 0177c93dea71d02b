"""The adapter of replicated notes, and of the requests to replace voters."""

from __future__ import annotations

from typing import Any

from ..fleet.consensus.tuning import Tuning
from ..fleet.replicated_notes import APPLY_TIMEOUT_MS, OperatorResponse, ReplicatedNotes
from ..net.admin.log import PREFIX, LogQueries, unavailable
from .base import RESPONSE_MARGIN_S, FleetAdapter, NodeContext


class ReplicatedNotesAdapter(FleetAdapter):
    """Connects ReplicatedNotes to the hub and to the operators' addresses."""

    name, prefix = "promises", PREFIX

    def __init__(self, context: NodeContext, tuning: Tuning) -> None:
        super().__init__()
        self._notes = ReplicatedNotes()
        self._queries = LogQueries(context.dispatch, (tuning.ask_ms + APPLY_TIMEOUT_MS) / 1000.0 + RESPONSE_MARGIN_S)
        self.action_handlers = {OperatorResponse: self._queries.handle_answer}
        self.routes = self._queries.paths

    def component(self, state: bytes | None, index: int) -> ReplicatedNotes:
        """The state machine of the notes, from the state in the log's snapshot. Raises msgspec.DecodeError."""
        self._notes = ReplicatedNotes(state, index)
        return self._notes

    def status(self) -> dict[str, Any]:
        """For GET /fleet: the number of notes, and of log entries that cannot be decoded."""
        return {"kept": len(self._notes), "unreadable": self._notes.unreadable_entries}

    def unavailable_response(self, reason: str) -> bytes:
        """The HTTP response while the log is not running."""
        return unavailable(reason)

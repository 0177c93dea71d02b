"""Rows as messages bear them, and what of one's own is to be told when.

- A row is to be told when its value changes, when its age here is younger than what others hold by more than `tell` of
  its idle time, and, if it is younger at all, when the others' age of it runs out.
- What is to be told at the time of a batch is one *round*; when the last of it is out, all sights up to that time are
  covered. A large round takes several turns.
- Ages go rounded down, so that on its way a sight never gets older.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from math import isfinite

from .messages import MAX_UPDATE_ROWS, LastSeenUpdate, Placement, RowReplica, UndoneBinding, Watermark
from .peers import Peer
from .rows import CHARGED, KIND, STATE, TOMBSTONE, UNANNOUNCED
from .table import REPLICATED_FLAGS, AffinityTable

MAX_MESSAGES_PER_TURN = 2  # of a round, in one turn
MAX_COUNTER = 1 << 62
MAX_NAME_LENGTH = 64  # letters of a member's name
MAX_PLACEMENT_FIELD_LENGTH = 256  # of a provider's, a cell's, a zone's
TENTHS_PER_MS = 10
PackedRows = tuple[tuple[Placement, ...], tuple[str, ...], tuple[RowReplica, ...]]


def pack_rows(table: AffinityTable, rows_to_send: Iterable[int], now: float) -> PackedRows:
    """Rows, live ones all, and the tables that they point into."""
    rows, placements, author_names = table.rows, table.endpoints.placements, table.members.names
    endpoint_indexes: dict[int, int] = {}
    author_indexes: dict[int, int] = {}
    replicas = []
    for row in rows_to_send:
        endpoint, author = rows.endpoint[row], rows.author[row]
        replicas.append(
            RowReplica(
                rows.key(row).to_bytes(16, "big"),
                rows.flags[row] & REPLICATED_FLAGS,
                endpoint_indexes.setdefault(endpoint, len(endpoint_indexes)),
                author_indexes.setdefault(author, len(author_indexes)),
                rows.generation[row],
                rows.moves[row],
                rows.version[row],
                int(max(0.0, now - rows.last_seen_ms[row]) * TENTHS_PER_MS),
                int(max(0.0, now - rows.created_ms[row]) * TENTHS_PER_MS),
                rows.stamp[row],
            )
        )
    return (
        tuple(placements[endpoint] for endpoint in endpoint_indexes),
        tuple(author_names[author] for author in author_indexes),
        tuple(replicas),
    )


def is_valid(replica: RowReplica, endpoints: Sequence[Placement], authors: Sequence[str]) -> bool:
    return (
        len(replica.key) == 16
        and 0 <= replica.flags <= (KIND | STATE | CHARGED)
        and 0 <= replica.endpoint < len(endpoints)
        and 0 <= replica.author < len(authors)
        and 0 <= replica.generation < 1 << 32
        and 0 <= replica.moves < 1 << 16
        and 0 <= replica.version < MAX_COUNTER
        and 0 <= replica.stamp < MAX_COUNTER
        and replica.last_seen_age >= 0
        and replica.created_age >= 0
    )


def _register_authors(table: AffinityTable, endpoints: Sequence[Placement], authors: Sequence[str]) -> bool:
    """Whether its names are such as there may be, and all who made values have their numbers."""
    if any(len(name) > MAX_NAME_LENGTH for name in authors) or any(
        len(text) > MAX_PLACEMENT_FIELD_LENGTH for placement in endpoints for text in placement
    ):
        return False
    try:
        for name in authors:
            table.members.number(name)
    except ValueError:
        return False
    return True


def apply_replicas(
    table: AffinityTable,
    now: float,
    peer: Peer,
    sent_ms: float,
    packed: PackedRows,
    from_observer: bool,
    stamp: int = 0,
) -> None:
    """What a message bears, into the table."""
    endpoints, authors, replicas = packed
    if not isfinite(sent_ms) or not 0 <= stamp < MAX_COUNTER or not _register_authors(table, endpoints, authors):
        table.add_count("unsound message")
        return
    # A seer's own word is never older here than it is in truth. A copy is never younger: it may be of a sight of one's
    # own, and would else get younger each time it came round.
    latest, earliest = peer.clock.latest_local_ms(now, sent_ms), peer.clock.earliest_local_ms(now, sent_ms)
    base_ms, uncertainty_ms, age_factor = (
        (latest, 0.0, 1.0) if from_observer else (earliest, latest - earliest, 1 + table.tuning.drift)
    )
    for replica in replicas:
        if not is_valid(replica, endpoints, authors):
            table.add_count("unsound copy")
            continue
        key = int.from_bytes(replica.key, "big")
        table.apply_replica(
            now,
            key,
            replica.flags,
            endpoints[replica.endpoint],
            replica.generation,
            replica.moves,
            replica.version,
            authors[replica.author],
            base_ms - age_factor * replica.last_seen_age / TENTHS_PER_MS,
            base_ms - replica.created_age / TENTHS_PER_MS,
            max(stamp, replica.stamp),
            from_observer,
            uncertainty_ms,
        )


class UpdateSender:
    """One's own sights, in rounds. Of one life."""

    def __init__(self, table: AffinityTable, process_epoch: int, now: float, retained_rows: bool = False) -> None:
        """`kept`: it has rows that it saw in an earlier life, which others may not have heard of."""
        self.table, self.process_epoch, self.retained_rows = table, process_epoch, retained_rows
        self.seq = 0
        self.initial_counter = table.counter
        self.watermark_ms = now
        self._round: deque[int] | None = None
        self._round_undos: deque[tuple[int, int, int, int]] = deque()
        self._round_cutoff_ms = now

    def next_batches(self, now: float, most: int = MAX_MESSAGES_PER_TURN) -> list[LastSeenUpdate]:
        """For all members: up to `most`, none if there is nothing to tell."""
        table, out = self.table, []
        for _ in range(most):
            if self._round is None:
                # What was due in the wheel by then is among what is to be told.
                self._round_cutoff_ms = min(now, table.wheel.processed_until_ms)
                self._round, table.to_announce = table.to_announce, deque()
                self._round_undos, table.to_undo = table.to_undo, deque()
            rows_to_send = self._next_rows()
            undone = [self._round_undos.popleft() for _ in range(min(len(self._round_undos), MAX_UPDATE_ROWS))]
            round_finished = not self._round and not self._round_undos
            if rows_to_send or undone:
                self.initial_counter = self.initial_counter if self.seq else table.counter
                table.counter += 1
                self.seq += 1
                packed = pack_rows(table, rows_to_send, now)
                for row in rows_to_send:
                    table.rows.announced_ms[row] = table.rows.last_seen_ms[row]
                    table.restamp(row, table.counter)
            if round_finished:
                self.watermark_ms, self._round = max(self.watermark_ms, self._round_cutoff_ms), None
            if rows_to_send or undone:
                undone_bindings = tuple(UndoneBinding(key.to_bytes(16, "big"), *rest) for key, *rest in undone)
                out.append(
                    LastSeenUpdate(
                        self.process_epoch,
                        self.seq,
                        table.counter,
                        self.initial_counter,
                        now,
                        self.watermark_ms,
                        table.complete,
                        *packed,
                        undone_bindings,
                        self.retained_rows,
                    )
                )
            if round_finished:
                break
        return out

    def return_unsent(self) -> None:
        self.table.to_announce.extendleft(reversed(self._round or ()))
        self.table.to_undo.extendleft(reversed(self._round_undos))

    def watermark(self, now: float) -> Watermark:
        initial_counter = self.initial_counter if self.seq else self.table.counter
        return Watermark(
            self.process_epoch,
            self.seq,
            self.table.counter,
            initial_counter,
            now,
            self.watermark_ms,
            self.table.complete,
            self.retained_rows,
        )

    @property
    def round_unfinished(self) -> bool:
        return self._round is not None

    def _next_rows(self) -> list[int]:
        assert self._round is not None
        rows = self.table.rows
        rows_to_send: list[int] = []
        while self._round and len(rows_to_send) < MAX_UPDATE_ROWS:
            row = self._round.popleft()
            if row < len(rows.flags) and rows.flags[row] & (UNANNOUNCED | TOMBSTONE) == UNANNOUNCED:
                rows.flags[row] &= ~UNANNOUNCED
                rows_to_send.append(row)
        return rows_to_send

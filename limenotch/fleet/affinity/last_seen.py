"""Encodes rows into messages, applies received rows, and sends this member's last-seen updates.

- A row is announced when its value changes, when the local last use is later than the announced one by more than `tell`
  of the idle time, and, if it is later at all, when the announced age expires.
- The rows to announce at the time of a batch form one *round*. Once all of the round is sent, the watermark is the
  round's start. A large round takes several turns.
- Ages are rounded down, so that encoding makes no use older.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from math import isfinite

from .messages import MAX_UPDATE_ROWS, LastSeenUpdate, Placement, RowReplica, UndoneBinding, Watermark
from .peers import Peer
from .rows import CHARGED, KIND, STATE, TOMBSTONE, UNANNOUNCED
from .table import REPLICATED_FLAGS, AffinityTable

MAX_MESSAGES_PER_TURN = 2  # of a round
MAX_COUNTER = 1 << 62
MAX_NAME_LENGTH = 64  # characters of a member's name
MAX_PLACEMENT_FIELD_LENGTH = 256  # of an endpoint's name, a cell, a zone
TENTHS_PER_MS = 10
PackedRows = tuple[tuple[Placement, ...], tuple[str, ...], tuple[RowReplica, ...]]


def pack_rows(table: AffinityTable, rows_to_send: Iterable[int], now: float) -> PackedRows:
    """Encodes live rows, with the tables of placements and authors that they index."""
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
    """Assigns numbers to the authors of a message. False if a name is too long or there are too many members."""
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
    """Applies the rows of a message to the table.

    `from_observer`: the sender itself observed the uses; otherwise the rows are replicas of what it knows.
    """
    endpoints, authors, replicas = packed
    if not isfinite(sent_ms) or not 0 <= stamp < MAX_COUNTER or not _register_authors(table, endpoints, authors):
        table.add_count("unsound message")
        return
    # The age of an observer's own update is never overestimated. The age of a replica is never underestimated: it may
    # stem from a use at this member, and would otherwise become younger on each round trip.
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
    """Sends the uses that one process epoch of this member observed, in rounds."""

    def __init__(self, table: AffinityTable, process_epoch: int, now: float, retained_rows: bool = False) -> None:
        """`retained_rows`: the table has rows of an earlier process epoch, which peers may not have received."""
        self.table, self.process_epoch, self.retained_rows = table, process_epoch, retained_rows
        self.seq = 0
        self.initial_counter = table.counter
        self.watermark_ms = now
        self._round: deque[int] | None = None
        self._round_undos: deque[tuple[int, int, int, int]] = deque()
        self._round_cutoff_ms = now

    def next_batches(self, now: float, max_messages: int = MAX_MESSAGES_PER_TURN) -> list[LastSeenUpdate]:
        """Up to `most` messages, to be sent to all members; none if there is nothing to announce."""
        table, out = self.table, []
        for _ in range(max_messages):
            if self._round is None:
                # What fell due in the wheel up to this time has been queued by now.
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

"""Anti-entropy between two tables: compares 256 range digests, then the keys of differing ranges, then sends rows.

    DigestRequest -> RangeDigests -> (per differing range: RangeKeysRequest -> RangeKeys -> RowReplicas to the peer,
    RowsRequest -> RowReplicas from the peer)* -> done

A member leads one exchange at a time; the answering peer keeps no state. Rows announced recently are in flight and left
out. The leader's byte rate, `bytes_per_s`, limits both directions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Any

from .clocks import INFINITE
from .context import Context
from .last_seen import apply_replicas, pack_rows
from .messages import (
    KEY_BYTES,
    MAX_PAGE_ROWS,
    MAX_RANGE_KEYS,
    DigestRequest,
    RangeDigests,
    RangeKeys,
    RangeKeysRequest,
    RowReplicas,
    RowsRequest,
)
from .pages import ANSWER_TIMEOUT_MS, ROW_BYTES
from .peers import Peer
from .rows import NIL, RANGES, TOMBSTONE
from .table import AffinityTable

DIGEST_BYTES = 8


def build_digests(table: AffinityTable, process_epoch: int, serial: int) -> RangeDigests:
    """Answer to a DigestRequest."""
    packed = b"".join(each.to_bytes(DIGEST_BYTES, "big") for each in table.rows.digests)
    return RangeDigests(process_epoch, serial, packed, table.complete)


def build_keys(table: AffinityTable, process_epoch: int, request: RangeKeysRequest) -> RangeKeys | None:
    """Answer to a RangeKeysRequest; None if the request is invalid."""
    if not 0 <= request.range < RANGES:
        return None
    subranges = min(RANGES, table.rows.range_size(request.range) // MAX_RANGE_KEYS + 1)
    if not 0 <= request.subrange < subranges:
        return None
    return RangeKeys(
        process_epoch,
        request.serial,
        request.range,
        request.subrange,
        subranges,
        b"".join(
            key.to_bytes(16, "big") + digest.to_bytes(DIGEST_BYTES, "big")
            for key, digest in row_digests(table, request.range, request.subrange, subranges).items()
        ),
    )


def row_digests(table: AffinityTable, range_number: int, subrange: int, subranges: int) -> dict[int, int]:
    """Digests by key, of the live rows in a subrange."""
    rows = table.rows
    return {
        rows.key(row): rows.digest(row)
        for row in rows.rows_in_range(range_number)
        if not rows.flags[row] & TOMBSTONE and ((rows.high[row] >> 48 & 0xFF) * subranges) >> 8 == subrange
    }


def build_replicas(
    table: AffinityTable, process_epoch: int, serial: int, wanted: Sequence[int], now: float, in_flight_ms: float
) -> RowReplicas:
    """Replicas of the wanted rows that are live, not expired, and not announced within `in_flight_ms`."""
    rows = table.rows
    found = [
        row for key in wanted[:MAX_PAGE_ROWS] if (row := rows.find(key)) != NIL and not rows.flags[row] & TOMBSTONE
    ]
    replicas = [row for row in found if now < table.expires_at_ms(row) and now - rows.announced_ms[row] >= in_flight_ms]
    return RowReplicas(process_epoch, serial, now, *pack_rows(table, replicas, now))


class Exchange:
    """An exchange with one peer. `repaired_rows`: rows transferred in both directions."""

    def __init__(self, peer: Peer, serial: int, bytes_per_s: float, in_flight_ms: float, now: float) -> None:
        self.peer, self.serial, self.bytes_per_s, self.in_flight_ms = peer, serial, bytes_per_s, in_flight_ms
        self.done = False
        self.repaired_rows = 0
        self.requested_at_ms = now
        self._ranges: deque[int] = deque()
        self._wanted: deque[int] = deque()
        self._subrange = 0
        self._next_request_ms = now
        self._expected: type | None = None  # type of the awaited answer
        self._digests_requested = False

    def next_requests(self, now: float, process_epoch: int) -> list[Any]:
        """The next request, if it is time for one."""
        if self.done or self._expected is not None or now < self._next_request_ms:
            return []
        request: Any
        if not self._digests_requested:
            self._digests_requested, request = True, DigestRequest(process_epoch, self.serial)
            self._expected = RangeDigests
        elif self._wanted:
            wanted = [self._wanted.popleft() for _ in range(min(len(self._wanted), MAX_PAGE_ROWS))]
            request = RowsRequest(
                process_epoch, self.serial, b"".join(key.to_bytes(16, "big") for key in wanted), self.in_flight_ms
            )
            self._expected = RowReplicas
        elif self._ranges:
            request, self._expected = (
                RangeKeysRequest(process_epoch, self.serial, self._ranges[0], self._subrange),
                RangeKeys,
            )
        else:
            self.done = True
            return []
        self.requested_at_ms = now
        return [request]

    @property
    def due_at_ms(self) -> float:
        """When the next request may be sent; infinite while an answer is awaited."""
        return INFINITE if self.done or self._expected is not None else self._next_request_ms

    def timed_out(self, now: float) -> bool:
        return (
            self._expected is not None
            and now >= self.requested_at_ms + ANSWER_TIMEOUT_MS + 1000.0 * MAX_RANGE_KEYS * KEY_BYTES / self.bytes_per_s
        )

    def awaits(self, response: Any) -> bool:
        return response.serial == self.serial and type(response) is self._expected

    def apply_digests(self, table: AffinityTable, now: float, response: RangeDigests) -> None:
        self._expected = None
        size = DIGEST_BYTES
        if len(response.values) != RANGES * size:
            self.done = True
            return
        theirs = [int.from_bytes(response.values[at : at + size], "big") for at in range(0, RANGES * size, size)]
        self._ranges.extend(each for each in range(RANGES) if theirs[each] != table.rows.digests[each])
        self._charge_rate(now, len(response.values))

    def apply_keys(
        self, table: AffinityTable, process_epoch: int, now: float, response: RangeKeys
    ) -> list[RowReplicas]:
        """Returns the rows that the peer lacks; rows that are missing here are requested next."""
        if (
            not self._ranges
            or (response.range, response.subrange) != (self._ranges[0], self._subrange)
            or not (0 < response.subranges <= RANGES)
            or len(response.packed) % KEY_BYTES
        ):
            self.done = True
            return []
        self._expected = None
        packed = response.packed
        theirs = {packed[at : at + 16]: packed[at + 16 : at + KEY_BYTES] for at in range(0, len(packed), KEY_BYTES)}
        missing_there = []
        for key, digest in row_digests(table, response.range, response.subrange, response.subranges).items():
            theirs_of = theirs.pop(key.to_bytes(16, "big"), None)
            if theirs_of != digest.to_bytes(DIGEST_BYTES, "big"):
                if theirs_of is not None:
                    self._wanted.append(key)
                missing_there.append(key)
        self._wanted.extend(int.from_bytes(key, "big") for key in theirs)
        self._subrange += 1
        if self._subrange >= response.subranges:
            self._subrange = 0
            self._ranges.popleft()
        pages = [missing_there[at : at + MAX_PAGE_ROWS] for at in range(0, len(missing_there), MAX_PAGE_ROWS)]
        replies = [build_replicas(table, process_epoch, 0, wanted, now, self.in_flight_ms) for wanted in pages]
        replies = [each for each in replies if each.rows]
        sent = sum(len(each.rows) for each in replies)
        self.repaired_rows += sent
        self._charge_rate(now, len(packed) + ROW_BYTES * sent)
        return replies

    def replicas_applied(self, now: float, rows: int) -> None:
        self._expected = None
        self.repaired_rows += rows
        self._charge_rate(now, ROW_BYTES * rows)

    def _charge_rate(self, now: float, size: int) -> None:
        self._next_request_ms = max(now, self.requested_at_ms + 1000.0 * size / self.bytes_per_s)


class AntiEntropy:
    """Runs one exchange per `digest_ms` with a random peer, and answers the peers' exchanges."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self._exchange: Exchange | None = None
        self._next_exchange_ms = 0.0
        self._logged = False

    def begin(self) -> None:
        self._exchange = None
        self._next_exchange_ms = self.context.now + self.context.tuning.digest_ms * self.context.random.random()

    def tick(self) -> None:
        context, now, exchange = self.context, self.context.now, self._exchange
        if not context.table.complete:
            self._exchange = None
            return
        if exchange is not None:
            if not exchange.done and not exchange.timed_out(now) and exchange.peer.is_alive:
                self._continue(exchange)
                return
            self._exchange = None
            if exchange.done and not exchange.repaired_rows:
                self._logged = False
        alive = context.peers.alive_peers()
        if now < self._next_exchange_ms or not alive:
            return
        tuning, scale = context.tuning, context.interval_scale
        self._next_exchange_ms = now + tuning.digest_ms * scale
        in_flight_ms = 2 * (tuning.batch_ms + tuning.cover_ms) * scale
        self._exchange = Exchange(
            context.random.choice(alive), context.next_serial(), tuning.repair_bytes_per_s, in_flight_ms, now
        )
        self._continue(self._exchange)

    def _continue(self, exchange: Exchange) -> None:
        for request in exchange.next_requests(self.context.now, self.context.process_epoch):
            self.context.send(exchange.peer, request)

    @property
    def due_at_ms(self) -> float:
        return self._exchange.due_at_ms if self._exchange is not None else INFINITE

    def _matching_exchange(self, peer: Peer, response: Any) -> Exchange | None:
        exchange = self._exchange
        if exchange is None or exchange.peer is not peer or not exchange.awaits(response):
            self.context.table.add_count("late answer")
            return None
        return exchange

    def on_digest_request(self, peer: Peer, request: DigestRequest) -> None:
        self.context.send(peer, build_digests(self.context.table, self.context.process_epoch, request.serial))

    def on_digests(self, peer: Peer, response: RangeDigests) -> None:
        if (exchange := self._matching_exchange(peer, response)) is not None:
            exchange.apply_digests(self.context.table, self.context.now, response)
            self._continue(exchange)

    def on_keys_request(self, peer: Peer, request: RangeKeysRequest) -> None:
        response = build_keys(self.context.table, self.context.process_epoch, request)
        if response is not None:
            self.context.send(peer, response)

    def on_keys(self, peer: Peer, response: RangeKeys) -> None:
        context = self.context
        if (exchange := self._matching_exchange(peer, response)) is not None:
            for replicas in exchange.apply_keys(context.table, context.process_epoch, context.now, response):
                context.send(peer, replicas)
            self._continue(exchange)

    def on_rows_request(self, peer: Peer, request: RowsRequest) -> None:
        context = self.context
        wanted = [
            int.from_bytes(request.keys[at : at + 16], "big") for at in range(0, len(request.keys) // 16 * 16, 16)
        ]
        context.send(
            peer,
            build_replicas(
                context.table, context.process_epoch, request.serial, wanted, context.now, request.in_flight_ms
            ),
        )

    def on_replicas(self, peer: Peer, replicas: RowReplicas) -> None:
        context, table = self.context, self.context.table
        exchange = self._matching_exchange(peer, replicas) if replicas.serial else None
        if replicas.serial and exchange is None:
            return
        before = table.changes
        apply_replicas(
            table,
            context.now,
            peer,
            replicas.sent_ms,
            (replicas.endpoints, replicas.authors, replicas.rows),
            from_observer=False,
        )
        repaired = table.changes - before
        if repaired and table.complete and not self._logged:
            self._logged = True
            context.log(f"repairs {peer.name}", rows=repaired)
        if exchange is not None:
            exchange.replicas_applied(context.now, repaired)
            self._continue(exchange)

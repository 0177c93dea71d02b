"""The affinity component: replicates uses of bindings to all members, which expire idle bindings together.

| state | begins | work besides sending and applying updates |
| --- | --- | --- |
| joining | at start, after fencing | fetches peers' tables, or missed updates: join.py |
| complete | a complete peer's table, or all peers' tables, have arrived, or no peer exists | fills gaps; repair.py |

Rules
- Last-seen updates go to all members, in rounds (last_seen.py); a watermark follows each round. Updates missing from a
  member's sequence are requested from that member, or, if it is alive but not received from, from a peer that does
  receive from it.
- A binding is removed only after the watermarks of all members held alive have passed its expiry. A member held dead is
  not waited for, and no message of a process epoch held dead is applied.
- A fenced member keeps the bindings that are still young, removes expired ones at once, and joins anew. Its ages are
  right, as its clock kept running during the pause or the partition.
- Long work is split: each turn handles a bounded number of rows, messages and bytes.

Source: docs/fleet/bindings-design.md. The host calls `table` directly; only this component sends. Messages:
messages.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interfaces
from ..interfaces import Carrier, SetTimer
from . import messages
from .api import AvailableEndpoints, DeduplicationWindow
from .clocks import INFINITE
from .context import Context
from .entries import ChangeCallback, EndCallback
from .join import StateTransfer
from .last_seen import MAX_COUNTER, MAX_MESSAGES_PER_TURN, UpdateSender, apply_replicas
from .pages import build_page
from .peers import Peer
from .repair import AntiEntropy
from .table import AffinityTable
from .tuning import Tuning

TOKEN = 1
MAX_ROWS_PER_TURN = 500  # rows inspected by the timer wheel in one turn
MAX_DEFERRED_MESSAGES = 64  # messages of one peer whose clock offset is not known yet
CONTINUE_MS = 1.0
MAX_ECHO_AGE_MS = 60_000.0  # a Pong that echoes an older Ping gives no sample of the clock
SCANNED_ROWS_PER_CHANGE = 50  # in a sweep; passing over a row is a search in an array, not a loop


class Bindings:
    """The component.

    `key`: the fleet's secret, 1 to 64 bytes. All members compute the same hash of a bound key, and nobody else can
    construct keys whose hashes collide.
    """

    def __init__(
        self,
        name: str,
        process_epoch: int,
        key: bytes,
        tuning: Tuning | None = None,
        seed: int = 0,
        on_change: ChangeCallback | None = None,
    ) -> None:
        self.context = Context(name, process_epoch, key, tuning or Tuning(), seed, on_change)
        self.state_transfer, self.repair = StateTransfer(self.context), AntiEntropy(self.context)
        self._is_started = False
        self._timer_at_ms = INFINITE
        self._next_watermark_ms = -INFINITE
        self._sweeps: list[tuple[int, int]] = []  # number of a removed endpoint, next row to inspect
        self._expiring_after_fence = self._full_logged = False
        self._events: dict[type, Callable[[Any], None]] = {
            interfaces.Started: self._started,
            interfaces.MessageReceived: self._message_received,
            interfaces.TimerFired: self._timer_fired,
            interfaces.ShutdownStarted: lambda event: self._send_updates(1 << 20),
            interfaces.MemberChanged: self._member_changed,
            interfaces.Fenced: lambda event: self._fenced(),
            AvailableEndpoints: self._endpoints_changed,
            DeduplicationWindow: lambda event: self.table.lifetimes.set_window(event.longest_ms),
        }
        anti_entropy = self.repair
        self._messages: dict[type, Callable[[Peer, Any], None]] = {
            messages.LastSeenUpdate: self._on_update,
            messages.Watermark: self._on_watermark,
            messages.Ping: self._on_ping,
            messages.Pong: self._on_pong,
            messages.PageRequest: self._on_page_request,
            messages.Page: self.state_transfer.on_page,
            messages.DigestRequest: anti_entropy.on_digest_request,
            messages.RangeDigests: anti_entropy.on_digests,
            messages.RangeKeysRequest: anti_entropy.on_keys_request,
            messages.RangeKeys: anti_entropy.on_keys,
            messages.RowsRequest: anti_entropy.on_rows_request,
            messages.RowReplicas: anti_entropy.on_replicas,
        }

    @property
    def table(self) -> AffinityTable:
        return self.context.table

    @property
    def counts(self) -> dict[str, int]:
        return self.context.table.counts

    @property
    def on_end(self) -> EndCallback | None:
        return self.table.on_end

    @on_end.setter
    def on_end(self, on_end: EndCallback | None) -> None:
        self.table.on_end = on_end

    def hash_of(self, kind: Any, key: bytes) -> bytes:
        return self.table.hash(kind, key).to_bytes(16, "big")

    def handle(self, now: float, event: Any) -> list[Any]:
        """Returns the actions. Raises TypeError on an unknown event, ValueError if `now` runs backwards."""
        context = self.context
        if now < context.now:
            raise ValueError(f"clock runs backwards: from {context.now} to {now}")
        handler = self._events.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of the affinity component: {event!r}")
        context.now, context.actions = now, []
        handler(event)
        return context.actions

    # Events

    def _started(self, event: interfaces.Started) -> None:
        self._is_started = True
        self.table.clear(self.context.now)
        self._start_process_epoch(self.context.process_epoch, retained_rows=False)
        self.state_transfer.begin(retained_rows=False)
        self.repair.begin()
        self._arm(self.context.now + self.context.tuning.batch_ms)

    def _member_changed(self, event: interfaces.MemberChanged) -> None:
        context = self.context
        if event.name != context.name:
            context.peers.member_changed(context.now, event.name, event.process_epoch, event.state)
        else:
            if event.process_epoch != context.process_epoch:
                self._start_process_epoch(event.process_epoch, retained_rows=self.table.live_rows > 0)
            context.member_since_ms = min(context.member_since_ms, context.now)
        context.update_watermark()

    def _start_process_epoch(self, process_epoch: int, retained_rows: bool) -> None:
        """Restarts the sequence of updates; those that the earlier process epoch had not sent go first."""
        context = self.context
        context.update_sender.return_unsent()
        context.process_epoch, context.update_sender = (
            process_epoch,
            UpdateSender(context.table, process_epoch, context.now, retained_rows),
        )

    def _fenced(self) -> None:
        """The new process epoch follows in a MemberChanged; peers ignore what is sent under the old one until then."""
        self.context.peers.reset_progress(self.context.now)
        self._expiring_after_fence = True
        self.state_transfer.begin(retained_rows=True)
        self.repair.begin()

    def _endpoints_changed(self, event: AvailableEndpoints) -> None:
        self._sweeps += [(number, 0) for number in self.table.endpoints.update_listed(event.available)]

    def _timer_fired(self, event: interfaces.TimerFired) -> None:
        context = self.context
        now, tuning, table = context.now, context.tuning, context.table
        if event.token != TOKEN or now < self._timer_at_ms:
            return
        self._timer_at_ms = INFINITE
        context.update_watermark()
        if self._expiring_after_fence:
            self._expiring_after_fence = table.expire_after_fencing(now, MAX_ROWS_PER_TURN)
        more_due = table.expire(now, MAX_ROWS_PER_TURN)
        more_due = self._sweep() or more_due or self._expiring_after_fence
        self._send_updates(MAX_MESSAGES_PER_TURN)
        if now >= self._next_watermark_ms:
            context.all(context.update_sender.watermark(now))
            self._next_watermark_ms = now + tuning.cover_ms * context.interval_scale
        for peer in context.peers.alive_peers():
            self._request_clock_sample(peer)
        self.state_transfer.tick()
        self.repair.tick()
        if table.full and not self._full_logged:
            context.log("full", held=table.live_rows)
        self._full_logged = table.full
        self._arm(
            now
            + (
                CONTINUE_MS
                if more_due or context.update_sender.round_unfinished
                else tuning.batch_ms * context.interval_scale
            )
        )

    def _message_received(self, event: interfaces.MessageReceived) -> None:
        context, message = self.context, event.message
        if not isinstance(message, messages.MESSAGE_TYPES) or not self._is_started:
            context.table.add_count("no message of bindings")
            return
        peer = context.peers.accept_message(context.now, event.sender, message.process_epoch)
        if peer is None:
            context.table.add_count("of a life that is over")
        elif peer.clock.has_round_trip or isinstance(message, (messages.Ping, messages.Pong)):
            self._messages[type(message)](peer, message)
            # The byte rate may allow the next page or range before the next batch.
            self._arm(max(min(self.state_transfer.due_at_ms, self.repair.due_at_ms), context.now + CONTINUE_MS))
        else:
            if len(peer.deferred) < MAX_DEFERRED_MESSAGES:
                peer.deferred.append(message)
            else:
                context.table.add_count("too much before its clock was known")
            self._request_clock_sample(peer)

    # Clocks

    def _request_clock_sample(self, peer: Peer) -> None:
        context, tuning = self.context, self.context.tuning
        if context.now >= peer.next_ping_ms:
            peer.next_ping_ms = (
                context.now
                + (tuning.digest_ms if peer.clock.has_round_trip else tuning.batch_ms) * context.interval_scale
            )
            context.send(peer, messages.Ping(context.process_epoch, context.now), Carrier.DATAGRAM)

    def _on_ping(self, peer: Peer, ping: messages.Ping) -> None:
        peer.clock.add_one_way_sample(self.context.now, ping.sent_ms)
        self.context.send(
            peer, messages.Pong(self.context.process_epoch, ping.sent_ms, self.context.now), Carrier.DATAGRAM
        )

    def _on_pong(self, peer: Peer, pong: messages.Pong) -> None:
        now = self.context.now
        if not now - MAX_ECHO_AGE_MS <= pong.echo_ms <= now:
            self.table.add_count("unsound message")
            return
        peer.clock.add_one_way_sample(now, pong.sent_ms)
        peer.clock.add_round_trip_sample(now, pong.echo_ms, pong.sent_ms)
        peer.clock_uncertainty_ms = peer.clock.latest_local_ms(now, pong.sent_ms) - peer.clock.earliest_local_ms(
            now, pong.sent_ms
        )
        deferred, peer.deferred = peer.deferred, []
        for message in deferred:
            self._messages[type(message)](peer, message)

    # Last-seen updates

    def _send_updates(self, max_messages: int) -> None:
        context = self.context
        for batch in context.update_sender.next_batches(context.now, max_messages):
            context.all(batch)
            self._next_watermark_ms = context.now + context.tuning.cover_ms * context.interval_scale

    def _on_update(self, peer: Peer, update: messages.LastSeenUpdate) -> None:
        now, table = self.context.now, self.context.table
        peer.clock.add_one_way_sample(now, update.sent_ms)
        apply_replicas(
            table, now, peer, update.sent_ms, (update.endpoints, update.authors, update.rows), True, update.counter
        )
        for undone in update.undone:
            if len(undone.key) == 16:
                table.apply_undo(
                    now, int.from_bytes(undone.key, "big"), undone.generation, undone.moves, undone.version, peer.name
                )
        self._record_progress(peer, update, update.seq - 1)

    def _on_watermark(self, peer: Peer, watermark: messages.Watermark) -> None:
        peer.clock.add_one_way_sample(self.context.now, watermark.sent_ms)
        self._record_progress(peer, watermark, watermark.seq)

    def _record_progress(
        self, peer: Peer, announcement: messages.LastSeenUpdate | messages.Watermark, previous_seq: int
    ) -> None:
        """Records a gap if not all updates up to `previous_seq` have arrived; without a gap the watermark advances."""
        context = self.context
        if not (
            0 <= announcement.counter < MAX_COUNTER
            and 0 <= announcement.initial_counter < MAX_COUNTER
            and 0 <= announcement.seq < MAX_COUNTER
        ):
            context.table.add_count("unsound message")
            return
        context.table.counter = max(context.table.counter, announcement.counter)
        peer.complete = announcement.complete
        if peer.last_seq < 0:
            if not announcement.retained_rows:
                peer.known_counter = announcement.initial_counter  # a new process may not have received any counter yet
            peer.has_gap, peer.gap_end_seq = announcement.retained_rows or previous_seq > 0, previous_seq
        elif previous_seq > peer.last_seq:
            peer.has_gap, peer.gap_end_seq = True, previous_seq
        peer.last_seq = max(peer.last_seq, announcement.seq)
        if not peer.has_gap:
            peer.known_counter = max(peer.known_counter, announcement.counter)
            peer.watermark_ms = max(
                peer.watermark_ms, peer.clock.earliest_local_ms(context.now, announcement.watermark_ms)
            )
            if context.peers.limits_watermark(peer):
                context.update_watermark()

    def _on_page_request(self, peer: Peer, request: messages.PageRequest) -> None:
        response = build_page(self.context, request)
        if response is not None:
            self.context.send(peer, response)

    # Removed endpoints, and the timer

    def _sweep(self) -> bool:
        """Marks the rows bound to removed endpoints, so that they are evicted first; `find` ignores them already.

        Returns whether there are more.
        """
        rows, remaining = self.table.rows, self.context.tuning.most_moves
        while self._sweeps and remaining > 0:
            endpoint_number, row = self._sweeps.pop()
            if not self.table.endpoints.removed[endpoint_number]:
                continue  # no row had it any more, and another endpoint has the number now
            end = min(len(rows.endpoint), row + SCANNED_ROWS_PER_CHANGE * remaining)
            while remaining > 0 and row < end:
                try:
                    row = rows.endpoint.index(endpoint_number, row, end)
                except ValueError:
                    row = end
                    break
                self.table.mark_endpoint_removed(row)
                row, remaining = row + 1, remaining - 1
            if row < len(rows.endpoint):
                self._sweeps.append((endpoint_number, row))
                return True
        return bool(self._sweeps)

    def _arm(self, at_ms: float) -> None:
        if at_ms < self._timer_at_ms and at_ms < INFINITE:
            self._timer_at_ms = at_ms
            self.context.actions.append(SetTimer(at_ms, TOKEN))

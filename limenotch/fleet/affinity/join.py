"""State transfer: fetches missing rows when joining, after a gap, and for a peer whose messages do not arrive.

| missing | stamp floor of the request | requested from |
| --- | --- | --- |
| everything: the process has started | none | a peer with a complete table; if there is none, from all, one by one |
| updates sent while this member was held dead | lowest counter known of the alive peers | the same |
| updates of a peer whose sequence has a gap | the peer's known counter | that peer |
| updates of a live peer silent for SILENT_WATERMARKS | the peer's known counter | a peer that receives from it |

The first page lists the members whose updates its sender knows completely, so one fetch can close several gaps.
"""

from __future__ import annotations

from .clocks import INFINITE
from .context import Context
from .last_seen import MAX_COUNTER, TENTHS_PER_MS
from .messages import Page
from .pages import Fetch
from .peers import Peer

SILENT_WATERMARKS = 4  # watermark intervals without a message


class StateTransfer:
    def __init__(self, context: Context) -> None:
        self.context = context
        self._join_fetch: Fetch | None = None
        self._next_join_ms = INFINITE
        self._retained_rows = self._logged = False
        self._fetched_from: set[tuple[str, int]] = set()  # peers whose tables have arrived since joining began
        self._gap_fetches: dict[str, Fetch] = {}
        self._next_gap_fetch_ms: dict[str, float] = {}

    def begin(self, retained_rows: bool) -> None:
        """Starts joining after one batch interval, so that peers have learned of this member.

        `retained_rows`: there is a table already, and only the updates sent meanwhile are missing.
        """
        context = self.context
        context.table.complete, self._retained_rows, self._logged = False, retained_rows, False
        self._join_fetch = None
        self._gap_fetches.clear()
        self._next_gap_fetch_ms.clear()
        self._fetched_from.clear()
        self._next_join_ms = context.now + context.tuning.batch_ms

    def tick(self) -> None:
        if self.context.table.complete:
            self._fetch_gaps()
        else:
            self._continue_join()

    @property
    def due_at_ms(self) -> float:
        """Earliest time at which the next page may be requested."""
        fetches = [*self._gap_fetches.values(), *([self._join_fetch] if self._join_fetch is not None else [])]
        return min((fetch.due_at_ms for fetch in fetches), default=INFINITE)

    def on_page(self, peer: Peer, page: Page) -> None:
        context, join_fetch = self.context, self._join_fetch
        if join_fetch is not None and join_fetch.peer is peer and join_fetch.serial == page.serial:
            join_fetch.on_page(context.table, context.now, page)
            self._continue_join()
            return
        for name, fetch in list(self._gap_fetches.items()):
            if fetch.peer is peer and fetch.serial == page.serial:
                fetch.on_page(context.table, context.now, page)
                if fetch.done:
                    del self._gap_fetches[name]
                    self._record_known(fetch)
                else:
                    self._send_request(fetch)
                return
        context.table.add_count("late page")

    def _send_request(self, fetch: Fetch) -> None:
        if (request := fetch.next_request(self.context.now, self.context.process_epoch)) is not None:
            self.context.send(fetch.peer, request)

    def _record_known(self, fetch: Fetch) -> None:
        """After a fetch: records as known the updates of the members that its first page lists."""
        context, first = self.context, fetch.first_page
        if first is None:
            return
        for known in first.known_members:
            member = context.peers.get(known.name)
            if (
                member is None
                or member.process_epoch != known.process_epoch
                or fetch.floor > member.known_counter
                or known.watermark_age < 0
            ):
                continue
            if not 0 <= known.counter < MAX_COUNTER:
                continue
            # Its updates came through a peer, so it has the component and is waited for.
            member.last_message_ms = max(member.last_message_ms, member.known_since_ms)
            member.last_seq = max(member.last_seq, known.seq)
            if member.has_gap and known.seq < member.gap_end_seq:
                continue
            member.has_gap = False
            member.known_counter = max(member.known_counter, known.counter)
            # A row updated between two pages may be in neither. The update arrives from its sender if that peer is
            # received from; otherwise the next fetch covers it.
            if (
                fetch.pages == 1
                or context.now - member.last_message_ms
                <= SILENT_WATERMARKS * context.tuning.cover_ms * context.interval_scale
            ):
                watermark_ms = (
                    fetch.peer.clock.earliest_local_ms(context.now, first.sent_ms) - known.watermark_age / TENTHS_PER_MS
                )
                member.watermark_ms = max(member.watermark_ms, watermark_ms)
        context.update_watermark()

    # Joining

    def _continue_join(self) -> None:
        context, now = self.context, self.context.now
        if now < self._next_join_ms or context.member_since_ms > now:
            return
        fetch = self._join_fetch
        if fetch is not None:
            if not fetch.done and not fetch.timed_out(now) and fetch.peer.is_alive:
                self._send_request(fetch)
                return
            self._join_fetch = None
            if fetch.done:
                self._fetched_from.add((fetch.peer.name, fetch.peer.process_epoch))
                self._record_known(fetch)
                if fetch.complete:
                    self._finish_join()
                    return
            else:
                # Tries another peer soon; the choice is random, so that an unresponsive peer does not block joining.
                self._next_join_ms = now + context.tuning.batch_ms
                return
        alive = context.peers.alive_peers()
        candidates = [peer for peer in alive if (peer.name, peer.process_epoch) not in self._fetched_from]
        if (
            self._retained_rows
            and self._fetched_from
            and all(peer.last_seq >= 0 and not peer.has_gap for peer in alive)
        ):
            candidates = []  # the retained rows and all peers' updates since are complete
        if not candidates:
            if now >= context.member_since_ms + context.tuning.cover_ms:
                self._finish_join()
            return
        if not self._logged:
            self._logged = True
            context.log("joins bindings")
        peer = context.random.choice([peer for peer in candidates if peer.complete] or candidates)
        known = [alive_peer.known_counter for alive_peer in alive if alive_peer.known_counter >= 0]
        floor = min(known) if self._retained_rows and known else -1
        self._join_fetch = Fetch(peer, context.next_serial(), floor, None, context.tuning.join_bytes_per_s, now)
        self._send_request(self._join_fetch)

    def _finish_join(self) -> None:
        context = self.context
        context.table.complete = True
        context.log("whole", held=context.table.live_rows)
        context.all(context.update_sender.watermark(context.now))

    # Gaps

    def _fetch_gaps(self) -> None:
        context, now = self.context, self.context.now
        watermark_interval_ms = context.tuning.cover_ms * context.interval_scale
        for name, fetch in list(self._gap_fetches.items()):
            if fetch.timed_out(now) or not fetch.peer.is_alive:
                del self._gap_fetches[name]
            else:
                self._send_request(fetch)
        alive = context.peers.alive_peers()
        reachable = [
            peer
            for peer in alive
            if now - peer.last_message_ms <= SILENT_WATERMARKS * watermark_interval_ms and peer.last_seq >= 0
        ]
        for peer in alive:
            silent = now - max(peer.last_message_ms, peer.known_since_ms) > SILENT_WATERMARKS * watermark_interval_ms
            if (
                not (peer.has_gap or silent)
                or peer.name in self._gap_fetches
                or now < self._next_gap_fetch_ms.get(peer.name, now)
            ):
                continue
            candidates = [other for other in reachable if other is not peer]
            if silent and not candidates:
                continue
            self._next_gap_fetch_ms[peer.name] = now + watermark_interval_ms
            source = context.random.choice(candidates) if silent else peer
            fetch = Fetch(
                source, context.next_serial(), peer.known_counter, peer, context.tuning.repair_bytes_per_s, now
            )
            self._gap_fetches[peer.name] = fetch
            self._send_request(fetch)

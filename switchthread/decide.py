"""Every decision of switchthread. The types, events and actions it uses are in interface.py beside it.

A call is placed by a draw over per-upstream shares. An urgent call that may be repeated gets a copy on a
second drawn upstream while formula (1) of the source paper gives the pair a higher chance to be on time;
the first answer cancels the other. Shares follow what each upstream has shown; lax calls just follow them.
"""

from __future__ import annotations

from bisect import bisect
from math import exp

from . import interface as face
from .books import BURST, Books, Table, drawable
from .interface import Action, Effect, Outcome, Scope
from .records import Call, Server
from .subset import subset

PRIOR = 4.0  # samples with which an upstream's own mean weighs as much as its kind's
LEAN = 2.0  # share falls with this power of relative slowness: much hides behind time spent in tiers below
SHUN = 3.0  # share falls with this power of the relative part served
FLOOR = 0.02  # of its weight, always left to an upstream so that recovery is seen
RETRIES = 0.2  # copies and retries allowed for each recent call: they can't multiply down the tiers
DRAWS = 4  # tries at one that may be sent to: more would bend the shares of those left
SHORT = 2.0  # service times: a wait by which the better of two drawn upstreams is told
STEADY = 0.15  # a call bound by its first attempt goes to the one of two serving so much more
LAX = 0.5  # a call that keeps this part of its worth when late is lax: it goes where its one draw says
URGENT = 10.0  # waits of this many service times hold for any upstream under two thirds load: no copy
OVERDUE = 2.0  # of its expected time out, a lone attempt asks the gate again
QUIET = 8.0  # answers overdue by its mean, with none at all, after which an upstream counts as silent
CROWD = 1.7  # times what the others hold each that one upstream may hold ...
FREE = 2.0  # ... counting this many more: on a calm day the own zone does not spill over
HEADROOM = 0.375  # of what would push a cold upstream over: what all balancers together may send it
AFAR = 0.05  # part of its weight left to an upstream of another zone while the own zone is sound
FULL = 0.6  # use of the own zone's upstreams up to which calls stay in it: beyond, waits grow
BUSY = 0.5  # use of cores reported that weighs as much as what its kind has shown
ROW = 4  # misses in a row after which a provider rests, so that one choked on its queue can be idle
REST = 6000.0  # ms: choked machines want up to 5 s of it, and each balancer rests it on its own
RESTING = 0.5  # part of those drawn from that may rest at once: more would be an outage of our making
CHOICES = 9  # drawn for a call where nothing is reported: our own calls out tell of a queue first
CROSSINGS = 1.5  # prices of a crossing that a better chance to be in time must outweigh


class Balancer(Books):
    """Feed it events in order; carry out the actions it returns in order."""

    def handle(self, now_ms: float, event: face.Event) -> list[Action]:
        acts: list[Action] = []
        if now_ms < self.now:
            raise ValueError(f"now_ms: {now_ms} runs backwards, expected {self.now} or later")
        self.now = now_ms
        if now_ms >= self.due:
            self._renew(now_ms)
        if isinstance(event, face.Arrival):
            self._arrival(now_ms, event, acts)
        elif isinstance(event, face.Finished):
            self._finished(now_ms, event, acts)
        elif isinstance(event, face.TimerFired):
            self._timer(now_ms, event.token, acts)
        elif isinstance(event, face.Membership):
            self._membership(now_ms, event, acts)
        elif isinstance(event, face.Departure):
            if event.call in self.calls and not self.calls[event.call].done:
                self._close(self.calls[event.call], acts)
        elif isinstance(event, face.AnswerBegun):
            if event.call in self.calls and not self.calls[event.call].done:
                self.calls[event.call].streaming = True
                self._cancel(self.calls[event.call], event.attempt, acts)
        elif isinstance(event, face.Uploaded):
            self.uploaded(now_ms, event)
        elif isinstance(event, face.Ban):
            self.roster.ban(now_ms, event)
            self._ready(now_ms)
        elif isinstance(event, face.Retuned):
            self.adopt(event.settings)
            self._ready(now_ms)
        elif isinstance(event, face.Started):
            acts += [face.Subscribe()] if self.set.must_ask else []
        else:
            raise TypeError(f"not an event of interface.py: {event!r}")
        return acts

    # The list of upstreams

    def _membership(self, now: float, event: face.Membership, acts: list[Action]) -> None:
        if event.listing is face.Listing.BROKEN:
            # Blind to drains, ask again; later each time, out of step, or the list service stays jammed.
            self.failures += 1
            wait = self.window * min(2.0 ** (self.failures - 1), 4.0) * (0.1 + 0.4 * self.random.random())
            self.wake(now + wait, None, acts)
            return
        self.failures = 0
        self.roster.heard(now, event, self.set.weights_listed)
        self._ready(now)

    def _ready(self, now: float) -> None:
        self.relist(now)
        self._shares(now)

    # Windows: means, shares, what to refuse

    def _renew(self, now: float) -> None:
        if self.began >= 0:
            self.end_window(now)
            # Before two means are known a just started balancer takes its first calls for a jam.
            self.entry.bound(self.tier.low * self.typical, self.tier.now * self.typical,
                             min(c.aim_ms for c in self.set.classes), known=len(self.tier.lows) > 1)
        self.began, self.due = now, now + self.window
        self._shares(now)

    def _shares(self, now: float) -> None:
        ready = self.order[0] + self.order[1]
        drawn = subset(self.order, self.held, self.set.rank, self.set.balancers)
        for s in ready:
            self._gauge(s, now)
        able = sum(s.able for s in ready)
        self.fair = (self.good + PRIOR) / (self.good + self.bad + PRIOR)
        self.best = max((s.ok for s in drawn if not s.at_rest(now)), default=1.0)
        for s in drawn:
            self._share(s, now)
        if self.set.crossing_cost and self.tier.done:  # else each call is weighed alone
            self._distances(drawn, ready, able)
        whole = max(sum(s.share for s in drawn), 1e-9)
        # Where no reports tell what a tier can do, demand does, and not what is sent: a cold tier gets less.
        part = able / self.set.parts
        if not self.tier.done:
            part = self.demand * sum(s.able for s in drawn) / max(sum(s.weight for s in drawn), 1e-9)
        self.room = HEADROOM * self.set.cold.fall_multiple * part / 1000 / whole
        self.table = drawable(drawn)
        self.live = sum(s.able for s in drawn if s.share) / max(sum(s.able for s in drawn), 1e-9)
        self.home = drawable([s for s in drawn if not self.set.crossing_cost or s.at.zone == self.set.zone])
        self.groups.clear()

    def _gauge(self, server: Server, now: float) -> None:
        """What it can do now: by its own reports as far as they go, else as others of its kind and age.

        Served over used is what it serves in full use (gRPC proposal A58); reports hold all balancers' sends.
        """
        like = server.like if server.like.done else self.tier
        usual = like.done / like.busy if like.done else 1.0
        fade = exp((server.told_at - now) / self.reports)
        prior = server.weight * usual * server.capacity(now, self.set.cold)
        # A span in which nothing was done yet shows use alone: that is no proof of a dead upstream.
        shown = (server.done * fade + BUSY * prior) / (server.busy * fade + BUSY)
        server.able = max(shown * (FLOOR if server.quiet else 1.0), FLOOR * prior, 1e-9)

    def _share(self, server: Server, now: float) -> None:
        """What it can do, bent by slowness and misses."""
        fade = exp((server.stamp - now) / self.memory)
        count, good, bad = server.count * fade, server.good * fade, server.bad * fade
        server.slow = (server.ratios * fade + PRIOR * server.like.now) / (count + PRIOR)
        server.ok = (good + PRIOR * self.fair) / (good + bad + PRIOR)
        # Both factors are relative: if everything is slow or failing nothing is singled out.
        usual = (server.like if self.tier.done else self.tier).now
        bend = min((usual / server.slow) ** LEAN, 4.0) * min(server.ok / self.best, 1.0) ** SHUN
        server.share = server.able * max(bend, FLOOR) if not server.at_rest(now) else 0.0

    def _distances(self, drawn: list[Server], ready: list[Server], able: float) -> None:
        """Calls stay in their zone as far as it can carry them; the list tells all of a zone alike."""
        own, others = self.order[0], [s for s in drawn if s.at.zone != self.set.zone]
        sound = sum((s.ok / self.best) ** SHUN for s in own if not s.quiet) / max(len(own), 1)
        afar = AFAR / max(sound, AFAR)
        zones: dict[int, float] = {}
        for s in ready:
            zones[s.at.zone] = zones.get(s.at.zone, 0.0) + s.able
        if self.set.zone in zones:
            calls = self.demand * self.set.balancers / len(zones)  # of each zone, a second
            full = max(FULL, calls * len(zones) / able)
            kept = min(full * zones[self.set.zone] / max(calls, 1e-9), 1.0)
            if kept < 1:
                for s in others:
                    s.share *= max(1 - calls / (full * zones[s.at.zone]), AFAR)
                near = sum(s.share for s in drawn if s.at.zone == self.set.zone)
                far = sum(s.share for s in others)
                afar = max(afar, near * (1 - kept) / max(kept * far, 1e-9))
        for s in others:
            s.share *= afar

    # Placement

    def _draw(self, now: float, call: Call, avoid: Server | None, any_: bool = False,
              home: bool = False) -> Server | None:
        """An upstream by share, of the group that an attempt which may have run binds the call to."""
        servers, sums = self._reach(now, call, home)
        for _ in range(DRAWS):
            if not sums or sums[-1] <= 0:
                return None
            server = servers[bisect(sums, self.random.random() * sums[-1], 0, len(sums) - 1)]
            if not any_ and (self._quiet(now, server) and server.out or self._crowded(server)):
                servers, sums = drawable([s for s in servers if s is not server])
            elif server is not avoid and self._warm_enough(server, now):
                return server
        return None

    def _crowded(self, server: Server) -> bool:
        """Whether it holds far more of our calls than the others: it jams before its mean shows it."""
        others = len(self.table[0]) - 1
        return others > 0 and server.out >= CROWD * (FREE + (self.out - server.out) / others)

    def _quiet(self, now: float, server: Server) -> bool:
        """Whether it has gone silent: its machine may be gone though its connections stay open."""
        mean, wait = self.typical * server.slow / server.capacity(now, self.set.cold), now - server.heard
        if not server.quiet and mean and wait > OVERDUE * mean and wait * server.out > QUIET * mean:
            server.quiet = True
            self.silent.add(server)
            self._shares(now)
        return server.quiet

    def _reach(self, now: float, call: Call, home: bool = False) -> Table:
        bound = next((t for t in call.tries if t.ran), None)
        if bound is None or call.cls.effect is Effect.IDEMPOTENT:
            return self.home if home else self.table
        if call.cls.effect is Effect.AT_MOST_ONCE or now - bound.sent >= call.cls.window_ms:
            return [], []
        if call.cls.scope is Scope.ALL:
            return self.table
        zone = call.cls.scope is Scope.ZONE
        key = (call.cls.scope, bound.server.at.zone if zone else bound.server.at.cell)
        if key not in self.groups:
            members = [s for part in self.order for s in part if (s.at.zone if zone else s.at.cell) == key[1]]
            for s in members:
                self._share(s, now)
            self.groups[key] = drawable(members)
        return self.groups[key]

    def _warm_enough(self, server: Server, now: float) -> bool:
        """A cold upstream gets no more than this balancer's part of what all may send it."""
        if server.capacity(now, self.set.cold) >= 1.0:
            return True
        rate = self.room * server.share
        return server.earn(now, rate, 1.0 + rate * self.set.cold.fall_ms / 2) >= 1.0

    def _load(self, server: Server) -> float:
        """Utilisation, from reports or else from latency; our own unanswered attempts make it current."""
        mean = max(server.slow, server.like.low)
        load = server.util if server.util is not None else 1 - server.like.low / mean
        usual_out = self.held * server.share / max(self.table[1][-1], 1e-9)
        return 1 - (1 - min(load, 0.99)) * (usual_out + 1) / (max(server.out, usual_out) + 1)

    def _miss(self, now: float, call: Call, server: Server, load: float) -> float:
        """Chance that the wait exceeds the limit t = time left less v, or that the call fails there."""
        service = max(call.usual.mean * server.like.low, 1e-3)  # v, at an idle upstream of this kind
        limit = call.end - now - service
        if load >= 1 or limit <= 0:
            return 1.0
        return 1 - server.ok * (1 - load * exp(-(1 - load) * limit / service))

    def _odds(self, server: Server) -> float:
        """Chance of a short wait: over a long one a trace of errors would outweigh any queue."""
        load = self._load(server)
        return server.ok * (1 - load * exp(-(1 - load) * SHORT))

    def _price(self, now: float, call: Call, server: Server) -> float:
        """Chance to miss the aim there, by our calls out against its share, and the price of crossing."""
        count = len(self.table[0])
        queue = (server.out + 1) * self.table[1][-1] / count / server.share / (self.held / count + 1)
        late = exp(-max(call.aim - now, 1.0) / max(call.usual.mean * queue, 1e-3))
        away = self.set.crossing_cost if server.at.zone != self.set.zone else 0.0
        # Far from its aim every queue seems as good: the shorter one then.
        return 1 - min(server.ok / self.best, 1.0) * (1 - late) + CROSSINGS * away + 1e-6 * queue

    def _gate(self, now: float, call: Call, one: Server, two: Server, part: float) -> bool:
        """Formula (1), P = p_urgent * p_lax, with copies for `part` of the calls against without."""
        copied, shared = self.copied / max(self.came, 1), 1 - self.copyable / max(self.came, 1)
        # A tier that has never been idle shows no low mean: how full the entry is then tells its load.
        full = (self.out - 1) / self.entry.limit
        loads = [max(self._load(s), full) / (1 + copied) for s in (one, two)]
        pair = list(zip((one, two), loads, strict=True))
        plain = [self._miss(now, call, s, load) for s, load in pair]
        raised = [self._miss(now, call, s, load * (1 + part)) for s, load in pair]
        lax = (2 - sum(raised)) / max(2 - sum(plain), 1e-9) if shared > 0.01 else 1.0
        return (1 - raised[0] * raised[1]) * lax > 1 - plain[0]

    # Calls

    def _arrival(self, now: float, event: face.Arrival, acts: list[Action]) -> None:
        call = self.take(now, event)
        if call.end <= now or (not self.set.layer and self._refused(now, call, event)):
            self._finish(now, call, acts)
        else:
            # Refused calls earn no copies: in incident i4bceea they paid for a third more at a full entry.
            self.budget = min(self.budget + RETRIES, BURST)
            self._place(now, call, acts)

    def _refused(self, now: float, call: Call, event: face.Arrival) -> bool:
        worth = call.cls.worth
        if event.tenant < len(self.set.tenants):
            tenant = self.set.tenants[event.tenant]
            if self.over_quota(now, tenant):
                worth *= self.set.over_share_worth
        # Calls that hang at a silent upstream are no load on the others; the mean smooths what chance brings.
        held = (self.out + self.held) / 2 - sum(s.out for s in self.silent)
        return self.entry.refuses(now, worth / max(call.usual.mean, 1.0), held, self.live)

    def _place(self, now: float, call: Call, acts: list[Action]) -> None:
        """First landing of a call, or the next attempt after the earlier ones ended."""
        last = call.tries[-1].server if call.tries else None
        one = self._draw(now, call, last) or self._draw(now, call, None, any_=True)
        if one is None:
            # Nothing to send to now: while it can be in time hold the call, or a silent list would lose it.
            rest = any(s.at_rest(now) for s in self.table[0])
            if rest or call.tries or now + self.window / 8 >= min(call.end, call.aim - self.typical):
                self._finish(now, call, acts)
            else:
                self.wake(now + self.window / 8, call, acts)
            return
        repeat = call.cls.effect is not Effect.AT_MOST_ONCE and self.set.may_copy
        urgent = call.cls.late_worth < LAX
        two = self._draw(now, call, one) if not call.tries and (urgent or not call.cls.free) else None
        if not self.tier.done:
            more = [self._draw(now, call, last, home=n % 3 == 0) for n in range(CHOICES)]
            drawn = [one, *filter(None, [two, *more])]
            drawn.sort(key=lambda server: self._price(now, call, server))
            one, two = drawn[0], next((s for s in drawn if two and s is not drawn[0]), None)
        elif two and (self._odds(two) > self._odds(one) if urgent else two.ok > one.ok + STEADY):
            one, two = two, one
        two = two if urgent else None
        self.send(now, call, one, acts)
        repeat = repeat and call.end - now <= call.usual.mean * one.like.low * URGENT
        self.copyable += repeat and two is not None
        if repeat and two and self._copy_allowed(now, call, two) and self._gate(
                now, call, one, two, self.copyable / self.came):
            self.send(now, call, two, acts, copy=1)
        elif call.cls.effect is not Effect.AT_MOST_ONCE:
            wait = max(OVERDUE * call.usual.mean * one.slow, self.window / 8)
            self.wake(now + wait, call, acts)

    def _copy_allowed(self, now: float, call: Call, server: Server) -> bool:
        if call.once or not self.set.may_copy or len(call.tries) >= call.most or self.budget < BURST / 2:
            return False
        # A drawn second may lie outside the group that drops the call's repeats, also in a large group.
        return server in self._reach(now, call)[0]

    def _overdue(self, now: float, call: Call, acts: list[Action]) -> None:
        """A lone attempt is out for longer than expected: it is worth asking the gate again."""
        lone = next(t for t in call.tries if t.open)
        two = self._draw(now, call, lone.server)
        if self._quiet(now, lone.server) and two is not None and self.set.may_copy and not call.once:
            if len(call.tries) < call.most and two in self._reach(now, call)[0]:
                self.send(now, call, two, acts)
            return
        usual = call.usual.mean
        if now < call.end:
            self.wake(now + max(OVERDUE * usual * lone.server.slow, self.window / 8), call, acts)
        urgent = call.cls.late_worth < LAX and call.end - now <= usual * lone.server.like.low * URGENT
        if two is None or not urgent or not self._copy_allowed(now, call, two):
            return
        # A call may be late because it is costly, and a copy as costly: only its server's other calls tell.
        if self._odds(two) > self._odds(lone.server) and self._gate(now, call, lone.server, two, RETRIES):
            self.send(now, call, two, acts, copy=1)

    def _finished(self, now: float, event: face.Finished, acts: list[Action]) -> None:
        ended = self.ended(now, event)
        if ended is None:
            return
        call, attempt = ended
        self.reported(now, attempt.server, event)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and not attempt.server.quiet:
            self._tired(now, attempt.server, event.outcome is Outcome.OK and now <= call.aim)
        self.learn(now, call, attempt.server, event)
        if event.closed or event.outcome is Outcome.OK:
            self._close(call, acts)
        elif call.done or any(t.open for t in call.tries):
            if call.done and not any(t.open for t in call.tries):
                self.calls.pop(call.name, None)
        else:
            call.most *= not (call.once and event.spent)  # what is gone of it can't go out again
            self._further(now, call, acts)

    def _further(self, now: float, call: Call, acts: list[Action]) -> None:
        left = call.end - now - call.usual.mean * self.tier.low
        if left > 0 and len(call.tries) < call.most and self.budget >= 1 and not call.streaming:
            self.budget -= 1
            self._place(now, call, acts)
        else:
            self._finish(now, call, acts)

    def _finish(self, now: float, call: Call, acts: list[Action]) -> None:
        """Final answer without success: a refusal where a repeat is harmless, else a failure."""
        if any(t.ran for t in call.tries) and not call.cls.free:
            acts.append(face.Fail(call.name))
        else:
            acts.append(face.Refuse(call.name, min(self.set.max_retry_after_ms, self.window)))
        self._close(call, acts)

    def _close(self, call: Call, acts: list[Action]) -> None:
        call.done = True
        self._cancel(call, -1, acts)
        if not any(t.open for t in call.tries):
            del self.calls[call.name]

    def _cancel(self, call: Call, but: int, acts: list[Action]) -> None:
        if self.set.may_cancel:
            acts += [face.Cancel(call.name, n) for n, t in enumerate(call.tries) if t.open and n != but]

    def _timer(self, now: float, token: int, acts: list[Action]) -> None:
        if token not in self.timers:
            return
        call = self.timers.pop(token)
        if call is None:
            acts.append(face.Subscribe())
        elif call.done or call.streaming:
            return
        elif not call.tries:
            self._place(now, call, acts)
        elif sum(t.open for t in call.tries) == 1:
            self._overdue(now, call, acts)

    # Rest

    def _tired(self, now: float, server: Server, in_time: bool) -> None:
        """One that misses call after call is choked or worse: it gets idle time, the entry less meanwhile."""
        server.row = 0 if in_time else server.row + 1
        if server.row >= ROW and not server.at_rest(now) and not self.set.layer:  # it alone refuses
            if sum(s.at_rest(now) for s in self.table[0]) < RESTING * len(self.table[0]):
                server.rests, server.row = now + REST, 0
                self._shares(now)

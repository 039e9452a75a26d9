"""Every decision of the balancer. Its types, events and actions: `events.py`, `actions.py`.

Each replica has a three-state breaker. A request goes to the replica with the least of this balancer's
own work in flight among a few sampled closed ones; an open replica comes back through single trials.
"""

from __future__ import annotations

import heapq
import math
import random
from itertools import islice

from lockspoke.units import SECOND

from .actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList
from .breaker import LONGEST_RECOVERY, RECOVERY, Breaker, BreakerState
from .events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    ReplicaState,
    RequestArrived,
)
from .records import (
    DecayingSum,
    MachineKind,
    PromptBands,
    Recent,
    TrackedAttempt,
    TrackedReplica,
    TrackedRequest,
    appraise,
    tally,
)
from .settings import BalancerSettings, Idempotency

UNREACHED_WEIGHT = 3  # failures that a failed or broken connection counts for: a gateway among many sees few
OPEN_SHARE = 0.5  # of the listed replicas at most: past that the trouble is shared, not theirs
SAMPLE = 2  # the hand-over's figure: fresh candidates beside the last winner
ANSWER_TOKENS = 200.0  # an answer weighs about as much on a replica as reading a prompt of this length
RATE_MEMORY = 10 * SECOND  # long enough to smooth single requests, short enough to follow the day
READING = 4.0  # an unread token here takes room from all later ones
CROSSING_TOKENS = 200_000.0  # times the price of crossing zones: the load it is worth to stay at home
NEAR = 20.0  # times the price of crossing zones: how much more often a replica at home is drawn
LATE_PART = 0.2  # of the aim, twice for a prompt not cached: later, and the replica holds too much
RISE = 0.75  # over the number of gateways, by a first token in time: answers show their weight late
RISE_GATEWAYS = 16  # at most: with more the rise would take minutes
SPARE = 0.65  # share of a replica's slots that may be taken, by its reports, before limits hold requests
LEAST_BUSY = 0.1  # a report below that says no more than that there is much room
REPORT_LIVES = 4 * SECOND  # a report older than that says nothing any more
MILD_PART = 0.5  # of the aim: later than that, a first token is a sign of a jam whatever a report says
LATENESS_MEMORY = 8  # signs; most of these late: the trouble is shared, and the gateway as a whole holds back
FIRST_LIMIT = 2.0  # of a replica that has started or was open: as many as its trials; and all's least
LIMIT_CUT = 0.7  # what is left of a concurrency limit after a late first token, a time-out or 'full'
PREFERRED_SHARE = 0.5  # of a mean replica's requests: as many as one prefix may bring to one replica
MOST_RANKINGS = 512  # prefixes whose ranking of the replicas is kept
RECENT = 256  # requests by which a prefix's share of the traffic is judged: there may be hundreds of them
FULL_PAUSE = SECOND // 10  # before a full replica is asked again: at once, it would only refuse again
COME_BACK = SECOND // 2  # the least that a refused client is told to wait: sooner, it meets the same jam
REJECTIONS = 2  # replicas that find a request at fault, until it is: one alone may itself be at fault
STUCK = 4  # waiting requests that may fail to find a place before the rest of the line is left for later
FLOOD = 1.5  # times the mean of what tenants were sent against their shares: past it they wait behind others
FAIR_SHARE = 0.6  # of the share of all that is sent on: prompts whose length fares worse go before others
BAND_MEMORY = 30 * SECOND  # over which that is judged: a burst of some seconds leaves the order as it is
COLD_MARGIN = 0.5  # of the allowed pressure on a cold replica: work is only estimated
FIRST_TURNS = 0.5  # requests a turn that one just started can surely take, whatever warm ones do
STRIDE = 0.618  # of the gateways: how far on the next turn's first one is
HEAVY = 2.0  # times the mean request: nothing heavier goes to a cold replica alone
ASKED_MEMORY = 16  # requests over which the mean request is taken
ASK_GAP = SECOND // 12  # between two gateways' calls for the list when all start at once
ASK_AGAIN = SECOND // 2  # shortest pause after a failed call for the list; a handful wait twice that at most
LAST_TURN = 9 * SECOND // 2  # 6 s after which all counts as told, less 1.5 for a request and its answer
LONGEST_UNASKED = 7 * SECOND // 2  # 6 s after which all counts as told, less 2.5 to connect and be answered

_NEVER = 1 << 80  # later than any clock
COUNTED = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
UNREACHED = (Outcome.CONNECT_FAILED, Outcome.RESET)


class Balancer:
    """Decides for one gateway: hand it events with the time, carry out the actions in their order."""

    def __init__(self, settings: BalancerSettings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.replicas: dict[int, TrackedReplica] = {}
        self.ready: list[TrackedReplica] = []  # of them, those that the list calls ready
        self.kinds: dict[int, MachineKind] = {}
        self.rankings: dict[int, list[TrackedReplica]] = {}  # by prefix, see _ranking
        self.requests: dict[int, TrackedRequest] = {}
        self.waiting: dict[int, TrackedRequest] = {}  # held until a replica has room
        self.taken = [DecayingSum(RATE_MEMORY) for _ in settings.tenants]  # work sent, against its share
        self.fleet = TrackedReplica(0, Breaker())  # all as one: own requests with no first token, their limit
        self.bands = PromptBands(BAND_MEMORY)
        self.lateness = 0.0  # share of late signs among the latest ones
        self.last_winner: TrackedReplica | None = None
        self.recent = Recent(RECENT)  # prefixes, or sessions, of the latest requests
        self.due: list[tuple[int, int]] = []  # (deadline, request)
        self.armed = _NEVER  # when the timer that was asked for fires
        self.ask_at: int | None = None  # when to ask for the list
        self.began = self.warm_at = 0  # the first event came; all are warm from then on
        self.done = DecayingSum(RATE_MEMORY)  # work that the mean warm replica got done of late
        self.asked = ANSWER_TOKENS  # what the mean request asks of a replica that keeps nothing, in tokens
        self.latest_actions: list[Action] = []

    def reconfigure(self, settings: BalancerSettings) -> None:
        """New settings from now on; what is under way keeps the class it came with."""
        self.settings, self.taken = settings, [DecayingSum(RATE_MEMORY) for _ in settings.tenants]

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what has come in at `now`; answer what is to be done at once."""
        self.now, self.latest_actions, self.began = now, [], self.began or now
        self.armed = self.armed if self.armed > now else _NEVER
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case FirstToken():
                    self._first_token(event)
                case AttemptEnded():
                    self._ended(event)
                case EndpointListUpdate():
                    self._listed(event)
                case ClientDisconnected(number) if number in self.requests:
                    self._close(number, self.requests[number])
        self._admit()
        # After the events: an answer in this very batch beats the deadline that it met.
        while self.due and self.due[0][0] <= now:
            _, number = heapq.heappop(self.due)
            request = self.requests.get(number)
            if request is not None and request.open and not any(a.streaming for a in request.attempts):
                self._answer(number, request)  # a stream that has begun has no deadline
        if self.ask_at is not None and self.ask_at <= now:
            self.latest_actions.append(
                WatchEndpointList(True)
            )  # an answer may never come: asked again before that counts
            self.ask_at = now + self.settings.poll_interval // 2
        wake = min(self.due[0][0] if self.due else _NEVER, self.ask_at if self.ask_at is not None else _NEVER)
        wake = min(wake, now + FULL_PAUSE) if self.waiting else wake  # time alone ends a pause
        if wake < self.armed:
            self.armed = wake
            self.latest_actions.append(SetTimer(wake - now, 0))
        return self.latest_actions

    def _listed(self, update: EndpointListUpdate) -> None:
        if self.settings.polls_endpoint_list and update.completes_poll:
            self._plan_to_ask(update.kind)
        if update.kind is EndpointListKind.FAILED:
            return
        if update.kind is not EndpointListKind.DELTA:
            named = {entry.replica for entry in update.entries}
            for replica in self.replicas.values():
                if replica.number not in named and replica.state is not ReplicaState.REMOVED:
                    replica.state, replica.told_at = ReplicaState.REMOVED, self.now
        for entry in update.entries:
            if entry.replica not in self.replicas:
                self.replicas[entry.replica] = TrackedReplica(entry.replica, Breaker())
            replica = self.replicas[entry.replica]
            if entry.started_at > replica.started_at:
                # A process that has begun anew owes nothing for the failures of the one before it.
                replica.started_at, replica.breaker = entry.started_at, Breaker()
                replica.warm_at = entry.started_at + self.settings.slow_start_duration
                replica.cached.clear()
                replica.limit = FIRST_LIMIT if self.now < replica.warm_at else math.inf
            replica.state, replica.told_at = entry.state, self.now
            replica.zone, replica.cell, replica.listed = entry.zone, entry.cell, max(entry.weight, 1e-9)
            replica.nominal = max(replica.nominal, replica.listed)
            replica.kind = self.kinds.setdefault(entry.machine_kind, MachineKind())
        # A gone replica is remembered while it could come back cold: its spent warm-up budget must hold.
        since = self.now - self.settings.slow_start_duration - self.settings.overload_duration
        for replica in [r for r in self.replicas.values() if r.state is ReplicaState.REMOVED]:
            if replica.in_flight == 0 and replica.told_at < since:
                del self.replicas[replica.number]
        self.ready = [r for r in self.replicas.values() if r.state is ReplicaState.READY]
        self.rankings.clear()
        self.kinds = tally(self.kinds, self.ready)
        self.warm_at = max((r.warm_at for r in self.ready), default=0)

    def _plan_to_ask(self, kind: EndpointListKind) -> None:
        """When to ask for the list next: in turn at the start, spaced after failures, else not at all."""
        gateways = self.settings.gateway_count
        gap = min(ASK_GAP, LAST_TURN // gateways, self.settings.poll_interval // (2 * gateways))
        if kind is EndpointListKind.FAILED:
            # All gateways may have failed together; spread, so that they do not call together again.
            pause = min(ASK_AGAIN, self.settings.poll_interval // 4)
            spread = min(max(gap * gateways, pause), LONGEST_UNASKED - pause)
            self.ask_at = self.now + pause + int(self.random.random() * spread)
        else:  # Many start at once in a release: each calls in its place in the line.
            place = gap * (self.settings.gateway_index % gateways)
            self.ask_at = self.now + place if kind is EndpointListKind.CACHED else None

    def _arrived(self, event: RequestArrived) -> None:
        request = TrackedRequest(event, self.now, self.settings.classes[event.request_class])
        self.requests[event.request] = self.waiting[event.request] = request
        heapq.heappush(self.due, (request.deadline, event.request))
        self.recent.add(event.prefix or event.session)
        seen = min(len(self.recent), ASKED_MEMORY)  # a gateway that has just started goes by what it has seen
        self.asked += (event.prompt_tokens + ANSWER_TOKENS - self.asked) / seen

    def _admit(self) -> None:
        """Give what waits to replicas with room: in time, no flood, fair by length, least reading."""
        if not self.waiting:
            return
        closed = [replica for replica in self.ready if replica.breaker.look(self.now) is BreakerState.CLOSED]
        free = [r for r in closed if self._has_room(r)] if self._has_room(self.fleet) else []
        trials = any(
            r.breaker.state is BreakerState.HALF_OPEN and r.breaker.trial is None for r in self.ready
        )
        if closed and not free and not trials:
            return  # guards the gateway's CPU: a jam in a large fleet is looked at for every event
        stuck, line = 0, list(self.waiting)
        if len(line) > 1:  # mostly there is one: no line to order
            line.sort(key=lambda number: self._turn(self.waiting[number], free))
        for number in line:
            if stuck < STUCK:
                stuck += not self._send(number, self.waiting[number])

    def _turn(
        self, request: TrackedRequest, free: list[TrackedReplica]
    ) -> tuple[bool, bool, bool, float, int]:
        arrived = request.arrived
        # A client's later try has lost the aim of its first one: flagged, or with less time than the aim.
        late = (
            arrived.client_retry or not self.now - request.arrived_at <= request.aim <= arrived.time_remaining
        )
        # Guards a jam against itself: with one free place at a time prompts would be read anew everywhere.
        reading = min((self._work(request, replica) for replica in free), default=0.0)
        owner = min(arrived.tenant, len(self.taken) - 1)  # a reload may have left fewer
        taken = [tenant.value(self.now) for tenant in self.taken]
        flood = bool(taken) and taken[owner] > FLOOD * sum(taken) / len(taken)
        # Least reading first alone would leave the longest prompts behind for as long as an overload lasts.
        fair = self.bands.share_sent(arrived.prompt_tokens) >= FAIR_SHARE * self.bands.share_sent()
        return late, flood, fair, reading * fair, -request.arrived_at

    def _send(self, number: int, request: TrackedRequest) -> bool:
        """Send the next attempt, or answer finally when no replica may take it; False if it has to wait."""
        replica, busy = None, False
        if len(request.attempts) < self.settings.max_attempts and self.now < request.deadline:
            replica, busy = self._pick(request)
        if replica is None and busy:
            return False
        del self.waiting[number]
        if replica is None:
            if not any(attempt.out for attempt in request.attempts):
                self._answer(number, request)
            return True
        if self.taken:
            owner = min(request.arrived.tenant, len(self.taken) - 1)
            share = max(self.settings.tenants[owner].quota, 1e-9)
            self.taken[owner].add(self.now, self._work(request, replica) / share)
        if not request.attempts:
            self.bands.note(self.now, request.arrived.prompt_tokens, sent=True)
        attempt = TrackedAttempt(
            replica, self.now, self._work(request, replica), replica.unread(request.arrived)
        )
        replica.take(request.arrived, attempt.work)
        self.fleet.in_flight += 1
        if replica.breaker.look(self.now) is BreakerState.HALF_OPEN:
            replica.breaker.trial, replica.breaker.trial_at = attempt, self.now
        if self.now < replica.warm_at:
            replica.cold_sends.append((self.now, request.arrived.prompt_tokens + ANSWER_TOKENS))
        ran = (
            request.ran if request.kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY else ()
        )  # repeats have their time
        left = (
            request.kind.deduplication_window - self.now + ran[0].sent_at if ran else 0
        )  # to connect in, too
        request.attempts.append(attempt)
        self.latest_actions.append(SendAttempt(number, replica.number, request.deadline - self.now, left))
        return True

    def _answer(self, number: int, request: TrackedRequest) -> None:
        if not request.attempts:
            self.bands.note(self.now, request.arrived.prompt_tokens, sent=False)
        self.latest_actions.append(Fail(number) if request.ran else Reject(number, self._come_back()))
        self._close(number, request)

    def _come_back(self) -> int:
        """How long until some replica may take a request: told to the client, who is never held for it."""
        room = [max(replica.full_until, replica.breaker.shut_until()) for replica in self.ready]
        return max(COME_BACK, min(room, default=self.now + RECOVERY) - self.now)

    def _first_token(self, event: FirstToken) -> None:
        request = self.requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            if attempt.streaming or not attempt.out:
                return
            attempt.streaming, self.fleet.in_flight = True, self.fleet.in_flight - 1
            attempt.replica.turned.pop(request.arrived.request_class, None)
            for other in request.attempts:
                if (
                    other.outcome is Outcome.INVALID_REQUEST
                ):  # this replica takes what that one found at fault
                    other.replica.breaker.failed(self.now, self._may_open())
            read = 1.0 + attempt.unread / max(1.0, request.arrived.prompt_tokens)  # reading takes its time
            self._learn(attempt, event.elapsed / request.aim / read)
            if self.settings.utilization_field is None:  # no reports: a late one tells that it is full
                self._saw(attempt.replica, 1.0 if event.elapsed / request.aim / read > LATE_PART else 0.5)
            attempt.replica.breaker.succeeded(attempt)
            attempt.replica.work -= attempt.work - ANSWER_TOKENS  # the prompt is read, the answer goes on
            attempt.work = ANSWER_TOKENS

    def _ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.out:
            return
        kind, attempt.outcome = request.arrived.request_class, event.outcome
        full = event.outcome is Outcome.OVERLOADED and self._is_full(attempt.replica, kind, event.elapsed)
        if event.load_report and self.settings.utilization_field is not None:
            self._reported(attempt.replica, event.load_report[self.settings.utilization_field])
        if not attempt.streaming and (full or event.outcome is Outcome.TIMEOUT):
            self._learn(attempt, math.inf)
        breaker, before = attempt.replica.breaker, attempt.replica.breaker.state
        attempt.replica.in_flight -= 1
        attempt.replica.least = min(attempt.replica.least, attempt.replica.in_flight)
        self.fleet.in_flight -= not attempt.streaming
        attempt.replica.work -= attempt.work
        if event.outcome is Outcome.OK:
            breaker.succeeded(attempt)
            if self.now >= attempt.replica.warm_at:
                # Kept prompts took no work: counted, they would let a cold replica without any be overrun.
                unread = min(attempt.unread, request.arrived.prompt_tokens - event.cached_tokens)
                warm = sum(self.now >= replica.warm_at for replica in self.ready)
                self.done.add(self.now, (max(0.0, unread) + ANSWER_TOKENS) / max(1, warm))
        elif event.outcome in COUNTED:
            weight = UNREACHED_WEIGHT if event.outcome in UNREACHED and not event.connection_reused else 1
            breaker.failed(self.now, weight > 1 or self._may_open(), weight)
            if before is BreakerState.CLOSED and breaker.state is BreakerState.OPEN:
                # It comes back to a few requests and earns more: all gateways find it empty at once.
                attempt.replica.limit = FIRST_LIMIT
                self.latest_actions.append(Log(f"breaker open: replica {event.replica}, last {event.outcome.name}"))
        breaker.released(attempt)
        if event.request_answered or not request.open:
            self._close(event.request, request)
        elif sum(other.outcome is Outcome.INVALID_REQUEST for other in request.attempts) >= REJECTIONS:
            self._answer(event.request, request)
        elif not any(other.streaming and other.out for other in request.attempts):
            self.waiting[event.request] = request

    def _learn(self, attempt: TrackedAttempt, part: float) -> None:
        """Move the limits: what is sent past the pace of a replica, or of all, makes all of it late."""
        # 'Full' is one replica's alone: its quick refusals would outnumber all other signs.
        shared, replica = attempt.outcome is not Outcome.OVERLOADED, attempt.replica
        roomy = self.now - replica.busy_at < REPORT_LIVES and replica.in_flight <= replica.floor
        if shared and LATE_PART < part <= MILD_PART and roomy:
            return  # it was reading: a prompt that nobody keeps, or a heavy one before it
        self.lateness += ((part > LATE_PART) - self.lateness) / LATENESS_MEMORY * shared
        for holder in (attempt.replica, self.fleet)[: 1 + shared]:
            if part <= LATE_PART:
                if holder.in_flight + 1 >= holder.limit:
                    holder.limit += RISE / min(self.settings.gateway_count, RISE_GATEWAYS)
            elif attempt.sent_at >= holder.cut_at and (holder is not self.fleet or self.lateness > 0.5):
                holder.limit = LIMIT_CUT * min(holder.limit, holder.in_flight)
                holder.limit = max(FIRST_LIMIT if holder is self.fleet else 1.0, holder.limit)
                holder.cut_at = self.now

    def _is_full(self, replica: TrackedReplica, kind: int, elapsed: int) -> bool:
        """A full replica says so at once; one that takes its time turns away a class of requests."""
        if elapsed <= FULL_PAUSE:
            replica.full_until = self.now + FULL_PAUSE
            return True
        times = replica.turned[kind] = replica.turned.get(kind, 0) + 1
        replica.class_until[kind] = self.now + min(elapsed << min(times, 16), LONGEST_RECOVERY)
        return False

    def _reported(self, replica: TrackedReplica, busy: float) -> None:
        replica.floor = max(1, replica.least) * SPARE / max(busy, LEAST_BUSY)  # that there is room for
        replica.least = replica.in_flight
        if self.now - replica.cut_at > REPORT_LIVES:
            replica.limit = max(replica.limit, replica.floor)
        self._saw(replica, busy)

    def _saw(self, replica: TrackedReplica, busy: float) -> None:
        """What a kind's replicas can do: answers against slots taken. Of one alone too few answers come."""
        replica.busy, replica.busy_at = busy, self.now
        if self.now >= replica.warm_at:
            replica.kind.reported(busy)
        appraise(list(self.kinds.values()), self.settings.utilization_field is not None)

    def _may_open(self) -> bool:
        """Guards against a shared slowdown that would open the whole fleet and refuse everything."""
        shut = sum(r.breaker.state is not BreakerState.CLOSED for r in self.ready)
        return shut + 1 <= OPEN_SHARE * len(self.ready)

    def _close(self, number: int, request: TrackedRequest) -> None:
        request.open = False
        self.waiting.pop(number, None)
        if not any(attempt.out for attempt in request.attempts):
            self.requests.pop(number, None)

    def _may_run(self, request: TrackedRequest, replica: TrackedReplica) -> bool:
        if not self.settings.hedging_allowed and any(attempt.out for attempt in request.attempts):
            return False
        kind, ran = request.kind, request.ran
        if kind.idempotency is Idempotency.IDEMPOTENT or not ran:
            return True
        if (
            kind.idempotency is Idempotency.NOT_IDEMPOTENT
            or self.now - ran[0].sent_at >= kind.deduplication_window
        ):
            return False
        group = kind.deduplication_scope.value
        return group == "all" or all(getattr(replica, group) == getattr(a.replica, group) for a in ran)

    def _budget_allows(self, replica: TrackedReplica, work: float) -> bool:
        """Bounded by what warm ones get done; as many gateways have a turn as requests are due to all."""
        settings, sends, gateways = self.settings, replica.cold_sends, self.settings.gateway_count
        turn = (self.now - replica.started_at) // settings.overload_duration
        if turn != replica.turn:
            replica.turn, replica.luck = turn, self.random.random()
        while sends and self.now - sends[0][0] >= settings.overload_duration:
            sends.popleft()
        size = min(1.0, replica.nominal * len(self.ready) / sum(r.nominal for r in self.ready))
        surely = (
            FIRST_TURNS
            * self.asked
            * SECOND
            / settings.overload_duration
            / max(settings.slow_start_initial_share, 0.01)
        )
        pace = max(settings.overload_multiple * COLD_MARGIN * self._pace(), surely) * size
        due = pace * replica.share_of_warm(self.now, settings) * settings.overload_duration / SECOND
        # Turns that follow one another go to others. A part of a request due is a chance of one.
        place = (turn * (1 + int(STRIDE * gateways)) + replica.number + settings.gateway_index) % gateways
        if place + replica.luck >= due / self.asked:
            return False
        most = max(due / gateways, self.asked * (1.0 if sends else HEAVY))
        return sum(spent for _, spent in sends) + work <= most

    def _pace(self) -> float:
        """What all gateways together get done on a mean warm replica, as this one has seen it, a second."""
        seen = 1.0 - 0.5 ** max(0.1, (self.now - self.began) / RATE_MEMORY)  # a young sum is still low
        return float(self.done.rate(self.now) * self.settings.gateway_count / seen)

    @staticmethod
    def _work(request: TrackedRequest, replica: TrackedReplica) -> float:
        """What the request asks of this replica, in tokens: what it has not cached, and the answer."""
        return replica.unread(request.arrived) + ANSWER_TOKENS

    def _has_room(self, replica: TrackedReplica) -> bool:
        return replica.in_flight < replica.limit and self.now >= replica.full_until

    def _pick(self, request: TrackedRequest) -> tuple[TrackedReplica | None, bool]:
        """A half-open replica without a trial, else the least loaded of a sample; and whether any is busy."""
        # Never again where it failed, not even unreached: a dead replica looks idle and would win again.
        tried = [a.replica for a in request.attempts if a.outcome is not Outcome.OVERLOADED]
        closed: list[TrackedReplica] = []
        busy, asked, again = False, request.arrived.prompt_tokens + ANSWER_TOKENS, bool(request.attempts)
        for replica in self.ready:
            state = replica.breaker.look(self.now)
            if state is BreakerState.OPEN or (
                again and (replica in tried or not self._may_run(request, replica))
            ):
                continue
            if self.now < replica.class_until.get(request.arrived.request_class, 0):
                busy = True
                continue
            if self.now < replica.warm_at and not self._budget_allows(replica, asked):
                continue
            if state is BreakerState.HALF_OPEN:
                # A full one's slot is free at once: without the pause it would take every request there is.
                if replica.breaker.trial is None and self.now >= replica.full_until:
                    return replica, False
            elif self._has_room(replica):
                closed.append(replica)
            else:
                busy = True
        if not closed or not self._has_room(self.fleet):
            return None, busy or bool(closed)
        mine = [r for r in closed if self.now < r.warm_at] if self.now < self.warm_at else []
        if mine:  # Else they would be drawn too seldom for the turn: the others carry their work meanwhile.
            self.last_winner = min(mine, key=lambda r: r.in_flight / r.share_of_warm(self.now, self.settings))
            return self.last_winner, False
        sample = self._draw(closed)
        if self.last_winner is not None and self.last_winner in closed:
            sample.append(self.last_winner)
        arrived = request.arrived
        if arrived.session or arrived.prefix:
            # Also who is known to hold most of the prompt.
            preferred = self._preferred(arrived, closed)
            for replica in preferred:
                replica.cached.setdefault(arrived.prefix, arrived.prefix_tokens)  # others have sent it there
            sample += [*preferred, min(closed, key=lambda replica: self._work(request, replica))]
        mean_size = sum(replica.size for replica in closed) / len(closed)
        self.last_winner = min(sample, key=lambda replica: self._cost(replica, request, mean_size))
        return self.last_winner, False

    def _preferred(self, arrived: RequestArrived, closed: list[TrackedReplica]) -> list[TrackedReplica]:
        """Two of the replicas that hold the request's prefix, of many if many ask for it.

        A session's are the same at all gateways of a zone: its next turn may come to any of them.
        """
        key = arrived.prefix or arrived.session
        count = 1 + int(self.recent.share(key, ASKED_MEMORY) * len(closed) / PREFERRED_SHARE)
        holders = list(islice((replica for replica in self._ranking(key) if replica in closed), count))
        if not arrived.session:
            return self._draw(holders)
        own, near = self.settings.zone, 1.0 + NEAR * self.settings.cross_zone_cost
        holders.sort(key=lambda r: r.rank(arrived.session) / (near if r.zone == own else 1.0))
        return holders[:SAMPLE]

    def _ranking(self, key: int) -> list[TrackedReplica]:
        """The ready replicas in the order in which they should hold a prefix; ranking is dear, so kept."""
        order = self.rankings.get(key)
        if order is None:
            if len(self.rankings) >= MOST_RANKINGS:
                self.rankings.clear()
            order = self.rankings[key] = sorted(self.ready, key=lambda replica: replica.rank(key))
        return order

    def _draw(self, replicas: list[TrackedReplica]) -> list[TrackedReplica]:
        # By size: weights that sink with the load move a part of the traffic, never all of it.
        own, near = self.settings.zone, 1.0 + NEAR * self.settings.cross_zone_cost
        weights = [r.size * near if r.zone == own else r.size for r in replicas]
        return self.random.choices(replicas, weights, k=SAMPLE)

    def _cost(self, replica: TrackedReplica, request: TrackedRequest, mean_size: float) -> float:
        """What the request waits for there, and what it takes from the fleet, in tokens of a mean replica.

        Own work in flight stands for that of all gateways; a full replica counts as one more own request.
        """
        capacity = replica.size / mean_size * replica.share_of_warm(self.now, self.settings)
        fresh: float = 0.5 ** ((self.now - replica.busy_at) / RATE_MEMORY)  # of its own word
        busy = replica.kind.mean + (replica.busy - replica.kind.mean) * fresh
        load = replica.work / capacity + ANSWER_TOKENS * max(0.0, busy - SPARE) / (1.0 - SPARE)
        cost = load * self.settings.gateway_count + READING * self._work(request, replica)
        if replica.zone != self.settings.zone:
            cost += self.settings.cross_zone_cost * CROSSING_TOKENS
        return cost

"""The balancer of one gateway: passes each event to the parts that handle it, and returns actions.

Each part has a module of its own: `endpoint_list` and `discovery_polling` (which replicas there are),
`admission` (the order of waiting requests), `replica_selection` (the replica for an attempt) and
`attempt_results` (what is learned from first tokens and outcomes).
"""

from __future__ import annotations

import random

from lockspoke.units import SECOND

from .actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList
from .admission import AdmissionQueue
from .attempt_results import AttemptResults
from .breaker import INITIAL_RECOVERY, BreakerState
from .concurrency_control import ConcurrencyControl
from .deadlines import DeadlineQueue
from .discovery_polling import DiscoveryPolling
from .endpoint_list import EndpointList
from .events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    RequestArrived,
)
from .overload_backoff import OVERLOAD_BACKOFF
from .prefix_affinity import PrefixAffinity
from .replica_selection import ReplicaSelector
from .settings import BalancerSettings, Idempotency
from .slow_start_budget import SlowStartBudget
from .tracked import ANSWER_TOKENS, TrackedAttempt, TrackedReplica, TrackedRequest
from .weighted_sampling import WeightedSampler

MIN_RETRY_AFTER = SECOND // 2  # a client that retries sooner meets the same overload
MAX_UNPLACED = 4  # waiting requests that find no replica before the rest of the queue is left for later
MAX_INVALID_VERDICTS = 2  # replicas that find a request invalid; one alone may itself be at fault
TIMER_TOKEN = 0  # there is one kind of timer: any event makes the balancer look at the time

_NEVER = 1 << 80  # later than any time that a clock shows


class Balancer:
    """Decides for one gateway; does no I/O and reads no clock. Not safe for use by several threads."""

    def __init__(self, settings: BalancerSettings, seed: int) -> None:
        source = random.Random(seed)  # noqa: S311 - spreads load; draws must repeat for a seed
        self.settings = settings
        self.requests: dict[int, TrackedRequest] = {}  # by number, until all of their attempts have ended
        self.endpoints = EndpointList(settings)
        self.limits = ConcurrencyControl(settings)
        self.queue = AdmissionQueue(settings)
        self._polling = DiscoveryPolling(settings, source)
        self._sampler = WeightedSampler(settings, source)
        self.affinity = PrefixAffinity(settings, self.endpoints, self._sampler)
        self._budget = SlowStartBudget(settings, source, self.endpoints)
        self._selector = ReplicaSelector(
            settings, self.endpoints, self._budget, self._sampler, self.affinity, self.limits.gateway
        )
        self._results = AttemptResults(settings, self.endpoints, self.limits, self._budget)
        self.deadlines = DeadlineQueue()
        self._timer_fires_at = _NEVER
        # The actions of the latest call. After an exception they hold what was decided before it: that
        # counts as done here, and has to be carried out.
        self.latest_actions: list[Action] = []

    @property
    def replicas(self) -> dict[int, TrackedReplica]:
        """The replicas of the endpoint list by number, with those that were removed recently."""
        return self.endpoints.replicas

    def reconfigure(self, settings: BalancerSettings) -> None:
        """Use new settings from now on; requests in progress keep the class that they arrived with."""
        self.settings = settings
        self.endpoints.settings = settings
        self.limits.settings = settings
        self.queue.reconfigure(settings)
        self._polling.settings = settings
        self._sampler.settings = settings
        self.affinity.settings = settings
        self._budget.settings = settings
        self._selector.settings = settings
        self._results.settings = settings

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Apply the events received at `now` (nanoseconds); return the actions to carry out in order."""
        self.latest_actions = []
        self._budget.begin(now)
        if self._timer_fires_at <= now:
            self._timer_fires_at = _NEVER
        for event in events:
            self._apply(now, event)
        self._admit(now)
        # After the events: an answer in the same batch comes before the deadline that it met.
        self._answer_expired(now)
        if self._polling.take_due_poll(now):
            self.latest_actions.append(WatchEndpointList(True))
        self._set_timer(now)
        return self.latest_actions

    def _apply(self, now: int, event: Event) -> None:
        match event:
            case RequestArrived():
                self._add_request(now, event)
            case FirstToken():
                self._apply_first_token(now, event)
            case AttemptEnded():
                self._apply_outcome(now, event)
            case EndpointListUpdate():
                self._apply_endpoint_list(now, event)
            case ClientDisconnected(number) if number in self.requests:
                self._close(number, self.requests[number])

    def _apply_endpoint_list(self, now: int, update: EndpointListUpdate) -> None:
        if self.settings.polls_endpoint_list and update.completes_poll:
            self._polling.record_poll_result(now, update.kind)
        self.endpoints.apply(now, update)
        self.affinity.clear_rankings()

    def _add_request(self, now: int, event: RequestArrived) -> None:
        request = TrackedRequest(event, now, self.settings.classes[event.request_class])
        self.requests[event.request] = request
        self.queue.waiting[event.request] = request
        self.deadlines.add(request.deadline, event.request)
        recent_requests = self.affinity.record_request(event)
        self._budget.record_request(event.prompt_tokens, recent_requests)

    def _apply_first_token(self, now: int, event: FirstToken) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.in_progress and not attempt.streaming:
            self._results.first_token(now, request, attempt, event)

    def _apply_outcome(self, now: int, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.in_progress:
            return
        if self._results.ended(now, request, attempt, event):
            self.latest_actions.append(
                Log(f"breaker open: replica {event.replica}, last {event.outcome.name}")
            )
        if event.request_answered or not request.is_open:
            self._close(event.request, request)
        elif _found_invalid(request):
            self._answer(now, event.request, request)
        elif not request.is_streaming:
            self.queue.waiting[event.request] = request

    def _admit(self, now: int) -> None:
        """Send waiting requests, in the queue's order, to replicas that have capacity."""
        if not self.queue.waiting:
            return
        ready = self.endpoints.ready
        closed = [replica for replica in ready if replica.breaker.refresh(now) is BreakerState.CLOSED]
        available: list[TrackedReplica] = []
        if self.limits.gateway.has_capacity():
            available = [replica for replica in closed if replica.has_capacity(now)]
        if closed and not available and not any(replica.breaker.accepts_trial for replica in ready):
            return  # saves the work below for each event while a large fleet is overloaded
        unplaced = 0
        for number in self.queue.in_order(now, available):
            if not self._place(now, number, self.queue.waiting[number]):
                unplaced += 1
                if unplaced >= MAX_UNPLACED:
                    return

    def _place(self, now: int, number: int, request: TrackedRequest) -> bool:
        """Send the next attempt, or answer if no replica may take it; return False if it has to wait."""
        replica, may_wait = None, False
        if len(request.attempts) < self.settings.max_attempts and now < request.deadline:
            replica, may_wait = self._selector.select(now, request)
        if replica is None and may_wait:
            return False
        del self.queue.waiting[number]
        if replica is not None:
            self._send(now, number, request, replica)
        elif not request.has_attempt_in_progress:
            self._answer(now, number, request)
        return True

    def _send(self, now: int, number: int, request: TrackedRequest, replica: TrackedReplica) -> None:
        arrived = request.arrived
        attempt = TrackedAttempt(replica, now, replica.uncached_tokens(arrived))
        self.queue.record_sent(now, request, attempt.work)
        replica.record_send(arrived, attempt.work)
        self.limits.gateway.in_flight += 1
        if replica.breaker.state is BreakerState.HALF_OPEN:
            attempt.trial = replica.breaker.begin_trial(now)
        if replica.slow_start.in_progress(now):
            replica.slow_start.record_send(now, arrived.prompt_tokens + ANSWER_TOKENS)
        start_within = _time_to_start(now, request)
        request.attempts.append(attempt)
        self.latest_actions.append(SendAttempt(number, replica.number, request.deadline - now, start_within))

    def _answer(self, now: int, number: int, request: TrackedRequest) -> None:
        """Give the final answer: a rejection if the request certainly did not run, else a failure."""
        self.queue.record_answered(now, request)
        if request.attempts_that_may_have_run:
            self.latest_actions.append(Fail(number))
        else:
            self.latest_actions.append(Reject(number, self._retry_after(now)))
        self._close(number, request)

    def _answer_expired(self, now: int) -> None:
        for number in self.deadlines.pop_expired(now):
            request = self.requests.get(number)
            # A stream that has begun has no deadline.
            if request is not None and request.is_open and not any(a.streaming for a in request.attempts):
                self._answer(now, number, request)

    def _retry_after(self, now: int) -> int:
        """Return how long until some replica may accept a request, in nanoseconds."""
        available_at = [
            max(replica.backoff.until, replica.breaker.half_opens_at) for replica in self.endpoints.ready
        ]
        return max(MIN_RETRY_AFTER, min(available_at, default=now + INITIAL_RECOVERY) - now)

    def _close(self, number: int, request: TrackedRequest) -> None:
        """Mark the request answered; it is forgotten with the outcome of its last attempt."""
        request.is_open = False
        self.queue.waiting.pop(number, None)
        if not request.has_attempt_in_progress:
            self.requests.pop(number, None)

    def _set_timer(self, now: int) -> None:
        """Request a timer if something falls due before the pending timer fires."""
        wake_at = _NEVER
        for time in (self.deadlines.earliest(), self._polling.next_poll_at):
            if time is not None and time < wake_at:
                wake_at = time
        if self.queue.waiting:
            wake_at = min(wake_at, now + OVERLOAD_BACKOFF)  # no event marks the end of a backoff
        if wake_at < self._timer_fires_at:
            self._timer_fires_at = wake_at
            self.latest_actions.append(SetTimer(wake_at - now, TIMER_TOKEN))


def _found_invalid(request: TrackedRequest) -> bool:
    verdicts = sum([attempt.outcome is Outcome.INVALID_REQUEST for attempt in request.attempts])
    return verdicts >= MAX_INVALID_VERDICTS


def _time_to_start(now: int, request: TrackedRequest) -> int:
    """Return how long a repeat under an idempotency key may take to connect and start; 0: no bound."""
    if request.request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return 0
    may_have_run = request.attempts_that_may_have_run
    if not may_have_run:
        return 0
    return request.request_class.deduplication_window - now + may_have_run[0].sent_at

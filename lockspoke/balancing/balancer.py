"""The balancer of one gateway: passes each event to the components that handle it, and returns actions.

Each component has a module of its own: `endpoint_list` and `discovery_polling` (which replicas exist),
`admission` (the order of waiting requests), `replica_selection` (the replica for an attempt) and
`attempt_results` (what first tokens and outcomes tell about the replicas).
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
from .repeat_rules import time_to_start_repetition
from .replica_selection import ReplicaSelector
from .settings import BalancerSettings
from .slow_start_budget import SlowStartBudget
from .tracked import ANSWER_TOKENS, TrackedAttempt, TrackedReplica, TrackedRequest
from .weighted_sampling import WeightedSampler

MIN_RETRY_AFTER = SECOND // 2  # A client that retried sooner would meet the same overload.
# Once this many waiting requests have found no replica, the rest of the queue waits for the next event.
MAX_UNPLACED = 4
# A request fails once this many replicas have rejected it as invalid; a single one may be faulty itself.
INVALID_REQUEST_THRESHOLD = 2
TIMER_TOKEN = 0  # All timers share one token: when any of them fires, everything that may be due is checked.

_NEVER = 1 << 80  # This is later than any clock reading.


class Balancer:
    """Turns the events of one gateway into actions, without I/O or a clock. It is not thread-safe."""

    def __init__(self, settings: BalancerSettings, seed: int) -> None:
        rng = random.Random(seed)  # noqa: S311 - not for security; the same seed must give the same draws
        self.settings = settings
        self.requests: dict[int, TrackedRequest] = {}  # Keyed by number, until every attempt has ended.
        self.endpoints = EndpointList(settings)
        self.limits = ConcurrencyControl(settings)
        self.queue = AdmissionQueue(settings)
        self._polling = DiscoveryPolling(settings, rng)
        self._sampler = WeightedSampler(settings, rng)
        self.affinity = PrefixAffinity(settings, self.endpoints, self._sampler)
        self._budget = SlowStartBudget(settings, rng, self.endpoints)
        self._selector = ReplicaSelector(
            settings, self.endpoints, self._budget, self._sampler, self.affinity, self.limits.gateway
        )
        self._results = AttemptResults(settings, self.endpoints, self.limits, self._budget)
        self.deadlines = DeadlineQueue()
        self._timer_fires_at = _NEVER
        # The actions of the latest call of `handle`. If it raised an exception, they are those decided before
        # it. The balancer's state already reflects them, so the caller still has to carry them out.
        self.latest_actions: list[Action] = []

    @property
    def replicas(self) -> dict[int, TrackedReplica]:
        """The replicas on the endpoint list and those removed from it recently, by number."""
        return self.endpoints.replicas

    def reconfigure(self, settings: BalancerSettings) -> None:
        """Switch to new settings; requests in progress keep the request class that they arrived with."""
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
        self._budget.record_first_event(now)
        if self._timer_fires_at <= now:
            self._timer_fires_at = _NEVER
        for event in events:
            self._apply(now, event)
        self._admit(now)
        # Deadlines are checked after the events, so that an answer in the same batch still counts as in time.
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
        recent_request_count = self.affinity.record_request(event)
        self._budget.record_request(event.prompt_tokens, recent_request_count)

    def _apply_first_token(self, now: int, event: FirstToken) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.in_progress and not attempt.streaming:
            self._results.apply_first_token(now, request, attempt, event)

    def _apply_outcome(self, now: int, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.in_progress:
            return
        if self._results.apply_outcome(now, request, attempt, event):
            self.latest_actions.append(
                Log(f"breaker open: replica {event.replica}, last {event.outcome.name}")
            )
        if event.request_answered or not request.is_open:
            self._close(event.request, request)
        elif _is_invalid(request):
            self._answer(now, event.request, request)
        elif not request.is_streaming:
            self.queue.waiting[event.request] = request

    def _admit(self, now: int) -> None:
        """Send waiting requests to replicas that have capacity, in the order of the admission queue."""
        if not self.queue.waiting:
            return
        ready = self.endpoints.ready
        closed = [replica for replica in ready if replica.breaker.refresh(now) is BreakerState.CLOSED]
        available: list[TrackedReplica] = []
        if self.limits.gateway.has_capacity():
            available = [replica for replica in closed if replica.has_capacity(now)]
        if closed and not available and not any(replica.breaker.accepts_trial for replica in ready):
            return  # With a large, overloaded fleet, sorting the queue on every event would cost too much.
        unplaced = 0
        for number in self.queue.in_order(now, available):
            if not self._place(now, number, self.queue.waiting[number]):
                unplaced += 1
                if unplaced >= MAX_UNPLACED:
                    return

    def _place(self, now: int, number: int, request: TrackedRequest) -> bool:
        """Send the next attempt, or answer if no replica can take it; return False if it stays queued."""
        replica, may_wait = None, False
        if request.attempt_count < self.settings.max_attempts and now < request.deadline:
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
        start_within = time_to_start_repetition(now, request.request_class, request.possible_runs)
        request.attempts.append(attempt)
        self.latest_actions.append(SendAttempt(number, replica.number, request.deadline - now, start_within))

    def _answer(self, now: int, number: int, request: TrackedRequest) -> None:
        """Give the final answer: a rejection if the request cannot have run, otherwise a failure."""
        self.queue.record_answered(now, request)
        if request.possible_runs:
            self.latest_actions.append(Fail(number))
        else:
            self.latest_actions.append(Reject(number, self._retry_after(now)))
        self._close(number, request)

    def _answer_expired(self, now: int) -> None:
        for number in self.deadlines.pop_expired(now):
            request = self.requests.get(number)
            # Once the answer is being streamed, the deadline no longer applies.
            if request is not None and request.is_open and not any(a.streaming for a in request.attempts):
                self._answer(now, number, request)

    def _retry_after(self, now: int) -> int:
        """Return the time until a replica may accept requests again, in nanoseconds."""
        available_at = [
            max(replica.backoff.until, replica.breaker.half_opens_at) for replica in self.endpoints.ready
        ]
        return max(MIN_RETRY_AFTER, min(available_at, default=now + INITIAL_RECOVERY) - now)

    def _close(self, number: int, request: TrackedRequest) -> None:
        """Mark the request as answered; it is removed once its last attempt has ended."""
        request.is_open = False
        self.queue.waiting.pop(number, None)
        if not request.has_attempt_in_progress:
            self.requests.pop(number, None)

    def _set_timer(self, now: int) -> None:
        """Set a timer if something is due before the pending timer fires."""
        wake_at = _NEVER
        for time in (self.deadlines.earliest(), self._polling.next_poll_at):
            if time is not None and time < wake_at:
                wake_at = time
        if self.queue.waiting:
            wake_at = min(wake_at, now + OVERLOAD_BACKOFF)  # No event marks the end of a backoff.
        if wake_at < self._timer_fires_at:
            self._timer_fires_at = wake_at
            self.latest_actions.append(SetTimer(wake_at - now, TIMER_TOKEN))


def _is_invalid(request: TrackedRequest) -> bool:
    rejections = sum([attempt.outcome is Outcome.INVALID_REQUEST for attempt in request.attempts])
    return rejections >= INVALID_REQUEST_THRESHOLD

"""Updates the records of replicas from the first tokens and outcomes of attempts.

No other module does this.
"""

from __future__ import annotations

from .breaker import BreakerState
from .concurrency_control import NO_FIRST_TOKEN, TIMELY_SHARE, ConcurrencyControl
from .endpoint_list import EndpointList
from .events import AttemptEnded, FirstToken, Outcome
from .load_reports import REPORT_LIFETIME
from .settings import BalancerSettings
from .slow_start_budget import SlowStartBudget
from .tracked import ANSWER_TOKENS, TrackedAttempt, TrackedReplica, TrackedRequest

# Failures other than connection failures open breakers of at most this share of the ready replicas. If more
# replicas fail, the cause is a shared one, such as an overload.
MAX_OPEN_SHARE = 0.5
# A connection failure counts as this many failures, because each of many gateways sees only few of them.
CONNECTION_FAILURE_WEIGHT = 3
FAILURES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET)
# The utilization that is inferred from the latency of first tokens if load reports do not contain it.
UTILIZATION_IF_LATE = 1.0
UTILIZATION_IF_TIMELY = 0.5


class AttemptResults:
    """Applies the results of attempts to breakers, limits, backoffs, load reports and slow start."""

    def __init__(
        self,
        settings: BalancerSettings,
        endpoints: EndpointList,
        limits: ConcurrencyControl,
        budget: SlowStartBudget,
    ) -> None:
        self.settings = settings
        self._endpoints = endpoints
        self._limits = limits
        self._budget = budget

    def apply_first_token(
        self, now: int, request: TrackedRequest, attempt: TrackedAttempt, event: FirstToken
    ) -> None:
        """Apply the first token of an attempt in progress."""
        attempt.streaming = True
        self._limits.gateway.in_flight -= 1
        replica = attempt.replica
        replica.backoff.record_accepted(request.arrived.request_class)
        for other in request.attempts:
            # Another replica that rejected the request as invalid was wrong: this replica accepted it.
            if other.outcome is Outcome.INVALID_REQUEST:
                other.replica.breaker.record_failure(now, may_open=self._another_breaker_may_open())
        # Reading an uncached prompt takes time. The objective is extended in proportion to the uncached part;
        # it is doubled if the whole prompt is uncached.
        objective_factor = 1.0 + attempt.uncached_tokens / max(1.0, request.arrived.prompt_tokens)
        objective_share = event.elapsed / request.latency_objective / objective_factor
        self._limits.record_latency(now, attempt, objective_share)
        if self.settings.utilization_field is None:
            is_late = objective_share > TIMELY_SHARE
            self._update_utilization(now, replica, UTILIZATION_IF_LATE if is_late else UTILIZATION_IF_TIMELY)
        replica.breaker.record_success(attempt.trial)
        replica.work_in_flight -= attempt.work - ANSWER_TOKENS  # Only the answer remains.
        attempt.work = ANSWER_TOKENS

    def apply_outcome(
        self, now: int, request: TrackedRequest, attempt: TrackedAttempt, event: AttemptEnded
    ) -> bool:
        """Apply the outcome of an attempt in progress; return whether it opened a closed breaker."""
        attempt.outcome = event.outcome
        replica = attempt.replica
        is_overloaded = event.outcome is Outcome.OVERLOADED and replica.backoff.record_rejection(
            now, request.arrived.request_class, event.elapsed
        )
        if event.load_report and self.settings.utilization_field is not None:
            self._apply_load_report(now, replica, event.load_report[self.settings.utilization_field])
        if not attempt.streaming and (is_overloaded or event.outcome is Outcome.TIMEOUT):
            self._limits.record_latency(now, attempt, NO_FIRST_TOKEN)
        self._release(attempt)
        has_opened = False
        if event.outcome is Outcome.OK:
            replica.breaker.record_success(attempt.trial)
            tokens_read = min(attempt.uncached_tokens, request.arrived.prompt_tokens - event.cached_tokens)
            self._budget.record_completed(now, replica, tokens_read)
        elif event.outcome in FAILURES:
            has_opened = self._record_failure(now, replica, event)
        replica.breaker.release_trial(attempt.trial)
        return has_opened

    def _release(self, attempt: TrackedAttempt) -> None:
        """Remove an ended attempt from the counts of requests and work in flight."""
        replica = attempt.replica
        replica.concurrency.in_flight -= 1
        replica.reported_load.record_in_flight(replica.concurrency.in_flight)
        replica.work_in_flight -= attempt.work
        if not attempt.streaming:
            self._limits.gateway.in_flight -= 1

    def _record_failure(self, now: int, replica: TrackedReplica, event: AttemptEnded) -> bool:
        """Count a failure; return whether it opened a closed breaker."""
        breaker, state_before = replica.breaker, replica.breaker.state
        if event.outcome in CONNECTION_FAILURES and not event.connection_was_idle:
            breaker.record_failure(now, may_open=True, weight=CONNECTION_FAILURE_WEIGHT)
        else:
            breaker.record_failure(now, may_open=self._another_breaker_may_open())
        if state_before is not BreakerState.CLOSED or breaker.state is not BreakerState.OPEN:
            return False
        # When it recovers, all gateways find it idle at the same time, so each starts with few requests.
        replica.concurrency.reset(limited=True)
        return True

    def _another_breaker_may_open(self) -> bool:
        """Whether one more breaker may open; a slowdown of the whole fleet must not open most breakers."""
        ready = self._endpoints.ready
        not_closed = sum([replica.breaker.state is not BreakerState.CLOSED for replica in ready])
        return not_closed + 1 <= MAX_OPEN_SHARE * len(ready)

    def _apply_load_report(self, now: int, replica: TrackedReplica, utilization: float) -> None:
        concurrency = replica.concurrency
        capacity = replica.reported_load.estimate_capacity(utilization, concurrency.in_flight)
        if now - concurrency.lowered_at > REPORT_LIFETIME:
            concurrency.raise_to(capacity)
        self._update_utilization(now, replica, utilization)

    def _update_utilization(self, now: int, replica: TrackedReplica, utilization: float) -> None:
        replica.reported_load.update(now, utilization)
        if now >= replica.slow_start.ends_at:
            replica.machine_statistics.record_utilization(utilization)
        self._endpoints.machine_kinds.update_capacity_factors(
            reports_utilization=self.settings.utilization_field is not None
        )

"""Passes events to the balancer and carries out the actions that it decides on."""

from __future__ import annotations

import structlog

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList
from lockspoke.balancing.events import EndpointListUpdate, Event, TimerFired

from .attempt_lifecycle import AttemptLifecycle
from .decision_loop import DecisionLoop
from .interfaces import Clock, Discovery
from .replica_set import UNKNOWN_VERSION, ReplicaSet
from .request_lifecycle import RequestLifecycle
from .totals import RequestOutcome
from .transport import Transport

log = structlog.get_logger()


class ActionExecutor:
    """Posts events to the balancer and carries out its actions."""

    def __init__(
        self,
        balancer: Balancer,
        requests: RequestLifecycle,
        replica_set: ReplicaSet,
        clock: Clock,
        transport: Transport,
        discovery: Discovery,
    ) -> None:
        self._requests = requests
        self._replica_set = replica_set
        self._clock = clock
        self._discovery = discovery
        self.post = DecisionLoop(balancer, clock.now, self._execute, self._decision_failed).post
        self.attempts = AttemptLifecycle(requests, replica_set, clock, transport, discovery, self.post)

    def _execute(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self.attempts.start(action)
            case Reject():
                self._reject(action)
            case Fail():
                self._fail(action)
            case SetTimer(delay, token):
                self._clock.call_later(delay, lambda: self.post(TimerFired(token)))
            case WatchEndpointList(enable):
                self._discovery.watch(enable)
            case Log(text):
                log.warning("decision", text=text)

    def _reject(self, action: Reject) -> None:
        request = self._requests.find_unanswered(action.request)
        if request is None:
            return
        if not request.background:
            self._requests.interactive_rejected_at = self._clock.now()
        self._requests.complete(request, RequestOutcome.REJECTED)
        request.response.reject(action.retry_after)

    def _fail(self, action: Fail) -> None:
        request = self._requests.find_unanswered(action.request)
        if request is None:
            return
        self._requests.complete(request, RequestOutcome.FAILED)
        request.response.fail()

    def _decision_failed(self, event: Event) -> None:
        self._requests.totals.decisions_failed += 1
        if isinstance(event, EndpointListUpdate):
            # The balancer may have applied the update only partly, so the next poll requests a full list.
            self._replica_set.version = UNKNOWN_VERSION

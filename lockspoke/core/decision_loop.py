"""The loop that feeds events to the balancer, one at a time, and has its actions carried out in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import structlog

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action
from lockspoke.balancing.events import Event

log = structlog.get_logger()


class DecisionLoop:
    """Feeds a balancer with events.

    Carrying out an action may post more events. They are queued until all actions of the current event are
    carried out.
    """

    def __init__(
        self,
        balancer: Balancer,
        now: Callable[[], int],
        execute: Callable[[Action], None],
        decision_failed: Callable[[Event], None],
    ) -> None:
        self._balancer = balancer
        self._now = now
        self._execute = execute
        self._decision_failed = decision_failed  # called with the event when the balancer raises
        self._queue: deque[Event] = deque()
        self._running = False

    def post(self, event: Event) -> None:
        """Queue an event, and process the queue unless that is under way further up the call stack."""
        self._queue.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._queue:
                self._process(self._queue.popleft())
        finally:
            self._running = False

    def _process(self, event: Event) -> None:
        """Have one event decided on, and carry out the actions.

        If the balancer raises an exception, the rest of this event's decisions is lost, but no other event.
        """
        try:
            actions = self._balancer.handle(self._now(), [event])
        except Exception:
            # The gateway must survive a fault of the balancer. Requests that stay unanswered because of it
            # are failed by the periodic check for overdue requests.
            log.exception("decision_failed", event_type=type(event).__name__)
            self._decision_failed(event)
            # The balancer already counts the actions decided before the fault as done: carry them out.
            actions = self._balancer.latest_actions
        for action in actions:
            self._execute(action)

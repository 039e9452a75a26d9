"""The loop that passes events to the balancer one at a time and carries out its actions in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import structlog

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action
from lockspoke.balancing.events import Event

log = structlog.get_logger()


class DecisionLoop:
    """Passes events to a balancer and carries out the actions that it decides on.

    Carrying out an action may post further events. They are queued until all actions of the current event
    have been carried out.
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
        self._decision_failed = decision_failed  # called if the balancer raises
        self._queue: deque[Event] = deque()
        self._running = False

    def post(self, event: Event) -> None:
        """Queue an event, and process the queue unless a caller up the stack is already processing it."""
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
        """Pass one event to the balancer, and carry out the resulting actions.

        If the balancer raises an exception, its remaining decisions on this event are lost; other events are
        not affected.
        """
        try:
            actions = self._balancer.handle(self._now(), [event])
        except Exception:
            # The gateway must keep running after a fault of the balancer. The periodic check for overdue
            # requests fails those that remain unanswered because of it.
            log.exception("decision_failed", event_type=type(event).__name__)
            self._decision_failed(event)
            # The balancer's state already includes the actions decided before the fault: carry them out.
            actions = self._balancer.latest_actions
        for action in actions:
            self._execute(action)

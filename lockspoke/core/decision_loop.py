"""The decisions at work: events go in one at a time, and the actions that follow are carried out in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import structlog

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action
from lockspoke.balancing.events import Event

log = structlog.get_logger()


class DecisionLoop:
    """Feeds a balancer with events. Carrying out an action may bring more of them: they wait their turn."""

    def __init__(
        self,
        balancer: Balancer,
        now: Callable[[], int],
        carry_out: Callable[[Action], None],
        failed: Callable[[Event], None],
    ) -> None:
        self.balancer = balancer
        self._now = now
        self._carry_out = carry_out
        self._failed = failed  # told of an event that the balancer raised an exception at
        self._events: deque[Event] = deque()
        self._busy = False

    def post(self, event: Event) -> None:
        """Have an event decided on, and all that follow from it."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._busy = False

    def _decide(self, event: Event) -> None:
        """Have one event decided on: a fault costs what would have followed from it, and no other event."""
        try:
            actions = self.balancer.handle(self._now(), [event])
        except Exception:
            # The program must outlive a fault of the decisions; the sweep answers what they leave open.
            log.exception("decisions_failed", given=type(event).__name__)
            self._failed(event)
            # What was decided before the fault is counted as done by then, and so it has to be.
            actions = self.balancer.latest_actions
        for action in actions:
            self._carry_out(action)

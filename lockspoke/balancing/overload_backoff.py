"""How long a replica that has rejected a request as overloaded gets no further one.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

from lockspoke.units import SECOND

OVERLOAD_BACKOFF = SECOND // 10  # tried again at once, an overloaded replica would only reject again
MAX_CLASS_BACKOFF = 16 * SECOND
MAX_DOUBLINGS = 16


class OverloadBackoff:
    """Backoff of one replica: for all requests, or for one request class that it rejects slowly."""

    __slots__ = ("class_rejections", "class_until", "until")

    def __init__(self) -> None:
        self.until = 0  # no request before this time
        self.class_until: dict[int, int] = {}  # by request class, none of the class before this time
        self.class_rejections: dict[int, int] = {}  # by request class, consecutive slow rejections

    def record_rejection(self, now: int, request_class: int, elapsed: int) -> bool:
        """Start the backoff after a rejection; return whether the replica as a whole is overloaded.

        An overloaded replica rejects at once. One that takes longer rejects this class of requests: the
        class's backoff grows exponentially from the time that the rejection took.
        """
        if elapsed <= OVERLOAD_BACKOFF:
            self.until = now + OVERLOAD_BACKOFF
            return True
        count = self.class_rejections[request_class] = self.class_rejections.get(request_class, 0) + 1
        backoff = min(elapsed << min(count, MAX_DOUBLINGS), MAX_CLASS_BACKOFF)
        self.class_until[request_class] = now + backoff
        return False

    def record_accepted(self, request_class: int) -> None:
        """Reset the growth of the class's backoff after a first token."""
        self.class_rejections.pop(request_class, None)

"""The backoff after a replica has rejected a request as overloaded.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

from lockspoke.units import SECOND

OVERLOAD_BACKOFF = SECOND // 10  # An overloaded replica would reject an immediate retry as well.
MAX_CLASS_BACKOFF = 16 * SECOND
MAX_DOUBLINGS = 16


class OverloadBackoff:
    """The backoff of one replica, for all requests or for single request classes that it rejects slowly."""

    __slots__ = ("class_rejections", "class_until", "until")

    def __init__(self) -> None:
        self.until = 0  # The replica gets no request before this time.
        # Keyed by request class: the replica gets no request of the class before this time.
        self.class_until: dict[int, int] = {}
        self.class_rejections: dict[int, int] = {}  # Consecutive slow rejections, keyed by request class.

    def record_rejection(self, now: int, request_class: int, elapsed: int) -> bool:
        """Start the backoff after a rejection; return whether the replica as a whole is overloaded.

        An overloaded replica rejects requests at once. After a rejection that took longer, only requests of
        the same class are held back; the backoff of the class starts from the time that the rejection took,
        and grows exponentially.
        """
        if elapsed <= OVERLOAD_BACKOFF:
            self.until = now + OVERLOAD_BACKOFF
            return True
        count = self.class_rejections[request_class] = self.class_rejections.get(request_class, 0) + 1
        backoff = min(elapsed << min(count, MAX_DOUBLINGS), MAX_CLASS_BACKOFF)
        self.class_until[request_class] = now + backoff
        return False

    def record_accepted(self, request_class: int) -> None:
        """Reset the exponential growth of the class's backoff after a first token."""
        self.class_rejections.pop(request_class, None)

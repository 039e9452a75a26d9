"""Open requests: each is registered once, completed once, and removed when its last attempt has ended."""

from __future__ import annotations

from .request_ids import RequestIds
from .request_log import RequestLog
from .requests import ClientRequest
from .totals import RequestOutcome, Totals


class RequestLifecycle:
    """The open requests of this gateway."""

    def __init__(self, log: RequestLog) -> None:
        self._log = log
        # Keyed by request number. An answered request is kept until its last attempt has ended.
        self.open_requests: dict[int, ClientRequest] = {}
        self.request_ids = RequestIds()
        self.totals = Totals()
        # When the balancer last rejected an interactive request, by the core's clock; 0: never.
        self.interactive_rejected_at = 0

    def register(self, request: ClientRequest) -> None:
        """Add a submitted request."""
        self.open_requests[request.number] = request
        self.request_ids.opened(request.request_id)
        self.totals.requests += 1

    def find_unanswered(self, number: int) -> ClientRequest | None:
        """Return the request with this number, or None if it is unknown or already answered."""
        request = self.open_requests.get(number)
        return None if request is None or request.answered else request

    def complete(self, request: ClientRequest, outcome: RequestOutcome) -> None:
        """Mark an unanswered request as answered. The caller writes the response afterwards."""
        request.answered = True
        self.totals.request_outcomes[outcome] += 1
        self._log.completed(request, outcome)
        self.forget_if_finished(request)

    def reject_or_fail(self, request: ClientRequest) -> None:
        """Answer a request that has not started to stream and that this gateway gives up."""
        if request.safe_to_reject:
            self.complete(request, RequestOutcome.REJECTED)
            request.response.reject(0)
        else:
            self.complete(request, RequestOutcome.FAILED)
            request.response.fail()

    def forget_if_finished(self, request: ClientRequest) -> None:
        """Remove a request if it is answered and has no open attempt."""
        if request.finished and self.open_requests.pop(request.number, None) is not None:
            request.release_content()
            self.request_ids.closed(request.request_id, request.must_not_run_again)

    def interactive_request_waiting(self) -> bool:
        """Return whether any interactive request is unanswered and has no open attempt."""
        return any(
            not request.background and not request.answered and not request.has_open_attempt
            for request in self.open_requests.values()
        )

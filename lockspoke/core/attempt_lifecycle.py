"""The lifecycle of an attempt: started, permitted to send, streaming, ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from lockspoke.balancing.actions import SendAttempt
from lockspoke.balancing.events import NEVER_RAN, AttemptEnded, Event, FirstToken, Outcome

from .attempt_log import AttemptLog
from .interfaces import Clock, Discovery
from .replica_set import ReplicaSet
from .request_lifecycle import RequestLifecycle
from .requests import Attempt, AttemptStage, ClientRequest, SendNotRecordedError, SendPermission
from .totals import RequestOutcome
from .transport import Transport

log = structlog.get_logger()


class AttemptLifecycle:
    """Starts attempts, and handles their progress as the transport reports it (see `AttemptListener`)."""

    def __init__(
        self,
        requests: RequestLifecycle,
        replica_set: ReplicaSet,
        clock: Clock,
        transport: Transport,
        discovery: Discovery,
        post: Callable[[Event], None],
    ) -> None:
        self._requests = requests
        self._replica_set = replica_set
        self._clock = clock
        self._transport = transport
        self._discovery = discovery
        self._post = post
        self._log = AttemptLog(clock)

    def start(self, action: SendAttempt) -> None:
        """Start an attempt that the balancer has decided on.

        The attempt ends at once as `NEVER_SENT` if its request has been answered, is already streaming, or
        is past its deadline.
        """
        request = self._requests.open_requests.get(action.request)
        replica = self._replica_set.replicas.get(action.replica)
        if request is None or replica is None:
            log.error("send_target_unknown", request=action.request, replica=action.replica)
            return
        now = self._clock.now()
        deadline = min(now + action.timeout, request.deadline) if action.timeout else request.deadline
        attempt = Attempt(request, len(request.attempts), replica, now, deadline, self)
        attempt.start_by = now + action.start_within if action.start_within else 0
        request.attempts.append(attempt)
        if request.answered or request.streaming_attempt is not None or now >= deadline:
            self.attempt_ended(attempt, Outcome.NEVER_SENT)
            return
        self._requests.totals.attempts += 1
        attempt.deadline_timer = self._clock.call_later(
            deadline - now, lambda: self._deadline_expired(attempt)
        )
        self._transport.start(attempt)

    def _deadline_expired(self, attempt: Attempt) -> None:
        # The deadline applies to the first token: a stream that has started may continue past it.
        if not attempt.streaming:
            self.cancel_if_open(attempt, Outcome.TIMEOUT)

    def cancel_if_open(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an open attempt; it ends as `NEVER_SENT` instead of `outcome` if no byte was sent."""
        if attempt.outcome is None:
            self._transport.cancel(attempt)
            self.attempt_ended(attempt, outcome if attempt.may_have_run else Outcome.NEVER_SENT)

    # Called by the transport

    def permission_to_send(self, attempt: Attempt) -> SendPermission:
        """Return whether the first byte of an attempt may be sent, now that its connection is established.

        While the attempt was connecting, the client may have disconnected, the replica may have started to
        drain or restarted, or the replica's deduplication window for the request may have ended. In these
        cases the attempt ends as `NEVER_SENT`.

        A client's disconnect and a replica's drain count from the moment when they reach the gateway's
        sockets, but a busy event loop reads them later. So while the client or discovery has unread input,
        the result is `CHECK_AGAIN`, and the loop reads that input first.

        An attempt whose request has a recorder is recorded first, because it may run as soon as its first
        byte is sent, and this process may be killed at any time. What is said above may happen meanwhile.

        The transport must call this before the first byte of every attempt.
        """
        if attempt.outcome is not None:
            return SendPermission.ENDED
        if self._send_is_obsolete(attempt):
            self.attempt_ended(attempt, Outcome.NEVER_SENT)
            return SendPermission.ENDED
        if self._discovery.has_unread_changes or attempt.request.response.has_unread_input:
            return SendPermission.CHECK_AGAIN
        if attempt.must_be_recorded:
            return SendPermission.RECORD_FIRST
        attempt.stage = AttemptStage.SENT
        attempt.replica.last_attempt_at = self._clock.now()
        return SendPermission.GRANTED

    async def record_send(self, attempt: Attempt) -> None:
        """Record that an attempt is about to be sent; if that fails, it ends as `NEVER_SENT`."""
        recorder = attempt.request.send_recorder
        if recorder is None:
            return
        attempt.record_requested = True
        try:
            await recorder.record_send(attempt)
        except SendNotRecordedError:
            self.attempt_ended(attempt, Outcome.NEVER_SENT)
        else:
            attempt.recorded = True

    def _send_is_obsolete(self, attempt: Attempt) -> bool:
        """Return whether an attempt that is still connecting must be given up without sending it."""
        now = self._clock.now()
        request, replica = attempt.request, attempt.replica
        if request.answered or request.streaming_attempt is not None:
            return True
        if now >= attempt.deadline or (attempt.start_by and now >= attempt.start_by):
            return True
        return replica.incarnation != attempt.replica_incarnation or not self._replica_set.accepts_requests(
            replica
        )

    def stream_received(self, attempt: Attempt, data: bytes) -> asyncio.Future[None] | None:
        """Forward a chunk of a replica's stream to the client.

        The stream of the first attempt that receives data becomes the request's response, and the other
        attempts are cancelled. If a future is returned, the client reads slowly: the transport must not read
        more of the stream until the future is done.
        """
        request = attempt.request
        if attempt.outcome is not None:
            return None
        attempt.last_received_at = self._clock.now()
        if request.streaming_attempt is None:
            self._begin_stream(attempt)
        if request.answered or request.streaming_attempt is not attempt:
            return None
        written = request.response.write(data)
        if written is None or request.handing_off:
            return None
        attempt.backpressure = asyncio.get_running_loop().create_future()
        written.add_done_callback(lambda _: self.resume_reading(attempt))
        return attempt.backpressure

    def _begin_stream(self, attempt: Attempt) -> None:
        """Make an attempt's stream the response to its request."""
        request = attempt.request
        request.streaming_attempt = attempt
        attempt.stage = AttemptStage.STREAMING
        request.release_content()  # a stream may last long
        attempt.cancel_deadline_timer()
        elapsed = attempt.last_received_at - attempt.started_at
        self._post(FirstToken(request.number, attempt.index, attempt.replica.number, elapsed))
        for other in request.attempts:
            if other is not attempt:
                self.cancel_if_open(other, Outcome.CANCELLED)

    def resume_reading(self, attempt: Attempt) -> None:
        """Let the transport continue to read an attempt's stream if reading is paused for a slow client."""
        paused, attempt.backpressure = attempt.backpressure, None
        if paused is not None:
            # The client caused the pause: it does not count as silence of the replica.
            attempt.last_received_at = self._clock.now()
            if not paused.done():
                paused.set_result(None)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cached_tokens: int = 0,
        load_report: tuple[float, ...] = (),
    ) -> None:
        """Record the outcome of an attempt; further calls for the same attempt have no effect.

        A successful attempt completes its request. A stream that ends early truncates the response. After
        any other outcome the balancer decides whether to retry, reject or fail the request.
        """
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        attempt.cancel_deadline_timer()
        request = attempt.request
        if attempt.record_requested and outcome in NEVER_RAN and request.send_recorder is not None:
            request.send_recorder.record_never_ran(attempt)
        self._requests.totals.attempt_outcomes[outcome] += 1
        if not request.answered:
            self._complete_request(request, attempt, outcome)
        self._log.ended(attempt, outcome)
        elapsed = self._clock.now() - attempt.started_at
        self._post(
            AttemptEnded(
                request.number,
                attempt.index,
                attempt.replica.number,
                outcome,
                elapsed,
                request.answered,
                cached_tokens,
                load_report,
                attempt.connection_was_idle,
            )
        )
        self._requests.forget_if_finished(request)

    def _complete_request(self, request: ClientRequest, attempt: Attempt, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            self._requests.complete(request, RequestOutcome.SERVED)
            request.response.finish()
        elif request.streaming_attempt is attempt:
            self._requests.complete(request, RequestOutcome.TRUNCATED)
            request.response.abort()

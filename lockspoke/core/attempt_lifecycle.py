"""The life of an attempt: started, permitted to send, streaming, ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from lockspoke.balancing.actions import SendAttempt
from lockspoke.balancing.events import AttemptEnded, Event, FirstToken, Outcome

from .interfaces import Clock, Discovery
from .replica_set import ReplicaSet
from .request_lifecycle import RequestLifecycle
from .requests import Attempt, AttemptStage, ClientRequest, SendPermission
from .totals import RequestOutcome
from .transport import Transport

log = structlog.get_logger()


class AttemptLifecycle:
    """Starts attempts, and takes the transport's reports on them (see `AttemptListener`)."""

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

    def start(self, action: SendAttempt) -> None:
        """Start an attempt that the balancer has decided on.

        The attempt ends at once as `NEVER_SENT` if its request has been answered, streams already, or is
        past its deadline.
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
        # The deadline is for the first token: a stream that has begun may go on past it.
        if not attempt.streaming:
            self.abandon(attempt, Outcome.TIMEOUT)

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an open attempt; it ends as `NEVER_SENT` instead of `outcome` if no byte was sent."""
        if attempt.outcome is None:
            self._transport.cancel(attempt)
            self.attempt_ended(attempt, outcome if attempt.maybe_ran else Outcome.NEVER_SENT)

    # Reports of the transport

    def permission_to_send(self, attempt: Attempt) -> SendPermission:
        """Whether the first byte of an attempt may be sent now that its connection is up.

        Connecting takes time, and the decision to send may no longer hold when it is done: the client may
        have disconnected, the replica may be draining or have restarted, or the time may have passed until
        which the replica recognises a duplicate of the request. Then the attempt ends as `NEVER_SENT`.

        A client's disconnect and a replica's drain bind the gateway from the moment they were written to its
        sockets, not from when it read them, and a busy event loop reads them late. So while discovery or the
        client has unread input, the answer is `CHECK_AGAIN`: the loop reads that input first.

        Every attempt passes through here before its first byte.
        """
        if attempt.outcome is not None:
            return SendPermission.ENDED
        if self._send_is_obsolete(attempt):
            self.attempt_ended(attempt, Outcome.NEVER_SENT)
            return SendPermission.ENDED
        if self._discovery.has_unread_changes or attempt.request.response.has_unread_input:
            return SendPermission.CHECK_AGAIN
        attempt.stage = AttemptStage.SENT
        attempt.replica.last_attempt_at = self._clock.now()
        return SendPermission.GRANTED

    def _send_is_obsolete(self, attempt: Attempt) -> bool:
        """Whether the reasons for an attempt that is not sent yet no longer hold."""
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
        """Forward a part of a replica's stream to the client.

        The first attempt to bring data becomes the request's response, and the others are cancelled. If a
        future is returned, the client is slow: read no more of the stream until it is done.
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
        request.body = b""  # it is not sent again, and streams are long: free the memory
        attempt.cancel_deadline_timer()
        elapsed = attempt.last_received_at - attempt.started_at
        self._post(FirstToken(request.number, attempt.index, attempt.replica.number, elapsed))
        for other in request.attempts:
            if other is not attempt:
                self.abandon(other, Outcome.CANCELLED)

    def resume_reading(self, attempt: Attempt) -> None:
        """Let the transport read an attempt's stream again, if it is paused for a slow client."""
        paused, attempt.backpressure = attempt.backpressure, None
        if paused is not None:
            # The pause was the client's: it does not count as the replica's silence.
            attempt.last_received_at = self._clock.now()
            if not paused.done():
                paused.set_result(None)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cached_tokens: int = 0,
        report: tuple[float, ...] = (),
    ) -> None:
        """Record the outcome of an attempt; only the first call for an attempt counts.

        A successful attempt completes its request, and a stream that breaks off truncates it. After any
        other outcome the balancer decides: it retries, rejects or fails the request.
        """
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        attempt.cancel_deadline_timer()
        request = attempt.request
        self._requests.totals.attempt_outcomes[outcome] += 1
        if not request.answered:
            self._complete_request(request, attempt, outcome)
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
                report,
                attempt.connection_reused,
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

"""Client requests and their attempts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lockspoke.balancing.events import NEVER_RAN, Outcome
from lockspoke.balancing.repeat_rules import may_be_rejected, restricts_repeats
from lockspoke.balancing.settings import RequestClass

from .interfaces import ResponseWriter, TimerHandle
from .replica import Incarnation, Replica, ReplicaLocation


@dataclass(frozen=True, slots=True)
class PossibleRun:
    """An attempt that may have run, by whichever process it was made."""

    sent_at: int  # nanoseconds by the core's clock
    location: ReplicaLocation  # of its replica


class SendNotRecordedError(Exception):
    """An attempt could not be recorded, so it must not be sent."""


class SendRecorder(Protocol):
    """Records attempts before they are sent, so that they are known of after a crash of this process."""

    async def record_send(self, attempt: Attempt) -> None:
        """Record that an attempt is about to be sent; returns once that would survive a crash.

        Raises:
            SendNotRecordedError: It could not be recorded.
        """

    def record_never_ran(self, attempt: Attempt) -> None:
        """Take back the record of an attempt that has turned out not to have run."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request that a client sent to any of the fronts.

    Points in time are nanoseconds by the core's clock.
    """

    response: ResponseWriter
    request_class: int
    time_remaining: int  # nanoseconds from arrival until the client stops waiting for the first token
    request_id: str
    method: str
    target: str
    forwarded_fields: bytes  # header fields for the replica, as they are sent
    body: bytes
    tenant: int = 0  # index in the settings; 0 if they name no tenants
    session: int = 0  # number of the session key (see `key_identifier`); 0: none
    prefix: int = 0  # number of the key of the prompt's shared prefix; 0: none
    prompt_tokens: float = 0.0
    prefix_tokens: float = 0.0
    max_tokens: float = 0.0
    client_retry: bool = False
    arrived_at: int = 0  # when its last byte arrived; 0: the time of submission is used
    background: bool = False  # batch work; any other request is interactive and takes precedence
    # Attempts of the same request that were submitted before, perhaps to an earlier process.
    earlier_runs: tuple[PossibleRun, ...] = ()
    # Set if each attempt must be recorded before it is sent.
    send_recorder: SendRecorder | None = None
    # Set by the core:
    number: int = 0
    deadline: int = 0
    # The settings of its class at submission, stored because a reload may renumber the classes.
    class_settings: RequestClass = field(default_factory=RequestClass)
    attempts: list[Attempt] = field(default_factory=list)
    streaming_attempt: Attempt | None = None  # the attempt whose stream is the response
    answered: bool = False
    handing_off: bool = False  # its stream is being handed off and is not paused for a slow client any more

    @property
    def size(self) -> int:
        """How many bytes it holds to send them to a replica."""
        return len(self.forwarded_fields) + len(self.body)

    def release_content(self) -> None:
        """Free what is sent to a replica, since it is not sent again."""
        self.body = self.forwarded_fields = b""

    @property
    def finished(self) -> bool:
        """Whether the request is answered and all its attempts have ended."""
        return self.answered and not self.has_open_attempt

    @property
    def has_open_attempt(self) -> bool:
        """Whether any attempt of the request has not ended yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    @property
    def safe_to_reject(self) -> bool:
        """Whether the request may get an overload reply, because a retry by the client is safe."""
        return may_be_rejected(self.class_settings, bool(self.possible_runs))

    @property
    def must_not_run_again(self) -> bool:
        """Whether it may have run, and its class does not allow another run under the same ID.

        The batch front decides itself when it submits a line again.
        """
        return not self.background and restricts_repeats(self.class_settings) and bool(self.possible_runs)

    @property
    def possible_runs(self) -> tuple[PossibleRun, ...]:
        """The attempts that may have run, with those that were submitted before."""
        runs = [
            PossibleRun(attempt.started_at, attempt.location)
            for attempt in self.attempts
            if attempt.may_have_run
        ]
        return (*self.earlier_runs, *runs)

    @property
    def only_ran_earlier(self) -> bool:
        """Whether it may have run, but not since it was submitted."""
        return bool(self.earlier_runs) and not any(attempt.may_have_run for attempt in self.attempts)


class AttemptStage(Enum):
    """The stages of an open attempt."""

    CONNECTING = "connecting"  # no byte is written: it has not run, and sending can still be prevented
    SENT = "sent"  # the first byte is being written: from now on it may have run
    STREAMING = "streaming"  # its stream is the response to the request


class SendPermission(Enum):
    """What the transport may do with an attempt whose connection is established."""

    GRANTED = "granted"  # send the first byte now, without awaiting anything first
    # Unread input may change the result: check again after one iteration of the event loop.
    CHECK_AGAIN = "check_again"
    RECORD_FIRST = "record_first"  # await `record_send`, then check again
    ENDED = "ended"  # the attempt has ended: send nothing, and report nothing more


class AttemptListener(Protocol):
    """Receives the progress of attempts from the transport."""

    def permission_to_send(self, attempt: Attempt) -> SendPermission:
        """Return whether the first byte may be sent now; called when the connection is established."""

    async def record_send(self, attempt: Attempt) -> None:
        """Record that the attempt is about to be sent; it ends if that fails."""

    def stream_received(self, attempt: Attempt, data: bytes) -> asyncio.Future[None] | None:
        """Handle a chunk of the replica's stream. If a future is returned, read no more until it is done."""

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, cached_tokens: int, load_report: tuple[float, ...]
    ) -> None:
        """Record that the attempt has ended, with the load report of its replica."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at one replica.

    Points in time are nanoseconds by the core's clock.
    """

    request: ClientRequest
    index: int  # position in `request.attempts`
    replica: Replica
    started_at: int
    deadline: int
    listener: AttemptListener
    # Of the replica when the attempt was created:
    replica_incarnation: Incarnation = field(init=False)
    location: ReplicaLocation = field(init=False)
    start_by: int = 0  # the first byte must be sent before this time; 0: only the deadline applies
    stage: AttemptStage = AttemptStage.CONNECTING
    record_requested: bool = False  # the request's recorder has been called
    recorded: bool = False  # the record would survive a crash
    outcome: Outcome | None = None  # None while the attempt is open
    connection_was_idle: bool = False  # the replica may have closed it before the request
    last_received_at: int = 0  # when data last arrived, or when reading was last resumed
    deadline_timer: TimerHandle | None = None  # None if it is not running
    backpressure: asyncio.Future[None] | None = None  # if set, reading is paused until it is done

    def __post_init__(self) -> None:
        """Record the current incarnation and location of the replica."""
        self.replica_incarnation = self.replica.incarnation
        self.location = self.replica.location

    @property
    def streaming(self) -> bool:
        """Whether the stream of this attempt is the response to the request."""
        return self.request.streaming_attempt is self

    @property
    def may_have_run(self) -> bool:
        """Whether the replica may have run it: a byte was sent, and its outcome does not prove otherwise."""
        return self.stage is not AttemptStage.CONNECTING and self.outcome not in NEVER_RAN

    @property
    def must_be_recorded(self) -> bool:
        """Whether it must be recorded before it may be sent."""
        return self.request.send_recorder is not None and not self.recorded

    def permission_to_send(self) -> SendPermission:
        """Return whether the first byte may be sent now; to be called when the connection is established."""
        return self.listener.permission_to_send(self)

    async def record_send(self) -> None:
        """Record that it is about to be sent; to be called if the permission is `RECORD_FIRST`."""
        await self.listener.record_send(self)

    def stream_received(self, data: bytes) -> asyncio.Future[None] | None:
        """Report a chunk of the replica's stream. If a future is returned, read no more until it is done."""
        return self.listener.stream_received(self, data)

    def end(self, outcome: Outcome, cached_tokens: int = 0, load_report: tuple[float, ...] = ()) -> None:
        """Report that the attempt has ended; further reports have no effect."""
        self.listener.attempt_ended(self, outcome, cached_tokens, load_report)

    def cancel_deadline_timer(self) -> None:
        """Cancel the timer of the deadline if it is running."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None

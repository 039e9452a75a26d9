"""Requests, and their attempts: a request that is owed an answer, and each try at a replica."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from lockspoke.balancing.events import Outcome
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass

from .replica_set import Replica

NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)  # outcomes that prove it


class ResponseWriter(Protocol):
    """Where the answer to a request goes. Exactly one of `end`, `broken`, `refuse` and `fail` is called."""

    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent what is not read yet, such as its close."""

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Pass on a piece of the stream; a future asks for no more until it is done."""

    def finish(self) -> None:
        """The stream is whole."""

    def abort(self) -> None:
        """The stream broke after it had begun."""

    def reject(self, retry_after: int) -> None:
        """An overload reply: trying again is harmless, after so many nanoseconds where that is not 0."""

    def fail(self) -> None:
        """Failed, with no word on whether it ran."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A client's request, whichever front it came by."""

    response: ResponseWriter
    request_class: int
    time_remaining: int  # nanoseconds until the client stops waiting for the first token, from when it came
    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]  # passed on to the replica
    body: bytes
    tenant: int = 0  # its place in the settings; 0 also where there are none
    session: int = 0
    prefix: int = 0
    prompt_tokens: float = 0.0
    prefix_tokens: float = 0.0
    max_tokens: float = 0.0
    client_retry: bool = False
    arrived_at: int = 0  # when its last byte came; 0: it comes now
    background: bool = False  # nobody waits at the other end of a connection: others go first
    # Filled by the core:
    number: int = 0
    deadline: int = 0
    class_settings: RequestClass = field(
        default_factory=RequestClass
    )  # as the settings had it when the request came
    attempts: list[Attempt] = field(default_factory=list)
    streaming_attempt: Attempt | None = None  # the one that streams
    answered: bool = False
    handing_off: bool = False  # it is being handed over: what comes of its stream waits for no client

    @property
    def finished(self) -> bool:
        """Nothing more will happen to it."""
        return self.answered and all(one.outcome is not None for one in self.attempts)

    @property
    def safe_to_reject(self) -> bool:
        """Whether it may be answered as turned away: a repeat of it does no harm."""
        if self.class_settings.idempotency is Idempotency.IDEMPOTENT or not any(
            one.maybe_ran for one in self.attempts
        ):
            return True
        return (
            self.class_settings.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and self.class_settings.deduplication_scope is DeduplicationScope.ALL
        )


class AttemptStage(Enum):
    """How far an attempt that is still out has come."""

    CONNECTING = "connecting"  # no byte of it is written: it has surely not run, and may be told not to begin
    SENT = "sent"  # its first byte is on its way: from here on it may have run
    STREAMING = "streaming"  # its stream is the request's answer


class SendPermission(Enum):
    """What an attempt whose connection is up may do."""

    GRANTED = "send"  # its first byte goes out now, with nothing awaited in between
    CHECK_AGAIN = "ask again"  # something has come that is not read yet: it asks once the loop has gone round
    ENDED = "over"  # it has ended; nothing more is to be reported


class AttemptListener(Protocol):
    """What an attempt tells the core."""

    def permission_to_send(self, attempt: Attempt) -> SendPermission:
        """Its connection is up: whether the first byte may go out now."""

    def stream_received(self, attempt: Attempt, data: bytes) -> asyncio.Future[None] | None:
        """Bytes of the replica's stream."""

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, cached_tokens: int, report: tuple[float, ...]
    ) -> None:
        """The attempt is over."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at one replica."""

    request: ClientRequest
    index: int
    replica: Replica
    started_at: int
    deadline: int
    listener: AttemptListener
    replica_incarnation: object = (
        None  # the replica's process and address as they were when it was decided on
    )
    start_by: int = 0  # no byte goes out from then on; 0: no such time
    stage: AttemptStage = AttemptStage.CONNECTING
    outcome: Outcome | None = None  # None: still out
    connection_reused: bool = False  # it goes over a connection kept from before
    last_received_at: int = 0  # when the stream last brought something
    timer: Any = None  # of its deadline, while that runs
    backpressure: asyncio.Future[None] | None = None  # reading is paused, since the client is slow

    @property
    def streaming(self) -> bool:
        """Whether its stream has begun to pass on: the request is its own."""
        return self.request.streaming_attempt is self

    @property
    def maybe_ran(self) -> bool:
        """Whether the replica may have run it: something of it was sent, and no outcome proves it did not."""
        return self.stage is not AttemptStage.CONNECTING and self.outcome not in NEVER_RAN

    def permission_to_send(self) -> SendPermission:
        """Its connection is up: whether to send it."""
        return self.listener.permission_to_send(self)

    def stream_received(self, data: bytes) -> asyncio.Future[None] | None:
        """Bytes of the replica's stream have come."""
        return self.listener.stream_received(self, data)

    def end(self, outcome: Outcome, cached_tokens: int = 0, report: tuple[float, ...] = ()) -> None:
        """It is over; said twice, only the first counts."""
        self.listener.attempt_ended(self, outcome, cached_tokens, report)


class Transport(Protocol):
    """The core's way to the replicas: it starts attempts, and each tells how it went."""

    def start(self, attempt: Attempt) -> None:
        """Begin; never raises, the attempt is told of every failure."""

    def cancel(self, attempt: Attempt) -> None:
        """Give up: nothing more is reported."""

    def has_unread_response(self, attempt: Attempt) -> bool:
        """Whether bytes of its answer have come that are not passed on yet."""

    def close_idle_connections(self, replica: Replica) -> None:
        """The replica has moved, restarted or left: its idle connections are of no more use."""


class Discovery(Protocol):
    """The core's way to the list of replicas."""

    @property
    def has_unread_changes(self) -> bool:
        """Whether changes have come that are not in force yet."""

    def watch(self, enable: bool) -> None:
        """Ask for changes from now on; asked again while a watch runs, it changes nothing."""

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


class Sink(Protocol):
    """Where the answer to a request goes. Exactly one of `end`, `broken`, `refuse` and `fail` is called."""

    @property
    def unread(self) -> bool:
        """Whether the client has sent what is not read yet, such as its close."""

    def event(self, data: bytes) -> asyncio.Future[None] | None:
        """Pass on a piece of the stream; a future asks for no more until it is done."""

    def end(self) -> None:
        """The stream is whole."""

    def broken(self) -> None:
        """The stream broke after it had begun."""

    def refuse(self, retry_after: int) -> None:
        """An overload reply: trying again is harmless, after so many nanoseconds where that is not 0."""

    def fail(self) -> None:
        """Failed, with no word on whether it ran."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A client's request, whichever front it came by."""

    sink: Sink
    request_class: int
    time_left: int  # nanoseconds until the client stops waiting for the first token, from when it came
    req_id: str
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
    arrived: int = 0  # when its last byte came; 0: it comes now
    background: bool = False  # nobody waits at the other end of a connection: others go first
    # Filled by the core:
    number: int = 0
    deadline: int = 0
    kind: RequestClass = field(default_factory=RequestClass)  # as the settings had it when the request came
    attempts: list[Attempt] = field(default_factory=list)
    owner: Attempt | None = None  # the one that streams
    answered: bool = False
    leaving: bool = False  # it is being handed over: what comes of its stream waits for no client

    @property
    def over(self) -> bool:
        """Nothing more will happen to it."""
        return self.answered and all(one.outcome is not None for one in self.attempts)

    @property
    def refusable(self) -> bool:
        """Whether it may be answered as turned away: a repeat of it does no harm."""
        if self.kind.idempotency is Idempotency.IDEMPOTENT or not any(one.maybe_ran for one in self.attempts):
            return True
        return (
            self.kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and self.kind.deduplication_scope is DeduplicationScope.ALL
        )


class Stage(Enum):
    """How far an attempt that is still out has come."""

    CONNECTING = "connecting"  # no byte of it is written: it has surely not run, and may be told not to begin
    SENT = "sent"  # its first byte is on its way: from here on it may have run
    STREAMING = "streaming"  # its stream is the request's answer


class Clearance(Enum):
    """What an attempt whose connection is up may do."""

    SEND = "send"  # its first byte goes out now, with nothing awaited in between
    ASK_AGAIN = "ask again"  # something has come that is not read yet: it asks once the loop has gone round
    OVER = "over"  # it has ended; nothing more is to be reported


class Reports(Protocol):
    """What an attempt tells the core."""

    def clear(self, attempt: Attempt) -> Clearance:
        """Its connection is up: whether the first byte may go out now."""

    def streamed(self, attempt: Attempt, data: bytes) -> asyncio.Future[None] | None:
        """Bytes of the replica's stream."""

    def ended(
        self, attempt: Attempt, outcome: Outcome, cached_tokens: int, report: tuple[float, ...]
    ) -> None:
        """The attempt is over."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at one replica."""

    request: ClientRequest
    index: int
    replica: Replica
    sent_at: int
    deadline: int
    reports: Reports
    place: object = None  # the replica's process and address as they were when it was decided on
    begin_by: int = 0  # no byte goes out from then on; 0: no such time
    stage: Stage = Stage.CONNECTING
    outcome: Outcome | None = None  # None: still out
    reused: bool = False  # it goes over a connection kept from before
    heard_at: int = 0  # when the stream last brought something
    timer: Any = None  # of its deadline, while that runs
    waits_for_client: asyncio.Future[None] | None = None  # reading is paused, since the client is slow

    @property
    def streaming(self) -> bool:
        """Whether its stream has begun to pass on: the request is its own."""
        return self.request.owner is self

    @property
    def maybe_ran(self) -> bool:
        """Whether the replica may have run it: something of it was sent, and no outcome proves it did not."""
        return self.stage is not Stage.CONNECTING and self.outcome not in NEVER_RAN

    def clear(self) -> Clearance:
        """Its connection is up: whether to send it."""
        return self.reports.clear(self)

    def streamed(self, data: bytes) -> asyncio.Future[None] | None:
        """Bytes of the replica's stream have come."""
        return self.reports.streamed(self, data)

    def ended(self, outcome: Outcome, cached_tokens: int = 0, report: tuple[float, ...] = ()) -> None:
        """It is over; said twice, only the first counts."""
        self.reports.ended(self, outcome, cached_tokens, report)


class Transport(Protocol):
    """The core's way to the replicas: it starts attempts, and each tells how it went."""

    def start(self, attempt: Attempt) -> None:
        """Begin; never raises, the attempt is told of every failure."""

    def stop(self, attempt: Attempt) -> None:
        """Give up: nothing more is reported."""

    def unread(self, attempt: Attempt) -> bool:
        """Whether bytes of its answer have come that are not passed on yet."""

    def forget(self, replica: Replica) -> None:
        """The replica has moved, restarted or left: its idle connections are of no more use."""


class Discovery(Protocol):
    """The core's way to the list of replicas."""

    @property
    def changes_unread(self) -> bool:
        """Whether changes have come that are not in force yet."""

    def watch(self, enable: bool) -> None:
        """Ask for changes from now on; asked again while a watch runs, it changes nothing."""

"""A core without sockets: replicas, discovery, the clock and clients are fakes that the test controls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.replica import Replica
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.core.requests import Attempt, ClientRequest, SendPermission
from lockspoke.units import SECOND
from tests.balancing.helpers import settings


class RecordingResponse:
    """Records what is written: data as bytes, and the end of the response as a string."""

    def __init__(self) -> None:
        self.written: list[bytes | str] = []
        self.pending_write: asyncio.Future[None] | None = None  # returned by each write
        self.has_unread_input = False

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        self.written.append(data)
        return self.pending_write

    def finish(self) -> None:
        self.written.append("finished")

    def abort(self) -> None:
        self.written.append("aborted")

    def reject(self, retry_after: int) -> None:
        del retry_after
        self.written.append("rejected")

    def fail(self) -> None:
        self.written.append("failed")


Timer = tuple[int, Callable[[], None]]  # when it is due, and the callback


class FakeTimerHandle:
    def __init__(self, timers: list[Timer], timer: Timer) -> None:
        self.timers = timers
        self.timer = timer

    def cancel(self) -> None:
        if self.timer in self.timers:
            self.timers.remove(self.timer)


class CoreHarness:
    """A core with fakes of its dependencies, and a clock that the test advances."""

    def __init__(self, replicas: int = 2, **changes: Any) -> None:
        self.time = 1_000 * SECOND
        self.wall_clock_step = 0  # nanoseconds by which the wall clock is ahead of `time`
        self.timers: list[Timer] = []
        self.started: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.idle_closed: list[Replica] = []  # replicas whose idle connections were closed
        self.watch_calls: list[bool] = []
        self.connects_at_once = True  # whether each attempt requests permission to send when it starts
        self.has_unread_changes = False
        self.unread_responses: set[Attempt] = set()
        self.recording: list[asyncio.Task[None]] = []  # attempts that are being recorded before they are sent
        self.core = Core(settings(**changes), 7, ReplicaSet(Identifiers(), ["z"]), self, self, self)
        entries = tuple(
            EndpointListReplica(f"w{i}", ReplicaState.READY, ("127.0.0.1", 5000 + i), "z")
            for i in range(replicas)
        )
        self.core.endpoint_list_changed(ReplicaListUpdate(1, True, entries), cached=True)

    # The clock

    def now(self) -> int:
        return self.time

    def wall_time(self) -> int:
        return self.time + self.wall_clock_step

    def earliest_arrival(self) -> int:
        return self.time

    def call_later(self, delay: int, callback: Callable[[], None]) -> FakeTimerHandle:
        self.timers.append((self.time + delay, callback))
        return FakeTimerHandle(self.timers, self.timers[-1])

    def advance_time(self, duration: int) -> None:
        """Advance the clock, and call the timers that become due."""
        end = self.time + duration
        while self.timers and min(when for when, _ in self.timers) <= end:
            first = min(range(len(self.timers)), key=lambda index: self.timers[index][0])
            when, callback = self.timers.pop(first)
            self.time = max(self.time, when)
            callback()
        self.time = end

    # The transport

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)
        if self.connects_at_once:
            self._send(attempt)

    def _send(self, attempt: Attempt) -> None:
        permission = attempt.permission_to_send()
        if permission is SendPermission.RECORD_FIRST:
            self.recording.append(asyncio.ensure_future(self._record_and_send(attempt)))
        elif permission is SendPermission.CHECK_AGAIN:  # The client has unread input.
            asyncio.get_running_loop().call_soon(self._send, attempt)
        else:
            assert permission is SendPermission.GRANTED

    async def _record_and_send(self, attempt: Attempt) -> None:
        await attempt.record_send()
        assert attempt.permission_to_send() is not SendPermission.RECORD_FIRST

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def has_unread_response(self, attempt: Attempt) -> bool:
        return attempt in self.unread_responses

    def close_idle_connections(self, replica: Replica) -> None:
        self.idle_closed.append(replica)

    # Discovery

    def watch(self, enable: bool) -> None:
        self.watch_calls.append(enable)

    # Clients

    def submit(self, seconds: float = 4, **fields: Any) -> tuple[ClientRequest, RecordingResponse]:
        """Submit a request whose client waits for `seconds`."""
        response = RecordingResponse()
        request = ClientRequest(response, 0, int(seconds * SECOND), "id", "POST", "/x", b"", b"{}", **fields)
        self.core.submit(request)
        return request, response


def idempotent_with_key(
    scope: DeduplicationScope = DeduplicationScope.ALL, window: int = 5 * SECOND
) -> RequestClass:
    """Return a class of requests that replicas deduplicate by their key."""
    return RequestClass(
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_scope=scope, deduplication_window=window
    )

"""Runs attempts over pooled TCP connections to replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog

from lockspoke.balancing.events import Outcome
from lockspoke.core.replica import Replica
from lockspoke.core.requests import Attempt, SendPermission
from lockspoke.wire.replicas.load_report import decode_load_report
from lockspoke.wire.tcp.dialing import Dial

from .connection import ReplicaConnection, dial_replica
from .connection_pool import ConnectionPool
from .errors import ConnectError, ConnectionLimitError
from .exchange import Exchange, ReplicaResponse

log = structlog.get_logger()


class ReplicaTransport:
    """The core's transport: it runs each attempt in a task of its own, over one connection."""

    def __init__(
        self,
        load_report_fields: Sequence[str],
        connect_timeout: int,
        keepalive: int,
        max_connections: int,
        now: Callable[[], int],
        dial: Dial = dial_replica,
    ) -> None:
        self.pool = ConnectionPool(connect_timeout, keepalive, max_connections, dial)
        self.malformed_responses = 0
        # The connections of attempts that are sending their request or reading the response.
        self.active_connections: dict[Attempt, ReplicaConnection] = {}
        self._load_report_fields = load_report_fields
        self._now = now
        self._tasks: dict[Attempt, asyncio.Task[None]] = {}

    @property
    def open_connections(self) -> int:
        """The number of open connections, idle ones included."""
        return self.pool.open_connections

    def reconfigure(
        self, load_report_fields: Sequence[str], connect_timeout: int, keepalive: int, max_connections: int
    ) -> None:
        """Apply new settings; times are in nanoseconds, as in `ConnectionPool.reconfigure`."""
        self._load_report_fields = load_report_fields
        self.pool.reconfigure(connect_timeout, keepalive, max_connections)

    def start(self, attempt: Attempt) -> None:
        """Start an attempt."""
        task = asyncio.ensure_future(self._run(attempt))
        self._tasks[attempt] = task
        task.add_done_callback(lambda _: self._tasks.pop(attempt, None))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: its connection is closed and nothing more is reported."""
        task = self._tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    def has_unread_response(self, attempt: Attempt) -> bool:
        """Whether input has arrived, or the connection has ended, and the attempt's task has not read it."""
        connection = self.active_connections.get(attempt)
        return connection is not None and connection.has_unread

    def close_idle_connections(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""
        self.pool.close_idle(replica)

    def run_periodic_checks(self) -> None:
        """Close connections past their idle timeout."""
        self.pool.close_expired()

    def close(self) -> None:
        """Cancel every attempt and close every idle connection."""
        for task in list(self._tasks.values()):
            task.cancel()
        self.pool.close_all_idle()

    async def _run(self, attempt: Attempt) -> None:
        """Run one attempt; the body of its task."""
        try:
            connection = await self.pool.acquire(attempt.replica)
        except ConnectError:
            self.pool.record_rejected_connection()
            attempt.end(Outcome.CONNECT_FAILED)
        except ConnectionLimitError:
            attempt.end(Outcome.NEVER_SENT)
        except Exception:
            self._fail(attempt)
        else:
            await self._run_on_connection(connection, attempt)

    async def _run_on_connection(self, connection: ReplicaConnection, attempt: Attempt) -> None:
        """Run an attempt on a connection, which is closed afterwards unless nothing was sent on it."""
        released = False
        try:
            attempt.connection_was_idle = connection.was_idle
            if not await _may_send(connection, attempt):
                self.pool.release_unused(connection)
                released = True
                return
            self.active_connections[attempt] = connection
            response = await Exchange(connection, attempt).run(self._now())
            self._record_response(connection, response)
            load_report = decode_load_report(response.load_report, self._load_report_fields)
            attempt.end(response.outcome, response.cached_tokens, load_report)
        except ConnectError:
            self.pool.record_stale_connection(connection)
            attempt.end(Outcome.CONNECT_FAILED)
        except Exception:
            self._fail(attempt)
        finally:
            self.active_connections.pop(attempt, None)
            if not released:
                self.pool.close(connection)

    def _record_response(self, connection: ReplicaConnection, response: ReplicaResponse) -> None:
        """Record what a response shows about its connection and its replica."""
        if response.malformed:
            self.malformed_responses += 1
        if response.outcome is Outcome.OVERLOADED and not connection.was_idle:
            self.pool.record_rejected_connection()
        if response.outcome is Outcome.RESET and not connection.response_started:
            self.pool.record_stale_connection(connection)

    @staticmethod
    def _fail(attempt: Attempt) -> None:
        """Log an unexpected exception and end the attempt; the replica may have run the request."""
        log.exception("attempt_failed", replica=attempt.replica.uid)
        attempt.end(Outcome.RESET)


async def _may_send(connection: ReplicaConnection, attempt: Attempt) -> bool:
    """Wait until the attempt may send its first byte on this connection; return False if it ends before."""
    if connection.incarnation != attempt.replica_incarnation:
        # The replica moved or restarted between the decision on the attempt and the dial.
        attempt.end(Outcome.NEVER_SENT)
        return False
    return await _wait_for_permission(attempt)


async def _wait_for_permission(attempt: Attempt) -> bool:
    """Wait until the attempt may send its first byte; return False if it ends before that."""
    while True:
        permission = attempt.permission_to_send()
        if permission is SendPermission.CHECK_AGAIN:
            # In the next iteration of the loop, other tasks read the input that may change the decision.
            await asyncio.sleep(0)
        elif permission is SendPermission.RECORD_FIRST:
            await attempt.record_send()
        else:
            return permission is SendPermission.GRANTED

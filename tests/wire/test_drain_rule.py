"""The drain rule over real connections: no new request is sent to a replica after its drain.

A gateway counts as notified of a change when discovery has written it, whether the gateway has read it or
not. What discovery, clients and replicas send is in the kernel before the gateway's event loop reads it, so
that each test controls the order of events.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from structlog.testing import capture_logs

from lockspoke.balancing.events import ReplicaState
from lockspoke.wire.discovery import connection as discovery_connection
from lockspoke.wire.discovery.connection import WATCH_GRACE_SECONDS
from lockspoke.wire.discovery.follower import UNCHANGED_RETRY_DELAY_SECONDS
from lockspoke.wire.discovery.messages import MAX_LIST_SIZE_BYTES
from lockspoke.wire.discovery.watch import DiscoveryWatch
from tests.peers import Gateway, RawConnection, ScriptedServer, block_event_loop
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk, request_bytes, until

HOLD_MS = 60_000
SHORT_HOLD_MS = 200
BUSY_TIME = 0.3  # Seconds for which the event loop is blocked: more than the grace period of 250 ms.

RESPONSE = STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b"")


def entry(uid: str, peer: ScriptedServer, state: str = "up") -> dict[str, Any]:
    host, port = peer.endpoint
    return {"uid": uid, "endpoint": f"{host}:{port}", "az": "z", "state": state, "boot_ms": 0}


def list_response(rev: int, *targets: Any, complete: bool = False) -> bytes:
    """Return a response of discovery."""
    body = json.dumps({"rev": rev, "all": complete, "targets": targets}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class DrainScenario:
    """A gateway, and its two replicas and discovery, which the test controls."""

    def __init__(self, hold_ms: int = HOLD_MS, polls: bool = False) -> None:
        self.first, self.second, self.discovery = ScriptedServer(), ScriptedServer(), ScriptedServer()
        self.watch = DiscoveryWatch(self.discovery.endpoint, hold_ms)
        self.gateway = Gateway(self.first, self.second, discovery=self.watch, polls_endpoint_list=polls)
        self.watch.attach(self.gateway.core)

    @property
    def drain_of_first(self) -> bytes:
        return list_response(2, entry("w0", self.first, "draining"))

    async def start_watch(self) -> RawConnection:
        """Start the watch; return the connection on which the gateway waits for a change."""
        self.watch.watch(True)
        peer_connection = await self.discovery.accept()
        await peer_connection.read_until(b"\r\n\r\n")
        peer_connection.send(list_response(1))
        await peer_connection.read_until(b"from=1&hold_ms=%d" % self.watch.hold_ms)
        return peer_connection

    def submit_request(self, client: RawConnection) -> None:
        """Submit a request without yielding to the loop; the balancer chooses a replica."""
        client.send(request_bytes(1))
        (connection,) = self.gateway.front.listener.connections
        connection._receive(connection.stream.socket.recv(65536))

    def listed_state(self, uid: str) -> ReplicaState:
        """Return the state of a replica in the current list."""
        return next(one.state for one in self.gateway.replica_set.replicas.values() if one.uid == uid)

    async def open_idle_connections(self) -> dict[str, RawConnection]:
        """Open an idle connection to each replica; return them by uid."""
        replica_connections: dict[str, RawConnection] = {}
        pool = self.gateway.transport.pool
        for replica in self.gateway.replica_set.replicas.values():
            pool.release_unused(await pool.acquire(replica))
            peer = self.first if replica.uid == "w0" else self.second
            replica_connections[replica.uid] = await peer.accept()
        return replica_connections

    def chosen_replica(self) -> tuple[str, ScriptedServer]:
        """Return the replica that was chosen for the only request."""
        (request,) = self.gateway.core.requests.values()
        uid = request.attempts[0].replica.uid
        return uid, self.first if uid == "w0" else self.second


def run_scenario(test: Callable[[DrainScenario], Awaitable[None]], **options: Any) -> None:
    async def scenario() -> None:
        setup = DrainScenario(**options)
        async with setup.gateway:
            try:
                await test(setup)
            finally:
                setup.watch.close()

    asyncio.run(scenario())


async def idle_client(setup: DrainScenario) -> RawConnection:
    client = await setup.gateway.connect_client()
    await until(lambda: len(setup.gateway.front.listener.connections) == 1)
    return client


def test_a_drain_unread_in_a_busy_loop_is_applied_before_a_request_is_sent() -> None:
    """Regression: after the event loop had been blocked, requests were written before the drain was read."""

    async def test(setup: DrainScenario) -> None:
        peer_connection, client = await setup.start_watch(), await idle_client(setup)
        replica_connections = await setup.open_idle_connections()
        setup.submit_request(client)
        uid, replica = setup.chosen_replica()
        peer_connection.send(list_response(2, entry(uid, replica, "draining")))
        block_event_loop(BUSY_TIME)
        other = replica_connections["w1" if uid == "w0" else "w0"]
        assert b"0000000000000001" in await other.read_until(b"{}")
        assert await replica_connections[uid].read_to_end() == b"", (
            "its idle connection is closed, and nothing was sent on it"
        )

    run_scenario(test)


def test_a_response_that_arrives_at_its_deadline_is_applied() -> None:
    """Regression: the request timed out in the loop iteration in which the response was read."""

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        timeout_at = asyncio.get_running_loop().time() + SHORT_HOLD_MS / 1000 + WATCH_GRACE_SECONDS + 0.05
        while asyncio.get_running_loop().time() < timeout_at - 0.1:
            await asyncio.sleep(0.01)
        peer_connection.send(setup.drain_of_first)
        block_event_loop(max(0.0, timeout_at - asyncio.get_running_loop().time()))
        await until(lambda: setup.gateway.replica_set.version == 2)
        assert setup.listed_state("w0") is ReplicaState.DRAINING

    run_scenario(test, hold_ms=SHORT_HOLD_MS)


def test_a_drain_written_as_discovery_moved_is_applied() -> None:
    """Regression: the drain was lost with the connection to the old service, and the new one may be slow."""

    async def test(setup: DrainScenario) -> None:
        peer_connection, slow = await setup.start_watch(), ScriptedServer()
        peer_connection.send(setup.drain_of_first)
        setup.watch.change_endpoint(slow.endpoint)
        new_connection = await slow.accept()
        assert b"from=" not in await new_connection.read_until(b"\r\n\r\n"), "versions are each service's own"
        await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)
        assert setup.gateway.replica_set.version == -1

    run_scenario(test)


def test_a_response_half_written_as_discovery_moved_is_applied() -> None:
    async def test(setup: DrainScenario) -> None:
        peer_connection, slow = await setup.start_watch(), ScriptedServer()
        half = len(setup.drain_of_first) // 2
        peer_connection.send(setup.drain_of_first[:half])
        setup.watch.change_endpoint(slow.endpoint)
        await (await slow.accept()).read_until(b"\r\n\r\n")
        peer_connection.send(setup.drain_of_first[half:])
        await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)

    run_scenario(test)


@pytest.mark.parametrize("bad", [{"uid": 5}, {"uid": "w1", "state": "odd"}, 7, {"uid": "w1", "state": "up"}])
def test_a_drain_beside_an_unreadable_entry_is_applied(bad: Any) -> None:
    """Regression: one malformed entry made the entire response unusable, with its valid drains."""

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        peer_connection.send(list_response(2, entry("w0", setup.first, "draining"), bad))
        await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)
        assert setup.gateway.replica_set.version == 1, "the same changes are requested again"

    run_scenario(test)


def test_a_stale_response_makes_no_drained_replica_ready() -> None:
    """Regression: its version and entries were applied, and the complete list was not requested."""

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        peer_connection.send(setup.drain_of_first)
        await peer_connection.read_until(b"from=2&")
        peer_connection.send(
            list_response(1, entry("w0", setup.first), entry("w1", setup.second), complete=True)
        )
        assert b"from=" not in await peer_connection.read_until(b"\r\n\r\n")
        assert (
            setup.listed_state("w0") is ReplicaState.DRAINING
            and setup.listed_state("w1") is ReplicaState.READY
        )
        peer_connection.send(
            list_response(1, entry("w0", setup.first), entry("w1", setup.second), complete=True)
        )
        await peer_connection.read_until(b"from=1&")
        assert setup.listed_state("w0") is ReplicaState.READY, "a complete list is applied"

    run_scenario(test)


def test_the_complete_list_is_requested_after_a_response_with_a_lower_version() -> None:
    """Regression: the changes up to the former service's version were never requested."""

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        peer_connection.send(list_response(0, entry("w1", setup.second, "draining")))
        assert b"from=" not in await peer_connection.read_until(b"\r\n\r\n")
        assert setup.listed_state("w1") is ReplicaState.DRAINING

    run_scenario(test)


MALFORMED_RESPONSES = {
    "not an object": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    "not JSON": b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"rev": 2',
    "a bad version": b'HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n{"rev": -2, "all": true, "targets": []}',
    "no HTTP": b"{}" * 20_000,
    "an endless head": b"HTTP/1.1 200 OK\r\n" + b"X-Filler: " + b"x" * 70_000,
    "a malformed length": b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
    "a list that is too large": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_LIST_SIZE_BYTES + 1)
    + b" " * (MAX_LIST_SIZE_BYTES + 1),
    "an overload": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("bad", MALFORMED_RESPONSES.values(), ids=MALFORMED_RESPONSES.keys())
def test_an_unreadable_response_is_logged_once_and_requested_again(bad: bytes) -> None:
    """The list stays as it was; the drain in the next response is applied."""

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        with capture_logs() as logs:
            for _ in range(2):
                with contextlib.suppress(ConnectionError):  # The gateway closes it before the end.
                    await asyncio.get_running_loop().sock_sendall(peer_connection.sock, bad)
                peer_connection = await setup.discovery.accept()
                assert b"from=1&hold_ms=0 " in await peer_connection.read_until(b"\r\n\r\n")
                assert setup.listed_state("w0") == setup.listed_state("w1") is ReplicaState.READY
            peer_connection.send(setup.drain_of_first)
            await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)
        failing = [record for record in logs if record["event"] == "discovery_failing"]
        assert len(failing) == 1 and failing[0]["reason"]

    run_scenario(test, polls=True)


def test_a_response_that_does_not_end_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: a response that arrived a byte at a time had no time limit."""
    monkeypatch.setattr(discovery_connection, "RESPONSE_TIMEOUT_SECONDS", 0.3)

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        next_connection = asyncio.ensure_future(setup.discovery.accept())
        peer_connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
        while not next_connection.done():
            with contextlib.suppress(ConnectionError):
                peer_connection.send(b" ")
            await asyncio.sleep(0.02)
        assert b"from=1&hold_ms=0 " in await next_connection.result().read_until(b"\r\n\r\n")

    run_scenario(test)


def test_immediate_responses_without_changes_are_not_polled_in_a_tight_loop() -> None:
    async def test(setup: DrainScenario) -> None:
        peer_connection, loop = await setup.start_watch(), asyncio.get_running_loop()
        began = loop.time()
        for _ in range(4):
            peer_connection.send(list_response(1))
            await peer_connection.read_until(b"from=1&hold_ms=%d" % HOLD_MS)
        assert loop.time() - began >= 4 * UNCHANGED_RETRY_DELAY_SECONDS
        peer_connection.send(setup.drain_of_first)
        await peer_connection.read_until(b"from=2&")

    run_scenario(test)


@pytest.mark.parametrize(
    "delay", [None, 0.0, 0.03, 0.5], ids=["read together", "at once", "soon", "after the next request"]
)
def test_a_drain_behind_a_late_second_response_is_applied(delay: float | None) -> None:
    """Guards against: a drain that discovery had written was discarded as bytes behind a repeated list."""

    async def test(setup: DrainScenario) -> None:
        peer_connection = await setup.start_watch()
        repeated = list_response(1)  # The next request is out already.
        if delay is None:
            peer_connection.send(repeated + setup.drain_of_first)
        else:
            peer_connection.send(repeated)
            await asyncio.sleep(delay)
            peer_connection.send(setup.drain_of_first)
        await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)
        await peer_connection.read_until(b"from=2&")  # The same connection goes on.

    run_scenario(test)


def test_a_response_of_the_former_service_does_not_end_the_poll_of_the_new_one() -> None:
    """Regression: it counted as the response to the failed poll, so the list was not polled again."""

    async def test(setup: DrainScenario) -> None:
        peer_connection, new = await setup.start_watch(), ScriptedServer()
        setup.watch.change_endpoint(new.endpoint)
        overloaded = await new.accept()
        await overloaded.read_until(b"\r\n\r\n")
        overloaded.send(MALFORMED_RESPONSES["an overload"])
        assert await overloaded.read_to_end() == b""
        peer_connection.send(setup.drain_of_first)
        await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)
        retry = await new.accept()
        assert b"from=" not in await retry.read_until(b"\r\n\r\n")

    run_scenario(test, polls=True)


class UnfinishedFollower:
    """A former service's follower, with an unread response until the test clears `has_unread_changes`."""

    has_unread_changes = True

    def close(self) -> None:
        """Nothing is open."""


def test_a_former_follower_with_a_response_does_not_wait_for_other_followers() -> None:
    """Regression: after discovery had moved twice, it waited for itself, so no request was sent."""

    async def test(setup: DrainScenario) -> None:
        peer_connection, former, new = await setup.start_watch(), UnfinishedFollower(), ScriptedServer()
        setup.watch._former_followers.append(former)  # type: ignore[arg-type]  # a fake with what the watch uses
        peer_connection.send(setup.drain_of_first)
        await until(
            lambda: setup.watch._current_follower is not None and setup.watch._current_follower._applying
        )
        setup.watch.change_endpoint(new.endpoint)
        await until(lambda: setup.listed_state("w0") is ReplicaState.DRAINING)
        former.has_unread_changes = False
        await until(lambda: not setup.watch.has_unread_changes)
        assert b"from=" not in await (await new.accept()).read_until(b"\r\n\r\n")

    run_scenario(test)

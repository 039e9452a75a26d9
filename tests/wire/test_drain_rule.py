"""The drain rule over real connections: no new request is sent to a replica after its drain.

A gateway is notified of a change when discovery has written it, read or not. What discovery, clients and
replicas send is in the kernel before the gateway's loop reads it, so each test gets its order of events.
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
from lockspoke.wire.discovery.follower import UNCHANGED_PAUSE_SECONDS
from lockspoke.wire.discovery.messages import MAX_LIST_SIZE_BYTES
from lockspoke.wire.discovery.watch import DiscoveryWatch
from lockspoke.wire.replicas.connection_pool import SETTLE_TIME
from tests.peers import Gateway, RawConnection, ScriptedServer, block_event_loop
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk, request_bytes, until

HOLD_MS = 60_000
SHORT_HOLD_MS = 200
BUSY_TIME = 0.3  # seconds for which the loop is blocked: longer than the grace period of 250 ms

RESPONSE = STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b"")


def entry(uid: str, peer: ScriptedServer, state: str = "up") -> dict[str, Any]:
    host, port = peer.endpoint
    return {"uid": uid, "endpoint": f"{host}:{port}", "az": "z", "state": state, "boot_ms": 0}


def list_response(rev: int, *targets: Any, complete: bool = False) -> bytes:
    """A response of discovery."""
    body = json.dumps({"rev": rev, "all": complete, "targets": targets}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class DrainScenario:
    """A gateway, with two replicas and discovery controlled by the test."""

    def __init__(self, hold_ms: int = HOLD_MS, polls: bool = False) -> None:
        self.first, self.second, self.discovery = ScriptedServer(), ScriptedServer(), ScriptedServer()
        self.watch = DiscoveryWatch(self.discovery.endpoint, hold_ms)
        self.gateway = Gateway(self.first, self.second, discovery=self.watch, polls_endpoint_list=polls)
        self.watch.attach(self.gateway.core)

    @property
    def drain_of_first(self) -> bytes:
        return list_response(2, entry("w0", self.first, "draining"))

    async def start_watch(self) -> RawConnection:
        """Start the watch; returns the connection on which the gateway waits for a change."""
        self.watch.watch(True)
        line = await self.discovery.accept()
        await line.read_until(b"\r\n\r\n")
        line.send(list_response(1))
        await line.read_until(b"from=1&hold_ms=%d" % self.watch.hold_ms)
        return line

    def submit_request(self, client: RawConnection) -> None:
        """Submit a request without yielding to the loop; the balancer chooses a replica."""
        client.send(request_bytes(1))
        (connection,) = self.gateway.front.listener.connections
        connection._receive(connection.stream.socket.recv(65536))

    def listed_state(self, uid: str) -> ReplicaState:
        """The state of a replica in the current list."""
        return next(one.state for one in self.gateway.replica_set.replicas.values() if one.uid == uid)

    async def open_idle_connections(self, client: RawConnection) -> dict[str, RawConnection]:
        """Open an idle connection to each replica; returns them by uid."""
        lines: dict[str, RawConnection] = {}
        loop, number = asyncio.get_running_loop(), 100
        accepting = {
            asyncio.ensure_future(peer.accept()): uid
            for uid, peer in (("w0", self.first), ("w1", self.second))
        }
        while accepting:
            number += 1
            client.send(request_bytes(number))
            await until(lambda: bool(self.gateway.core.requests))
            await until(lambda: len(self.gateway.transport.active_connections) == 1)
            for done in [one for one in accepting if one.done()]:
                lines[accepting.pop(done)] = done.result()
            (attempt,) = self.gateway.transport.active_connections
            line = lines[attempt.replica.uid]
            await line.read_until(b"{}")
            line.send(RESPONSE)
            await client.read_until(b"0\r\n\r\n")
            settled = loop.time() + 2 * SETTLE_TIME
            await until(lambda until_then=settled: loop.time() > until_then)  # type: ignore[misc]  # mypy infers no lambda with a default
        return lines

    def chosen_replica(self) -> tuple[str, ScriptedServer]:
        """The replica that was chosen for the only request."""
        (request,) = self.gateway.core.requests.values()
        uid = request.attempts[0].replica.uid
        return uid, self.first if uid == "w0" else self.second


def run_scenario(test: Callable[[DrainScenario], Awaitable[None]], **options: Any) -> None:
    async def scenario() -> None:
        scene = DrainScenario(**options)
        async with scene.gateway:
            try:
                await test(scene)
            finally:
                scene.watch.close()

    asyncio.run(scenario())


async def idle_client(scene: DrainScenario) -> RawConnection:
    client = await scene.gateway.connect_client()
    await until(lambda: len(scene.gateway.front.listener.connections) == 1)
    return client


def test_a_drain_unread_while_the_loop_is_busy_is_applied_before_any_request_is_sent() -> None:
    """Regression: after a pause of the loop, requests were written before the drain was read."""

    async def test(scene: DrainScenario) -> None:
        line, client = await scene.start_watch(), await idle_client(scene)
        lines = await scene.open_idle_connections(client)
        scene.submit_request(client)
        uid, replica = scene.chosen_replica()
        line.send(list_response(2, entry(uid, replica, "draining")))
        block_event_loop(BUSY_TIME)
        other = lines["w1" if uid == "w0" else "w0"]
        assert b"0000000000000001" in await other.read_until(b"{}")
        assert await lines[uid].read_to_end() == b"", (
            "its idle connection is closed, and nothing was sent on it"
        )

    run_scenario(test)


def test_a_response_that_arrives_at_its_deadline_is_applied() -> None:
    """Regression: its bytes were read, and the request was timed out in the same iteration of the loop."""

    async def test(scene: DrainScenario) -> None:
        line = await scene.start_watch()
        timeout_at = asyncio.get_running_loop().time() + SHORT_HOLD_MS / 1000 + WATCH_GRACE_SECONDS + 0.05
        while asyncio.get_running_loop().time() < timeout_at - 0.1:
            await asyncio.sleep(0.01)
        line.send(scene.drain_of_first)
        block_event_loop(max(0.0, timeout_at - asyncio.get_running_loop().time()))
        await until(lambda: scene.gateway.replica_set.version == 2)
        assert scene.listed_state("w0") is ReplicaState.DRAINING

    run_scenario(test, hold_ms=SHORT_HOLD_MS)


def test_a_drain_written_as_discovery_moved_is_applied() -> None:
    """Regression: the drain was lost with the connection to the old service; the new one may be slow."""

    async def test(scene: DrainScenario) -> None:
        line, slow = await scene.start_watch(), ScriptedServer()
        line.send(scene.drain_of_first)
        scene.watch.change_endpoint(slow.endpoint)
        new_connection = await slow.accept()
        assert b"from=" not in await new_connection.read_until(b"\r\n\r\n"), "versions are each service's own"
        await until(lambda: scene.listed_state("w0") is ReplicaState.DRAINING)
        assert scene.gateway.replica_set.version == -1

    run_scenario(test)


def test_a_response_half_written_as_discovery_moved_is_applied() -> None:
    async def test(scene: DrainScenario) -> None:
        line, slow = await scene.start_watch(), ScriptedServer()
        half = len(scene.drain_of_first) // 2
        line.send(scene.drain_of_first[:half])
        scene.watch.change_endpoint(slow.endpoint)
        await (await slow.accept()).read_until(b"\r\n\r\n")
        line.send(scene.drain_of_first[half:])
        await until(lambda: scene.listed_state("w0") is ReplicaState.DRAINING)

    run_scenario(test)


@pytest.mark.parametrize("bad", [{"uid": 5}, {"uid": "w1", "state": "odd"}, 7, {"uid": "w1", "state": "up"}])
def test_a_drain_beside_an_unreadable_entry_is_applied(bad: Any) -> None:
    """Regression: one malformed entry made the entire response unusable, with its valid drains."""

    async def test(scene: DrainScenario) -> None:
        line = await scene.start_watch()
        line.send(list_response(2, entry("w0", scene.first, "draining"), bad))
        await until(lambda: scene.listed_state("w0") is ReplicaState.DRAINING)
        assert scene.gateway.replica_set.version == 1, "the same changes are requested again"

    run_scenario(test)


def test_a_stale_response_makes_no_drained_replica_ready() -> None:
    """Regression: its version and entries were applied; the complete list must be requested instead."""

    async def test(scene: DrainScenario) -> None:
        line = await scene.start_watch()
        line.send(scene.drain_of_first)
        await line.read_until(b"from=2&")
        line.send(list_response(1, entry("w0", scene.first), entry("w1", scene.second), complete=True))
        assert b"from=" not in await line.read_until(b"\r\n\r\n")
        assert (
            scene.listed_state("w0") is ReplicaState.DRAINING
            and scene.listed_state("w1") is ReplicaState.READY
        )
        line.send(list_response(1, entry("w0", scene.first), entry("w1", scene.second), complete=True))
        await line.read_until(b"from=1&")
        assert scene.listed_state("w0") is ReplicaState.READY, "a complete list is applied"

    run_scenario(test)


def test_the_complete_list_is_requested_from_a_restarted_service_with_lower_versions() -> None:
    """Regression: its changes up to that version were never requested."""

    async def test(scene: DrainScenario) -> None:
        line = await scene.start_watch()
        line.send(list_response(0, entry("w1", scene.second, "draining")))
        assert b"from=" not in await line.read_until(b"\r\n\r\n")
        assert scene.listed_state("w1") is ReplicaState.DRAINING

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

    async def test(scene: DrainScenario) -> None:
        line = await scene.start_watch()
        with capture_logs() as logs:
            for _ in range(2):
                with contextlib.suppress(ConnectionError):  # the gateway closes before the end
                    await asyncio.get_running_loop().sock_sendall(line.sock, bad)
                line = await scene.discovery.accept()
                assert b"from=1&hold_ms=0 " in await line.read_until(b"\r\n\r\n")
                assert scene.listed_state("w0") == scene.listed_state("w1") is ReplicaState.READY
            line.send(scene.drain_of_first)
            await until(lambda: scene.listed_state("w0") is ReplicaState.DRAINING)
        failing = [line for line in logs if line["event"] == "discovery_failing"]
        assert len(failing) == 1 and failing[0]["reason"]

    run_scenario(test, polls=True)


def test_a_response_that_does_not_end_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: a response that arrived a byte at a time had no time limit."""
    monkeypatch.setattr(discovery_connection, "RESPONSE_TIMEOUT_SECONDS", 0.3)

    async def test(scene: DrainScenario) -> None:
        line = await scene.start_watch()
        next_connection = asyncio.ensure_future(scene.discovery.accept())
        line.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
        while not next_connection.done():
            with contextlib.suppress(ConnectionError):
                line.send(b" ")
            await asyncio.sleep(0.02)
        assert b"from=1&hold_ms=0 " in await next_connection.result().read_until(b"\r\n\r\n")

    run_scenario(test)


def test_a_service_that_responds_at_once_without_changes_is_not_polled_in_a_tight_loop() -> None:
    async def test(scene: DrainScenario) -> None:
        line, loop = await scene.start_watch(), asyncio.get_running_loop()
        began = loop.time()
        for _ in range(4):
            line.send(list_response(1))
            await line.read_until(b"from=1&hold_ms=%d" % HOLD_MS)
        assert loop.time() - began >= 4 * UNCHANGED_PAUSE_SECONDS
        line.send(scene.drain_of_first)
        await line.read_until(b"from=2&")

    run_scenario(test)


def test_the_last_response_of_a_former_service_does_not_end_the_poll_of_the_new_one() -> None:
    """Regression: it counted as the response to the failed poll, so the list was not polled again."""

    async def test(scene: DrainScenario) -> None:
        line, new = await scene.start_watch(), ScriptedServer()
        scene.watch.change_endpoint(new.endpoint)
        overloaded = await new.accept()
        await overloaded.read_until(b"\r\n\r\n")
        overloaded.send(MALFORMED_RESPONSES["an overload"])
        assert await overloaded.read_to_end() == b""
        line.send(scene.drain_of_first)
        await until(lambda: scene.listed_state("w0") is ReplicaState.DRAINING)
        retry = await new.accept()
        assert b"from=" not in await retry.read_until(b"\r\n\r\n")

    run_scenario(test, polls=True)


class UnfinishedFollower:
    """A follower of a former service that has a response until the test ends it."""

    has_unread_changes = True

    def close(self) -> None:
        """Nothing is open."""


def test_a_former_follower_with_a_response_does_not_wait_for_other_followers() -> None:
    """Regression: after two moves it waited for its own response, and no request was sent any more."""

    async def test(scene: DrainScenario) -> None:
        line, former, new = await scene.start_watch(), UnfinishedFollower(), ScriptedServer()
        scene.watch._former_followers.append(former)  # type: ignore[arg-type]  # a fake with what the watch uses
        line.send(scene.drain_of_first)
        await until(
            lambda: scene.watch._current_follower is not None and scene.watch._current_follower._applying
        )
        scene.watch.change_endpoint(new.endpoint)
        await until(lambda: scene.listed_state("w0") is ReplicaState.DRAINING)
        former.has_unread_changes = False
        await until(lambda: not scene.watch.has_unread_changes)
        assert b"from=" not in await (await new.accept()).read_until(b"\r\n\r\n")

    run_scenario(test)

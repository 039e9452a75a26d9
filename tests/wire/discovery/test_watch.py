"""The watch of discovery on sockets, with short waits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Container
from typing import Any, cast

import pytest
from tornado.iostream import IOStream

from lockspoke.core.core import Core
from lockspoke.core.replica_set import UNKNOWN_VERSION
from lockspoke.wire.discovery import connection as discovery_connection
from lockspoke.wire.discovery import watch
from lockspoke.wire.http.messages import Request
from lockspoke.wire.tcp.dialing import dial
from tests.peers import ScriptedServer
from tests.standins import FakeDiscovery, FakeReplica, until

HOLD_MS = 200


class RecordingListener:
    """What the watch tells the core."""

    def __init__(self, version: int) -> None:
        self.replica_set, self.version, self.ready_count = self, version, 1
        self.updates: list[Any] = []
        self.failed = 0
        self.on_next_update: Callable[[], None] | None = None  # what crosses the next list, once

    def endpoint_list_changed(self, update: Any, completes_poll: bool = True) -> None:
        del completes_poll
        self.version = update.version
        happens, self.on_next_update = self.on_next_update, None
        if happens is not None:
            happens()
        self.updates.append(update)

    def endpoint_list_failed(self) -> None:
        self.failed += 1


class SilentDiscovery(FakeDiscovery):
    """Requests that it has taken fall silent, by their numbers; the connections stay open."""

    def __init__(self, silent: Container[int]) -> None:
        super().__init__()
        self.silent = silent
        self.times: list[float] = []
        self.over = asyncio.Event()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.times.append(asyncio.get_running_loop().time())
        if len(self.times) in self.silent:
            await self.over.wait()
            return
        await super().answer(request, writer)


async def request_times(
    silent: Container[int], listener: RecordingListener, hold_ms: int = HOLD_MS, updates: int = 1
) -> list[float]:
    """When the requests came, until there is a list or a failure past so many lists."""
    async with FakeReplica() as replica, SilentDiscovery(silent) as discovery:
        discovery.change(replica)
        discovery_watch = watch.DiscoveryWatch(("127.0.0.1", discovery.port), hold_ms)
        discovery_watch.attach(cast(Core, listener))
        discovery_watch.watch(True)
        await until(
            lambda: len(listener.updates) >= updates or bool(listener.failed) or len(discovery.times) > 1
        )
        if updates > 1:
            await until(lambda: len(discovery.times) > 1)
            discovery.rev += 1  # what the silent watch misses
        await until(lambda: len(listener.updates) >= updates or bool(listener.failed))
        discovery_watch.close()
        discovery.over.set()
        times: list[float] = discovery.times
        return times


def test_a_lost_watch_is_reopened_at_once() -> None:
    """Its changes count as told 2 s past its wait; a pause of up to 5 s broke the rule on drains."""
    told = RecordingListener(1)
    times = asyncio.run(request_times({2}, told, updates=2))
    assert len(told.updates) == 2 and not told.failed
    assert times[2] - times[1] > HOLD_MS / 1000, "not before its wait is over"


def test_a_service_that_stays_silent_is_reported_as_failing() -> None:
    told = RecordingListener(1)
    times = asyncio.run(request_times(range(2, 99), told, updates=2))
    assert told.failed == 1 and len(times) == 3, "after the silent watch one request, which did not wait"


def test_a_request_for_the_complete_list_times_out_long_before_a_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may not wait, and 6 s after it fell silent it counts as told: it was given as long as a watch."""
    monkeypatch.setattr(discovery_connection, "RESPONSE_TIMEOUT", 0.2)
    told = RecordingListener(-1)
    asyncio.run(request_times({1}, told, hold_ms=60_000))
    assert told.failed == 1 and not told.updates


def test_the_time_to_connect_does_not_shorten_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch was given up as silent before its wait was over, or counted as failed."""
    monkeypatch.setattr(discovery_connection, "CONNECT_TIMEOUT", 20.0)

    async def whole() -> None:
        peer, told, connects = ScriptedServer(), RecordingListener(1), asyncio.Event()

        async def slow_dial(endpoint: tuple[str, int]) -> IOStream:
            await connects.wait()
            return await dial(endpoint)

        one = watch.DiscoveryWatch(peer.endpoint, HOLD_MS, slow_dial)
        one.attach(cast(Core, told))
        connects.set()
        one.watch(True)
        line = await peer.accept()
        await line.read_until(b"\r\n\r\n")
        connects.clear()
        line.send(list_response(2, b"Connection: close\r\n"))
        await until(lambda: len(told.updates) == 1)
        loop = asyncio.get_running_loop()
        late = loop.time() + HOLD_MS / 1000 + discovery_connection.WATCH_GRACE + 0.1
        await until(lambda: loop.time() > late)
        connects.set()
        line = await peer.accept()
        assert b"hold_ms=%d " % HOLD_MS in await line.read_until(b"\r\n\r\n")
        line.send(list_response(3))
        await until(lambda: len(told.updates) == 2 or bool(told.failed))
        one.close()
        assert not told.failed

    asyncio.run(whole())


def list_response(rev: int, headers: bytes = b"") -> bytes:
    body = b'{"rev": %d, "all": false, "targets": []}' % rev
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), headers, body)


def run_with_watch(
    test: Callable[[watch.DiscoveryWatch, ScriptedServer, RecordingListener], Awaitable[None]],
) -> None:
    """A watch of a peer that the test is."""

    async def whole() -> None:
        peer, told = ScriptedServer(), RecordingListener(1)
        one = watch.DiscoveryWatch(peer.endpoint, HOLD_MS * 100)
        one.attach(cast(Core, told))
        one.watch(True)
        await test(one, peer, told)
        one.close()

    asyncio.run(whole())


@pytest.mark.parametrize("behind", [list_response(2), b"HTTP/1.1 2"], ids=["a second answer", "half a line"])
@pytest.mark.parametrize("late", [False, True], ids=["with the answer", "after it"])
def test_bytes_after_a_response_are_never_read_as_the_next_response(behind: bytes, late: bool) -> None:
    """Each later call would have taken the answer of the one before it."""

    async def test(one: watch.DiscoveryWatch, peer: ScriptedServer, told: RecordingListener) -> None:
        first = await peer.accept()
        await first.read_until(b"from=1&")
        if late:
            # It comes once the answer has been taken, and before the next call is written.
            told.on_next_update = lambda: first.send(behind)
        first.send(list_response(2) + (b"" if late else behind))
        second = await peer.accept()
        await second.read_until(b"from=2&")
        second.send(list_response(3))
        await second.read_until(b"from=3&")
        assert [update.version for update in told.updates] == [2, 3]

    run_with_watch(test)


def test_a_list_received_as_discovery_moves_is_applied_without_its_version() -> None:
    """It is told. But versions are each service's own: the old one's would end the new one's changes."""

    async def test(one: watch.DiscoveryWatch, peer: ScriptedServer, told: RecordingListener) -> None:
        old, new = await peer.accept(), ScriptedServer()
        await old.read_until(b"from=1&")
        old.send(list_response(70))
        one.change_endpoint(new.endpoint)
        line = await new.accept()
        assert b"from=" not in await line.read_until(b"\r\n\r\n")
        line.send(list_response(4))
        await line.read_until(b"from=4&")
        assert [update.version for update in told.updates] == [UNKNOWN_VERSION, 4]
        assert await old.read_some() == b"", "the old service is asked nothing more"

    run_with_watch(test)


def test_an_exception_while_a_list_is_applied_is_reported_as_a_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The list would have stayed as it was for ever, with nobody told."""

    async def test(one: watch.DiscoveryWatch, peer: ScriptedServer, told: RecordingListener) -> None:
        first = await peer.accept()
        await first.read_until(b"from=1&")

        def fault() -> None:
            raise KeyError("planted")

        told.on_next_update = fault
        first.send(list_response(2))
        await until(lambda: told.failed == 1)
        one.watch(True)
        second = await peer.accept()
        assert b"from=" not in await second.read_until(b"\r\n\r\n"), (
            "the whole list: what was taken is not known"
        )

    run_with_watch(test)


def test_holds_are_spread_over_the_gateways() -> None:
    holds = [watch.hold_duration_ms(index, 200) for index in range(200)]
    assert len(set(holds)) == 200 and holds == sorted(holds)
    assert (holds[0], holds[-1]) == (1500, 3490)
    assert watch.hold_duration_ms(777, 200) in holds and watch.hold_duration_ms(0, 1) == 1500
    assert max(watch.hold_duration_ms(index, 1024) for index in range(1024)) < 3500

"""The watch of discovery on sockets, with short waits."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from lockspoke.memory.core import Core
from lockspoke.wire import watch
from lockspoke.wire.http1 import Request
from tests.peers import Peer
from tests.standins import FakeDiscovery, FakeWorker, until

HOLD_MS = 200


class Told:
    """What the watch tells the core."""

    def __init__(self, rev: int) -> None:
        self.registry, self.rev, self.ready = self, rev, 1
        self.lists: list[Any] = []
        self.failed = 0

    def list_changed(self, update: Any) -> None:
        self.rev = update.rev
        self.lists.append(update)

    def list_failed(self) -> None:
        self.failed += 1


class SilentDiscovery(FakeDiscovery):
    """Watches that it has taken fall silent, so many of them; the connections stay open."""

    def __init__(self, silent: int) -> None:
        super().__init__()
        self.silent = silent
        self.times: list[float] = []
        self.over = asyncio.Event()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.times.append(asyncio.get_running_loop().time())
        self.silent -= 1
        if self.silent >= 0:
            await self.over.wait()
            return
        await super().answer(request, writer)


async def watched(silent: int, told: Told, times: list[float], hold_ms: int = HOLD_MS) -> None:
    async with FakeWorker() as worker, SilentDiscovery(silent) as discovery:
        discovery.change(worker)
        one = watch.DiscoveryWatch(("127.0.0.1", discovery.port), hold_ms)
        one.core = cast(Core, told)
        one.watch(True)
        await until(lambda: bool(told.lists or told.failed))
        one.close()
        discovery.over.set()
        times += discovery.times


def test_a_watch_that_falls_silent_is_opened_anew_at_once() -> None:
    """Its changes count as told 2 s past its wait; a pause of up to 5 s broke the rule on drains."""
    told, times = Told(1), list[float]()
    asyncio.run(watched(1, told, times))
    assert told.lists and not told.failed
    assert times[1] - times[0] > HOLD_MS / 1000, "not before its wait is over"


def test_a_service_that_stays_silent_counts_as_failing() -> None:
    told, times = Told(1), list[float]()
    asyncio.run(watched(9, told, times))
    assert told.failed == 1 and len(times) == watch.SILENT_TRIES + 1


def test_a_whole_list_that_falls_silent_is_asked_for_again_long_before_a_watch_would_be(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may not wait, and 6 s after it fell silent it counts as told: it was given as long as a watch."""
    monkeypatch.setattr(watch, "LIST_TIME", 0.2)
    told, times = Told(-1), list[float]()
    asyncio.run(watched(1, told, times, hold_ms=60_000))
    assert told.lists and not told.failed and len(times) >= 2


def test_the_time_that_a_connection_takes_is_not_taken_from_the_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch was given up as silent before its wait was over, or counted as failed."""
    monkeypatch.setattr(watch, "CONNECT", 20.0)

    async def whole() -> None:
        peer, told = Peer(full=True), Told(1)
        one = watch.DiscoveryWatch(peer.endpoint, HOLD_MS)
        one.core = cast(Core, told)
        one.watch(True)
        line = await peer.let_in()
        await line.read(b"\r\n\r\n")
        listed = b'{"rev": 2, "all": false, "targets": []}'
        line.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(listed), listed))
        await until(lambda: bool(told.lists or told.failed))
        one.close()
        assert told.lists and not told.failed

    asyncio.run(whole())


def test_holds_are_spread_over_the_gateways() -> None:
    holds = [watch.hold_of(index, 200) for index in range(200)]
    assert len(set(holds)) == 200 and holds == sorted(holds)
    assert (holds[0], holds[-1]) == (6000, 9980)
    assert watch.hold_of(777, 200) in holds and watch.hold_of(0, 1) == 6000

"""Stopping the batch front: it blocks nothing, and each request that it has read gets an answer."""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path

from lockspoke.batch.front import BatchFront
from lockspoke.batch.records import UploadStatus
from lockspoke.batch.service import stop_batches
from lockspoke.wire.http.encoding import encode_request
from tests.standins import Client

from .api_client import Api
from .gateway_probes import MAX_EVENT_DELAY
from .harness import Harness

STORE_BUSY_DURATION = 0.6  # seconds; longer than MAX_EVENT_DELAY
TICK = 0.01  # seconds
SHUTDOWN_TIME = 3.7  # seconds from SIGTERM to SIGKILL


def test_stopping_with_a_busy_store_does_not_block_the_event_loop(tmp_path: Path) -> None:
    """Guards against: interactive streams stopped until a long result file was complete.

    The drain of the batch front closes the store, and `BatchStore.close` waits for the store's thread: events
    were late, and the hand-off before the kill could be missed. Related: the incident in
    docs/incidents/0001-cancelled-batch-stops-gateway.md.
    """
    harness = Harness(tmp_path)
    front = BatchFront(harness.store, harness.runner, 8, 1024)
    released = threading.Event()
    longest_delay = 0.0

    async def scenario() -> None:
        nonlocal longest_delay
        harness.runner.start()
        harness.store.executor.submit(released.wait)
        threading.Timer(STORE_BUSY_DURATION, released.set).start()
        stop = asyncio.ensure_future(stop_batches(front, harness.runner, harness.store, SHUTDOWN_TIME))
        loop = asyncio.get_running_loop()
        while not stop.done():
            started_at = loop.time()
            await asyncio.sleep(TICK)
            longest_delay = max(longest_delay, loop.time() - started_at - TICK)
        await stop

    asyncio.run(scenario())
    assert released.is_set(), "the store was closed while its thread was busy"
    assert longest_delay < MAX_EVENT_DELAY


CONTENT = b"0123456789" * 1000
KILL_MARGIN = 0.1  # seconds before the kill at which the last answer is there


class StoppingFront:
    """A batch front on a real socket, whose store's thread can be held up."""

    def __init__(self, folder: Path) -> None:
        self.harness = Harness(folder)
        self.store = self.harness.store
        self.front = BatchFront(self.store, self.harness.runner, 8, 1 << 20)
        self.released = threading.Event()
        self.port = 0

    def start(self) -> None:
        self.harness.runner.start()
        self.port = self.front.listener.listen(("127.0.0.1", 0))[1]

    def hold_up_store(self) -> None:
        self.store.executor.submit(self.released.wait)

    async def stop(self) -> None:
        await stop_batches(self.front, self.harness.runner, self.store, SHUTDOWN_TIME)

    async def upload_with_part(self, client: Client) -> tuple[str, str]:
        api = Api(client)
        members = {"purpose": "batch", "filename": "a", "bytes": len(CONTENT), "mime_type": "text/plain"}
        upload, _ = await api.request("POST", "/v1/uploads", members)
        part = await api.send_form(f"/v1/uploads/{upload['id']}/parts", "data", CONTENT)
        return upload["id"], part["id"]


def complete_request(upload: str, part: str) -> bytes:
    body = b'{"part_ids": ["%b"]}' % part.encode()
    return encode_request("POST", f"/v1/uploads/{upload}/complete", {"Host": "a"}, body)


def test_a_request_that_was_read_before_a_stop_is_answered(tmp_path: Path) -> None:
    """Found by a review: 4 of 4 runs dropped the completion of an upload at SIGTERM."""
    stopping = StoppingFront(tmp_path)

    async def scenario() -> None:
        stopping.start()
        async with Client(stopping.port) as client, Client(stopping.port) as idle:
            upload, part = await stopping.upload_with_part(client)
            stopping.hold_up_store()
            answer = asyncio.ensure_future(client.request(complete_request(upload, part)))
            await asyncio.sleep(0.1)
            stop = asyncio.ensure_future(stopping.stop())
            late = asyncio.ensure_future(idle.request(encode_request("GET", "/v1/files", {"Host": "a"}, b"")))
            asyncio.get_running_loop().call_later(STORE_BUSY_DURATION, stopping.released.set)
            status, headers, _, complete = await answer
            assert (status, complete, headers["connection"]) == (200, True, "close")
            assert (await late)[0] == 200, "it was sent on a connection that was open before"
            await stop
        assert stopping.store.uploads[upload].status is UploadStatus.COMPLETED

    asyncio.run(scenario())


def test_requests_that_come_to_no_end_before_a_stop_are_answered_with_503(tmp_path: Path) -> None:
    stopping = StoppingFront(tmp_path)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        stopping.start()
        async with Client(stopping.port) as client, Client(stopping.port) as sending:
            upload, part = await stopping.upload_with_part(client)
            stopping.hold_up_store()
            started_at = loop.time()
            stop = asyncio.ensure_future(stopping.stop())
            half = complete_request(upload, part)[:-5]
            answers = await asyncio.gather(
                client.request(complete_request(upload, part)), sending.request(half)
            )
            assert loop.time() - started_at < SHUTDOWN_TIME - KILL_MARGIN
            assert [(status, complete) for status, _, _, complete in answers] == [(503, True)] * 2
            stopping.released.set()
            await stop
        assert stopping.store.uploads[upload].status is UploadStatus.PENDING

    asyncio.run(scenario())
    again = StoppingFront(tmp_path)
    again.released.set()

    async def send_again() -> None:
        again.start()
        async with Client(again.port) as client:
            (upload,) = again.store.uploads.values()
            (part,) = upload.parts
            assert (await client.request(complete_request(upload.id, part)))[0] == 200
        await again.stop()

    asyncio.run(send_again())


def test_a_request_whose_change_is_being_written_is_answered_with_what_became_of_it(tmp_path: Path) -> None:
    """It may hold already, so it must not be called undone, not even when a stop's time is up."""
    stopping = StoppingFront(tmp_path)

    async def scenario() -> None:
        stopping.start()
        async with Client(stopping.port) as client:
            upload, _ = await stopping.upload_with_part(client)
            stopping.hold_up_store()
            cancel = encode_request("POST", f"/v1/uploads/{upload}/cancel", {"Host": "a"}, b"")
            answer = asyncio.ensure_future(client.request(cancel))
            await asyncio.sleep(0.1)
            asyncio.get_running_loop().call_later(SHUTDOWN_TIME - 0.4, stopping.released.set)
            await stopping.stop()
            assert (await answer)[0] == 200
        assert stopping.store.uploads[upload].status is UploadStatus.CANCELLED

    asyncio.run(scenario())


def test_a_stop_without_requests_closes_idle_connections_at_once(tmp_path: Path) -> None:
    stopping = StoppingFront(tmp_path)

    async def scenario() -> None:
        stopping.start()
        async with Client(stopping.port) as client:
            await stopping.upload_with_part(client)
            started_at = asyncio.get_running_loop().time()
            await stopping.stop()
            assert asyncio.get_running_loop().time() - started_at < 1.0

    asyncio.run(scenario())

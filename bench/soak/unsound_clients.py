"""Clients that send requests which are not sound, send IDs again, or close with much unread."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress

from tests.lifecycle.unsound_samples import UNSOUND
from tests.standins import request_bytes

from .clients import GatewayProcess
from .observations import Observations, ObservedRequest, ReplyKind, UnsoundRequest

SAMPLE_ID = b"00000000000000aa"
MAX_PAUSE = 0.3  # seconds between two requests
MAX_WAIT = 4.0  # seconds for an error or a close, more than the platform allows
BURST = 200  # how often an unsound request is sent at once
MANY_REQUESTS = 60
LARGE_BODY = b'{"a":"%s"}' % (b"x" * 20_000)
DEADLINE_MS = 2000


class UnsoundClient:
    """One client that breaks the protocol, with a new connection for each thing it does."""

    def __init__(
        self, name: str, seed: int, observations: Observations, process: Callable[[], GatewayProcess]
    ) -> None:
        self._rng = random.Random(f"{seed}:unsound client {name}")
        self._name = name
        self._number = 0
        self._observations = observations
        self._current_process = process

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE))
            process = self._current_process()
            action = self._rng.choice((self._send_unsound, self._send_again, self._close_with_much_unread))
            if process.accepts:
                with suppress(OSError):
                    await action(process)

    def _new_id(self) -> str:
        self._number += 1
        return f"{self._name}{self._number:08x}"

    def _observe(self, process: GatewayProcess) -> ObservedRequest:
        """Record a request of this client, which leaves without waiting for the answer.

        Its time is not recorded: under one ID there may be two requests, each with a deadline of its own.
        """
        request = ObservedRequest(self._new_id(), process.name, "once", DEADLINE_MS)
        request.reply = ReplyKind.CLIENT_DISCONNECTED
        self._observations.requests[request.request_id] = request
        return request

    async def _send_unsound(self, process: GatewayProcess) -> None:
        name = self._rng.choice(list(UNSOUND))
        request = UnsoundRequest(self._new_id(), process.name, name)
        raw = UNSOUND[name].replace(SAMPLE_ID, request.request_id.encode()).replace(b": docs", b": once")
        reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
        self._observations.unsound_requests.append(request)
        try:
            writer.write(raw * self._rng.choice((1, 1, BURST)))
            started_at = time.monotonic()
            async with asyncio.timeout(MAX_WAIT):
                request.answer = await reader.readline()
            request.answered_after = time.monotonic() - started_at
        except (ConnectionError, ValueError):
            request.answered_after = 0.0  # A reset ends the connection, too.
        except asyncio.CancelledError:
            self._observations.unsound_requests.remove(request)  # The run has ended: nothing is known of it.
            raise
        except TimeoutError:
            request.gateway_ended = process.killed or process.terminated_at is not None
        finally:
            writer.transport.abort()

    async def _send_again(self, process: GatewayProcess) -> None:
        """Send a request, leave, and send its ID again, which may run once in all."""
        request = self._observe(process)
        raw = request_bytes(0, DEADLINE_MS, "once", b"{}", **{"Req-Id": request.request_id})
        for _ in range(2):
            _, writer = await asyncio.open_connection("127.0.0.1", process.port)
            writer.write(raw)
            await asyncio.sleep(self._rng.uniform(0.0, 0.4))
            writer.transport.abort()

    async def _close_with_much_unread(self, process: GatewayProcess) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", process.port)
        requests = [self._observe(process) for _ in range(MANY_REQUESTS)]
        for request in requests:
            fields = {"Req-Id": request.request_id}
            writer.write(request_bytes(0, DEADLINE_MS, "once", LARGE_BODY, **fields))
        await asyncio.sleep(self._rng.uniform(0.0, 0.2))
        writer.transport.abort()
        for request in requests:
            request.disconnected_at = request.ended_at = time.monotonic()

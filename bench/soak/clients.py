"""Clients of one gateway: they keep their connections, leave, rest, and write in pieces."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from lockspoke.wire.http.messages import BodyChunk, MessageEnd, MessagePart, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser
from tests.standins import request_bytes

from .observations import ClientRequestSeen, Observations, ReplyKind

DEADLINES_MS = {"chat": 3000, "once": 2000}
READ_SIZE = 65536
PATIENCE = 12.0  # seconds for a reply; far longer than any stream of the stand-ins takes
DISCONNECT_SHARE = 0.05  # of requests, whose client closes its connection early
PIECES_SHARE = 0.1  # of requests that are written in two pieces
LONGEST_REST = 0.3  # seconds between two requests


@dataclass(slots=True)
class GatewayProcess:
    """One process of a gateway, as its clients know it."""

    name: str  # with the number of the process
    port: int
    accepts: bool = True  # whether clients open new connections to it
    terminated_at: float | None = None  # when it got its first SIGTERM
    killed: bool = False


class GatewayClosedError(Exception):
    """The gateway has closed the connection without a byte of a reply."""


class SoakClient:
    """One client, with one connection at a time."""

    def __init__(
        self, name: str, seed: int, seen: Observations, process: Callable[[], GatewayProcess]
    ) -> None:
        self._draws = random.Random(f"{seed}:client {name}")
        self._name = name
        self._number = 0
        self._observations = seen
        self._current_process = process

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            process = self._current_process()
            if not process.accepts:
                await asyncio.sleep(0.05)
                continue
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(process, reader, writer)
            finally:
                writer.close()

    async def _use(
        self, process: GatewayProcess, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send requests on a connection until one side closes it, also after the gateway's SIGTERM."""
        is_first = True
        while True:
            await asyncio.sleep(self._draws.uniform(0.0, LONGEST_REST))
            if reader.at_eof():
                return
            if not await self._request(process, reader, writer, is_first):
                return
            is_first = False

    async def _request(
        self,
        process: GatewayProcess,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_first: bool,
    ) -> bool:
        """Send one request and read its reply; returns whether the connection may be used again."""
        self._number += 1
        kind = self._draws.choice(list(DEADLINES_MS))
        disconnects_after = self._draws.uniform(0.0, 0.5) if self._draws.random() < DISCONNECT_SHARE else None
        request = ClientRequestSeen(f"{self._name}{self._number:08x}", process.name, kind, DEADLINES_MS[kind])
        try:
            await self._write(writer, request)
        except ConnectionError:
            return False  # the last byte was not written: the gateway has not taken it
        if process.terminated_at is not None:
            request.sent_after_sigterm = request.sent_at - process.terminated_at
        self._observations.requests[request.request_id] = request
        try:
            async with asyncio.timeout(PATIENCE if disconnects_after is None else disconnects_after):
                request.reply, reusable = await self._read_reply(reader, request)
        except GatewayClosedError:
            request.ended_at = time.monotonic()
            self._note_unanswered(process, request, is_first)
            return False
        except TimeoutError:
            writer.transport.abort()
            if disconnects_after is not None:
                request.disconnected_at = request.ended_at = time.monotonic()
                request.reply = ReplyKind.CLIENT_DISCONNECTED
            return False
        request.ended_at = time.monotonic()
        if request.reply is ReplyKind.TRUNCATED and process.killed:
            request.reply = ReplyKind.GATEWAY_KILLED
        return reusable

    def _note_unanswered(self, process: GatewayProcess, request: ClientRequestSeen, is_first: bool) -> None:
        """A request that met the close of an idle connection was not read: its client would send it again."""
        if process.killed:
            request.reply = ReplyKind.GATEWAY_KILLED
        elif is_first:
            request.reply = ReplyKind.UNANSWERED
        else:
            del self._observations.requests[request.request_id]

    async def _write(self, writer: asyncio.StreamWriter, request: ClientRequestSeen) -> None:
        raw = request_bytes(
            0, request.deadline_ms, request.class_name, b"{}", **{"Req-Id": request.request_id}
        )
        if self._draws.random() < PIECES_SHARE:
            cut = self._draws.randrange(1, len(raw))
            writer.write(raw[:cut])
            await asyncio.sleep(self._draws.uniform(0.0, 0.2))
            raw = raw[cut:]
        request.sent_at = time.monotonic()
        writer.write(raw)
        await writer.drain()

    async def _read_reply(
        self, reader: asyncio.StreamReader, request: ClientRequestSeen
    ) -> tuple[ReplyKind, bool]:
        """Read a reply to its end; returns its kind, and whether the connection may be used again."""
        parser, head = ResponseParser(), None
        while True:
            data = b""
            with suppress(ConnectionError):
                data = await reader.read(READ_SIZE)
            read_at = time.monotonic()
            if not data:
                if head is None:
                    raise GatewayClosedError
                return ReplyKind.TRUNCATED, False
            for piece in parser.feed(data):
                if isinstance(piece, ResponseHead):
                    head = piece
                if head is not None and isinstance(piece, MessageEnd):
                    return _kind_of(head), head.keep_alive
                self._note_delay(request, piece, read_at)

    @staticmethod
    def _note_delay(request: ClientRequestSeen, piece: MessagePart, read_at: float) -> None:
        """Record how late an event is that holds the time at which its replica wrote it."""
        if not isinstance(piece, BodyChunk):
            return
        for line in piece.data.splitlines():
            with suppress(ValueError, KeyError, IndexError):
                event = json.loads(line.removeprefix(b"data: "))
                delay = read_at - float(event["choices"][0]["delta"]["content"])
                request.longest_event_delay = max(request.longest_event_delay, delay)


def _kind_of(head: ResponseHead) -> ReplyKind:
    if head.status == 200:
        return ReplyKind.SERVED
    return ReplyKind.REJECTED if head.status in (429, 503) else ReplyKind.FAILED

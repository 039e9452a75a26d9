"""Clients of one gateway: they keep their connections, leave, rest, and write in pieces."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from lockspoke.wire.http.messages import BodyChunk, MessageEnd, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser
from tests.standins import request_bytes

from .events import EventDelays
from .observations import ClientRequestSeen, Observations, ReplyKind

DEADLINES_MS = {"chat": 3000, "once": 2000}
READ_SIZE = 65536
PATIENCE = 12.0  # seconds for a reply; far longer than any stream of the stand-ins takes
DISCONNECT_SHARE = 0.05  # of requests, whose client closes its connection early
PIECES_SHARE = 0.1  # of requests that are written in two pieces
TCP_CLOSE_WAIT = 8  # the state of a connection whose peer has ended its sending, and no more
LONGEST_REST = 0.3  # seconds between two requests


@dataclass(slots=True)
class GatewayProcess:
    """One process of a gateway, as its clients know it."""

    name: str  # with the number of the process
    port: int
    crowded: bool = False  # whether idle clients fill its descriptors: it may shut new connections unread
    accepts: bool = True  # whether clients open new connections to it
    terminated_at: float | None = None  # when it got its first SIGTERM
    killed: bool = False


class GatewayClosedError(Exception):
    """The gateway has closed the connection without a byte of a reply."""

    def __init__(self, had_read_all: bool) -> None:
        super().__init__()
        self.had_read_all = had_read_all  # whether it had read all that was sent


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
                connected = writer.get_extra_info("socket")
                request.reply, reusable = await self._read_reply(reader, connected, request)
        except GatewayClosedError as error:
            request.ended_at = time.monotonic()
            if process.killed:
                request.reply = ReplyKind.GATEWAY_KILLED
            elif error.had_read_all or (is_first and not process.crowded):
                request.reply = ReplyKind.UNANSWERED
            else:
                # It crossed the end of a connection that rested, or of a new one while idle clients fill the
                # descriptors: its client would send it again.
                request.reply = ReplyKind.NOT_READ
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
        self, reader: asyncio.StreamReader, connected: socket.socket, request: ClientRequestSeen
    ) -> tuple[ReplyKind, bool]:
        """Read a reply to its end; returns its kind, and whether the connection may be used again."""
        parser, head, delays = ResponseParser(), None, EventDelays()
        while True:
            data, was_reset = b"", False
            try:
                data = await reader.read(READ_SIZE)
            except ConnectionError:
                was_reset = True
            read_at = time.monotonic()
            if not data:
                if head is None:
                    raise GatewayClosedError(had_read_all=not was_reset and is_half_closed(connected))
                return ReplyKind.TRUNCATED, False
            for piece in parser.feed(data):
                if isinstance(piece, ResponseHead):
                    head = piece
                if head is not None and isinstance(piece, MessageEnd):
                    return _kind_of(head), head.keep_alive
                if isinstance(piece, BodyChunk):
                    delays.feed(piece.data, read_at)
                    request.longest_event_delay = delays.longest


def is_half_closed(connected: socket.socket) -> bool:
    """Whether the peer of a connection that has ended has read all that was sent to it.

    A peer that closes with unread bytes resets the connection, and so does one that gets bytes afterwards.
    """
    state = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state == TCP_CLOSE_WAIT


def _kind_of(head: ResponseHead) -> ReplyKind:
    if head.status == 200:
        return ReplyKind.SERVED
    return ReplyKind.REJECTED if head.status in (429, 503) else ReplyKind.FAILED

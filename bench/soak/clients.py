"""Clients that reuse connections, pause between requests, disconnect early and split their writes."""

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

from .events import EventReader
from .observations import Observations, ObservedRequest, ReplyKind

DEADLINES_MS = {"chat": 3000, "once": 2000}
READ_SIZE = 65536
REPLY_TIMEOUT = 12.0  # seconds for a reply, far more than any stream of the stand-in replicas takes
DISCONNECT_SHARE = 0.05  # of requests whose client closes its connection early
SPLIT_WRITE_SHARE = 0.1  # of requests that are written in two pieces
TCP_CLOSE_WAIT = 8  # the kernel's state of a connection whose peer has sent FIN and no reset
MAX_IDLE_TIME = 0.3  # seconds before a request on an open connection


@dataclass(slots=True)
class GatewayProcess:
    """One process of a gateway, from its clients' point of view."""

    name: str  # such as "g1.2", with the number of the process
    port: int
    crowded: bool = False  # whether a crowd fills its descriptors, so that it may close connections unread
    accepts: bool = True  # whether clients still open new connections to it
    terminated_at: float | None = None  # when it got its first SIGTERM
    killed: bool = False


class GatewayClosedError(Exception):
    """The gateway has closed the connection before the first byte of a reply."""

    def __init__(self, had_read_all: bool) -> None:
        super().__init__()
        self.had_read_all = had_read_all  # whether the gateway had read all that was sent


class SoakClient:
    """One client of a gateway, with one connection at a time."""

    def __init__(
        self, name: str, seed: int, observations: Observations, process: Callable[[], GatewayProcess]
    ) -> None:
        self._rng = random.Random(f"{seed}:client {name}")
        self._name = name
        self._request_number = 0
        self._observations = observations
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
                await self._use_connection(process, reader, writer)
            finally:
                writer.close()

    async def _use_connection(
        self, process: GatewayProcess, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send requests on a connection until one side closes it, even after the gateway's SIGTERM."""
        is_first = True
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_IDLE_TIME))
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
        self._request_number += 1
        profile = self._rng.choice(list(DEADLINES_MS))
        disconnects_after = self._rng.uniform(0.0, 0.5) if self._rng.random() < DISCONNECT_SHARE else None
        request = ObservedRequest(
            f"{self._name}{self._request_number:08x}",
            process.name,
            profile,
            DEADLINES_MS[profile],
        )
        try:
            await self._write(writer, request)
        except ConnectionError:
            return False  # the last byte was not written, so the gateway cannot have read the whole request
        if process.terminated_at is not None:
            request.sent_after_sigterm = request.sent_at - process.terminated_at
        self._observations.requests[request.request_id] = request
        try:
            async with asyncio.timeout(REPLY_TIMEOUT if disconnects_after is None else disconnects_after):
                connected = writer.get_extra_info("socket")
                request.reply, reusable = await self._read_reply(reader, connected, request)
        except GatewayClosedError as error:
            request.ended_at = time.monotonic()
            if process.killed:
                request.reply = ReplyKind.GATEWAY_KILLED
            elif error.had_read_all or (is_first and not process.crowded):
                request.reply = ReplyKind.UNANSWERED
            else:
                # The gateway closed an idle connection while the request was under way, or closed a new
                # connection because a crowd fills its descriptors: a client would retry.
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

    async def _write(self, writer: asyncio.StreamWriter, request: ObservedRequest) -> None:
        raw = request_bytes(
            0, request.deadline_ms, request.class_name, b"{}", **{"Req-Id": request.request_id}
        )
        if self._rng.random() < SPLIT_WRITE_SHARE:
            cut = self._rng.randrange(1, len(raw))
            writer.write(raw[:cut])
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))
            raw = raw[cut:]
        request.sent_at = time.monotonic()
        writer.write(raw)
        await writer.drain()

    async def _read_reply(
        self, reader: asyncio.StreamReader, connected: socket.socket, request: ObservedRequest
    ) -> tuple[ReplyKind, bool]:
        """Read a reply to its end; returns its kind and whether the connection may be used again."""
        parser, head, events = ResponseParser(), None, EventReader()
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
                    return _reply_kind(head), head.keep_alive
                if isinstance(piece, BodyChunk):
                    events.feed(piece.data, read_at)
                    request.longest_event_delay = events.longest_delay
                    request.answered_ids = events.request_ids


def is_half_closed(connected: socket.socket) -> bool:
    """Whether the peer had read all that was sent to it before it closed the connection.

    A peer that closes with unread bytes, or gets bytes after its close, resets the connection.
    """
    state = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state == TCP_CLOSE_WAIT


def _reply_kind(head: ResponseHead) -> ReplyKind:
    if head.status == 200:
        return ReplyKind.SERVED
    return ReplyKind.REJECTED if head.status in (429, 503) else ReplyKind.FAILED

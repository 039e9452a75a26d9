"""The driver of discovery: one watch after another, on one connection."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import structlog
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.memory.core import Core

from .closing import quiet
from .discovery import LIST_LIMIT, ListError, decode_list
from .http1 import Data, End, HttpError, ResponseHead, ResponseParser, encode_request

HOLD_MS = 8000
SPREAD_MS = 4000  # over which the holds of all gateways are spread: a change makes them all ask anew at once
GRACE = 0.4  # seconds past the hold: 2 s past it what a silent watch has missed counts as told
LIST_TIME = 1.5  # seconds for a call that may not wait: one that discovery can't serve in time ends in a 503
CONNECT = 1.0  # seconds
SILENT_TRIES = 2  # calls in a row that may fall silent before the service counts as failing

log = structlog.get_logger()


class CallError(Exception):
    """A call for the list has failed."""


class SilentError(CallError):
    """A call that was taken, and past its time no answer has come."""


def hold_of(index: int, gateways: int) -> int:
    """How long this gateway lets a call wait, in milliseconds: each of many a little longer than another."""
    return HOLD_MS - SPREAD_MS // 2 + SPREAD_MS * (index % gateways) // gateways


class DiscoveryWatch:
    """Asks discovery for changes for as long as the calls succeed."""

    def __init__(self, endpoint: tuple[str, int], hold_ms: int = HOLD_MS) -> None:
        self.endpoint = endpoint
        self.hold_ms = hold_ms
        self.core: Core | None = None
        self._stream: IOStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._failing = False

    def watch(self, enable: bool) -> None:
        """Begin to watch, or end that; a watch that runs goes on."""
        running = self._task is not None and not self._task.done()
        if enable and not running:
            self._task = asyncio.ensure_future(self._run())
        elif not enable and self._task is not None:
            self.close()

    def move(self, endpoint: tuple[str, int]) -> None:
        """Watch at another address from now on: at once, since the old one may close any moment."""
        assert self.core is not None
        log.info("discovery_moved", host=endpoint[0], port=endpoint[1])
        self.close()
        self.endpoint = endpoint
        # Versions are the word of the service that gave them: the first call there asks for the whole list.
        self.core.registry.rev = -1
        self.watch(True)

    def close(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._hang_up()

    async def _run(self) -> None:
        core = self.core
        assert core is not None
        try:
            await self._follow(core)
        except Exception:
            # A fault of ours: the list may be half taken; nobody asks again after a watch that just ended.
            log.exception("watch_failed")
            core.registry.rev = -1
            self._failed(core, "a fault of the gateway; see watch_failed")

    def _failed(self, core: Core, reason: str) -> None:
        """The watch is over: the decisions say when to ask again."""
        self._hang_up()
        if not self._failing:
            log.warning("discovery_failing", reason=reason)
        self._failing, self._task = True, None
        core.list_failed()

    async def _follow(self, core: Core) -> None:
        """One call after another, until one fails."""
        silent = 0
        while True:
            rev = core.registry.rev
            wait = f"?from={rev}&hold_ms={self.hold_ms}" if rev >= 0 else ""
            patience = self.hold_ms / 1000 + GRACE if rev >= 0 else LIST_TIME
            try:
                # The next watch has to come within 200 ms of the last answer: at once.
                answer = decode_list(await self._call(f"/discovery/hosts{wait}", patience))
                update = answer.update
                if answer.faults:
                    # What could be read takes effect, and the same is asked for again.
                    core.list_changed(replace(update, rev=rev))
                    answer.complete()
                if update.whole and not update.entries and core.registry.ready:
                    # Guards against a discovery that has lost its own list: all workers at once are not gone.
                    raise ListError(f"an empty list; the {core.registry.ready} workers in force stay")
            except (CallError, ListError) as error:
                silent += 1
                if isinstance(error, SilentError) and silent <= SILENT_TRIES:
                    # Such a watch is broken, and its changes count as told soon: no pause as after a failure.
                    log.info("discovery_silent", reason=str(error))
                    self._hang_up()
                    continue
                self._failed(core, str(error))
                return
            silent = 0
            if self._failing:
                log.info("discovery_back", rev=update.rev)
            self._failing = False
            if update.entries:
                log.info("registry_changed", rev=update.rev, whole=update.whole, entries=len(update.entries))
            core.list_changed(update)

    async def _call(self, target: str, patience: float) -> bytes:
        reused = self._stream is not None and not self._stream.closed()
        try:
            try:
                return await self._exchange(target, patience)
            except StreamClosedError:
                if not reused:
                    raise
                # Discovery closed the connection between two calls: that is no failure of a call.
                self._hang_up()
                return await self._exchange(target, patience)
        except (StreamClosedError, HttpError, OSError) as error:
            raise CallError(f"{type(error).__name__}: {error}") from None

    async def _exchange(self, target: str, patience: float) -> bytes:
        """One call: `patience` is how many seconds its answer may take, from when the call is written."""
        stream = await self._connected()
        try:
            async with asyncio.timeout(patience):
                await stream.write(encode_request("GET", target, {"Host": "{}:{}".format(*self.endpoint)}))
                return await self._answer(stream)
        except TimeoutError:
            raise SilentError(f"no answer within {patience:g} s") from None

    async def _connected(self) -> IOStream:
        if self._stream is not None and not quiet(self._stream):
            # Guards against an end that has come, and against what nobody asked for: each later call would
            # take the answer to the one before it, and hear of every change a call too late.
            self._hang_up()
        if self._stream is None or self._stream.closed():
            family = socket.AF_INET6 if ":" in self.endpoint[0] else socket.AF_INET
            self._stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
            self._stream.set_nodelay(True)
            async with asyncio.timeout(CONNECT):
                await self._stream.connect(self.endpoint)
        return self._stream

    async def _answer(self, stream: IOStream) -> bytes:
        parser, body, head = ResponseParser(), bytearray(), None
        while True:
            for piece in parser.feed(await stream.read_bytes(65536, partial=True)):
                if isinstance(piece, ResponseHead):
                    head = piece
                elif isinstance(piece, Data):
                    body += piece.data
                    if len(body) > LIST_LIMIT:
                        raise HttpError(502, "list too large")
                elif isinstance(piece, End) and head is not None:
                    if not (head.keep_alive and parser.clean):
                        self._hang_up()
                    if head.status != 200:
                        raise CallError(f"status {head.status}")
                    return bytes(body)

    def _hang_up(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

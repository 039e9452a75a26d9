"""A child process that parses large inventories, so that parsing does not block the event loop.

It reads requests from a pipe and exits when the pipe is closed, so it does not outlive the gateway.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

import msgspec

from .files import read_files
from .model import ReplicaRecord, Snapshot
from .parse_cache import ParseCache
from .settings import InventorySettings
from .snapshot import take_snapshot
from .snapshot_messages import (
    LENGTH_BYTES,
    ReadRequest,
    SnapshotAssembler,
    SnapshotPart,
    encode_message,
    split_snapshot,
)

READ_TIMEOUT_SECONDS = 120.0  # After this the process is killed.


class ParserProcessError(Exception):
    """The process has died, timed out or sent a malformed message."""


@dataclass(frozen=True, slots=True)
class _RunningProcess:
    """The process and its pipes."""

    process: asyncio.subprocess.Process
    requests: asyncio.StreamWriter
    responses: asyncio.StreamReader

    @property
    def has_ended(self) -> bool:
        return self.process.returncode is not None


class ParserProcess:
    """The gateway's side: starts the process when it is first needed, and again after it has died."""

    def __init__(self) -> None:
        self._running: _RunningProcess | None = None
        self._starting: asyncio.Task[_RunningProcess] | None = None
        self._reading = asyncio.Lock()  # Responses do not name their request, so one read uses the pipes.
        self._decoder = msgspec.msgpack.Decoder(SnapshotPart)

    def start_early(self) -> None:
        """Start the process before it is needed, because a start takes longer than most requests."""
        self._starting = asyncio.ensure_future(self._start())

    async def read(
        self, settings: InventorySettings, zones: tuple[str, ...], previous: Mapping[str, ReplicaRecord]
    ) -> Snapshot:
        """Have the process read the sources.

        For a record that equals one of `previous`, the snapshot has that object. Raises ParserProcessError;
        the next request then starts a new process. So it does after a read that was cancelled.
        """
        async with self._reading:
            return await self._read_or_close(settings, zones, previous)

    async def _read_or_close(
        self, settings: InventorySettings, zones: tuple[str, ...], previous: Mapping[str, ReplicaRecord]
    ) -> Snapshot:
        """Read; unless that succeeds, kill the process, so that no response is left for the next read."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                return await self._read(settings, zones, previous)
        except asyncio.CancelledError:
            self.close()
            raise
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, ValueError) as error:
            self.close()
            raise ParserProcessError(f"{type(error).__name__}: {error}") from None

    def close(self) -> None:
        """Kill the process."""
        if self._running is not None and not self._running.has_ended:
            self._running.process.kill()
        self._running = None

    async def _start(self) -> _RunningProcess:
        if self._running is None or self._running.has_ended:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                __name__,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,  # Signals to the gateway's process group don't reach it.
            )
            if process.stdin is None or process.stdout is None:
                raise OSError("the parser process has no pipes")
            self._running = _RunningProcess(process, process.stdin, process.stdout)
        return self._running

    async def _read(
        self, settings: InventorySettings, zones: tuple[str, ...], previous: Mapping[str, ReplicaRecord]
    ) -> Snapshot:
        if self._starting is not None:
            starting, self._starting = self._starting, None
            await starting
        running = await self._start()
        running.requests.write(encode_message(ReadRequest(settings, list(zones))))
        await running.requests.drain()
        assembler = SnapshotAssembler(previous)
        while True:
            size = int.from_bytes(await running.responses.readexactly(LENGTH_BYTES), "big")
            part = self._decoder.decode(await running.responses.readexactly(size))
            snapshot = assembler.add(part)
            if snapshot is not None:
                return snapshot
            await asyncio.sleep(0)  # Lets requests run between two parts.


def serve(requests: BinaryIO, responses: BinaryIO) -> None:
    """The process's side: answer requests until the pipe is closed."""
    gc.disable()  # Parsing makes no reference cycles; one collection after each request is enough.
    cache = ParseCache()
    decoder = msgspec.msgpack.Decoder(ReadRequest)
    while len(length := requests.read(LENGTH_BYTES)) == LENGTH_BYTES:
        request = decoder.decode(requests.read(int.from_bytes(length, "big")))
        paths = [Path(path) for path in request.settings.paths]
        options = request.settings.read_options(tuple(request.zones))
        report = take_snapshot(read_files(paths), options, cache)
        for part in split_snapshot(report.snapshot):
            responses.write(encode_message(part))
        responses.flush()
        del report
        gc.collect()


if __name__ == "__main__":
    serve(sys.stdin.buffer, sys.stdout.buffer)

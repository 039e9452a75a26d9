"""A process of its own that reads large inventories, so that the gateway's loop never waits for a parse.

It is fed by a pipe and ends when that closes, so it never outlives the gateway. A message is four bytes of
length, big-endian, and MessagePack. What comes back is cut into parts, so that no part takes long to take in.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from .files import collect
from .model import Snapshot, WorkerRecord
from .problems import CODES, Place, Problem
from .settings import InventorySettings
from .snapshot import Memory, take

PART = 250  # rows in one message
MOST_PROBLEMS = 2_000  # that are passed on; their number always is
ANSWER = 120.0  # seconds for a read, after which the helper is given up


class Ask(msgspec.Struct, frozen=True):
    """Read these now."""

    settings: InventorySettings
    zones: list[str]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a snapshot; `last` ends it."""

    workers: list[WorkerRecord] = []
    files: list[list[str]] = []  # where each of them stands
    bad: dict[str, tuple[str, list[str]]] = {}  # the reason, and where it stands
    problems: list[tuple[str, Place, str, str, Place | None, str]] = []
    rest: dict[str, Any] = {}
    last: bool = False


class HelperError(Exception):
    """The helper has died or said what is no message."""


def to_parts(snapshot: Snapshot) -> Iterator[Part]:
    """A snapshot as messages."""
    workers = list(snapshot.workers.values())
    for at in range(0, len(workers), PART):
        some = workers[at : at + PART]
        yield Part(some, [list(snapshot.files.get(one.name, ())) for one in some])
    bad = [(name, (why, list(snapshot.files.get(name, ())))) for name, why in snapshot.bad.items()]
    for at in range(0, len(bad), PART):
        yield Part(bad=dict(bad[at : at + PART]))
    problems = [
        (one.code.ident, one.place, one.message, one.mend, one.clash, one.host)
        for one in snapshot.problems[:MOST_PROBLEMS]
    ]
    for at in range(0, len(problems), PART):
        yield Part(problems=problems[at : at + PART])
    rest = {
        "drains": snapshot.drains,
        "doubtful": snapshot.doubtful,
        "loose": [list(address) for address in snapshot.loose],
        "open_ended": list(snapshot.open_ended),
        "fingerprint": snapshot.fingerprint,
    }
    yield Part(rest=rest, last=True)


class Gathering:
    """Puts a snapshot together again, part by part."""

    def __init__(self, before: Mapping[str, WorkerRecord]) -> None:
        self.before = before  # an equal record is taken from here: to see that it is the same is cheap then
        self.workers: dict[str, WorkerRecord] = {}
        self.files: dict[str, tuple[str, ...]] = {}
        self.bad: dict[str, str] = {}
        self.problems: list[Problem] = []

    def add(self, part: Part) -> Snapshot | None:
        """Take a part; the last gives the whole."""
        for worker, files in zip(part.workers, part.files, strict=True):
            old = self.before.get(worker.name)
            self.workers[worker.name] = old if old is not None and old == worker else worker
            self.files[worker.name] = tuple(files)
        for name, (why, files) in part.bad.items():
            self.bad[name], self.files[name] = why, tuple(files)
        for ident, place, message, mend, clash, host in part.problems:
            self.problems.append(Problem(CODES[ident], place, message, mend, clash, host))
        if not part.last:
            return None
        rest = part.rest
        return Snapshot(
            workers=self.workers,
            files=self.files,
            bad=self.bad,
            drains=rest["drains"],
            doubtful=rest["doubtful"],
            loose=frozenset((host, port) for host, port in rest["loose"]),
            open_ended=frozenset(rest["open_ended"]),
            problems=tuple(self.problems),
            fingerprint=rest["fingerprint"],
        )


class Helper:
    """The gateway's side: starts the process when it is first needed, and again if it has died."""

    def __init__(self) -> None:
        self._process: asyncio.subprocess.Process | None = None
        self._starting: asyncio.Task[asyncio.subprocess.Process] | None = None
        self._decoder = msgspec.msgpack.Decoder(Part)

    def begin(self) -> None:
        """Start the process before it is needed: its start takes longer than most reads."""
        self._starting = asyncio.ensure_future(self._start())

    async def _start(self) -> asyncio.subprocess.Process:
        if self._process is None or self._process.returncode is not None:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                __name__,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,  # a signal to the gateway's group is not for it
            )
        return self._process

    async def read(
        self, settings: InventorySettings, zones: tuple[str, ...], before: Mapping[str, WorkerRecord]
    ) -> Snapshot:
        """Have the sources read. Raises HelperError; the next call begins with a new process."""
        try:
            async with asyncio.timeout(ANSWER):
                return await self._read(settings, zones, before)
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, ValueError) as error:
            self.close()
            raise HelperError(f"{type(error).__name__}: {error}") from None

    async def _read(
        self, settings: InventorySettings, zones: tuple[str, ...], before: Mapping[str, WorkerRecord]
    ) -> Snapshot:
        if self._starting is not None:
            starting, self._starting = self._starting, None
            await starting
        process = await self._start()
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(_framed(Ask(settings, list(zones))))
        await process.stdin.drain()
        gathering = Gathering(before)
        while True:
            size = int.from_bytes(await process.stdout.readexactly(4), "big")
            snapshot = gathering.add(self._decoder.decode(await process.stdout.readexactly(size)))
            if snapshot is not None:
                return snapshot
            await asyncio.sleep(0)  # between two parts, calls have their turn

    def close(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        self._process = None


def _framed(message: msgspec.Struct) -> bytes:
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(4, "big") + data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """The helper's side: read on demand until the pipe closes."""
    gc.disable()  # one read makes no rubbish in circles; the pass between two reads is enough
    memory = Memory()
    decoder = msgspec.msgpack.Decoder(Ask)
    while len(head := source.read(4)) == 4:
        ask = decoder.decode(source.read(int.from_bytes(head, "big")))
        paths = [Path(path) for path in ask.settings.paths]
        report = take(collect(paths), ask.settings.reading(tuple(ask.zones)), memory)
        for part in to_parts(report.snapshot):
            sink.write(_framed(part))
        sink.flush()
        del report
        gc.collect()


if __name__ == "__main__":
    serve(sys.stdin.buffer, sys.stdout.buffer)

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

from .files import read_files
from .model import ReplicaRecord, Snapshot
from .parse_cache import ParseCache
from .problems import CODES, Place, Problem
from .settings import InventorySettings
from .snapshot import take_snapshot

ROWS_PER_PART = 250  # rows in one message
MAX_PROBLEMS = 2_000  # that are passed on; their number always is
READ_TIMEOUT = 120.0  # seconds for a read, after which the helper is given up


class ReadRequest(msgspec.Struct, frozen=True):
    """Read these now."""

    settings: InventorySettings
    zones: list[str]


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a snapshot; `last` ends it."""

    replicas: list[ReplicaRecord] = []
    files: list[list[str]] = []  # where each of them stands
    invalid_hosts: dict[str, tuple[str, list[str]]] = {}  # the reason, and where it stands
    problems: list[tuple[str, Place, str, str, Place | None, str]] = []
    details: dict[str, Any] = {}
    last: bool = False


class ParserProcessError(Exception):
    """The helper has died or said what is no message."""


def split_snapshot(snapshot: Snapshot) -> Iterator[SnapshotPart]:
    """A snapshot as messages."""
    replicas = list(snapshot.replicas.values())
    for start in range(0, len(replicas), ROWS_PER_PART):
        chunk = replicas[start : start + ROWS_PER_PART]
        yield SnapshotPart(chunk, [list(snapshot.files.get(one.name, ())) for one in chunk])
    invalid_hosts = [
        (name, (reason, list(snapshot.files.get(name, ()))))
        for name, reason in snapshot.invalid_hosts.items()
    ]
    for start in range(0, len(invalid_hosts), ROWS_PER_PART):
        yield SnapshotPart(invalid_hosts=dict(invalid_hosts[start : start + ROWS_PER_PART]))
    problems = [
        (one.code.id, one.place, one.message, one.suggestion, one.related_place, one.host)
        for one in snapshot.problems[:MAX_PROBLEMS]
    ]
    for start in range(0, len(problems), ROWS_PER_PART):
        yield SnapshotPart(problems=problems[start : start + ROWS_PER_PART])
    details = {
        "drains": snapshot.requested_states,
        "doubtful": snapshot.incomplete_sources,
        "loose": [list(address) for address in snapshot.unnamed_addresses],
        "open_ended": list(snapshot.unterminated_sources),
        "fingerprint": snapshot.fingerprint,
    }
    yield SnapshotPart(details=details, last=True)


class SnapshotAssembler:
    """Puts a snapshot together again, part by part."""

    def __init__(self, previous: Mapping[str, ReplicaRecord]) -> None:
        self.previous = (
            previous  # an equal record is taken from here: to see that it is the same is cheap then
        )
        self.replicas: dict[str, ReplicaRecord] = {}
        self.files: dict[str, tuple[str, ...]] = {}
        self.invalid_hosts: dict[str, str] = {}
        self.problems: list[Problem] = []

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Take a part; the last gives the whole."""
        for replica, files in zip(part.replicas, part.files, strict=True):
            known = self.previous.get(replica.name)
            self.replicas[replica.name] = known if known is not None and known == replica else replica
            self.files[replica.name] = tuple(files)
        for name, (reason, files) in part.invalid_hosts.items():
            self.invalid_hosts[name], self.files[name] = reason, tuple(files)
        for ident, place, message, mend, clash, host in part.problems:
            self.problems.append(Problem(CODES[ident], place, message, mend, clash, host))
        if not part.last:
            return None
        details = part.details
        return Snapshot(
            replicas=self.replicas,
            files=self.files,
            invalid_hosts=self.invalid_hosts,
            requested_states=details["drains"],
            incomplete_sources=details["doubtful"],
            unnamed_addresses=frozenset((host, port) for host, port in details["loose"]),
            unterminated_sources=frozenset(details["open_ended"]),
            problems=tuple(self.problems),
            fingerprint=details["fingerprint"],
        )


class ParserProcess:
    """The gateway's side: starts the process when it is first needed, and again if it has died."""

    def __init__(self) -> None:
        self._process: asyncio.subprocess.Process | None = None
        self._starting: asyncio.Task[asyncio.subprocess.Process] | None = None
        self._decoder = msgspec.msgpack.Decoder(SnapshotPart)

    def start_early(self) -> None:
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
        self, settings: InventorySettings, zones: tuple[str, ...], previous: Mapping[str, ReplicaRecord]
    ) -> Snapshot:
        """Have the sources read. Raises HelperError; the next call begins with a new process."""
        try:
            async with asyncio.timeout(READ_TIMEOUT):
                return await self._read(settings, zones, previous)
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, ValueError) as error:
            self.close()
            raise ParserProcessError(f"{type(error).__name__}: {error}") from None

    async def _read(
        self, settings: InventorySettings, zones: tuple[str, ...], previous: Mapping[str, ReplicaRecord]
    ) -> Snapshot:
        if self._starting is not None:
            starting, self._starting = self._starting, None
            await starting
        process = await self._start()
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(_framed(ReadRequest(settings, list(zones))))
        await process.stdin.drain()
        assembler = SnapshotAssembler(previous)
        while True:
            size = int.from_bytes(await process.stdout.readexactly(4), "big")
            snapshot = assembler.add(self._decoder.decode(await process.stdout.readexactly(size)))
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


def serve(requests: BinaryIO, output: BinaryIO) -> None:
    """The helper's side: read on demand until the pipe closes."""
    gc.disable()  # one read makes no rubbish in circles; the pass between two reads is enough
    memory = ParseCache()
    decoder = msgspec.msgpack.Decoder(ReadRequest)
    while len(head := requests.read(4)) == 4:
        request = decoder.decode(requests.read(int.from_bytes(head, "big")))
        paths = [Path(path) for path in request.settings.paths]
        report = take_snapshot(read_files(paths), request.settings.read_options(tuple(request.zones)), memory)
        for part in split_snapshot(report.snapshot):
            output.write(_framed(part))
        output.flush()
        del report
        gc.collect()


if __name__ == "__main__":
    serve(sys.stdin.buffer, sys.stdout.buffer)

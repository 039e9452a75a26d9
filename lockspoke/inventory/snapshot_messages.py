"""The messages between the gateway and its parser process.

A message consists of its length (four bytes, big-endian) and its MessagePack encoding. A snapshot is sent in
several parts, so that no part takes long to decode.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from .model import ReplicaRecord, Snapshot
from .problems import CODES, Place, Problem
from .settings import InventorySettings

LENGTH_BYTES = 4
ROWS_PER_PART = 250
MAX_PROBLEMS = 2_000  # Further problems of a snapshot are not sent.


class ReadRequest(msgspec.Struct, frozen=True):
    """Requests a snapshot of the sources in their present state."""

    settings: InventorySettings
    zones: list[str]


class InvalidHost(msgspec.Struct, frozen=True, array_like=True):
    """A host with an invalid row: why the row is invalid, and the files that name the host."""

    reason: str
    files: list[str]


class ProblemMessage(msgspec.Struct, frozen=True, array_like=True):
    """A problem, with the id of its code."""

    code_id: str
    place: Place
    message: str
    suggestion: str
    related_place: Place | None
    host: str

    @classmethod
    def of(cls, problem: Problem) -> ProblemMessage:
        """The message for a problem."""
        return cls(
            problem.code.id,
            problem.place,
            problem.message,
            problem.suggestion,
            problem.related_place,
            problem.host,
        )

    def to_problem(self) -> Problem:
        """The problem that was sent."""
        return Problem(
            CODES[self.code_id], self.place, self.message, self.suggestion, self.related_place, self.host
        )


class SnapshotSummary(msgspec.Struct, frozen=True):
    """The fields of a snapshot that need not be split into parts."""

    requested_states: dict[str, str]
    stopped_by: dict[str, str]
    incomplete_sources: dict[str, str]
    invalid_row_addresses: list[tuple[str, int]]
    unterminated_sources: list[str]
    fingerprint: str


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a snapshot; only the last part has a summary."""

    replicas: list[ReplicaRecord] = []
    files: list[list[str]] = []  # The files that name each replica, in the order of `replicas`.
    invalid_hosts: dict[str, InvalidHost] = {}
    problems: list[ProblemMessage] = []
    summary: SnapshotSummary | None = None


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message, prefixed with its length."""
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def split_snapshot(snapshot: Snapshot) -> Iterator[SnapshotPart]:
    """Split a snapshot into its parts."""
    replicas = list(snapshot.replicas.values())
    for start in range(0, len(replicas), ROWS_PER_PART):
        chunk = replicas[start : start + ROWS_PER_PART]
        yield SnapshotPart(chunk, [list(snapshot.files.get(replica.name, ())) for replica in chunk])
    invalid_hosts = [
        (name, InvalidHost(reason, list(snapshot.files.get(name, ()))))
        for name, reason in snapshot.invalid_hosts.items()
    ]
    for start in range(0, len(invalid_hosts), ROWS_PER_PART):
        yield SnapshotPart(invalid_hosts=dict(invalid_hosts[start : start + ROWS_PER_PART]))
    problems = [ProblemMessage.of(problem) for problem in snapshot.problems[:MAX_PROBLEMS]]
    for start in range(0, len(problems), ROWS_PER_PART):
        yield SnapshotPart(problems=problems[start : start + ROWS_PER_PART])
    summary = SnapshotSummary(
        snapshot.requested_states,
        snapshot.stopped_by,
        snapshot.incomplete_sources,
        list(snapshot.invalid_row_addresses),
        list(snapshot.unterminated_sources),
        snapshot.fingerprint,
    )
    yield SnapshotPart(summary=summary)


class SnapshotAssembler:
    """Assembles a snapshot from its parts.

    A record that equals one of `previous` is replaced by that object, which makes later comparisons cheap.
    """

    def __init__(self, previous: Mapping[str, ReplicaRecord]) -> None:
        self._previous = previous
        self._replicas: dict[str, ReplicaRecord] = {}
        self._files: dict[str, tuple[str, ...]] = {}
        self._invalid_hosts: dict[str, str] = {}
        self._problems: list[Problem] = []

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part; returns the snapshot after the last part, None before."""
        for replica, files in zip(part.replicas, part.files, strict=True):
            known = self._previous.get(replica.name)
            self._replicas[replica.name] = known if known is not None and known == replica else replica
            self._files[replica.name] = tuple(files)
        for name, invalid_host in part.invalid_hosts.items():
            self._invalid_hosts[name], self._files[name] = invalid_host.reason, tuple(invalid_host.files)
        self._problems += [problem.to_problem() for problem in part.problems]
        return self._complete(part.summary) if part.summary is not None else None

    def _complete(self, summary: SnapshotSummary) -> Snapshot:
        return Snapshot(
            replicas=self._replicas,
            files=self._files,
            invalid_hosts=self._invalid_hosts,
            requested_states=summary.requested_states,
            stopped_by=summary.stopped_by,
            incomplete_sources=summary.incomplete_sources,
            invalid_row_addresses=frozenset(summary.invalid_row_addresses),
            unterminated_sources=frozenset(summary.unterminated_sources),
            problems=tuple(self._problems),
            fingerprint=summary.fingerprint,
        )

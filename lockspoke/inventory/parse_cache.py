"""Caches parsed files and checked rows, as most of a large inventory does not change between snapshots."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import NamedTuple

from .model import Row, Source
from .patterns import Pattern
from .problems import Problem, ProblemCollector
from .row_checker import CheckedRow, check_row
from .schema import FIELDS, ReplicaRules
from .source_file import FileContent
from .source_reader import read_source

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ReadOptions:
    """How sources are read.

    `file_format` is the format of all files, or empty to detect that of each file. `select` is the pattern of
    the hosts to use; None for all hosts.
    """

    rules: ReplicaRules = field(default_factory=ReplicaRules)
    file_format: str = ""
    select: Pattern | None = None
    # Whether the later of two sources with different values takes precedence, as in Ansible.
    later_wins: bool = False


class _SourceKey(NamedTuple):
    """Identifies a file by its path and a digest of its content."""

    path: str
    digest: bytes


class _ParsedSource(NamedTuple):
    """The problems found when reading a file, and its source; None for a file that is skipped."""

    source: Source | None
    problems: list[Problem]


_RowKey = tuple[object, ...]


class ParseCache:
    """Caches the parsed sources and checked rows of the last snapshot.

    Rows with a problem are not cached: a problem refers to a line, whose number may change.
    """

    def __init__(self) -> None:
        self._sources: dict[_SourceKey, _ParsedSource] = {}
        self._rows: dict[_RowKey, CheckedRow] = {}
        self._used_sources: set[_SourceKey] = set()
        self._used_rows: set[_RowKey] = set()
        self._options: ReadOptions | None = None

    def begin(self, options: ReadOptions) -> None:
        """Begin a snapshot; results that were cached with other options are dropped."""
        if options != self._options:
            self._sources.clear()
            self._rows.clear()
        self._options = options
        self._used_sources, self._used_rows = set(), set()

    def end(self) -> None:
        """End the snapshot; cached results that it did not use are dropped."""
        self._sources = {key: self._sources[key] for key in self._used_sources if key in self._sources}
        self._rows = {key: self._rows[key] for key in self._used_rows if key in self._rows}

    def read(
        self, file: FileContent, options: ReadOptions, names: dict[str, str], problems: ProblemCollector
    ) -> Source | None:
        """Read a file of hosts, or return its cached source; None for a file that is skipped."""
        content = file.data or file.error.encode()
        key = _SourceKey(file.path, hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest())
        parsed = self._sources.get(key)
        if parsed is None:
            found = ProblemCollector()
            source = read_source(file, options.file_format, names, FIELDS, found)
            parsed = self._sources[key] = _ParsedSource(source, list(found.found))
        self._used_sources.add(key)
        for problem in parsed.problems:
            problems.found.setdefault(problem)
        return parsed.source

    def check(self, row: Row, rules: ReplicaRules) -> CheckedRow:
        """Check a row against the schema, or return the cached result."""
        key = (
            row.name,
            *((name, _hashable(value.raw), value.encrypted) for name, value in row.values.items()),
        )
        if row.problems:
            return check_row(row, rules)
        cached = self._rows.get(key)
        if cached is None:
            checked = check_row(row, rules)
            if checked.record is None or checked.problems:
                return checked
            cached = self._rows[key] = checked
        self._used_rows.add(key)
        return CheckedRow(row, cached.record, [], cached.state, cached.address)


def _hashable(raw: object) -> object:
    return raw if raw is None or isinstance(raw, str) else repr(raw)

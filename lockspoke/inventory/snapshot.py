"""From the texts of all files to one snapshot: read, merged, selected and checked, without I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .merging import HostVariables, Merger
from .model import Row, Snapshot, Source
from .patterns import Pattern
from .problems import NOTHING_SELECTED, Place, Problem, ProblemCollector
from .row_checker import CheckedRow, check_row, reject_duplicate_addresses
from .schema import FIELDS, Rules, more_restrictive
from .source_reader import FileText, read_source, read_variables


@dataclass(frozen=True, slots=True)
class ReadOptions:
    """How sources are read: the schema's rules, a form for files whose name doesn't tell it, a selection."""

    rules: Rules = field(default_factory=Rules)
    file_format: str = ""
    select: Pattern | None = None
    later_wins: bool = False  # of two sources that differ, the later holds, as in Ansible


class ParseCache:
    """What files and rows came to the last time: most of a large inventory is as it was.

    Only rows without a fault are kept, for a fault names a line and lines move.
    """

    def __init__(self) -> None:
        self.sources: dict[tuple[str, bytes], tuple[Source | None, list[Problem]]] = {}
        self.records: dict[tuple[object, ...], CheckedRow] = {}
        self.used_keys: tuple[set[tuple[str, bytes]], set[tuple[object, ...]]] = (set(), set())
        self.options: ReadOptions | None = None

    def begin(self, reading: ReadOptions) -> None:
        """A new snapshot; by other settings, nothing holds any more."""
        if reading != self.options:
            self.sources.clear()
            self.records.clear()
        self.options = reading
        self.used_keys = (set(), set())

    def end(self) -> None:
        """Forget what this snapshot did not need."""
        self.sources = {key: self.sources[key] for key in self.used_keys[0] if key in self.sources}
        self.records = {key: self.records[key] for key in self.used_keys[1] if key in self.records}

    def read(
        self, file: FileText, reading: ReadOptions, names: dict[str, str], problems: ProblemCollector
    ) -> Source | None:
        """A file of hosts, read anew only where it has changed."""
        key = (file.path, hashlib.blake2b(file.data or file.error.encode(), digest_size=16).digest())
        entry = self.sources.get(key)
        if entry is None:
            file_problems = ProblemCollector()
            entry = (
                read_source(file, reading.file_format, names, FIELDS, file_problems),
                list(file_problems.found),
            )
            self.sources[key] = entry
        self.used_keys[0].add(key)
        for problem in entry[1]:
            problems.found.setdefault(problem)
        return entry[0]

    def check(self, row: Row, rules: Rules) -> CheckedRow:
        """A row after the schema's check."""
        key = (
            row.name,
            *((name, _hashable(value.raw), value.encrypted) for name, value in row.values.items()),
        )
        if row.problems:
            return check_row(row, rules)
        entry = self.records.get(key)
        if entry is None:
            checked = check_row(row, rules)
            if checked.record is None or checked.problems:
                return checked
            entry = self.records[key] = checked
        self.used_keys[1].add(key)
        return CheckedRow(row, entry.record, [], entry.state, entry.address)


def _hashable(raw: object) -> object:
    return raw if raw is None or isinstance(raw, str) else repr(raw)


@dataclass(slots=True)
class SnapshotReport:
    """A snapshot with what led to it: the rows, for tools that show them."""

    snapshot: Snapshot
    checked_rows: list[CheckedRow]
    sources: list[Source]


def fingerprint(files: Iterable[FileText]) -> str:
    """A short digest of what all files hold and what they are called: the same for the same inventory."""
    digest = hashlib.blake2b(digest_size=8)
    for file in files:
        data = file.data if file.data is not None else file.error.encode()
        for part in (file.path.encode(), file.role.encode(), file.subject.encode(), data):
            digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def take_snapshot(
    files: list[FileText], options: ReadOptions, cache: ParseCache | None = None
) -> SnapshotReport:
    """Read, merge, select and check. Never raises for what a file holds: the report has all that is wrong.

    `memory` carries over what an unchanged file or row came to the last time.
    """
    problems, rules = ProblemCollector(), options.rules
    names = {key.lower(): value for key, value in rules.names.items()}
    sources: list[Source] = []
    variables: dict[str, dict[str, HostVariables]] = {"group_vars": {}, "host_vars": {}}
    cache = cache or ParseCache()
    cache.begin(options)
    for file in files:
        if file.role == "source":
            source = cache.read(file, options, names, problems)
            if source is not None:
                sources.append(source)
            continue
        values, malformed_at = read_variables(file, problems)
        subject_variables = variables[file.role].setdefault(
            file.subject, HostVariables(place=Place(file.path))
        )
        subject_variables.values.update(values)
        subject_variables.malformed_at = subject_variables.malformed_at or malformed_at
    merger = Merger(rules.canonical_names, rules.implied_values, options.later_wins, problems)
    rows = merger.rows(sources, variables["group_vars"], variables["host_vars"])
    rows = _select_rows(rows, options.select, sources, problems)
    # A problem that a reader found in a row of its own makes the host's record worth nothing.
    by_host: dict[str, str] = {}
    for problem in problems.found:
        if problem.is_error and problem.host:
            by_host.setdefault(problem.host, f"{problem.code.id} {problem.message}")
    checked = [cache.check(row, rules) for row in rows]
    cache.end()
    for one in checked:
        if one.row.name in by_host or not one.row.name:
            # What its reader has told already is not told again by what is missing now.
            one.record = None
            one.problems = [problem for problem in one.problems if problem.place != one.row.place]
    reject_duplicate_addresses(checked)
    for one in checked:
        for problem in one.problems:
            problems.found.setdefault(problem)
    return SnapshotReport(_build_snapshot(files, sources, checked, by_host, problems), checked, sources)


def _select_rows(
    rows: list[Row], pattern: Pattern | None, sources: list[Source], problems: ProblemCollector
) -> list[Row]:
    if pattern is None or not rows:
        return rows
    groups: dict[str, list[str]] = {}
    for row in rows:
        for group in row.groups:
            groups.setdefault(group, []).append(row.name)
    chosen = set(pattern.select(dict.fromkeys(row.name for row in rows), groups))
    if not chosen:
        place = Place(sources[0].file if sources else "")
        problems.add(
            NOTHING_SELECTED,
            place,
            f"the pattern {pattern.text!r} selects no host",
            "mend select, or the groups",
        )
    return [row for row in rows if row.name in chosen]


def _build_snapshot(
    files: list[FileText],
    sources: list[Source],
    checked: list[CheckedRow],
    by_host: dict[str, str],
    problems: ProblemCollector,
) -> Snapshot:
    replicas = {one.row.name: one.record for one in checked if one.record is not None}
    invalid_hosts: dict[str, str] = {}
    requested_states: dict[str, str] = {}
    unnamed_addresses: set[tuple[str, int]] = set()
    for one in checked:
        if one.record is not None:
            continue
        name = one.row.name
        if one.address is not None:
            unnamed_addresses.add(one.address)
        if not name:
            continue
        invalid_hosts[name] = by_host.get(name) or one.reason or "its row is not right"
        if one.state != "up":
            requested_states[name] = more_restrictive(one.state, requested_states.get(name, "up"))
    for name, reason in by_host.items():  # hosts named in a row that gave no record at all
        if name not in replicas:
            invalid_hosts.setdefault(name, reason)
    incomplete_sources = {
        source.file: _incomplete_reason(source, problems) for source in sources if not source.complete
    }
    return Snapshot(
        replicas=replicas,
        files={one.row.name: one.row.files for one in checked},
        invalid_hosts=invalid_hosts,
        requested_states=requested_states,
        incomplete_sources=incomplete_sources,
        unnamed_addresses=frozenset(unnamed_addresses),
        unterminated_sources=frozenset(source.file for source in sources if not source.ends_with_newline),
        problems=tuple(problems.sorted()),
        fingerprint=fingerprint(files),
    )


def _incomplete_reason(source: Source, problems: ProblemCollector) -> str:
    for problem in problems.found:
        if problem.is_error and problem.place.file == source.file and not problem.host:
            return f"{problem.code.id} {problem.message}"
    return "not read to its end"

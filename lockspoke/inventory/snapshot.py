"""Builds a snapshot from the contents of all files: reads, merges, selects and checks, without I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .merging import FileVariables, MergeRules, merge_sources
from .model import Row, Snapshot, Source
from .parse_cache import ParseCache, ReadOptions
from .patterns import Pattern
from .problems import NOTHING_SELECTED, Place, ProblemCollector
from .row_checker import CheckedRow, file_with_state, reject_duplicate_addresses
from .schema import more_restrictive
from .source_file import FileContent
from .source_reader import read_variables

FINGERPRINT_BYTES = 8


@dataclass(slots=True)
class SnapshotReport:
    """A snapshot, with the rows and sources that it was made from."""

    snapshot: Snapshot
    checked_rows: list[CheckedRow]
    sources: list[Source]


@dataclass(slots=True)
class _Input:
    """The parsed contents of all files."""

    sources: list[Source] = field(default_factory=list)
    group_vars: dict[str, FileVariables] = field(default_factory=dict)
    host_vars: dict[str, FileVariables] = field(default_factory=dict)


def fingerprint(files: Iterable[FileContent]) -> str:
    """A short digest of the paths, roles and contents of all files."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for file in files:
        data = file.data if file.data is not None else file.error.encode()
        for part in (file.path.encode(), file.role.encode(), file.subject.encode(), data):
            digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def take_snapshot(
    files: list[FileContent], options: ReadOptions, cache: ParseCache | None = None
) -> SnapshotReport:
    """Read, merge, select and check all files. Errors in their content are reported, never raised.

    `cache` saves parsing files and rows that have not changed since the last snapshot.
    """
    problems, rules = ProblemCollector(), options.rules
    cache = cache or ParseCache()
    cache.begin(options)
    read = _read_files(files, options, cache, problems)
    merge_rules = MergeRules(rules.canonical_names, rules.implied_values, options.later_wins)
    rows = merge_sources(read.sources, read.group_vars, read.host_vars, merge_rules, problems)
    rows = _select_rows(rows, options.select, read.sources, problems)
    reader_errors = _errors_by_host(problems)
    checked = [cache.check(row, rules) for row in rows]
    cache.end()
    _reject_misread_rows(checked, reader_errors)
    reject_duplicate_addresses(checked)
    for one in checked:
        for problem in one.problems:
            problems.found.setdefault(problem)
    stopped_by = {one.row.name: file_with_state(one.row, rules) for one in checked if one.state != "up"}
    snapshot = _build_snapshot(files, read.sources, checked, reader_errors, stopped_by, problems)
    return SnapshotReport(snapshot, checked, read.sources)


def _read_files(
    files: list[FileContent], options: ReadOptions, cache: ParseCache, problems: ProblemCollector
) -> _Input:
    names = {key.lower(): value for key, value in options.rules.names.items()}
    read = _Input()
    for file in files:
        if file.role == "source":
            source = cache.read(file, options, names, problems)
            if source is not None:
                read.sources.append(source)
            continue
        by_subject = read.group_vars if file.role == "group_vars" else read.host_vars
        variables = by_subject.setdefault(file.subject, FileVariables(place=Place(file.path)))
        variables.merge(read_variables(file, problems))
    return read


def _errors_by_host(problems: ProblemCollector) -> dict[str, str]:
    """The first error of each host that was found when reading or merging, by the name of the host."""
    errors: dict[str, str] = {}
    for problem in problems.found:
        if problem.is_error and problem.host:
            errors.setdefault(problem.host, f"{problem.code.id} {problem.message}")
    return errors


def _reject_misread_rows(checked: list[CheckedRow], reader_errors: dict[str, str]) -> None:
    """Drop the records of rows in which a reader has found an error, or that have no name."""
    for one in checked:
        if one.row.name in reader_errors or not one.row.name:
            one.record = None
            # Missing values follow from the reader's error, which has already been reported.
            one.problems = [problem for problem in one.problems if problem.place != one.row.place]


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
    files: list[FileContent],
    sources: list[Source],
    checked: list[CheckedRow],
    by_host: dict[str, str],
    stopped_by: dict[str, str],
    problems: ProblemCollector,
) -> Snapshot:
    replicas = {one.row.name: one.record for one in checked if one.record is not None}
    invalid_hosts: dict[str, str] = {}
    requested_states: dict[str, str] = {}
    invalid_row_addresses: set[tuple[str, int]] = set()
    for one in checked:
        if one.record is not None:
            continue
        name = one.row.name
        if one.address is not None:
            invalid_row_addresses.add(one.address)
        if not name:
            continue
        invalid_hosts[name] = by_host.get(name) or one.reason or "its row is not right"
        if one.state != "up":
            requested_states[name] = more_restrictive(one.state, requested_states.get(name, "up"))
    for name, reason in by_host.items():  # Hosts with a reading error that have no row at all.
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
        stopped_by=stopped_by,
        incomplete_sources=incomplete_sources,
        invalid_row_addresses=frozenset(invalid_row_addresses),
        unterminated_sources=frozenset(source.file for source in sources if not source.ends_with_newline),
        problems=tuple(problems.sorted()),
        fingerprint=fingerprint(files),
    )


def _incomplete_reason(source: Source, problems: ProblemCollector) -> str:
    for problem in problems.found:
        if problem.is_error and problem.place.file == source.file and not problem.host:
            return f"{problem.code.id} {problem.message}"
    return "not read to its end"

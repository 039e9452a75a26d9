"""From the texts of all files to one snapshot: read, merged, selected and checked, without I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .merging import Merger, Variables
from .model import Row, Snapshot, Source
from .patterns import Pattern
from .problems import NOTHING_SELECTED, Place, Problem, Problems
from .reading import FileText, read_file, read_variables
from .schema import FIELDS, Checked, Rules, check_addresses, check_row, more_careful


@dataclass(frozen=True, slots=True)
class Reading:
    """How sources are read: the schema's rules, a form for files whose name doesn't tell it, a selection."""

    rules: Rules = field(default_factory=Rules)
    form: str = ""
    select: Pattern | None = None
    later_wins: bool = False  # of two sources that differ, the later holds, as in Ansible


class Memory:
    """What files and rows came to the last time: most of a large inventory is as it was.

    Only rows without a fault are kept, for a fault names a line and lines move.
    """

    def __init__(self) -> None:
        self.sources: dict[tuple[str, bytes], tuple[Source | None, list[Problem]]] = {}
        self.records: dict[tuple[object, ...], Checked] = {}
        self.seen: tuple[set[tuple[str, bytes]], set[tuple[object, ...]]] = (set(), set())
        self.reading: Reading | None = None

    def begin(self, reading: Reading) -> None:
        """A new snapshot; by other settings, nothing holds any more."""
        if reading != self.reading:
            self.sources.clear()
            self.records.clear()
        self.reading = reading
        self.seen = (set(), set())

    def end(self) -> None:
        """Forget what this snapshot did not need."""
        self.sources = {key: self.sources[key] for key in self.seen[0] if key in self.sources}
        self.records = {key: self.records[key] for key in self.seen[1] if key in self.records}

    def read(
        self, file: FileText, reading: Reading, names: dict[str, str], problems: Problems
    ) -> Source | None:
        """A file of hosts, read anew only where it has changed."""
        key = (file.path, hashlib.blake2b(file.data or file.error.encode(), digest_size=16).digest())
        found = self.sources.get(key)
        if found is None:
            own = Problems()
            found = read_file(file, reading.form, names, FIELDS, own), list(own.found)
            self.sources[key] = found
        self.seen[0].add(key)
        for problem in found[1]:
            problems.found.setdefault(problem)
        return found[0]

    def check(self, row: Row, rules: Rules) -> Checked:
        """A row after the schema's check."""
        key = (row.name, *((name, _frozen(value.raw), value.vault) for name, value in row.values.items()))
        if row.problems:
            return check_row(row, rules)
        found = self.records.get(key)
        if found is None:
            checked = check_row(row, rules)
            if checked.record is None or checked.problems:
                return checked
            found = self.records[key] = checked
        self.seen[1].add(key)
        return Checked(row, found.record, [], found.state, found.address)


def _frozen(raw: object) -> object:
    return raw if raw is None or isinstance(raw, str) else repr(raw)


@dataclass(slots=True)
class Report:
    """A snapshot with what led to it: the rows, for tools that show them."""

    snapshot: Snapshot
    checked: list[Checked]
    sources: list[Source]


def fingerprint(files: Iterable[FileText]) -> str:
    """A short digest of what all files hold and what they are called: the same for the same inventory."""
    digest = hashlib.blake2b(digest_size=8)
    for file in files:
        data = file.data if file.data is not None else file.error.encode()
        for part in (file.path.encode(), file.role.encode(), file.subject.encode(), data):
            digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def take(files: list[FileText], reading: Reading, memory: Memory | None = None) -> Report:
    """Read, merge, select and check. Never raises for what a file holds: the report has all that is wrong.

    `memory` carries over what an unchanged file or row came to the last time.
    """
    problems, rules = Problems(), reading.rules
    names = {key.lower(): value for key, value in rules.names.items()}
    sources: list[Source] = []
    given: dict[str, dict[str, Variables]] = {"group_vars": {}, "host_vars": {}}
    memory = memory or Memory()
    memory.begin(reading)
    for file in files:
        if file.role == "source":
            source = memory.read(file, reading, names, problems)
            if source is not None:
                sources.append(source)
            continue
        values, spoilt = read_variables(file, problems)
        held = given[file.role].setdefault(file.subject, Variables(place=Place(file.path)))
        held.values.update(values)
        held.spoilt = held.spoilt or spoilt
    merger = Merger(rules.canonical, rules.group_meanings, reading.later_wins, problems)
    rows = merger.rows(sources, given["group_vars"], given["host_vars"])
    rows = _selected(rows, reading.select, sources, problems)
    # A problem that a reader found in a row of its own makes the host's record worth nothing.
    by_host: dict[str, str] = {}
    for problem in problems.found:
        if problem.is_error and problem.host:
            by_host.setdefault(problem.host, f"{problem.code.ident} {problem.message}")
    checked = [memory.check(row, rules) for row in rows]
    memory.end()
    for one in checked:
        if one.row.name in by_host or not one.row.name:
            # What its reader has told already is not told again by what is missing now.
            one.record = None
            one.problems = [problem for problem in one.problems if problem.place != one.row.place]
    check_addresses(checked)
    for one in checked:
        for problem in one.problems:
            problems.found.setdefault(problem)
    return Report(_snapshot(files, sources, checked, by_host, problems), checked, sources)


def _selected(
    rows: list[Row], pattern: Pattern | None, sources: list[Source], problems: Problems
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


def _snapshot(
    files: list[FileText],
    sources: list[Source],
    checked: list[Checked],
    by_host: dict[str, str],
    problems: Problems,
) -> Snapshot:
    workers = {one.row.name: one.record for one in checked if one.record is not None}
    bad: dict[str, str] = {}
    drains: dict[str, str] = {}
    loose: set[tuple[str, int]] = set()
    for one in checked:
        if one.record is not None:
            continue
        name = one.row.name
        if one.address is not None:
            loose.add(one.address)
        if not name:
            continue
        bad[name] = by_host.get(name) or one.reason or "its row is not right"
        if one.state != "up":
            drains[name] = more_careful(one.state, drains.get(name, "up"))
    for name, reason in by_host.items():  # hosts named in a row that gave no record at all
        if name not in workers:
            bad.setdefault(name, reason)
    doubtful = {source.file: _why(source, problems) for source in sources if not source.whole}
    return Snapshot(
        workers=workers,
        files={one.row.name: one.row.files for one in checked},
        bad=bad,
        drains=drains,
        doubtful=doubtful,
        loose=frozenset(loose),
        open_ended=frozenset(source.file for source in sources if not source.closed),
        problems=tuple(problems.sorted()),
        fingerprint=fingerprint(files),
    )


def _why(source: Source, problems: Problems) -> str:
    for problem in problems.found:
        if problem.is_error and problem.place.file == source.file and not problem.host:
            return f"{problem.code.ident} {problem.message}"
    return "not read to its end"

"""Reads CSV files with a header, separated by `,`, `;` or tabs, with quotes, comments and host ranges."""

from __future__ import annotations

import csv
import re
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from itertools import chain, repeat
from typing import NamedTuple

from .limits import MAX_HOSTS, MAX_LINE_CHARS, MAX_VALUE_CHARS
from .model import Host, Source, Value
from .problems import (
    BAD_RANGE,
    CELL_COUNT,
    NO_NAME,
    NO_NAME_COLUMN,
    REPEATED_COLUMN,
    SYNTAX_ERROR,
    TOO_DEEP,
    TOO_LARGE,
    UNKNOWN_COLUMN,
    Place,
    ProblemCollector,
)
from .ranges import RangeError, expand_range
from .schema import LABEL_PREFIXES

SEPARATORS = ",;\t"


class _UnreadableError(Exception):
    """The rest of the text can't be read; the problem is already reported."""


def detect_separator(text: str) -> str:
    """Return the separator of a CSV text, which is the most frequent one in its header."""
    for line in text.split("\n", 200)[:200]:
        if line.strip() and not line.startswith("#"):
            counts = Counter(char for char in _without_quoted_text(line) if char in SEPARATORS)
            return max(SEPARATORS, key=lambda char: counts[char]) if counts else ","
    return ","


def _without_quoted_text(line: str) -> str:
    return "".join(line.split('"')[::2])


def read_csv(
    text: str, file: str, names: Mapping[str, str], known_names: frozenset[str], problems: ProblemCollector
) -> Source:
    """Read a CSV text into hosts.

    `names` maps the names of columns, in lower case, to those of schema fields; `known_names` are the names
    of all fields. A row with too few or too many cells is reported, but its host is still added by name, as a
    missing host would be removed.
    """
    return _CsvReader(text, file, names, known_names, problems).read()


class _Record(NamedTuple):
    """The cells of one record, the line on which it begins, and the column of each cell, both from 1."""

    line: int
    cells: list[str]
    columns: list[int]

    @property
    def is_skipped(self) -> bool:
        """Whether the record is empty or a comment."""
        return not any(cell.strip() for cell in self.cells) or (
            self.cells[0].startswith("#") and self.columns[0] == 1
        )

    @property
    def padded_columns(self) -> Iterator[int]:
        """The columns of the cells, followed by an endless series of 0 for cells with an unknown column."""
        return chain(self.columns, repeat(0))


class _CsvReader:
    """Reads the records of one CSV text into the hosts and groups of a source."""

    def __init__(
        self,
        text: str,
        file: str,
        names: Mapping[str, str],
        known_names: frozenset[str],
        problems: ProblemCollector,
    ) -> None:
        self.text = text
        self.names = names
        self.known_names = known_names
        self.problems = problems
        self.source = Source(file, "csv", ends_with_newline=not text or text.endswith("\n"))
        self.separator = detect_separator(text)

    def read(self) -> Source:
        source = self.source
        try:
            has_header = self._read_records()
        except _UnreadableError:
            source.complete = False
            return source
        if not has_header:
            suggestion = "begin it with a line such as name,host,port"
            self.problems.add(NO_NAME_COLUMN, Place(source.file), "the file has no header", suggestion)
            source.complete = False
        return source

    def _read_records(self) -> bool:
        """Read all records and return whether there is a header. Raises _UnreadableError."""
        header: list[str] | None = None
        for record in self._records():
            if record.is_skipped:
                continue
            if header is None:
                header = self._read_header(record)
                continue
            self._read_row(record, header)
            if len(self.source.hosts) > MAX_HOSTS:
                place = Place(self.source.file, record.line)
                self.problems.add(TOO_DEEP, place, f"more than {MAX_HOSTS} hosts", "split the inventory")
                raise _UnreadableError
        return header is not None

    def _records(self) -> Iterator[_Record]:
        lines = self.text.split("\n")
        self._check_line_lengths(lines)
        csv.field_size_limit(MAX_VALUE_CHARS)
        reader = csv.reader((line + "\n" for line in lines), delimiter=self.separator, strict=True)
        first_line = 1
        while True:
            try:
                cells = next(reader)
            except StopIteration:
                return
            except csv.Error as error:
                self._report_syntax_error(error, first_line)
                raise _UnreadableError from None
            if cells:
                is_one_line = reader.line_num == first_line
                columns = _cell_columns(lines[first_line - 1], self.separator)
                yield _Record(first_line, cells, columns if is_one_line else [1] * len(cells))
            first_line = reader.line_num + 1

    def _check_line_lengths(self, lines: Sequence[str]) -> None:
        longest = max(map(len, lines))
        if longest > MAX_LINE_CHARS:
            number = next(number for number, line in enumerate(lines, 1) if len(line) == longest)
            message = f"a line of {longest} characters"
            suggestion = f"keep lines under {MAX_LINE_CHARS}"
            self.problems.add(TOO_LARGE, Place(self.source.file, number), message, suggestion)
            raise _UnreadableError

    def _report_syntax_error(self, error: csv.Error, line: int) -> None:
        code, message, suggestion = SYNTAX_ERROR, str(error), 'put cells with quotes in them in "..."'
        if "unexpected end" in message:
            message = "a quote is opened in this row and never closed"
            suggestion = 'close it with "; a quote within quotes is written ""'
        elif "field larger" in message:
            code, suggestion = TOO_LARGE, "shorten it"
            message = f"a cell of more than {MAX_VALUE_CHARS} characters"
        self.problems.add(code, Place(self.source.file, line), message, suggestion)

    def _read_header(self, record: _Record) -> list[str]:
        """Return the schema field of each column, empty for an unused column.

        Raises _UnreadableError if a column is repeated or there is none for the name.
        """
        header: list[str] = []
        places: dict[str, Place] = {}
        is_usable = True
        for cell, column in zip(record.cells, record.padded_columns, strict=False):
            place = Place(self.source.file, record.line, column)
            name = self._column_name(cell, place)
            if name in places:
                message = f"columns for {name!r} stand twice"
                self.problems.add(REPEATED_COLUMN, place, message, "keep one of them", places[name])
                is_usable = False
            if name:
                places.setdefault(name, place)
            header.append(name)
        if "name" not in places:
            place = Place(self.source.file, record.line)
            suggestion = "add one, or map yours to name"
            self.problems.add(NO_NAME_COLUMN, place, "no column is called name", suggestion)
            is_usable = False
        if not is_usable:
            raise _UnreadableError
        return header

    def _column_name(self, cell: str, place: Place) -> str:
        heading = cell.strip().lower()
        name = self.names.get(heading, heading.replace(" ", "_"))
        if name in self.known_names or name.startswith(LABEL_PREFIXES):
            return name
        suggestion = f"known are {', '.join(sorted(self.known_names))}; map others under [inventory.names]"
        self.problems.add(UNKNOWN_COLUMN, place, f"column {cell.strip()!r} is not used", suggestion)
        return ""

    def _read_row(self, record: _Record, header: Sequence[str]) -> None:
        file = self.source.file
        values = {
            name: Value(cell.strip(), Place(file, record.line, column))
            for name, cell, column in zip(header, record.cells, record.padded_columns, strict=False)
            if name
        }
        name = values.pop("name", Value("", Place(file, record.line, 1)))
        hosts = self._expand_name(name)
        if len(record.cells) != len(header):
            message = f"{len(record.cells)} cells, the header has {len(header)}"
            suggestion = "add or take out separators, or quote a cell that holds one"
            for host in hosts:
                self.problems.add(CELL_COUNT, name.place, message, suggestion, host=host)
            # Only the name is used: the other cells may belong to other columns.
            values = {}
        elif not name.text:
            self.problems.add(NO_NAME, name.place, "the row has no name", "give it one")
        groups = values.pop("groups", None)
        for host in hosts:
            self.source.hosts.append(Host(host, name.place, dict(values)))
            if groups is not None:
                self._add_to_groups(host, groups)

    def _expand_name(self, name: Value) -> list[str]:
        try:
            return expand_range(name.text)
        except RangeError as error:
            self.problems.add(BAD_RANGE, name.place, str(error), host=name.text)
            return [name.text]

    def _add_to_groups(self, host: str, groups: Value) -> None:
        if groups.text:
            for name in re.split(r"[\s,;|]+", groups.text):
                group = self.source.get_or_add_group(name, groups.place)
                group.hosts.setdefault(host, groups.place)


def _cell_columns(line: str, separator: str) -> list[int]:
    """Return the columns at which the cells of a line begin, counted from 1."""
    if '"' not in line:
        columns, index = [1], line.find(separator)
        while index >= 0:
            columns.append(index + 2)
            index = line.find(separator, index + 1)
        return columns
    columns, quoted = [1], False
    for index, char in enumerate(line):
        if char == '"':
            quoted = not quoted
        elif char == separator and not quoted:
            columns.append(index + 2)
    return columns

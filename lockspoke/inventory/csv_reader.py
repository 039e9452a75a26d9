"""CSV with a header: any of `,` `;` tab, a byte order mark, quoted newlines, comments, host ranges."""

from __future__ import annotations

import csv
import re
from collections import Counter
from collections.abc import Iterator, Mapping

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

SEPARATORS = ",;\t"


class _UnreadableError(Exception):
    """The text can't be read on from here."""


def detect_separator(text: str) -> str:
    """The separator of a CSV text: of the known ones, the one that its first line with any has most of."""
    for line in text.split("\n", 200)[:200]:
        if line.strip() and not line.startswith("#"):
            counts = Counter(char for char in _without_quoted_text(line) if char in SEPARATORS)
            return max(SEPARATORS, key=lambda char: counts[char]) if counts else ","
    return ","


def _without_quoted_text(line: str) -> str:
    return "".join(line.split('"')[::2])


def read_csv(
    text: str, file: str, names: Mapping[str, str], known: frozenset[str], problems: ProblemCollector
) -> Source:
    """Read a CSV text into rows.

    `names` maps a header's words, in small letters, to the schema's; `known` are the schema's own. A row
    whose cells can't be told apart is reported and its name kept, if it has one, so that its host is not
    taken for removed.
    """
    source = Source(file, "csv", ends_with_newline=not text or text.endswith("\n"))
    header: list[str] | None = None
    separator = detect_separator(text)
    try:
        for line, cells, columns in _records(text, separator, file, problems):
            if not any(cell.strip() for cell in cells) or (cells[0].startswith("#") and columns[0] == 1):
                continue
            if header is None:
                header = _read_header(cells, columns, line, file, names, known, problems)
                if header is None:
                    source.complete = False
                    return source
                continue
            _read_row(source, header, cells, columns, line, problems)
            if len(source.hosts) > MAX_HOSTS:
                problems.add(
                    TOO_DEEP, Place(file, line), f"more than {MAX_HOSTS} hosts", "split the inventory"
                )
                source.complete = False
                return source
    except _UnreadableError:
        source.complete = False
    if header is None and source.complete:
        problems.add(
            NO_NAME_COLUMN,
            Place(file),
            "the file has no header",
            "begin it with a line such as name,host,port",
        )
        source.complete = False
    return source


def _records(
    text: str, separator: str, file: str, problems: ProblemCollector
) -> Iterator[tuple[int, list[str], list[int]]]:
    """Records with the line on which each begins and the column of each cell."""
    lines = text.split("\n")
    longest = max(map(len, lines))
    if longest > MAX_LINE_CHARS:
        line = next(index for index, one in enumerate(lines, 1) if len(one) == longest)
        problems.add(
            TOO_LARGE,
            Place(file, line),
            f"a line of {longest} characters",
            f"keep lines under {MAX_LINE_CHARS}",
        )
        raise _UnreadableError
    csv.field_size_limit(MAX_VALUE_CHARS)
    reader = csv.reader((line + "\n" for line in lines), delimiter=separator, strict=True)
    first_line = 1
    while True:
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            what = str(error)
            if "unexpected end" in what:
                place, what = Place(file, first_line), "a quote is opened in this row and never closed"
                problems.add(
                    SYNTAX_ERROR, place, what, 'close it with "; a quote within quotes is written ""'
                )
            elif "field larger" in what:
                problems.add(
                    TOO_LARGE,
                    Place(file, first_line),
                    f"a cell of more than {MAX_VALUE_CHARS} characters",
                    "shorten it",
                )
            else:
                problems.add(
                    SYNTAX_ERROR, Place(file, first_line), what, 'put cells with quotes in them in "..."'
                )
            raise _UnreadableError from None
        if cells:
            last = reader.line_num == first_line
            raw = lines[first_line - 1]
            yield first_line, cells, _cell_columns(raw, separator) if last else [1] * len(cells)
        first_line = reader.line_num + 1


def _cell_columns(line: str, separator: str) -> list[int]:
    """Where the cells of a line begin, from 1 on."""
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


def _read_header(
    cells: list[str],
    columns: list[int],
    line: int,
    file: str,
    names: Mapping[str, str],
    known: frozenset[str],
    problems: ProblemCollector,
) -> list[str] | None:
    """The schema's name of each column; an empty one is not used. None where rows can't be read by it."""
    header: list[str] = []
    first: dict[str, Place] = {}
    good = True
    for index, cell in enumerate(cells):
        place = Place(file, line, columns[index] if index < len(columns) else 0)
        word = cell.strip().lower()
        name = names.get(word, word.replace(" ", "_"))
        if not (name in known or name.startswith(("label.", "label_"))):
            suggestion = f"known are {', '.join(sorted(known))}; map others under [inventory.names]"
            problems.add(UNKNOWN_COLUMN, place, f"column {cell.strip()!r} is not used", suggestion)
            name = ""
        elif name in first:
            message = f"columns for {name!r} stand twice"
            problems.add(REPEATED_COLUMN, place, message, "keep one of them", first[name])
            good = False
        if name:
            first.setdefault(name, place)
        header.append(name)
    if "name" not in first:
        problems.add(
            NO_NAME_COLUMN, Place(file, line), "no column is called name", "add one, or map yours to name"
        )
        good = False
    return header if good else None


def _read_row(
    source: Source,
    header: list[str],
    cells: list[str],
    columns: list[int],
    line: int,
    problems: ProblemCollector,
) -> None:
    place = Place(source.file, line, 1)
    values = {
        name: Value(cell.strip(), Place(source.file, line, columns[index] if index < len(columns) else 0))
        for index, (name, cell) in enumerate(zip(header, cells, strict=False))
        if name
    }
    name = values.pop("name", None)
    if name is not None:
        place = name.place
    text = name.text if name is not None else ""
    try:
        hosts = expand_range(text)
    except RangeError as error:
        problems.add(BAD_RANGE, place, str(error), host=text)
        hosts = [text]
    if len(cells) != len(header):
        message = f"{len(cells)} cells, the header has {len(header)}"
        suggestion = "add or take out separators, or quote a cell that holds one"
        for host in hosts:
            problems.add(CELL_COUNT, place, message, suggestion, host=host)
        # Cells may stand under wrong names: nothing but the name is believed.
        values = {}
    elif not text:
        problems.add(NO_NAME, place, "the row has no name", "give it one")
    groups = values.pop("groups", None)
    for host in hosts:
        source.hosts.append(Host(host, place, dict(values)))
        for group in re.split(r"[\s,;|]+", groups.text) if groups is not None and groups.text else ():
            source.get_or_add_group(group, groups.place).hosts.setdefault(host, place)  # type: ignore[union-attr]

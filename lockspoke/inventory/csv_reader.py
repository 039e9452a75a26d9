"""CSV with a header: any of `,` `;` tab, a byte order mark, quoted newlines, comments, host ranges."""

from __future__ import annotations

import csv
import re
from collections import Counter
from collections.abc import Iterator, Mapping

from .limits import HOSTS, LINE_CHARS, VALUE_CHARS
from .model import Host, Source, Value
from .problems import (
    CELL_COUNT,
    NO_NAME,
    NO_NAME_COLUMN,
    RANGE,
    REPEATED_COLUMN,
    SYNTAX,
    TOO_DEEP,
    TOO_LARGE,
    UNKNOWN_COLUMN,
    Place,
    Problems,
)
from .ranges import RangeError, expand

SEPARATORS = ",;\t"


class _BrokenError(Exception):
    """The text can't be read on from here."""


def separator(text: str) -> str:
    """The separator of a CSV text: of the known ones, the one that its first line with any has most of."""
    for line in text.split("\n", 200)[:200]:
        if line.strip() and not line.startswith("#"):
            counts = Counter(letter for letter in _unquoted(line) if letter in SEPARATORS)
            return max(SEPARATORS, key=lambda letter: counts[letter]) if counts else ","
    return ","


def _unquoted(line: str) -> str:
    return "".join(line.split('"')[::2])


def read_csv(
    text: str, file: str, names: Mapping[str, str], known: frozenset[str], problems: Problems
) -> Source:
    """Read a CSV text into rows.

    `names` maps a header's words, in small letters, to the schema's; `known` are the schema's own. A row
    whose cells can't be told apart is reported and its name kept, if it has one, so that its host is not
    taken for removed.
    """
    source = Source(file, "csv", closed=not text or text.endswith("\n"))
    header: list[str] | None = None
    mark = separator(text)
    try:
        for line, cells, columns in _records(text, mark, file, problems):
            if not any(cell.strip() for cell in cells) or (cells[0].startswith("#") and columns[0] == 1):
                continue
            if header is None:
                header = _header(cells, columns, line, file, names, known, problems)
                if header is None:
                    source.whole = False
                    return source
                continue
            _row(source, header, cells, columns, line, problems)
            if len(source.rows) > HOSTS:
                problems.add(TOO_DEEP, Place(file, line), f"more than {HOSTS} hosts", "split the inventory")
                source.whole = False
                return source
    except _BrokenError:
        source.whole = False
    if header is None and source.whole:
        problems.add(
            NO_NAME_COLUMN,
            Place(file),
            "the file has no header",
            "begin it with a line such as name,host,port",
        )
        source.whole = False
    return source


def _records(
    text: str, mark: str, file: str, problems: Problems
) -> Iterator[tuple[int, list[str], list[int]]]:
    """Records with the line on which each begins and the column of each cell."""
    lines = text.split("\n")
    longest = max(map(len, lines))
    if longest > LINE_CHARS:
        line = next(at for at, one in enumerate(lines, 1) if len(one) == longest)
        problems.add(
            TOO_LARGE, Place(file, line), f"a line of {longest} characters", f"keep lines under {LINE_CHARS}"
        )
        raise _BrokenError
    csv.field_size_limit(VALUE_CHARS)
    reader = csv.reader((line + "\n" for line in lines), delimiter=mark, strict=True)
    begun = 1
    while True:
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            what = str(error)
            if "unexpected end" in what:
                place, what = Place(file, begun), "a quote is opened in this row and never closed"
                problems.add(SYNTAX, place, what, 'close it with "; a quote within quotes is written ""')
            elif "field larger" in what:
                problems.add(
                    TOO_LARGE,
                    Place(file, begun),
                    f"a cell of more than {VALUE_CHARS} characters",
                    "shorten it",
                )
            else:
                problems.add(SYNTAX, Place(file, begun), what, 'put cells with quotes in them in "..."')
            raise _BrokenError from None
        if cells:
            last = reader.line_num == begun
            raw = lines[begun - 1]
            yield begun, cells, _columns(raw, mark) if last else [1] * len(cells)
        begun = reader.line_num + 1


def _columns(line: str, mark: str) -> list[int]:
    """Where the cells of a line begin, from 1 on."""
    if '"' not in line:
        columns, at = [1], line.find(mark)
        while at >= 0:
            columns.append(at + 2)
            at = line.find(mark, at + 1)
        return columns
    columns, quoted = [1], False
    for at, letter in enumerate(line):
        if letter == '"':
            quoted = not quoted
        elif letter == mark and not quoted:
            columns.append(at + 2)
    return columns


def _header(
    cells: list[str],
    columns: list[int],
    line: int,
    file: str,
    names: Mapping[str, str],
    known: frozenset[str],
    problems: Problems,
) -> list[str] | None:
    """The schema's name of each column; an empty one is not used. None where rows can't be read by it."""
    header: list[str] = []
    first: dict[str, Place] = {}
    good = True
    for at, cell in enumerate(cells):
        place = Place(file, line, columns[at] if at < len(columns) else 0)
        word = cell.strip().lower()
        name = names.get(word, word.replace(" ", "_"))
        if not (name in known or name.startswith(("label.", "label_"))):
            mend = f"known are {', '.join(sorted(known))}; map others under [inventory.names]"
            problems.add(UNKNOWN_COLUMN, place, f"column {cell.strip()!r} is not used", mend)
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


def _row(
    source: Source, header: list[str], cells: list[str], columns: list[int], line: int, problems: Problems
) -> None:
    place = Place(source.file, line, 1)
    values = {
        name: Value(cell.strip(), Place(source.file, line, columns[at] if at < len(columns) else 0))
        for at, (name, cell) in enumerate(zip(header, cells, strict=False))
        if name
    }
    name = values.pop("name", None)
    if name is not None:
        place = name.place
    text = name.text if name is not None else ""
    try:
        hosts = expand(text)
    except RangeError as error:
        problems.add(RANGE, place, str(error), host=text)
        hosts = [text]
    if len(cells) != len(header):
        message = f"{len(cells)} cells, the header has {len(header)}"
        mend = "add or take out separators, or quote a cell that holds one"
        for host in hosts:
            problems.add(CELL_COUNT, place, message, mend, host=host)
        # Cells may stand under wrong names: nothing but the name is believed.
        values = {}
    elif not text:
        problems.add(NO_NAME, place, "the row has no name", "give it one")
    groups = values.pop("groups", None)
    for host in hosts:
        source.rows.append(Host(host, place, dict(values)))
        for group in re.split(r"[\s,;|]+", groups.text) if groups is not None and groups.text else ():
            source.group(group, groups.place).hosts.setdefault(host, place)  # type: ignore[union-attr]

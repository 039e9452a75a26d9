"""Problems for people and for tools: as text with the line they stand on, as JSON, and as SARIF 2.1.0."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from pathlib import PurePosixPath
from typing import Any

from .model import WorkerRecord
from .problems import CODES, Place, Problem, Severity

SARIF_SCHEMA = "https://json.schemastore.org/sarif-2.1.0.json"
WIDEST = 100  # characters of a source line that are shown


def as_text(
    problems: Iterable[Problem],
    texts: Mapping[str, str],
    style: Callable[[str, str], str] = lambda text, _: text,
) -> str:
    """Problems as compilers print them; `texts` holds the files that can be shown, by path.

    `style` dresses a text for a terminal; its second argument is error, warning, place or mend.
    """
    blocks = []
    for problem in problems:
        level = problem.severity.value
        place, mark = style(str(problem.place), "place"), style(f"{level}[{problem.code.ident}]", level)
        head = f"{place}: {mark}: {problem.message}"
        lines = [head, *_excerpt(problem.place, texts, style)]
        if problem.clash is not None:
            lines.append(f"    clashes with {style(str(problem.clash), 'place')}")
            lines += _excerpt(problem.clash, texts, style)
        if problem.mend:
            lines.append(f"    {style('mend:', 'mend')} {problem.mend}")
        blocks.append("\n".join(lines))
    return "\n".join(blocks)


def _excerpt(place: Place, texts: Mapping[str, str], style: Callable[[str, str], str]) -> list[str]:
    text = texts.get(place.file)
    if text is None or not place.line:
        return []
    lines = text.split("\n")
    if place.line > len(lines):
        return []
    line, column = lines[place.line - 1].replace("\t", " ").rstrip("\r"), max(place.column, 1)
    start = max(0, column - WIDEST // 2) if len(line) > WIDEST else 0
    shown = line[start : start + WIDEST]
    number = f"{place.line:>5} | "
    found = [number + "".join(letter if letter.isprintable() else "?" for letter in shown)]
    if place.column:
        found.append(" " * (len(number) + column - 1 - start) + style("^", "mend"))
    return found


def summary(workers: int, problems: Iterable[Problem]) -> str:
    """One line: how many workers, errors and warnings."""
    levels = [problem.severity for problem in problems]
    errors, warnings = levels.count(Severity.ERROR), levels.count(Severity.WARNING)
    return f"{_count(workers, 'worker')}, {_count(errors, 'error')}, {_count(warnings, 'warning')}"


def _count(number: int, what: str) -> str:
    return f"{number} {what}{'' if number == 1 else 's'}"


def problem_json(problem: Problem) -> dict[str, Any]:
    """One problem as a plain object."""
    raw: dict[str, Any] = {
        "file": problem.place.file,
        "line": problem.place.line,
        "column": problem.place.column,
        "code": problem.code.ident,
        "name": problem.code.name,
        "severity": problem.severity.value,
        "message": problem.message,
        "mend": problem.mend,
        "host": problem.host,
    }
    if problem.clash is not None:
        raw["clash"] = problem.clash._asdict()
    return raw


def as_json(workers: Iterable[WorkerRecord], problems: Iterable[Problem]) -> dict[str, Any]:
    """What `check --json` prints."""
    return {
        "workers": [worker.as_json() for worker in workers],
        "problems": [problem_json(problem) for problem in problems],
    }


def as_sarif(problems: Iterable[Problem], version: str) -> dict[str, Any]:
    """A SARIF 2.1.0 log with one run, for code hosts and editors."""
    idents = list(CODES)
    rules = [
        {
            "id": code.ident,
            "name": "".join(part.capitalize() for part in code.name.split("-")),
            "shortDescription": {"text": code.says},
            "defaultConfiguration": {"level": code.severity.value},
        }
        for code in CODES.values()
    ]
    results = []
    for problem in problems:
        text = f"{problem.message}; {problem.mend}" if problem.mend else problem.message
        result: dict[str, Any] = {
            "ruleId": problem.code.ident,
            "ruleIndex": idents.index(problem.code.ident),
            "level": problem.severity.value,
            "message": {"text": text},
            "locations": [_location(problem.place)],
        }
        if problem.clash is not None:
            result["relatedLocations"] = [
                _location(problem.clash) | {"message": {"text": "clashes with this"}}
            ]
        results.append(result)
    driver = {"name": "lockspoke", "semanticVersion": version, "rules": rules}
    return {
        "$schema": SARIF_SCHEMA,
        "version": "2.1.0",
        "runs": [{"tool": {"driver": driver}, "results": results}],
    }


def _location(place: Place) -> dict[str, Any]:
    physical: dict[str, Any] = {"artifactLocation": {"uri": _uri(place.file)}}
    if place.line:
        region = {"startLine": place.line} | ({"startColumn": place.column} if place.column else {})
        physical["region"] = region
    return {"physicalLocation": physical}


def _uri(file: str) -> str:
    path = PurePosixPath(file)
    return path.as_uri() if path.is_absolute() else path.as_posix()

"""Reports problems as text with excerpts of the sources, as JSON, and as SARIF 2.1.0."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from pathlib import PurePosixPath
from typing import Any

from .model import ReplicaRecord
from .problems import CODES, Place, Problem, Severity

SARIF_SCHEMA = "https://json.schemastore.org/sarif-2.1.0.json"
MAX_EXCERPT_CHARS = 100  # Longer source lines are shown in part.


def as_text(
    problems: Iterable[Problem],
    texts: Mapping[str, str],
    style: Callable[[str, str], str] = lambda text, _: text,
) -> str:
    """Format problems as compilers print them; `texts` has the contents of the files by path.

    `style` formats a text for a terminal; its second argument is one of error, warning, place and mend.
    """
    blocks = []
    for problem in problems:
        level = problem.severity.value
        place, mark = style(str(problem.place), "place"), style(f"{level}[{problem.code.id}]", level)
        head = f"{place}: {mark}: {problem.message}"
        lines = [head, *_excerpt(problem.place, texts, style)]
        if problem.related_place is not None:
            lines.append(f"    clashes with {style(str(problem.related_place), 'place')}")
            lines += _excerpt(problem.related_place, texts, style)
        if problem.suggestion:
            lines.append(f"    {style('mend:', 'mend')} {problem.suggestion}")
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
    start = max(0, column - MAX_EXCERPT_CHARS // 2) if len(line) > MAX_EXCERPT_CHARS else 0
    shown = line[start : start + MAX_EXCERPT_CHARS]
    number = f"{place.line:>5} | "
    found = [number + "".join(char if char.isprintable() else "?" for char in shown)]
    if place.column:
        found.append(" " * (len(number) + column - 1 - start) + style("^", "mend"))
    return found


def summary(replica_count: int, problems: Iterable[Problem]) -> str:
    """One line with the numbers of replicas, errors and warnings."""
    levels = [problem.severity for problem in problems]
    errors, warnings = levels.count(Severity.ERROR), levels.count(Severity.WARNING)
    return (
        f"{_counted(replica_count, 'worker')}, {_counted(errors, 'error')}, {_counted(warnings, 'warning')}"
    )


def _counted(number: int, what: str) -> str:
    return f"{number} {what}{'' if number == 1 else 's'}"


def problem_json(problem: Problem) -> dict[str, Any]:
    """A problem as a JSON object."""
    document: dict[str, Any] = {
        "file": problem.place.file,
        "line": problem.place.line,
        "column": problem.place.column,
        "code": problem.code.id,
        "name": problem.code.name,
        "severity": problem.severity.value,
        "message": problem.message,
        "mend": problem.suggestion,
        "host": problem.host,
    }
    if problem.related_place is not None:
        document["clash"] = problem.related_place._asdict()
    return document


def as_json(replicas: Iterable[ReplicaRecord], problems: Iterable[Problem]) -> dict[str, Any]:
    """The output of `check --json`, as a JSON object."""
    return {
        "workers": [replica.as_json() for replica in replicas],
        "problems": [problem_json(problem) for problem in problems],
    }


def as_sarif(problems: Iterable[Problem], version: str) -> dict[str, Any]:
    """A SARIF 2.1.0 log with one run, as a JSON object."""
    code_ids = list(CODES)
    rules = [
        {
            "id": code.id,
            "name": "".join(part.capitalize() for part in code.name.split("-")),
            "shortDescription": {"text": code.description},
            "defaultConfiguration": {"level": code.severity.value},
        }
        for code in CODES.values()
    ]
    results = []
    for problem in problems:
        text = f"{problem.message}; {problem.suggestion}" if problem.suggestion else problem.message
        result: dict[str, Any] = {
            "ruleId": problem.code.id,
            "ruleIndex": code_ids.index(problem.code.id),
            "level": problem.severity.value,
            "message": {"text": text},
            "locations": [_sarif_location(problem.place)],
        }
        if problem.related_place is not None:
            result["relatedLocations"] = [
                _sarif_location(problem.related_place) | {"message": {"text": "clashes with this"}}
            ]
        results.append(result)
    driver = {"name": "lockspoke", "semanticVersion": version, "rules": rules}
    return {
        "$schema": SARIF_SCHEMA,
        "version": "2.1.0",
        "runs": [{"tool": {"driver": driver}, "results": results}],
    }


def _sarif_location(place: Place) -> dict[str, Any]:
    physical: dict[str, Any] = {"artifactLocation": {"uri": _uri(place.file)}}
    if place.line:
        region = {"startLine": place.line} | ({"startColumn": place.column} if place.column else {})
        physical["region"] = region
    return {"physicalLocation": physical}


def _uri(file: str) -> str:
    path = PurePosixPath(file)
    return path.as_uri() if path.is_absolute() else path.as_posix()

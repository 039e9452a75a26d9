"""Reads one file of an inventory: detects its format and calls the reader of that format."""

from __future__ import annotations

from collections.abc import Mapping

from .ansible_reader import read_groups, read_listing
from .csv_reader import read_csv
from .document_tree import DocumentError, Node
from .format_detection import detect_format, is_listing
from .ini_reader import read_ini
from .json_document import read_json
from .limits import LimitError
from .merging import FileVariables
from .model import Group, Source
from .problems import (
    INVENTORY_SCRIPT,
    NO_REPLICAS,
    SYNTAX_ERROR,
    TOO_DEEP,
    UNKNOWN_FORMAT,
    Place,
    ProblemCollector,
)
from .source_file import FileContent, decode_text
from .tree_walker import TreeWalker, read_group_variables
from .yaml_document import read_yaml


def read_source(
    file: FileContent,
    file_format: str,
    names: Mapping[str, str],
    known_names: frozenset[str],
    problems: ProblemCollector,
) -> Source | None:
    """Read one file of hosts and groups.

    `file_format` is one of FORMATS, or empty to detect the format. `names` and `known_names` are as in
    `read_csv`. Returns None for a file that is skipped. A source that could not be read to its end is not
    marked `complete`.
    """
    place = Place(file.path)
    if file.script:
        suggestion = "save what it prints as .json beside it"
        problems.add(INVENTORY_SCRIPT, place, "an inventory script is not run", suggestion)
        return None
    text = decode_text(file, problems)
    if text is None:
        return Source(file.path, file_format, complete=False)
    ends_with_newline = not text or text.endswith("\n")
    source = Source(
        file.path, file_format or detect_format(file.path, text), ends_with_newline=ends_with_newline
    )
    try:
        source = _parse_source(source, text, names, known_names, problems)
    except DocumentError as error:
        suggestion = "mend it; until then no host of this file is changed"
        problems.add(SYNTAX_ERROR, error.place, str(error), suggestion)
        source.complete = False
    except LimitError as error:
        problems.add(TOO_DEEP, place, str(error), "make it flatter, or split the inventory")
        source.complete = False
    if source.complete and not source.hosts:
        suggestion = "put hosts in, or take it out of the sources"
        problems.add(NO_REPLICAS, place, "the file names no host", suggestion)
        # A program that rewrites the file may just have truncated it, so its hosts are not removed.
        source.complete = False
    return source


def _parse_source(
    source: Source,
    text: str,
    names: Mapping[str, str],
    known_names: frozenset[str],
    problems: ProblemCollector,
) -> Source:
    """Parse a text in the format of the source.

    Raises:
        DocumentError: The syntax of a YAML or JSON document is not valid.
        LimitError: A limit on the size of a document is exceeded.
    """
    if source.format == "csv":
        return read_csv(text, source.file, names, known_names, problems)
    if source.format == "ini":
        return read_ini(text, source.file, problems)
    if source.format in ("yaml", "json"):
        root = _parse_document(text, source.file, source.format)
        if is_listing(root, source.format):
            read_listing(root, source, problems)
        else:
            read_groups(root, source, problems)
        return source
    suggestion = "name it .csv, .yaml, .json or .ini, or set form"
    problems.add(UNKNOWN_FORMAT, Place(source.file), "its form can't be told", suggestion)
    source.complete = False
    return source


def _parse_document(text: str, path: str, file_format: str) -> Node | None:
    return read_json(text, path) if file_format == "json" else read_yaml(text, path)


def read_variables(file: FileContent, problems: ProblemCollector) -> FileVariables:
    """Read a file of group_vars or host_vars; `malformed_at` is the place of what can't be read, if any."""
    place = Place(file.path)
    text = decode_text(file, problems)
    if text is None:
        return FileVariables(malformed_at=None if file.is_encrypted else place, place=place)
    group = Group(file.subject, place)
    try:
        root = _parse_document(text, file.path, "json" if file.path.endswith(".json") else "yaml")
        if root is not None:
            read_group_variables(group, root, TreeWalker(problems))
    except DocumentError as error:
        suggestion = "mend it; until then the hosts concerned stay as they are"
        problems.add(SYNTAX_ERROR, error.place, str(error), suggestion)
        return FileVariables(malformed_at=error.place, place=place)
    except LimitError as error:
        problems.add(TOO_DEEP, place, str(error), "make it flatter")
        return FileVariables(malformed_at=place, place=place)
    return FileVariables(group.variables, group.malformed_at, place)

"""From the bytes of a file to a source: its form is told, and the reader for it is called."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from . import documents
from .ansible_reader import TreeWalker, read_group_variables, read_groups, read_listing
from .csv_reader import read_csv
from .documents import DocumentError, Node
from .ini_reader import read_ini
from .limits import MAX_FILE_BYTES, MAX_LINE_CHARS, LimitError
from .model import Group, Host, Source, Value
from .problems import (
    ENCRYPTED_FILE,
    INVENTORY_SCRIPT,
    NO_REPLICAS,
    NOT_UTF8,
    SYNTAX_ERROR,
    TOO_DEEP,
    TOO_LARGE,
    UNKNOWN_FORMAT,
    UNREADABLE,
    Place,
    ProblemCollector,
)

FORMATS = ("csv", "yaml", "json", "ini")
_FORMATS_BY_SUFFIX = {"csv": "csv", "tsv": "csv", "yml": "yaml", "yaml": "yaml", "json": "json", "ini": "ini"}
VAULT_HEADER = b"$ANSIBLE_VAULT;"


@dataclass(frozen=True, slots=True)
class FileText:
    """A file as it was read: its bytes, or why there are none.

    `role` is source, group_vars or host_vars; `subject` the group or host that a file of variables is for;
    `root` the folder or file that brought it in.
    """

    path: str
    data: bytes | None
    error: str = ""
    role: str = "source"
    subject: str = ""
    script: bool = False


def read_source(
    file: FileText,
    file_format: str,
    names: Mapping[str, str],
    known: frozenset[str],
    problems: ProblemCollector,
) -> Source | None:
    """Read one file of hosts; what is wrong with it goes to `problems`.

    `form` is one of FORMS, or empty where the file's name and text are to tell. The source is None for what
    is passed over; one that could not be read to its end says so.
    """
    place = Place(file.path)
    if file.script:
        problems.add(
            INVENTORY_SCRIPT,
            place,
            "an inventory script is not run",
            "save what it prints as .json beside it",
        )
        return None
    text = decode_text(file, problems)
    if text is None:
        return Source(file.path, file_format, complete=False)
    file_format = file_format or detect_format(file.path, text)
    closed = not text or text.endswith("\n")
    source = Source(file.path, file_format, ends_with_newline=closed)
    try:
        if file_format == "csv":
            source = read_csv(text, file.path, names, known, problems)
        elif file_format == "ini":
            source = read_ini(text, file.path, problems)
        elif file_format in ("yaml", "json"):
            root = parse_document(text, file.path, file_format)
            (read_listing if is_listing(root, file_format) else read_groups)(root, source, problems)
        else:
            suggestion = "name it .csv, .yaml, .json or .ini, or set form"
            problems.add(UNKNOWN_FORMAT, place, "its form can't be told", suggestion)
            source.complete = False
    except DocumentError as error:
        problems.add(
            SYNTAX_ERROR, error.place, str(error), "mend it; until then no host of this file is changed"
        )
        source.complete = False
    except LimitError as error:
        problems.add(TOO_DEEP, place, str(error), "make it flatter, or split the inventory")
        source.complete = False
    if source.complete and not source.hosts:
        problems.add(
            NO_REPLICAS, place, "the file names no host", "put hosts in, or take it out of the sources"
        )
        source.complete = False  # emptied by a writer that is not done yet, as likely as on purpose
    return source


def decode_text(file: FileText, problems: ProblemCollector) -> str | None:
    """The text of a file; None, with the problem told, where there is none to be read."""
    place = Place(file.path)
    if file.data is None:
        problems.add(
            UNREADABLE, place, f"the file can't be read: {file.error}", "put it back, or mend its permissions"
        )
        return None
    if len(file.data) > MAX_FILE_BYTES:
        problems.add(
            TOO_LARGE,
            place,
            f"the file has {len(file.data)} bytes",
            f"keep files under {MAX_FILE_BYTES} bytes",
        )
        return None
    if file.data.startswith(VAULT_HEADER):
        problems.add(
            ENCRYPTED_FILE,
            place,
            "the file is under a vault key and not read",
            "keep what a gateway needs in the open",
        )
        return None
    try:
        text = file.data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        before = file.data[: error.start]
        line, column = before.count(b"\n") + 1, error.start - before.rfind(b"\n")
        problems.add(
            NOT_UTF8, Place(file.path, line, column), "this byte is not UTF-8", "save the file as UTF-8"
        )
        return None
    text = text.replace("\r\n", "\n")
    longest = max(map(len, text.split("\n")))
    if longest > MAX_LINE_CHARS:
        problems.add(
            TOO_LARGE, place, f"a line of {longest} characters", f"keep lines under {MAX_LINE_CHARS}"
        )
        return None
    if "\0" in text:
        line = text[: text.index("\0")].count("\n") + 1
        problems.add(
            SYNTAX_ERROR,
            Place(file.path, line),
            "a NUL character",
            "a writer that was cut off leaves them; save the file again",
        )
        return None
    return text


def parse_document(text: str, path: str, file_format: str) -> Node | None:
    """A document's tree. Raises DocumentError and LimitError."""
    return (documents.read_json if file_format == "json" else documents.read_yaml)(text, path)


def detect_format(path: str, text: str) -> str:
    """The form of a file by the ending of its name, or else by its text; empty where neither tells."""
    _, dot, ending = path.rpartition("/")[2].rpartition(".")
    if dot and ending.lower() in _FORMATS_BY_SUFFIX:
        return _FORMATS_BY_SUFFIX[ending.lower()]
    lines = [line.strip() for line in text[:65536].split("\n")]
    lines = [line for line in lines if line and line[0] not in "#;"]
    if not lines:
        return "ini"
    first = lines[0]
    if first.startswith("{"):
        return "json"
    if first.startswith("---") or re.fullmatch(r"['\"]?[\w.-]+['\"]?:(\s*#.*|\s*\{.*)?", first):
        return "yaml"
    if re.search(r"(^|[,;\t])\s*\"?name\"?\s*([,;\t]|$)", first, re.I) and "=" not in first:
        return "csv"
    return "" if first.startswith(("<", "#!")) else "ini"


def is_listing(root: Node | None, file_format: str) -> bool:
    """Whether a tree is what `ansible-inventory --list` prints, rather than groups with hosts as mappings."""
    if not isinstance(root, documents.Mapping):
        return False
    for key, node in root.items:
        if isinstance(key, documents.Scalar) and key.text == "_meta":
            return True
        if file_format != "json":
            continue  # in YAML, a list of hosts is a mistake that is met often
        if isinstance(node, documents.Sequence):
            return True
        if isinstance(node, documents.Mapping):
            for part, value in node.items:
                if isinstance(part, documents.Scalar) and isinstance(value, documents.Sequence):
                    return part.text in ("hosts", "children")
    return False


def read_variables(file: FileText, problems: ProblemCollector) -> tuple[dict[str, Value], Place | None]:
    """A file of group_vars or host_vars: its variables, and where it is spoilt, if it is."""
    text = decode_text(file, problems)
    place = Place(file.path)
    if text is None:
        sealed = file.data is not None and file.data.startswith(VAULT_HEADER)
        return {}, None if sealed else place
    holder = Group(file.subject, place)
    try:
        root = parse_document(text, file.path, "json" if file.path.endswith(".json") else "yaml")
        if root is not None:
            read_group_variables(holder, root, TreeWalker(problems))
    except DocumentError as error:
        problems.add(
            SYNTAX_ERROR, error.place, str(error), "mend it; until then the hosts concerned stay as they are"
        )
        return {}, error.place
    except LimitError as error:
        problems.add(TOO_DEEP, place, str(error), "make it flatter")
        return {}, place
    return holder.variables, holder.malformed_at


__all__ = ["FORMATS", "FileText", "Host", "decode_text", "read_source", "read_variables", "detect_format"]

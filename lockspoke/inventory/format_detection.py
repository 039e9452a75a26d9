"""Detects the format of a source from its file name and text."""

from __future__ import annotations

import re

from .document_tree import Mapping, Node, Scalar, Sequence

FORMATS = ("csv", "yaml", "json", "ini")
MAX_EXAMINED_CHARS = 65536

_FORMATS_BY_SUFFIX = {"csv": "csv", "tsv": "csv", "yml": "yaml", "yaml": "yaml", "json": "json", "ini": "ini"}
_YAML_KEY = re.compile(r"['\"]?[\w.-]+['\"]?:(\s*#.*|\s*\{.*)?")
_CSV_NAME_COLUMN = re.compile(r"(^|[,;\t])\s*\"?name\"?\s*([,;\t]|$)", re.IGNORECASE)


def detect_format(path: str, text: str) -> str:
    """Return the format of a file by its suffix, or else by its text; empty if it can't be detected."""
    _, dot, suffix = path.rpartition("/")[2].rpartition(".")
    if dot and suffix.lower() in _FORMATS_BY_SUFFIX:
        return _FORMATS_BY_SUFFIX[suffix.lower()]
    lines = (line.strip() for line in text[:MAX_EXAMINED_CHARS].split("\n"))
    first = next((line for line in lines if line and line[0] not in "#;"), None)
    if first is None:
        return "ini"
    if first.startswith("{"):
        return "json"
    if first.startswith("---") or _YAML_KEY.fullmatch(first):
        return "yaml"
    if _CSV_NAME_COLUMN.search(first) and "=" not in first:
        return "csv"
    return "" if first.startswith(("<", "#!")) else "ini"


def is_listing(root: Node | None, file_format: str) -> bool:
    """Return whether a document is the output of `ansible-inventory --list` rather than nested groups."""
    if not isinstance(root, Mapping):
        return False
    for key, node in root.items:
        if isinstance(key, Scalar) and key.text == "_meta":
            return True
        if file_format != "json":
            continue  # In YAML, a list of hosts is a common mistake and does not identify a listing.
        if isinstance(node, Sequence):
            return True
        if isinstance(node, Mapping):
            for part, value in node.items:
                if isinstance(part, Scalar) and isinstance(value, Sequence):
                    return part.text in ("hosts", "children")
    return False

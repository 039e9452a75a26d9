"""The content of a file of an inventory, and its decoding into text."""

from __future__ import annotations

from dataclasses import dataclass

from .limits import MAX_FILE_BYTES, MAX_LINE_CHARS
from .problems import (
    ENCRYPTED_FILE,
    NOT_UTF8,
    SYNTAX_ERROR,
    TOO_LARGE,
    UNREADABLE,
    Place,
    ProblemCode,
    ProblemCollector,
)

VAULT_HEADER = b"$ANSIBLE_VAULT;"


@dataclass(frozen=True, slots=True)
class FileContent:
    """The bytes of a file, or the error that kept it from being read.

    `role` is source, group_vars or host_vars. `subject` is the group or host that a file of variables belongs
    to, and `script` marks an executable inventory script.
    """

    path: str
    data: bytes | None
    error: str = ""
    role: str = "source"
    subject: str = ""
    script: bool = False

    @property
    def is_encrypted(self) -> bool:
        """Whether the file is encrypted with Ansible Vault."""
        return self.data is not None and self.data.startswith(VAULT_HEADER)


class _DecodeError(Exception):
    """The file can't be decoded; holds the problem to report."""

    def __init__(self, code: ProblemCode, place: Place, message: str, suggestion: str) -> None:
        super().__init__(message)
        self.code, self.place, self.suggestion = code, place, suggestion


def decode_text(file: FileContent, problems: ProblemCollector) -> str | None:
    """Return the text of a file with LF line endings; if it has none, report the problem and return None."""
    try:
        text = _decode_utf8(file).replace("\r\n", "\n")
        _check_text(file, text)
    except _DecodeError as error:
        problems.add(error.code, error.place, str(error), error.suggestion)
        return None
    return text


def _decode_utf8(file: FileContent) -> str:
    place = Place(file.path)
    if file.data is None:
        message = f"the file can't be read: {file.error}"
        raise _DecodeError(UNREADABLE, place, message, "put it back, or mend its permissions")
    if len(file.data) > MAX_FILE_BYTES:
        message = f"the file has {len(file.data)} bytes"
        raise _DecodeError(TOO_LARGE, place, message, f"keep files under {MAX_FILE_BYTES} bytes")
    if file.is_encrypted:
        message = "the file is under a vault key and not read"
        raise _DecodeError(ENCRYPTED_FILE, place, message, "keep what a gateway needs in the open")
    try:
        return file.data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        before = file.data[: error.start]
        place = Place(file.path, before.count(b"\n") + 1, error.start - before.rfind(b"\n"))
        raise _DecodeError(NOT_UTF8, place, "this byte is not UTF-8", "save the file as UTF-8") from None


def _check_text(file: FileContent, text: str) -> None:
    longest = max(map(len, text.split("\n")))
    if longest > MAX_LINE_CHARS:
        message = f"a line of {longest} characters"
        raise _DecodeError(TOO_LARGE, Place(file.path), message, f"keep lines under {MAX_LINE_CHARS}")
    if "\0" in text:
        place = Place(file.path, text[: text.index("\0")].count("\n") + 1)
        suggestion = "a writer that was cut off leaves them; save the file again"
        raise _DecodeError(SYNTAX_ERROR, place, "a NUL character", suggestion)

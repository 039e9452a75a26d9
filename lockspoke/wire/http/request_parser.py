"""The parser of HTTP/1.1 requests."""

from __future__ import annotations

import re

from .messages import Headers, HttpError, MessagePart, RequestHead
from .parser import BODY_LIMIT_BYTES, TOKEN_PATTERN, BodyFraming, MessageParser, allows_keep_alive
from .request_rules import check_request_fields, check_trailer_field

# What may be in a target, with some characters that clients often leave unescaped. No fragment is allowed.
_TARGET_PATTERN = re.compile(rb"/(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?\[\]{}|^`]|%[0-9A-Fa-f]{2})*")
_VERSION_PATTERN = re.compile(rb"HTTP/[0-9]\.[0-9]")
_TOKEN = TOKEN_PATTERN.pattern
_CHUNK_LINE_PATTERN = re.compile(
    rb"([0-9A-Fa-f]{1,12})"
    rb"(?:[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|\"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*\"))?)*"
    % (_TOKEN, _TOKEN)
)
MAX_METHOD_LENGTH = 32
# The beginning of a request line, or of an empty line before it.
_LINE_START_PATTERN = re.compile(rb"\r|(?:%b)(?: .*)?" % _TOKEN, re.DOTALL)


class RequestParser(MessageParser):
    """Parses the requests of a connection, one after another."""

    chunk_line_pattern = _CHUNK_LINE_PATTERN

    def __init__(self, body_limit: int | None = BODY_LIMIT_BYTES) -> None:
        super().__init__(body_limit)

    def _check_incomplete_head(self, buffer: bytearray) -> None:
        # Garbage is detected without waiting for the end of a head, which might never come.
        start = bytes(buffer[: MAX_METHOD_LENGTH + 1])
        if start and (
            not _LINE_START_PATTERN.fullmatch(start) or len(start.split(b" ")[0]) > MAX_METHOD_LENGTH
        ):
            raise HttpError(400, "bad request line")

    def _check_trailer(self, name: str) -> None:
        check_trailer_field(name)

    def _start_message(self, start_line: bytes, headers: Headers, parts: list[MessagePart]) -> None:
        method, target, minor_version = _parse_request_line(start_line)
        if headers.count("host") != 1 and (minor_version or "host" in headers):
            raise HttpError(400, "want one Host")
        if not minor_version and "transfer-encoding" in headers:
            raise HttpError(400, "chunks in HTTP/1.0")
        framing = self._declared_framing(headers)
        check_request_fields(headers)
        keep_alive = allows_keep_alive(minor_version, headers)
        parts.append(RequestHead(method, target, minor_version, headers, keep_alive))
        self._start_body(framing or BodyFraming(), parts)


def _parse_request_line(line: bytes) -> tuple[str, str, int]:
    """Return the method, the target and the minor version."""
    words = line.split(b" ")
    if len(words) != 3 or not TOKEN_PATTERN.fullmatch(words[0]) or not _TARGET_PATTERN.fullmatch(words[1]):
        raise HttpError(400, "bad request line")
    method, target, version = words
    if not _VERSION_PATTERN.fullmatch(version):
        raise HttpError(400, "bad version")
    if not version.startswith(b"HTTP/1."):
        raise HttpError(505, "unknown version")
    minor_version = int(version != b"HTTP/1.0")
    return method.decode("ascii"), target.decode("ascii"), minor_version

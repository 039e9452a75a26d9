"""Encodes requests, responses and chunks."""

from __future__ import annotations

from collections.abc import Mapping

REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    201: "Created",
    206: "Partial Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    416: "Range Not Satisfiable",
    417: "Expectation Failed",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


def encode_request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return a request whose body has a Content-Length."""
    if body or method != "GET":
        headers = {**headers, "Content-Length": str(len(body))}
    return encode_request_head(method, target, b"", headers) + body


def encode_request_head(method: str, target: str, encoded_fields: bytes, headers: Mapping[str, str]) -> bytes:
    """Return the head of a request, with fields that `encode_fields` has returned and further ones."""
    request_line = f"{method} {target} HTTP/1.1\r\n".encode("latin-1")
    return b"%b%b%b\r\n" % (request_line, encoded_fields, encode_fields(headers))


def encode_fields(headers: Mapping[str, str]) -> bytes:
    """Return header fields, each with its line end."""
    return _encode_fields(headers).encode("latin-1")


def encode_head(status: int, headers: Mapping[str, str]) -> bytes:
    """Return the head of a response."""
    reason = REASON_PHRASES.get(status, "Status")
    return f"HTTP/1.1 {status} {reason}\r\n{_encode_fields(headers)}\r\n".encode("latin-1")


def encode_response(
    status: int, body: bytes, headers: Mapping[str, str], keep_alive: bool, method: str = "GET"
) -> bytes:
    """Return a complete response to a request with the given method."""
    fields = {**headers, "Content-Length": str(len(body))}
    if not keep_alive:
        fields["Connection"] = "close"
    # A client that sent HEAD would parse a body as the next response.
    return encode_head(status, fields) + (b"" if method == "HEAD" else body)


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode_fields(headers: Mapping[str, str]) -> str:
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items())

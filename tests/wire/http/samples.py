"""Messages shared by the tests of the parsers."""

from __future__ import annotations

from lockspoke.wire.http.messages import BodyChunk, MessageEnd, MessagePart

HOST = b"Host: a\r\n"
POST = b"POST /v1/x?y=1 HTTP/1.1\r\n" + HOST
SIZED = POST + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nEnd: 1\r\n\r\n"
GET = b"GET /up HTTP/1.1\r\n" + HOST + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\nno"


def join_chunks(parts: list[MessagePart]) -> list[object]:
    """Return the parts with adjacent body chunks joined: where they are split depends on the reads."""
    joined: list[object] = []
    for part in parts:
        if isinstance(part, BodyChunk):
            if joined and isinstance(joined[-1], bytes):
                joined[-1] += part.data
            else:
                joined.append(part.data)
        elif isinstance(part, MessageEnd):
            joined.append("end")
        else:
            joined.append((part.headers.fields, getattr(part, "target", None), getattr(part, "status", None)))
    return joined

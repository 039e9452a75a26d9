"""Requests that a client is owed an error for, and requests of every allowed form, as raw bytes."""

from __future__ import annotations

JSON_BODY = b'{"model":"docs","messages":[{"role":"user","content":"a \\"}{ b"}]}'
REQUEST_LINE = b"POST /v1/chat/completions?a=b HTTP/1.1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def raw_request(
    *,
    line: bytes = REQUEST_LINE,
    host: bytes = b"Host: origin.svc\r\n",
    request_id: bytes = b"Req-Id: 00000000000000aa\r\n",
    kind: bytes = b"Req-Kind: docs\r\n",
    deadline: bytes = b"Req-Deadline-Ms: 4000\r\n",
    more: bytes = b"",
    framing: bytes | None = None,
    body: bytes = JSON_BODY,
) -> bytes:
    """Return a request; each argument replaces a part of it."""
    if framing is None:
        framing = b"Content-Length: %d\r\n" % len(body)
    return line + host + request_id + kind + deadline + more + framing + b"\r\n" + body


def chunked_body(extension: bytes = b"", tail: bytes = b"0\r\n\r\n", size: bytes | None = None) -> bytes:
    """Return the body in one chunk."""
    return (size or b"%x" % len(JSON_BODY)) + extension + b"\r\n" + JSON_BODY + b"\r\n" + tail


def _chunked(extension: bytes = b"", tail: bytes = b"0\r\n\r\n", size: bytes | None = None) -> bytes:
    return raw_request(framing=CHUNKED, body=chunked_body(extension, tail, size))


def _with_length(length: int) -> bytes:
    return raw_request(framing=b"Content-Length: %d\r\n" % length)


def _with_target(target: bytes) -> bytes:
    return raw_request(line=b"POST " + target + b" HTTP/1.1\r\n")


UNSOUND: dict[str, bytes] = {
    # The length of the body is missing or wrong.
    "no length": raw_request(framing=b""),
    "no length and no body": raw_request(framing=b"", body=b""),
    "empty body": raw_request(body=b""),
    "length 0 before a body": _with_length(0),
    "length too small": _with_length(5),
    "length too small by one": _with_length(len(JSON_BODY) - 1),
    "length too small by two": _with_length(len(JSON_BODY) - 2),
    "length that takes in the next request": raw_request(
        framing=b"Content-Length: %d\r\n" % (len(JSON_BODY) + len(raw_request())),
        body=JSON_BODY + raw_request(),
    ),
    "length too small for a body that is not JSON": raw_request(
        framing=b"Content-Length: 9\r\n", body=b'not "json" at all'
    ),
    "length signed": raw_request(framing=b"Content-Length: +66\r\n"),
    "length negative": raw_request(framing=b"Content-Length: -1\r\n"),
    "length listed twice": raw_request(framing=b"Content-Length: 66, 66\r\n"),
    "length beside chunks": raw_request(framing=CHUNKED + b"Content-Length: 66\r\n", body=chunked_body()),
    "coding unknown": raw_request(framing=b"Transfer-Encoding: identity\r\n"),
    "coding twice": raw_request(framing=CHUNKED + CHUNKED, body=chunked_body()),
    # The chunks are malformed.
    "chunk size with a prefix": _chunked(size=b"0x42"),
    "chunk size with a space": _chunked(extension=b" "),
    "chunk size too small": _chunked(size=b"1"),
    "chunk extension without a name": _chunked(extension=b";;;="),
    "chunk extension with an open quote": _chunked(extension=b';a="b'),
    "trailer with a length": _chunked(tail=b"0\r\nContent-Length: 5\r\n\r\n"),
    "trailer with a coding": _chunked(tail=b"0\r\nTransfer-Encoding: chunked\r\n\r\n"),
    "trailer with a host": _chunked(tail=b"0\r\nHost: b\r\n\r\n"),
    "trailer with an id": _chunked(tail=b"0\r\nReq-Id: b\r\n\r\n"),
    "trailer folded": _chunked(tail=b"0\r\nX: a\r\n b\r\n\r\n"),
    # The request line, the host and other fields are malformed.
    "target with a fragment": _with_target(b"/v1/chat/completions?a#b"),
    "target with a bad escape": _with_target(b"/v1/chat/completions?a=%zz"),
    "target with a quote": _with_target(b'/v1/chat/completions?a="b"'),
    "target with a backslash": _with_target(b"/v1/chat/completions?a=\\b"),
    "host missing": raw_request(host=b""),
    "host with a space": raw_request(host=b"Host: a b\r\n"),
    "host with a path": raw_request(host=b"Host: a/b\r\n"),
    "host listed twice": raw_request(host=b"Host: a, b\r\n"),
    "host with a user": raw_request(host=b"Host: u@a\r\n"),
    "host with a bad port": raw_request(host=b"Host: a:x\r\n"),
    "host that is not ASCII": raw_request(host=b"Host: \xff\r\n"),
    "expectation unknown": raw_request(more=b"Expect: 200-ok\r\n"),
    "connection option malformed": raw_request(more=b"Connection: a b;;\r\n"),
    "connection option that removes the class": raw_request(more=b"Connection: Req-Kind\r\n"),
    "connection option that removes the length": raw_request(more=b"Connection: Content-Length\r\n"),
    "content type twice": raw_request(more=b"Content-Type: a/b\r\nContent-Type: c/d\r\n"),
    # What the platform's fields say cannot be understood.
    "id missing": raw_request(request_id=b""),
    "id with a space": raw_request(request_id=b"Req-Id: a b\r\n"),
    "id listed twice": raw_request(request_id=b"Req-Id: a,b\r\n"),
    "id that is not ASCII": raw_request(request_id=b"Req-Id: \xe9\r\n"),
    "class unknown": raw_request(kind=b"Req-Kind: odd\r\n"),
    "deadline missing": raw_request(deadline=b""),
    "deadline that is no number": raw_request(deadline=b"Req-Deadline-Ms: soon\r\n"),
    "tokens with an underscore": raw_request(more=b"Req-Extra: prompt_len=1_0\r\n"),
    "tokens given twice": raw_request(more=b"Req-Extra: prompt_len=1,prompt_len=2\r\n"),
    "extra without a value": raw_request(more=b"Req-Extra: prompt_len\r\n"),
    "cost that is no number": raw_request(more=b"Req-Cost: x\r\n"),
}

SOUND: dict[str, bytes] = {
    "plain": raw_request(),
    "length with zeros": raw_request(framing=b"Content-Length: 00%d\r\n" % len(JSON_BODY)),
    "chunks": _chunked(),
    "chunks in other case": raw_request(framing=b"transfer-encoding: Chunked\r\n", body=chunked_body()),
    "chunk size with zeros": _chunked(size=b"000%x" % len(JSON_BODY)),
    "chunk extensions": _chunked(extension=b'; a ; b=c;d="e \\" f"'),
    "trailer": _chunked(tail=b"000\r\nX-Digest: a\r\n\r\n"),
    "HTTP/1.0": raw_request(line=REQUEST_LINE.replace(b"1.1", b"1.0")),
    "HTTP/1.0 without a host": raw_request(line=REQUEST_LINE.replace(b"1.1", b"1.0"), host=b""),
    "empty lines before it": b"\r\n\r\n" + raw_request(),
    "host with a port": raw_request(host=b"Host: origin.svc:5000\r\n"),
    "host that is an address": raw_request(host=b"Host: [::1]:80\r\n"),
    "host that is empty": raw_request(host=b"Host:\r\n"),
    "query with escapes": _with_target(b"/v1/chat/completions?a=%20b&c[]={d}|e"),
    "connection options": raw_request(more=b"Connection: keep-alive, X-Custom\r\nX-Custom: a\r\n"),
    "upgrade": raw_request(more=b"Connection: upgrade\r\nUpgrade: h2c\r\n"),
    "expectation": raw_request(more=b"Expect: 100-continue\r\n"),
    "value that is not ASCII": raw_request(more=b"X-Name: caf\xe9\r\n"),
    "field twice": raw_request(more=b"X-Name: a\r\nX-Name: b\r\n"),
    "many fields": raw_request(more=b"".join(b"%x:\r\n" % number for number in range(1100))),
    "extra fields": raw_request(
        more=b"Req-Extra: prefix=5c0f,prompt_len=51.5,prefix_len=1e2,max_out=8,x=y\r\n"
    ),
    "retry and cost": raw_request(more=b"Req-Retry: again\r\nReq-Cost: 120.5\r\n"),
    "white space around the body": raw_request(body=b"\r\n " + JSON_BODY + b"\n"),
    "deeply nested body": raw_request(body=b'{"a":' + b"[" * 50 + b"]" * 50 + b"}"),
    "largest body": raw_request(body=b'{"a":"%s"}' % (b"x" * (256 * 1024 - 8))),
    # A replica judges whether it can use a body.
    "body that is not JSON": raw_request(body=b"plain text"),
}

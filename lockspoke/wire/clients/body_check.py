"""Checks that the length of a request's body fits what the body holds.

A replica judges the content of a body. But a JSON object that was cut short, or that has something behind it,
shows that the length in the request's head is wrong.
"""

from __future__ import annotations

import json
import re

from lockspoke.wire.http.messages import HttpError, Request

_WHITE_SPACE = b" \t\r\n"
# Larger bodies, and those with more values, are checked without building what they describe: that may take
# thirty times their size.
MAX_DECODED_BYTES = 32 * 1024
MAX_DECODED_VALUES = 16 * 1024
# Limits the time for bodies of brackets or quotes alone. Past them, a body is left to the replica.
MAX_STRINGS = 32 * 1024
MAX_BRACKETS_SCANNED = 512 * 1024
# An unterminated string ends with the body.
_STRING_PATTERN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)', re.DOTALL)
_OTHER_THAN_BRACKETS = bytes(set(range(256)) - set(b"{}[]"))


class LengthError(HttpError):
    """The length of a body is missing or wrong, so it is unknown where the next request begins."""


def check_body(request: Request) -> None:
    """Check the body of a request for a completion.

    Raises:
        LengthError: It is empty, its length is not declared, or its length is wrong.
    """
    if not request.head.declares_length:
        raise LengthError(411, "the length of the body is missing")
    body = request.body.strip(_WHITE_SPACE)
    if not body:
        raise LengthError(400, "the body is empty")
    if body.startswith(b"{"):
        if not is_one_json_object(body):
            raise LengthError(400, "the body is not one whole JSON object")
    elif request.followed_by_error:
        raise LengthError(400, "what follows the body is no request")


def is_one_json_object(body: bytes) -> bool:
    """Return whether a body that begins with a brace is a single object, complete as far as can be told."""
    if not body.endswith(b"}"):
        return False
    if _is_cheap_to_decode(body):
        try:
            json.loads(body)
        except (ValueError, RecursionError):
            pass
        else:
            return True
    return _has_matching_brackets(body)


def _is_cheap_to_decode(body: bytes) -> bool:
    return len(body) <= MAX_DECODED_BYTES or sum(map(body.count, (b",", b"[", b"{"))) <= MAX_DECODED_VALUES


def _has_matching_brackets(body: bytes) -> bool:
    """Return whether the brackets outside of strings form one group; true if that takes too long to tell."""
    if body.count(b'"') > MAX_STRINGS:
        return True
    outside_strings = _STRING_PATTERN.sub(b"", body)
    if not outside_strings.endswith(b"}"):
        return False
    inner = outside_strings.translate(None, _OTHER_THAN_BRACKETS)[1:-1]
    scanned = 0
    while inner and scanned <= MAX_BRACKETS_SCANNED:
        scanned += len(inner)
        # Each pass removes the innermost brackets.
        remaining = inner.replace(b"{}", b"").replace(b"[]", b"")
        if remaining == inner:
            return False
        inner = remaining
    return True

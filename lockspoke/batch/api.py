"""The batch API as it is spoken: objects, errors, lines and ranges. It knows no socket and keeps nothing.

It follows the public Files, Uploads and Batch API of OpenAI. Beyond that, a line may carry `deadline_ms`,
counted from the batch's creation, after which nobody wants its answer any more.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from lockspoke.batch.store import Batch, File, LineStatus, Upload
from lockspoke.wire.http.sse import LINE_LIMIT

ENDPOINT = "/v1/chat/completions"
LONGEST_ID = 512
ANSWER_LIMIT = 1024 * 1024  # of one assembled answer
_WINDOW = re.compile(r"([1-9][0-9]{0,4})([smhd])")
_UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}
_RANGE = re.compile(r"bytes=([0-9]{0,18})-([0-9]{0,18})")


class ApiError(Exception):
    """A request that is answered with an error object."""

    def __init__(self, status: int, message: str, param: str | None = None, code: str | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.param = param
        self.code = code

    def body(self) -> dict[str, Any]:
        """The error object."""
        kind = "server_error" if self.status >= 500 else "invalid_request_error"
        return {"error": {"message": str(self), "type": kind, "param": self.param, "code": self.code}}


class LineError(ValueError):
    """A line that is no request; `code` and `param` are what the batch's errors say of it."""

    def __init__(self, code: str, message: str, param: str | None = None) -> None:
        super().__init__(message)
        self.code = code
        self.param = param


# Lines


@dataclass(frozen=True, slots=True)
class Line:
    """One line of an input file."""

    custom_id: str
    body: dict[str, Any]
    deadline_ms: int | None


def decode_line(raw: bytes, endpoint: str, limit: int) -> Line:
    """Read a line of an input file."""
    if len(raw) > limit:
        raise LineError("line_too_large", f"The line is larger than {limit} bytes.")
    try:
        line = json.loads(raw)
    except (ValueError, RecursionError):
        raise LineError("invalid_json_line", "This line is not parseable as valid JSON.") from None
    if not isinstance(line, dict):
        raise LineError("invalid_json_line", "This line is not a JSON object.")
    custom_id, body, deadline = line.get("custom_id"), line.get("body"), line.get("deadline_ms")
    if not isinstance(custom_id, str) or not 0 < len(custom_id) <= LONGEST_ID:
        raise LineError("missing_required_parameter", "Missing required parameter: 'custom_id'.", "custom_id")
    if line.get("method") != "POST":
        raise LineError("invalid_method", "Invalid method: want 'POST'.", "method")
    if line.get("url") != endpoint:
        raise LineError("invalid_url", f"The URL must match the batch's endpoint, {endpoint!r}.", "url")
    if not isinstance(body, dict):
        raise LineError("missing_required_parameter", "Missing required parameter: 'body'.", "body")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages or not all(isinstance(m, dict) for m in messages):
        raise LineError(
            "missing_required_parameter", "Missing required parameter: 'messages'.", "body.messages"
        )
    if deadline is not None and (
        isinstance(deadline, bool) or not isinstance(deadline, int) or deadline <= 0
    ):
        raise LineError("invalid_value", "'deadline_ms' must be a whole number above 0.", "deadline_ms")
    return Line(custom_id, body, deadline)


def line_error(error: LineError, number: int | None) -> dict[str, Any]:
    """What a batch's errors say of a line."""
    return {"code": error.code, "message": str(error), "param": error.param, "line": number}


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a body says of the work that it asks for."""

    tokens: float
    prefix: str  # the text that conversations share, their first message
    prefix_tokens: float
    max_tokens: float


def measure(body: dict[str, Any]) -> Prompt:
    """Sizes as the platform counts them: four characters make one token."""
    texts = [json.dumps(message.get("content", ""), ensure_ascii=False) for message in body["messages"]]
    shared = texts[0] if len(texts) > 1 else ""
    most = body.get("max_completion_tokens", body.get("max_tokens", 0))
    most = float(most) if isinstance(most, int | float) and 0 <= most <= 1e9 else 0.0
    return Prompt(sum(map(len, texts)) / 4, shared, len(shared) / 4, most)


class AnswerCollector:
    """Puts the events of a worker's stream together to the answer that a client without streams gets."""

    def __init__(self, model: str, created: int) -> None:
        self.model = model
        self.created = created
        self._rest = b""
        self._texts: dict[int, list[str]] = {}
        self._reasons: dict[int, str] = {}
        self._usage: dict[str, Any] | None = None
        self._id = ""
        self._size = 0
        self._done = self._bad = False

    def feed(self, data: bytes) -> None:
        """Take a piece of the stream, cut anywhere."""
        self._size += len(data)
        *lines, rest = (self._rest + data).split(b"\n")
        self._bad = self._bad or self._size > ANSWER_LIMIT or len(rest) > LINE_LIMIT
        self._rest = b"" if self._bad else rest
        for line in lines:
            line = line.rstrip(b"\r")
            if line.startswith(b"data:") and not self._bad:
                self._event(line[5:].strip())

    def _event(self, text: bytes) -> None:
        if text == b"[DONE]":
            self._done = True
            return
        try:
            event = json.loads(text)
            if "error" in event:
                raise ValueError("the worker reports an error")
            self._id = self._id or str(event.get("id") or "")
            for choice in event.get("choices", ()):
                index = int(choice.get("index", 0))
                content = (choice.get("delta") or {}).get("content")
                if isinstance(content, str):
                    self._texts.setdefault(index, []).append(content)
                if choice.get("finish_reason"):
                    self._reasons[index] = str(choice["finish_reason"])
            if isinstance(event.get("usage"), dict):
                self._usage = event["usage"]
        except (ValueError, TypeError, AttributeError, RecursionError):
            self._bad = True  # an event that cannot be read may have held a part of the answer

    def body(self) -> dict[str, Any] | None:
        """The answer, or None where the stream did not hold a whole one."""
        indices = sorted(self._texts.keys() | self._reasons.keys())
        if self._bad or not self._done or not indices:
            return None
        choices = [
            {
                "index": index,
                "message": {"role": "assistant", "content": "".join(self._texts.get(index, ()))},
                "finish_reason": self._reasons.get(index, "stop"),
            }
            for index in indices
        ]
        return {
            "id": self._id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": choices,
            "usage": self._usage,
        }


ENDS = {
    LineStatus.FAILED: ("upstream_failed", "The request was tried and failed; it may have run."),
    LineStatus.CANCELLED: ("batch_cancelled", "This request was not executed: the batch was cancelled."),
    LineStatus.EXPIRED: ("batch_expired", "This request could not be executed before its deadline."),
}


def result_line(
    name: str, custom_id: str, end: LineStatus, request_id: str, body: dict[str, Any] | None
) -> dict[str, Any]:
    """What a result file says of a line."""
    line: dict[str, Any] = {"id": name, "custom_id": custom_id, "response": None, "error": None}
    if end is LineStatus.SERVED:
        line["response"] = {"status_code": 200, "request_id": request_id, "body": body}
    else:
        code, message = ENDS[end]
        line["error"] = {"code": code, "message": message}
    return line


# Objects


def file_object(file: File) -> dict[str, Any]:
    """A file as clients see it."""
    return {
        "id": file.id,
        "object": "file",
        "bytes": file.bytes,
        "created_at": file.created_at,
        "filename": file.filename,
        "purpose": file.purpose,
        "status": "processed",
    }


def upload_object(upload: Upload, file: File | None) -> dict[str, Any]:
    """An upload as clients see it."""
    return {
        "id": upload.id,
        "object": "upload",
        "bytes": upload.bytes,
        "created_at": upload.created_at,
        "filename": upload.filename,
        "purpose": upload.purpose,
        "status": upload.status,
        "expires_at": upload.expires_at,
        "file": None if file is None else file_object(file),
    }


def part_object(upload: Upload, part_id: str) -> dict[str, Any]:
    """A part as clients see it."""
    return {
        "id": part_id,
        "object": "upload.part",
        "created_at": upload.created_at,
        "upload_id": upload.id,
    }


def batch_object(batch: Batch) -> dict[str, Any]:
    """A batch as clients see it."""
    stamps = {f"{name}_at": batch.stamps.get(name) for name in _STAMPED}
    served = batch.counts.get(LineStatus.SERVED, 0)
    return {
        "id": batch.id,
        "object": "batch",
        "endpoint": batch.endpoint,
        "errors": {"object": "list", "data": batch.errors} if batch.errors else None,
        "input_file_id": batch.input_file_id,
        "completion_window": batch.completion_window,
        "status": batch.status,
        "output_file_id": batch.output_file_id or None,
        "error_file_id": batch.error_file_id or None,
        "created_at": batch.created_at,
        "expires_at": batch.expires_at,
        **stamps,
        "request_counts": {
            "total": batch.total,
            "completed": served,
            "failed": sum(batch.counts.values()) - served,
        },
        "metadata": batch.metadata or None,
    }


_STAMPED = ("in_progress", "finalizing", "completed", "failed", "expired", "cancelling", "cancelled")


def list_object(rows: list[dict[str, Any]], more: bool) -> dict[str, Any]:
    """One page of a listing."""
    return {
        "object": "list",
        "data": rows,
        "first_id": rows[0]["id"] if rows else None,
        "last_id": rows[-1]["id"] if rows else None,
        "has_more": more,
    }


# Requests


def decode_json(body: bytes) -> dict[str, Any]:
    """The object that a request's body holds."""
    try:
        raw = json.loads(body or b"{}")
    except (ValueError, RecursionError):
        raise ApiError(400, "We could not parse the JSON body of your request.") from None
    if not isinstance(raw, dict):
        raise ApiError(400, "The body of your request is not a JSON object.")
    return raw


def text_member(raw: dict[str, Any], name: str, longest: int = LONGEST_ID) -> str:
    """A member that has to be there, as text."""
    value = raw.get(name)
    if not isinstance(value, str) or not value:
        raise ApiError(400, f"Missing required parameter: '{name}'.", name, "missing_required_parameter")
    if len(value) > longest:
        raise ApiError(400, f"'{name}' is too long.", name, "string_above_max_length")
    return value


def size_member(raw: dict[str, Any], name: str) -> int:
    """A member that has to be there, as a size in bytes."""
    value = raw.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise ApiError(400, f"'{name}' must be a whole number above 0.", name, "invalid_value")
    return value


def metadata_member(raw: dict[str, Any]) -> dict[str, str]:
    """Up to 16 pairs of texts."""
    pairs = raw.get("metadata") or {}
    good = isinstance(pairs, dict) and len(pairs) <= 16
    if not good or not all(isinstance(v, str) and len(k) <= 64 and len(v) <= 512 for k, v in pairs.items()):
        raise ApiError(400, "'metadata' must be up to 16 pairs of texts.", "metadata", "invalid_value")
    return dict(pairs)


def window_seconds(window: str) -> int:
    """A completion window such as `24h`."""
    match = _WINDOW.fullmatch(window)
    if not match or int(match[1]) * _UNITS[match[2]] > 7 * 86400:
        raise ApiError(
            400,
            "'completion_window' must be like '24h', at most 7 days.",
            "completion_window",
            "invalid_value",
        )
    return int(match[1]) * _UNITS[match[2]]


def page_limit(text: str, default: int, most: int) -> int:
    """How many rows a page of a listing holds."""
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and 1 <= int(text[:9]) <= most):
        raise ApiError(400, f"'limit' must be from 1 to {most}.", "limit", "invalid_value")
    return int(text)


def decode_range(text: str, size: int) -> tuple[int, int] | None:
    """First and past-the-last byte of a range; None to send all. A range past the end is a 416."""
    match = _RANGE.fullmatch(text.replace(" ", ""))
    if not match or match[1] == match[2] == "":
        return None  # several ranges, other units, nonsense: a server may ignore the field
    if match[1] == "":
        start, end = max(0, size - int(match[2])), size
    else:
        start, end = int(match[1]), min(size, int(match[2]) + 1) if match[2] else size
        if match[2] and int(match[2]) < start:
            return None
    if start >= size or start >= end:
        raise ApiError(416, "The range lies past the end of the file.", "range", "range_not_satisfiable")
    return start, end

"""Results of lines, as the output and error files of a batch contain them."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .json_text import encode_json
from .records import LineStatus


class ErrorCode(StrEnum):
    """Why a line was not served; the values are used by the API."""

    UPSTREAM_FAILED = "upstream_failed"  # Its attempts failed, and it may not be attempted again.
    BATCH_CANCELLED = "batch_cancelled"
    BATCH_EXPIRED = "batch_expired"
    INPUT_LOST = "input_lost"  # Its line of the input file cannot be read any more.
    INTERNAL_ERROR = "internal_error"  # A fault of this program.


@dataclass(frozen=True, slots=True)
class LineEnd:
    """How a line ends."""

    status: LineStatus
    body: dict[str, Any] = field(default_factory=dict)  # The response if it was served.
    error: ErrorCode | None = None  # None if it was served.


FAILED = LineEnd(LineStatus.FAILED, error=ErrorCode.UPSTREAM_FAILED)
CANCELLED = LineEnd(LineStatus.CANCELLED, error=ErrorCode.BATCH_CANCELLED)
EXPIRED = LineEnd(LineStatus.EXPIRED, error=ErrorCode.BATCH_EXPIRED)
INPUT_LOST = LineEnd(LineStatus.FAILED, error=ErrorCode.INPUT_LOST)
INTERNAL_ERROR = LineEnd(LineStatus.FAILED, error=ErrorCode.INTERNAL_ERROR)

_MESSAGES_IF_NOT_RUN = {
    # An attempt that is known not to have run does not make a line fail.
    ErrorCode.UPSTREAM_FAILED: "The request was tried and failed; it may have run.",
    ErrorCode.BATCH_CANCELLED: "This request was not executed: the batch was cancelled.",
    ErrorCode.BATCH_EXPIRED: "This request could not be executed before its deadline.",
    ErrorCode.INPUT_LOST: "This request was not executed: its line of the input file cannot be read.",
    ErrorCode.INTERNAL_ERROR: "This request was not executed because of an internal error.",
}
_MESSAGES_IF_MAY_HAVE_RUN = {
    ErrorCode.UPSTREAM_FAILED: "The request was tried and failed; it may have run.",
    ErrorCode.BATCH_CANCELLED: "The batch was cancelled before this request was answered; it may have run.",
    ErrorCode.BATCH_EXPIRED: "This request was not answered before its deadline; it may have run.",
    ErrorCode.INPUT_LOST: "This request may have run; its line of the input file cannot be read any more.",
    ErrorCode.INTERNAL_ERROR: "This request may have run; an internal error prevents its answer.",
}


def new_result(custom_id: str, end: LineEnd, may_have_run: bool = False) -> dict[str, Any]:
    """The result of a line, with newly generated IDs.

    Args:
        custom_id: The line's own ID.
        end: How the line ended.
        may_have_run: Whether a replica may have run a line that was not served.
    """
    result: dict[str, Any] = {
        "id": f"batch_req_{secrets.token_hex(12)}",
        "custom_id": custom_id,
        "response": None,
        "error": None,
    }
    request_id = f"req_{secrets.token_hex(12)}"
    if end.error is None:
        result["response"] = {"status_code": 200, "request_id": request_id, "body": end.body}
    else:
        messages = _MESSAGES_IF_MAY_HAVE_RUN if may_have_run else _MESSAGES_IF_NOT_RUN
        result["error"] = {"code": end.error.value, "message": messages[end.error]}
    return result


def encode_result(result: dict[str, Any]) -> bytes:
    """Encode a result as a line of a result file."""
    return encode_json(result) + b"\n"

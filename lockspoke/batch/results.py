"""Results of lines, as the output and error files of a batch contain them."""

from __future__ import annotations

import secrets
from typing import Any

from .json_text import encode_json
from .records import LineStatus

# Error codes and messages of lines that were not served.
_LINE_ERRORS = {
    LineStatus.FAILED: ("upstream_failed", "The request was tried and failed; it may have run."),
    LineStatus.CANCELLED: ("batch_cancelled", "This request was not executed: the batch was cancelled."),
    LineStatus.EXPIRED: ("batch_expired", "This request could not be executed before its deadline."),
}


def new_result(custom_id: str, status: LineStatus, body: dict[str, Any]) -> dict[str, Any]:
    """The result of a line, with newly generated IDs; `body` is the response if the line was served."""
    result: dict[str, Any] = {
        "id": f"batch_req_{secrets.token_hex(12)}",
        "custom_id": custom_id,
        "response": None,
        "error": None,
    }
    request_id = f"req_{secrets.token_hex(12)}"
    if status is LineStatus.SERVED:
        result["response"] = {"status_code": 200, "request_id": request_id, "body": body}
    else:
        code, message = _LINE_ERRORS[status]
        result["error"] = {"code": code, "message": message}
    return result


def encode_result(result: dict[str, Any]) -> bytes:
    """Encode a result as a line of a result file."""
    return encode_json(result) + b"\n"

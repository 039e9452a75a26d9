"""Results of lines, as the output and error files of a batch contain them."""

from __future__ import annotations

import secrets
from typing import Any

from .json_text import encode_json
from .records import LineStatus

_ERROR_CODES = {
    LineStatus.FAILED: "upstream_failed",
    LineStatus.CANCELLED: "batch_cancelled",
    LineStatus.EXPIRED: "batch_expired",
}
_MESSAGES_IF_NOT_RUN = {
    LineStatus.CANCELLED: "This request was not executed: the batch was cancelled.",
    LineStatus.EXPIRED: "This request could not be executed before its deadline.",
}
_MESSAGES_IF_MAY_HAVE_RUN = {
    LineStatus.FAILED: "The request was tried and failed; it may have run.",
    LineStatus.CANCELLED: "The batch was cancelled before this request was answered; it may have run.",
    LineStatus.EXPIRED: "This request was not answered before its deadline; it may have run.",
}


def new_result(
    custom_id: str, status: LineStatus, body: dict[str, Any], may_have_run: bool = False
) -> dict[str, Any]:
    """The result of a line, with newly generated IDs.

    Args:
        custom_id: The line's own ID.
        status: How the line ended.
        body: The response if the line was served.
        may_have_run: Whether a replica may have run a line that was not served; a failed one always may have.
    """
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
        failed = status is LineStatus.FAILED
        messages = _MESSAGES_IF_MAY_HAVE_RUN if failed or may_have_run else _MESSAGES_IF_NOT_RUN
        result["error"] = {"code": _ERROR_CODES[status], "message": messages[status]}
    return result


def encode_result(result: dict[str, Any]) -> bytes:
    """Encode a result as a line of a result file."""
    return encode_json(result) + b"\n"

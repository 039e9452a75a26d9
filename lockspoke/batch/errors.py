"""Error responses of the batch API."""

from __future__ import annotations

from typing import Any


class ApiError(Exception):
    """An error that a request is answered with, as an error object."""

    def __init__(self, status: int, message: str, param: str | None = None, code: str | None = None) -> None:
        """Describe the error.

        Args:
            status: The HTTP status.
            message: A description for people.
            param: The JSON member, field, parameter or header that caused the error, if any.
            code: An identifier of the error for programs.
        """
        super().__init__(message)
        self.status = status
        self.param = param
        self.code = code

    def as_object(self) -> dict[str, Any]:
        """The body of the response."""
        error_type = "server_error" if self.status >= 500 else "invalid_request_error"
        return {"error": {"message": str(self), "type": error_type, "param": self.param, "code": self.code}}

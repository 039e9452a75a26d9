"""The error that a request to the batch API is answered with."""

from __future__ import annotations

from typing import Any


class ApiError(Exception):
    """A request that is answered with an error object."""

    def __init__(self, status: int, message: str, param: str | None = None, code: str | None = None) -> None:
        """Describe the error.

        Args:
            status: The HTTP status.
            message: For people.
            param: The member, field or header that is at fault, if one is.
            code: For programs.
        """
        super().__init__(message)
        self.status = status
        self.param = param
        self.code = code

    def as_object(self) -> dict[str, Any]:
        """The body of the response."""
        error_type = "server_error" if self.status >= 500 else "invalid_request_error"
        return {"error": {"message": str(self), "type": error_type, "param": self.param, "code": self.code}}

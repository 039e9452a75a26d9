"""Requests and responses of the batch API, as connections and handlers exchange them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from lockspoke.wire.http.messages import BodyChunk, MessageEnd, MessagePart, RequestHead

from .errors import ApiError
from .validation import ByteRange, decode_json

JSON_LIMIT = 1024 * 1024  # the maximum size of a JSON request body in bytes


class RequestBody:
    """A request body that is read as it arrives."""

    def __init__(self, next_piece: Callable[[], Awaitable[MessagePart]]) -> None:
        self._next_piece = next_piece
        self.complete = False  # Whether the whole body has been read.

    async def read(self) -> bytes | None:
        """Read the next bytes; returns None at the end of the body."""
        if self.complete:
            return None
        piece = await self._next_piece()
        if isinstance(piece, BodyChunk):
            return piece.data
        self.complete = isinstance(piece, MessageEnd)
        return None

    async def discard(self) -> None:
        """Read and discard the rest of the body."""
        while await self.read() is not None:
            pass


@dataclass(slots=True)
class ApiRequest:
    """A request as handlers receive it."""

    head: RequestHead
    body: RequestBody
    object_id: str = ""  # The ID in the path; empty if the path has none.

    def query(self, name: str) -> str:
        """A query parameter; empty if it is missing."""
        return parse_qs(self.head.query).get(name, [""])[0]

    async def read_json(self) -> JsonBody:
        """Read the complete body as JSON.

        Raises:
            ApiError: The body is too large, or is not a JSON object.
        """
        data = bytearray()
        while (chunk := await self.body.read()) is not None:
            data += chunk
            if len(data) > JSON_LIMIT:
                raise ApiError(413, "The body is too large.")
        return JsonBody(decode_json(bytes(data)), bytes(data))


@dataclass(frozen=True, slots=True)
class JsonBody:
    """A JSON request body."""

    members: dict[str, Any]
    raw: bytes


@dataclass(slots=True)
class JsonResponse:
    """A response with a JSON object as its body."""

    members: dict[str, Any]
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


def replayed(members: dict[str, Any]) -> JsonResponse:
    """The response to a repeated request, with what the earlier request created."""
    return JsonResponse(members, headers={"Idempotency-Replayed": "true"})


@dataclass(slots=True)
class FileResponse:
    """A response whose body is a file, or a range of it."""

    path: Path
    size: int
    range: ByteRange
    etag: str

    @property
    def is_partial(self) -> bool:
        """Whether the response has only a part of the file."""
        return self.range.length != self.size

    @property
    def status(self) -> int:
        """The HTTP status."""
        return 206 if self.is_partial else 200

    def headers(self) -> dict[str, str]:
        """The header fields."""
        headers = {
            "Content-Type": "application/octet-stream",
            "Accept-Ranges": "bytes",
            "ETag": self.etag,
            "Content-Length": str(self.range.length),
        }
        if self.is_partial:
            headers["Content-Range"] = f"bytes {self.range.start}-{self.range.end - 1}/{self.size}"
        return headers


Response = JsonResponse | FileResponse
Handler = Callable[[ApiRequest], Awaitable[Response]]

"""Receives multipart forms, with the content of their file in a scratch file."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from .errors import ApiError
from .form import FormReader
from .messages import ApiRequest
from .store import BatchStore


@dataclass(frozen=True, slots=True)
class ReceivedForm:
    """A form that has been received completely."""

    fields: dict[str, str]
    filename: str  # The filename that the client sent; may be empty.
    content: Path  # The scratch file with the content of the file field.
    sha256: str  # The SHA-256 of the content.


class _ContentWriter:
    """Writes the content of a file field to disk, up to a size limit, and computes its checksum."""

    def __init__(self, file: BinaryIO, file_field: str, limit: int) -> None:
        self.file = file
        self.file_field = file_field
        self.limit = limit
        self.size = 0
        self.sha256 = hashlib.sha256()

    def write(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.limit:
            message = f"The file is larger than {self.limit} bytes."
            raise ApiError(413, message, self.file_field, "file_too_large")
        self.sha256.update(data)
        self.file.write(data)


@asynccontextmanager
async def received_form(
    store: BatchStore, request: ApiRequest, file_field: str, limit: int
) -> AsyncIterator[ReceivedForm]:
    """Receive the form in a request; its scratch file is deleted on exit unless the store has moved it.

    Raises:
        ApiError: The form is malformed, or its file is larger than `limit` bytes.
    """
    path, file = store.open_scratch()
    try:
        with file:
            writer = _ContentWriter(file, file_field, limit)
            reader = FormReader(request.head.headers.get("content-type"), file_field, writer.write)
            while (data := await request.body.read()) is not None:
                reader.feed(data)
            reader.finish()
        yield ReceivedForm(reader.fields, reader.filename or "", path, writer.sha256.hexdigest())
    finally:
        path.unlink(missing_ok=True)

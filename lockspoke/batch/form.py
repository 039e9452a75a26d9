"""Streaming parser of multipart forms; passes the content of the file field on as it arrives."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from python_multipart.exceptions import FormParserError
from python_multipart.multipart import MultipartParser, parse_options_header

from .errors import ApiError

if TYPE_CHECKING:
    from python_multipart.multipart import MultipartCallbacks

FIELD_LIMIT = 64 * 1024  # the maximum size in bytes of all fields together, without the file
MAX_BOUNDARY_LENGTH = 70  # bytes


class FormReader:
    """Reads one form: keeps its small fields and passes on the content of one file field."""

    def __init__(self, content_type: str, file_field: str, write: Callable[[bytes], object]) -> None:
        """Prepare for the first bytes of a form.

        Args:
            content_type: The `Content-Type` header of the request.
            file_field: The name of the field that contains the file.
            write: Called with each piece of the file's content.

        Raises:
            ApiError: The content type is not that of a multipart form.
        """
        media_type, options = parse_options_header(content_type)
        boundary = options.get(b"boundary", b"")
        if media_type != b"multipart/form-data" or not 0 < len(boundary) <= MAX_BOUNDARY_LENGTH:
            raise ApiError(415, "Want a multipart/form-data body.", code="unsupported_media_type")
        self.file_field = file_field
        self.write = write
        self.fields: dict[str, str] = {}
        self.filename: str | None = None  # None until the header of the file field has been read.
        self.complete = False
        self._fields_size = 0
        self._name = ""
        self._value = bytearray()
        self._header_name = bytearray()
        self._header_value = bytearray()
        callbacks = {
            "on_part_begin": self._on_part_begin,
            "on_header_field": lambda data, start, end: self._header_name.extend(data[start:end]),
            "on_header_value": lambda data, start, end: self._header_value.extend(data[start:end]),
            "on_header_end": self._on_header_end,
            "on_part_data": self._on_part_data,
            "on_part_end": self._on_part_end,
            "on_end": self._on_end,
        }
        self._parser = MultipartParser(boundary, cast("MultipartCallbacks", callbacks))

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the body.

        Raises:
            ApiError: The form is malformed, or a field is too large.
        """
        try:
            self._parser.write(data)
        except FormParserError as error:
            raise ApiError(400, f"The form is malformed: {error}") from None

    def finish(self) -> None:
        """Check, at the end of the body, that the form is complete and contained the file.

        Raises:
            ApiError: The form is incomplete or contained no file.
        """
        if not self.complete:
            raise ApiError(400, "The form is cut short.", self.file_field, "missing_required_parameter")
        if self.filename is None:
            message = f"Missing required parameter: '{self.file_field}'."
            raise ApiError(400, message, self.file_field, "missing_required_parameter")

    def _on_part_begin(self) -> None:
        self._name = ""
        self._value.clear()

    def _on_header_end(self) -> None:
        if self._header_name.lower() == b"content-disposition":
            self._process_disposition(bytes(self._header_value))
        self._header_name.clear()
        self._header_value.clear()

    def _process_disposition(self, value: bytes) -> None:
        _, options = parse_options_header(value)
        self._name = options.get(b"name", b"").decode(errors="replace")
        if self._name != self.file_field:
            return
        if self.filename is not None:
            raise ApiError(400, f"'{self.file_field}' came twice.", self.file_field)
        self.filename = options.get(b"filename", b"").decode(errors="replace")

    def _on_part_data(self, data: bytes, start: int, end: int) -> None:
        if self._name == self.file_field:
            self.write(data[start:end])
            return
        self._fields_size += end - start
        if self._fields_size > FIELD_LIMIT:
            raise ApiError(413, "The fields of the form are too large.")
        self._value += data[start:end]

    def _on_part_end(self) -> None:
        if self._name and self._name != self.file_field:
            self.fields[self._name] = self._value.decode(errors="replace")

    def _on_end(self) -> None:
        self.complete = True

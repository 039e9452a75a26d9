"""Multipart forms, read as they come by a library; a file's content goes straight to its sink."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from python_multipart.exceptions import FormParserError
from python_multipart.multipart import MultipartParser, parse_options_header

from .api import ApiError

if TYPE_CHECKING:
    from python_multipart.multipart import MultipartCallbacks

FIELD_LIMIT = 64 * 1024


class FormReader:
    """Fed the body of a form, it keeps the small fields and passes on the content of one file field."""

    def __init__(self, content_type: str, file_field: str, write: Callable[[bytes], object]) -> None:
        kind, options = parse_options_header(content_type)
        boundary = options.get(b"boundary", b"")
        if kind != b"multipart/form-data" or not 0 < len(boundary) <= 70:
            raise ApiError(415, "Want a multipart/form-data body.", code="unsupported_media_type")
        self.file_field = file_field
        self.write = write
        self.fields: dict[str, str] = {}
        self.filename: str | None = None  # of the file field, once it has come
        self.whole = False
        self._held = 0
        self._name = ""
        self._value = bytearray()
        self._header, self._header_value = bytearray(), bytearray()
        callbacks = {
            "on_part_begin": self._part_begin,
            "on_header_field": lambda data, start, end: self._header.extend(data[start:end]),
            "on_header_value": lambda data, start, end: self._header_value.extend(data[start:end]),
            "on_header_end": self._header_end,
            "on_part_data": self._part_data,
            "on_part_end": self._part_end,
            "on_end": self._end,
        }
        self._parser = MultipartParser(boundary, cast("MultipartCallbacks", callbacks))

    def feed(self, data: bytes) -> None:
        """Take bytes of the body."""
        try:
            self._parser.write(data)
        except FormParserError as error:
            raise ApiError(400, f"The form is malformed: {error}") from None

    def finish(self) -> None:
        """The body has ended: the form has to have ended before."""
        if not self.whole or self.filename is None:
            what = (
                f"Missing required parameter: '{self.file_field}'."
                if self.whole
                else "The form is cut short."
            )
            raise ApiError(400, what, self.file_field, "missing_required_parameter")

    def _part_begin(self) -> None:
        self._name = ""
        self._value.clear()

    def _header_end(self) -> None:
        if self._header.lower() == b"content-disposition":
            _, options = parse_options_header(bytes(self._header_value))
            self._name = options.get(b"name", b"").decode(errors="replace")
            if self._name == self.file_field:
                if self.filename is not None:
                    raise ApiError(400, f"'{self.file_field}' came twice.", self.file_field)
                self.filename = options.get(b"filename", b"").decode(errors="replace")
        self._header.clear()
        self._header_value.clear()

    def _part_data(self, data: bytes, start: int, end: int) -> None:
        if self._name == self.file_field:
            self.write(data[start:end])
            return
        self._held += end - start
        if self._held > FIELD_LIMIT:
            raise ApiError(413, "The fields of the form are too large.")
        self._value += data[start:end]

    def _part_end(self) -> None:
        if self._name and self._name != self.file_field:
            self.fields[self._name] = self._value.decode(errors="replace")

    def _end(self) -> None:
        self.whole = True

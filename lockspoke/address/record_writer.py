"""Writes the term record outside the event loop."""

from __future__ import annotations

import asyncio

import structlog

from .term_record import TermRecord

log = structlog.get_logger()


class RecordWriter:
    """Writes a record in a thread when needed, one write at a time."""

    def __init__(self, record: TermRecord) -> None:
        self.record = record
        self._write: asyncio.Future[None] | None = None
        self._logged_error = ""

    def save(self, term: int, generation: int) -> None:
        """Start a write if the record needs one and none is running; log a change of the latest error."""
        if self._write is not None and not self._write.done():
            return
        self._log_error()
        if self.record.needs_write(term, generation):
            loop = asyncio.get_running_loop()
            self._write = loop.run_in_executor(None, self.record.write, term, generation)

    def _log_error(self) -> None:
        error = self.record.write_error
        if error == self._logged_error:
            return
        self._logged_error = error
        if error:
            log.error("address_record_write_failed", reason=error)
        else:
            log.info("address_record_write_recovered")

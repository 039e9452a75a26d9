"""Logging: one JSON object per line on standard error, for events and never for single requests."""

from __future__ import annotations

import logging
import sys

import structlog


class _LibraryLogHandler(logging.Handler):
    """Writes what libraries log, such as exceptions in callbacks, in the program's own form."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        structlog.get_logger().error(
            "library_error", source=record.name, text=record.getMessage(), exc_info=record.exc_info
        )


def start_logging() -> None:
    """Set up structlog and the standard library's logging for the whole process."""
    # Below ERROR, Tornado logs each connection that a peer closes: that would be one line per request.
    logging.basicConfig(level=logging.ERROR, handlers=[_LibraryLogHandler()])
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )

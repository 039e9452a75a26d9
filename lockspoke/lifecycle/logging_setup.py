"""Logging to standard error, one JSON object per line. Individual requests are not logged."""

from __future__ import annotations

import logging
import sys

import structlog


class _LibraryLogHandler(logging.Handler):
    """Writes log records of libraries, such as exceptions in callbacks, in the format of the program."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one log record."""
        structlog.get_logger().error(
            "library_error", source=record.name, text=record.getMessage(), exc_info=record.exc_info
        )


def start_logging() -> None:
    """Configure structlog and the logging of the standard library for the whole process."""
    # Below ERROR, Tornado logs each connection that a peer closes, which would be one line per request.
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

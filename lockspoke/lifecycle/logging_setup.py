"""Log lines: one JSON object each on standard error, for events and never for single requests."""

from __future__ import annotations

import logging
import sys

import structlog


class _Passed(logging.Handler):
    """Brings what libraries log, such as exceptions in callbacks, into the same form."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass a record on."""
        structlog.get_logger().error(
            "library_error", source=record.name, text=record.getMessage(), exc_info=record.exc_info
        )


def start_logging() -> None:
    """Set structlog up for the whole program."""
    # Below that, Tornado tells of every connection that a peer cut: it would be a line a request.
    logging.basicConfig(level=logging.ERROR, handlers=[_Passed()])
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

"""Log lines: one JSON object each on standard error, for events and never for single requests."""

from __future__ import annotations

import logging
import sys

import structlog


def start_logging() -> None:
    """Set structlog up for the whole program."""
    # Tornado's own lines about connections that peers cut would be a line a request.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
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

"""Units of time and size.

Throughout the package durations are integer nanoseconds and sizes are bytes, unless a name says otherwise.
"""

MILLISECOND = 1_000_000  # nanoseconds
SECOND = 1_000 * MILLISECOND
MEBIBYTE = 1024 * 1024  # bytes

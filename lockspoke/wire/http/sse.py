"""The server-sent event stream of a replica: validated and inspected while it is forwarded unchanged."""

from __future__ import annotations

import json

LINE_LIMIT_BYTES = 64 * 1024
EVENT_LIMIT_BYTES = 256 * 1024
STANDARD_FIELDS = (b"data", b"event", b"id", b"retry")  # A line that starts with a colon is a comment.
DATA_PREFIX = b"data:"
LOAD_REPORT_PREFIX = b": Srv-Load:"
END_MARKER = b"[DONE]"
MAX_CACHED_TOKENS = 1 << 32  # A larger count is malformed.


class EventStreamError(ValueError):
    """The bytes are not a valid stream of server-sent events."""


class EventStream:
    """Takes the bytes of a stream, returns its complete events and extracts what the gateway needs.

    An incomplete event is buffered, so that no part of a malformed event is forwarded: the attempt can then
    still be retried on another replica.
    """

    def __init__(self) -> None:
        self.event_count = 0  # The number of `data` lines parsed so far.
        self.done = False  # Whether the end marker has arrived.
        self.cached_tokens = 0
        self.latest_load_report = ""  # As it arrived, undecoded; empty if none has arrived.
        self._buffer = bytearray()  # The incomplete event.
        self._parsed = 0  # How many bytes of the buffer belong to parsed lines.

    def feed(self, data: bytes) -> bytes:
        """Take bytes, split at any position; return the events that they complete.

        Raises:
            EventStreamError: An event is malformed or too large.
        """
        buffer = self._buffer
        buffer += data
        complete_size = 0
        while (end := buffer.find(b"\n", self._parsed)) >= 0:
            line = bytes(buffer[self._parsed : end]).rstrip(b"\r")
            self._parse_line(line)
            self._parsed = end + 1
            if not line:
                complete_size = self._parsed
        # Limits the memory that a replica which never ends a line or an event can use.
        if len(buffer) - self._parsed > LINE_LIMIT_BYTES or len(buffer) - complete_size > EVENT_LIMIT_BYTES:
            raise EventStreamError("event too large")
        events = bytes(buffer[:complete_size])
        del buffer[:complete_size]
        self._parsed -= complete_size
        return events

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event, once the stream has ended.

        Raises:
            EventStreamError: They are malformed.
        """
        if len(self._buffer) > self._parsed:
            self._parse_line(bytes(self._buffer[self._parsed :]).rstrip(b"\r"))
        return bytes(self._buffer)

    def _parse_line(self, line: bytes) -> None:
        if line.startswith(DATA_PREFIX):
            self.event_count += 1
            if b'"usage"' in line:
                self.cached_tokens = _cached_tokens(line[len(DATA_PREFIX) :])
            elif line[len(DATA_PREFIX) :].strip() == END_MARKER:
                self.done = True
        elif line.startswith(LOAD_REPORT_PREFIX):
            self.latest_load_report = line[len(LOAD_REPORT_PREFIX) :].decode("latin-1").strip()
        elif line and line[:1] != b":" and line.partition(b":")[0] not in STANDARD_FIELDS:
            # This also detects a wrong chunk size: the next chunk's size line is then read as a line here.
            raise EventStreamError("not a line of an event stream")


def _cached_tokens(usage_data: bytes) -> int:
    """Return the number of cached prompt tokens; 0 if it is missing or malformed."""
    try:
        count = json.loads(usage_data)["usage"]["prompt_tokens_details"]["cached_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    return count if isinstance(count, int) and 0 <= count < MAX_CACHED_TOKENS else 0

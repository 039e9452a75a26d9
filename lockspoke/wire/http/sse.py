"""The server-sent event stream of a replica: validated and observed while it is forwarded unchanged."""

from __future__ import annotations

import json

LINE_LIMIT = 64 * 1024  # bytes
EVENT_LIMIT = 256 * 1024  # bytes
STANDARD_FIELDS = (b"data", b"event", b"id", b"retry")  # a line that starts with a colon is a comment
DATA_PREFIX = b"data:"
LOAD_REPORT_PREFIX = b": Srv-Load:"
END_MARKER = b"[DONE]"
MAX_CACHED_TOKENS = 1 << 32  # a larger count is malformed


class EventStreamError(ValueError):
    """The bytes are no stream of events."""


class EventStream:
    """Takes the bytes of a stream, returns its complete events and extracts what the gateway needs.

    An incomplete event is buffered: while nothing of a malformed event has been forwarded, the attempt can
    still be retried on another replica.
    """

    def __init__(self) -> None:
        self.events = 0  # data lines so far
        self.done = False  # whether the end marker has arrived
        self.cached_tokens = 0
        self.load = ""  # the latest load report
        self._buffer = bytearray()  # the incomplete event
        self._parsed = 0  # bytes of the buffer whose lines have been parsed

    def feed(self, data: bytes) -> bytes:
        """Take bytes, cut anywhere; return the events that they complete.

        Raises:
            EventStreamError: An event is malformed or too large.
        """
        buffer = self._buffer
        buffer += data
        complete = 0
        while (end := buffer.find(b"\n", self._parsed)) >= 0:
            line = bytes(buffer[self._parsed : end]).rstrip(b"\r")
            self._parse_line(line)
            self._parsed = end + 1
            if not line:
                complete = self._parsed
        # Bounds the memory for a replica that never ends a line or an event.
        if len(buffer) - self._parsed > LINE_LIMIT or len(buffer) - complete > EVENT_LIMIT:
            raise EventStreamError("event too large")
        events = bytes(buffer[:complete])
        del buffer[:complete]
        self._parsed -= complete
        return events

    def remainder(self) -> bytes:
        """Return the bytes behind the last complete event, once the stream has ended.

        Raises:
            EventStreamError: They are malformed.
        """
        if len(self._buffer) > self._parsed:
            self._parse_line(bytes(self._buffer[self._parsed :]).rstrip(b"\r"))
        return bytes(self._buffer)

    def _parse_line(self, line: bytes) -> None:
        if line.startswith(DATA_PREFIX):
            self.events += 1
            if b'"usage"' in line:
                self.cached_tokens = _cached_tokens(line[len(DATA_PREFIX) :])
            elif line[len(DATA_PREFIX) :].strip() == END_MARKER:
                self.done = True
        elif line.startswith(LOAD_REPORT_PREFIX):
            self.load = line[len(LOAD_REPORT_PREFIX) :].decode("latin-1").strip()
        elif line and line[:1] != b":" and line.partition(b":")[0] not in STANDARD_FIELDS:
            # A wrong chunk size shows here: the size line of the next chunk is read as a line of the stream.
            raise EventStreamError("no line of an event")


def _cached_tokens(usage_data: bytes) -> int:
    """Return the count of cached prompt tokens; 0 if it is missing or malformed."""
    try:
        count = json.loads(usage_data)["usage"]["prompt_tokens_details"]["cached_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    return count if isinstance(count, int) and 0 <= count < MAX_CACHED_TOKENS else 0

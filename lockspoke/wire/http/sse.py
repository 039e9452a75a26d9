"""The event stream of a worker, read along while it passes on unchanged."""

from __future__ import annotations

import json

LINE_LIMIT = 64 * 1024
EVENT_LIMIT = 256 * 1024
FIELDS = (b"data", b"event", b"id", b"retry")  # of the standard; a line that starts with a colon is a comment
_LOAD = b": Srv-Load:"


class EventStreamError(ValueError):
    """What came is no stream of events."""


class EventStream:
    """Fed the bytes of a stream, it gives whole events back and notes what the gateway wants of them.

    Events are held until they are whole: half of one that turns out to be spoilt must not be passed on,
    since up to then the attempt can still be given up for another.
    """

    def __init__(self) -> None:
        self.events = 0  # data lines so far
        self.done = False  # the closing marker has come
        self.cached_tokens = 0
        self.load = ""  # the last load report
        self._held = bytearray()  # of an event that is not whole
        self._read = 0  # of it, the bytes whose lines have been read

    def feed(self, data: bytes) -> bytes:
        """Take bytes as they come, cut anywhere; give the events that they complete."""
        held = self._held
        held += data
        whole = 0
        while (end := held.find(b"\n", self._read)) >= 0:
            line = bytes(held[self._read : end]).rstrip(b"\r")
            self._line(line)
            self._read = end + 1
            if not line:
                whole = self._read
        # Guards memory against a worker that never ends a line or an event.
        if len(held) - self._read > LINE_LIMIT or len(held) - whole > EVENT_LIMIT:
            raise EventStreamError("event too large")
        events = bytes(held[:whole])
        del held[:whole]
        self._read -= whole
        return events

    def remainder(self) -> bytes:
        """What stands behind the last whole event at the stream's end."""
        if len(self._held) > self._read:
            self._line(bytes(self._held[self._read :]).rstrip(b"\r"))
        return bytes(self._held)

    def _line(self, line: bytes) -> None:
        if line.startswith(b"data:"):
            self.events += 1
            if b'"usage"' in line:
                self.cached_tokens = _cached_tokens(line[5:])
            elif line[5:].strip() == b"[DONE]":
                self.done = True
        elif line.startswith(_LOAD):
            self.load = line[len(_LOAD) :].decode("latin-1").strip()
        elif line and line[:1] != b":" and line.partition(b":")[0] not in FIELDS:
            # A chunk whose size is wrong shows here: its neighbour's size stands among the events.
            raise EventStreamError("no line of an event")


def _cached_tokens(text: bytes) -> int:
    try:
        count = json.loads(text)["usage"]["prompt_tokens_details"]["cached_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    return count if isinstance(count, int) and 0 <= count < 1 << 32 else 0

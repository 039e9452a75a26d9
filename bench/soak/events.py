"""Measures the delay of stream events, each of which contains the time at which its replica wrote it."""

from __future__ import annotations

import json

LINE_PREFIX = b"data: "


class EventDelays:
    """The longest event delay of one stream, whose bytes may arrive in pieces of any size."""

    def __init__(self) -> None:
        self.longest = 0.0  # seconds
        self._buffer = b""

    def feed(self, data: bytes, read_at: float) -> None:
        """Add bytes of the stream; an event counts as read when its line is complete."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            written_at = _written_at(line)
            if written_at is not None:
                self.longest = max(self.longest, read_at - written_at)


def _written_at(line: bytes) -> float | None:
    """The time that an event contains; None for other lines, such as the end of the stream."""
    if not line.startswith(LINE_PREFIX):
        return None
    try:
        event = json.loads(line.removeprefix(LINE_PREFIX))
    except ValueError:
        return None  # the end marker
    choices = event.get("choices") or [{}]
    content = choices[0].get("delta", {}).get("content")
    return None if content is None else float(content)

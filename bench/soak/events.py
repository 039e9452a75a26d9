"""How late the events of a stream arrive that hold the time at which their replica wrote them."""

from __future__ import annotations

import json

LINE_PREFIX = b"data: "


class EventDelays:
    """Takes the bytes of one stream, cut anywhere."""

    def __init__(self) -> None:
        self.longest = 0.0  # seconds
        self._buffer = b""

    def feed(self, data: bytes, read_at: float) -> None:
        """Take bytes; an event counts as read when its line is complete."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            written_at = _written_at(line)
            if written_at is not None:
                self.longest = max(self.longest, read_at - written_at)


def _written_at(line: bytes) -> float | None:
    """The time that an event holds; None for other lines, such as the end of the stream."""
    if not line.startswith(LINE_PREFIX):
        return None
    try:
        event = json.loads(line.removeprefix(LINE_PREFIX))
    except ValueError:
        return None  # the end marker
    choices = event.get("choices") or [{}]
    content = choices[0].get("delta", {}).get("content")
    return None if content is None else float(content)

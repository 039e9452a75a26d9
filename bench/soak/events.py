"""Reads stream events, each of which says when its replica wrote it and which request it answers."""

from __future__ import annotations

import json
from typing import Any

LINE_PREFIX = b"data: "


class EventReader:
    """What the events of one stream say; its bytes may arrive in pieces of any size.

    Attributes:
        longest_delay: The longest time from the write of an event to its read, in seconds.
        request_ids: The ids of the requests that the events answer.
    """

    def __init__(self) -> None:
        self.longest_delay = 0.0
        self.request_ids: set[str] = set()
        self._buffer = b""

    def feed(self, data: bytes, read_at: float) -> None:
        """Add bytes of the stream; an event counts as read when its line is complete."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            event = _decode_event(line)
            if "id" in event:
                self.request_ids.add(event["id"])
            written_at = _written_at(event)
            if written_at is not None:
                self.longest_delay = max(self.longest_delay, read_at - written_at)


def encode_event(written_at: float, request_id: str) -> bytes:
    """An event that says when it was written and which request it answers."""
    event = {"id": request_id, "choices": [{"index": 0, "delta": {"content": repr(written_at)}}]}
    return LINE_PREFIX + json.dumps(event).encode() + b"\n\n"


def _decode_event(line: bytes) -> dict[str, Any]:
    """The event of a line; empty for other lines, such as the end of the stream."""
    if not line.startswith(LINE_PREFIX):
        return {}
    try:
        event: dict[str, Any] = json.loads(line.removeprefix(LINE_PREFIX))
    except ValueError:
        return {}  # the end marker
    return event


def _written_at(event: dict[str, Any]) -> float | None:
    """The time that an event contains, or None."""
    choices = event.get("choices") or [{}]
    content = choices[0].get("delta", {}).get("content")
    return None if content is None else float(content)

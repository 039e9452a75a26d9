"""The event stream of a worker, read along while it passes on unchanged."""

from __future__ import annotations

import json

LINE_LIMIT = 64 * 1024
_LOAD = b": Srv-Load:"


class EventStream:
    """Fed the bytes of a stream, it notes what the gateway itself wants of them."""

    def __init__(self) -> None:
        self.events = 0  # data lines so far
        self.done = False  # the closing marker has come
        self.kept_tokens = 0
        self.load = ""  # the last load report
        self._rest = b""

    def feed(self, data: bytes) -> None:
        """Take bytes as they come, cut anywhere."""
        *lines, rest = (self._rest + data).split(b"\n")
        # Guards memory against a worker that never ends a line: such a line is of no interest here.
        self._rest = rest if len(rest) <= LINE_LIMIT else b"data:"
        for line in lines:
            self._line(line.rstrip(b"\r"))

    def _line(self, line: bytes) -> None:
        if line.startswith(b"data:"):
            self.events += 1
            if b'"usage"' in line:
                self.kept_tokens = _kept(line[5:])
            elif line[5:].strip() == b"[DONE]":
                self.done = True
        elif line.startswith(_LOAD):
            self.load = line[len(_LOAD) :].decode("latin-1").strip()


def _kept(text: bytes) -> int:
    try:
        kept = json.loads(text)["usage"]["prompt_tokens_details"]["cached_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    return kept if isinstance(kept, int) and 0 <= kept < 1 << 32 else 0

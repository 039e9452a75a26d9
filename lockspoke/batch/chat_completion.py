"""Chat completions: estimating the size of a prompt, and assembling an event stream into one response."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from lockspoke.wire.http.sse import LINE_LIMIT_BYTES

from .json_text import parse_json

CHARACTERS_PER_TOKEN = 4  # the platform's estimate
MAX_TOKENS_LIMIT = 1e9  # A larger `max_tokens` is treated as no limit.
RESPONSE_LIMIT = 1024 * 1024  # the maximum size of one stream in bytes
END_OF_STREAM = b"[DONE]"
DATA_FIELD = b"data:"


@dataclass(frozen=True, slots=True)
class PromptSize:
    """The estimated size of a request."""

    tokens: float
    shared_prefix: str  # The first of several messages, which other conversations may share; else empty.
    prefix_tokens: float
    max_tokens: float  # The limit of the response; 0 if the body sets none.


def measure_prompt(body: dict[str, Any]) -> PromptSize:
    """Estimate the size of a request from its messages."""
    contents = [json.dumps(message.get("content", ""), ensure_ascii=False) for message in body["messages"]]
    prefix = contents[0] if len(contents) > 1 else ""
    limit = body.get("max_completion_tokens", body.get("max_tokens", 0))
    max_tokens = float(limit) if isinstance(limit, int | float) and 0 <= limit <= MAX_TOKENS_LIMIT else 0.0
    tokens = sum(map(len, contents)) / CHARACTERS_PER_TOKEN
    return PromptSize(tokens, prefix, len(prefix) / CHARACTERS_PER_TOKEN, max_tokens)


class ChatCompletionAssembler:
    """Assembles a replica's event stream into the response to a non-streaming request."""

    def __init__(self, model: str, created: int) -> None:
        """Start without events.

        Args:
            model: The `model` of the response.
            created: The Unix time at which the response was created.
        """
        self.model = model
        self.created = created
        self._incomplete_line = b""
        self._contents: dict[int, list[str]] = {}  # Pieces of text by the index of their choice.
        self._finish_reasons: dict[int, str] = {}  # Finish reasons by the index of their choice.
        self._usage: dict[str, Any] | None = None
        self._id = ""
        self._size = 0
        self._done = False
        self._malformed = False

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the stream, which may end anywhere in a line."""
        self._size += len(data)
        *lines, incomplete = (self._incomplete_line + data).split(b"\n")
        if self._size > RESPONSE_LIMIT or len(incomplete) > LINE_LIMIT_BYTES:
            self._malformed = True
        self._incomplete_line = b"" if self._malformed else incomplete
        for line in lines:
            if line.startswith(DATA_FIELD) and not self._malformed:
                self._process_event(line[len(DATA_FIELD) :].strip())

    def _process_event(self, data: bytes) -> None:
        if data == END_OF_STREAM:
            self._done = True
            return
        try:
            event = parse_json(data)
            if "error" in event:
                self._malformed = True
                return
            self._id = self._id or str(event.get("id") or "")
            for choice in event.get("choices", ()):
                self._process_choice(choice)
            if isinstance(event.get("usage"), dict):
                self._usage = event["usage"]
        except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
            self._malformed = True  # The event may have contained a part of the response.

    def _process_choice(self, choice: dict[str, Any]) -> None:
        index = int(choice.get("index", 0))
        content = (choice.get("delta") or {}).get("content")
        if isinstance(content, str):
            self._contents.setdefault(index, []).append(content)
        if choice.get("finish_reason"):
            self._finish_reasons[index] = str(choice["finish_reason"])

    def body(self) -> dict[str, Any] | None:
        """The response, or None if the stream is malformed, incomplete or empty."""
        indices = sorted(self._contents.keys() | self._finish_reasons.keys())
        if self._malformed or not self._done or not indices:
            return None
        return {
            "id": self._id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [self._choice(index) for index in indices],
            "usage": self._usage,
        }

    def _choice(self, index: int) -> dict[str, Any]:
        return {
            "index": index,
            "message": {"role": "assistant", "content": "".join(self._contents.get(index, ()))},
            "finish_reason": self._finish_reasons.get(index, "stop"),
        }

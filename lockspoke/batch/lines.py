"""Lines of batches as calls: read from their input file, written to their result files."""

from __future__ import annotations

import json
import secrets
from array import array
from typing import Any

from lockspoke.batch.runner import Answer, BadLinesError
from lockspoke.batch.store import Batch, BatchStore, LineStatus
from lockspoke.core.identifiers import key_identifier
from lockspoke.core.requests import ClientRequest, ResponseWriter
from lockspoke.units import SECOND
from lockspoke.wire.http.parser import BODY_LIMIT

from .api import AnswerCollector, Line, LineError, decode_line, line_error, measure, result_line

MOST_ERRORS = 100  # of a batch that are told one by one
HOST = "origin.svc"


class BatchLines:
    """What the front knows of lines, for the runner that runs them."""

    def __init__(self, store: BatchStore, kind: str, request_class: int, longest: int, most: int) -> None:
        self.store = store
        self.kind = kind
        self.request_class = request_class
        self.longest = longest  # nanoseconds that a call of this class may wait for its first token
        self.most = most

    def index(self, batch: Batch) -> tuple[array[int], dict[int, int]]:
        """Check every line; where each begins, and the deadlines of lines that have one of their own."""
        places, deadlines, errors = array("Q"), {}, []
        seen: dict[str, int] = {}
        try:
            file = self.store.path(batch.input_file_id).open("rb")
        except OSError:
            raise BadLinesError(
                [line_error(LineError("file_not_found", "The input file is gone."), None)]
            ) from None
        with file:
            place = 0
            for number, raw in enumerate(_lines(file), 1):
                if raw.strip():
                    try:
                        line = decode_line(raw.strip(), batch.endpoint, BODY_LIMIT)
                        if seen.setdefault(line.custom_id, number) != number:
                            text = f"The custom_id stands on line {seen[line.custom_id]} already."
                            raise LineError("duplicate_custom_id", text, "custom_id")
                        if line.deadline_ms is not None:
                            deadlines[len(places)] = line.deadline_ms
                        places.append(place)
                    except LineError as error:
                        errors.append(line_error(error, number))
                place += len(raw)
                if len(places) > self.most:
                    errors = [line_error(LineError("too_many_lines", f"More than {self.most} lines."), None)]
                if len(errors) >= MOST_ERRORS or len(places) > self.most:
                    break
        if not places and not errors:
            errors.append(line_error(LineError("empty_file", "The input file holds no requests."), None))
        if errors:
            raise BadLinesError(errors)
        return places, deadlines

    def _read(self, batch: Batch, place: int) -> Line:
        with self.store.path(batch.input_file_id).open("rb") as file:
            file.seek(place)
            return decode_line(file.readline(BODY_LIMIT * 2).strip(), batch.endpoint, BODY_LIMIT)

    def custom_id(self, batch: Batch, place: int) -> str:
        """The name that the client gave the line at a place."""
        return self._read(batch, place).custom_id

    def call(
        self, batch: Batch, place: int, sink: ResponseWriter, left: float
    ) -> tuple[ClientRequest, AnswerCollector]:
        """The call for a line, whatever stream or none it asked for: workers stream, the front assembles."""
        line = self._read(batch, place)
        prompt = measure(line.body)
        body = {**line.body, "stream": True, "stream_options": {"include_usage": True}}
        prefix = format(key_identifier(prompt.prefix), "016x") if prompt.prefix else ""
        extra = f"prompt_len={prompt.tokens:.0f},prefix_len={prompt.prefix_tokens:.0f}"
        extra += f",max_out={prompt.max_tokens:.0f}" + (f",prefix={prefix}" if prefix else "")
        request_id = secrets.token_hex(8)
        call = ClientRequest(
            response=sink,
            request_class=self.request_class,
            time_remaining=max(1, min(self.longest, int(left * SECOND))),
            request_id=request_id,
            method="POST",
            target=batch.endpoint,
            headers={
                "Host": HOST,
                "Content-Type": "application/json",
                "Req-Kind": self.kind,
                "Req-Extra": extra,
            },
            body=json.dumps(body, ensure_ascii=False, separators=(",", ":")).encode(),
            prefix=key_identifier(prefix),
            prompt_tokens=prompt.tokens,
            prefix_tokens=prompt.prefix_tokens,
            max_tokens=prompt.max_tokens,
            background=True,
        )
        return call, AnswerCollector(str(line.body.get("model", "")), int(self.store.now()))

    def out(self, custom_id: str, end: LineStatus, answer: Answer) -> dict[str, Any]:
        """What the result file says of a line."""
        name = f"batch_req_{secrets.token_hex(12)}"
        return result_line(name, custom_id, end, f"req_{secrets.token_hex(12)}", answer.body)

    def encode(self, out: dict[str, Any]) -> bytes:
        """A line of a result file."""
        return json.dumps(out, ensure_ascii=False, separators=(",", ":")).encode() + b"\n"


def _lines(file: Any) -> Any:
    """Lines of a file; one far too long comes in pieces, each of which is too large to pass."""
    while raw := file.readline(BODY_LIMIT * 2):
        yield raw

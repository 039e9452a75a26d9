"""Reads the lines of input files, and builds the requests and results of lines."""

from __future__ import annotations

from array import array
from pathlib import Path
from typing import Any

from lockspoke.core.identifiers import key_identifier
from lockspoke.core.interfaces import ResponseWriter
from lockspoke.core.requests import ClientRequest
from lockspoke.rate_limited_log import RateLimitedLog
from lockspoke.units import SECOND
from lockspoke.wire.http.encoding import encode_fields

from .chat_completion import ChatCompletionAssembler, PromptSize, measure_prompt
from .input_lines import (
    InputIndex,
    InputLine,
    LineError,
    file_error,
    index_input_file,
    read_line,
    reindex_input_file,
)
from .json_text import encode_json
from .line_runs import LineRuns
from .records import Batch
from .results import LineEnd, new_result
from .store import BatchStore

HOST = "origin.svc"  # the `Host` header of requests to replicas


class BatchLines:
    """Reads the lines of stored input files and builds their requests and results."""

    def __init__(
        self,
        store: BatchStore,
        class_name: str,
        request_class: int,
        first_token_timeout: int,
        max_lines: int,
    ) -> None:
        """Set the request class and the limits of lines.

        Args:
            store: Holds the input files.
            class_name: The name of the request class, which replicas receive in `Req-Kind`.
            request_class: The index of the request class in the gateway's configuration.
            first_token_timeout: Nanoseconds that a request of this class may wait for its first token.
            max_lines: The maximum number of lines in an input file, for batches that do not say it.
        """
        self.store = store
        self.class_name = class_name
        self.request_class = request_class
        self.first_token_timeout = first_token_timeout
        self.max_lines = max_lines
        self._lost_input_log = RateLimitedLog("batch_input_lost")

    def index(self, batch: Batch) -> InputIndex:
        """Find the lines of the batch's input file, and validate them if that has not been done yet.

        Raises:
            InvalidInputFileError: The input file was deleted or is invalid, and has not been validated yet.
        """
        path = self.store.path(batch.input_file_id)
        if batch.total:
            return self._reindex(batch, path)
        # A limit that was set later does not concern the batch.
        max_lines = self.max_lines if batch.max_lines is None else batch.max_lines
        try:
            file = path.open("rb")
        except FileNotFoundError:
            raise file_error("file_not_found", "The input file is gone.") from None
        with file:
            return index_input_file(file, batch.endpoint, max_lines)

    @staticmethod
    def _reindex(batch: Batch, path: Path) -> InputIndex:
        """Find the lines of a batch that is in progress; those that are lost end with an error each."""
        try:
            with path.open("rb") as file:
                return reindex_input_file(file, batch.endpoint, batch.total)
        except FileNotFoundError:
            return InputIndex(array("Q", bytes(8 * batch.total)))

    def read(self, batch: Batch, offset: int) -> InputLine:
        """The line at an offset of the batch's input file."""
        with self.store.path(batch.input_file_id).open("rb") as file:
            return read_line(file, offset, batch.endpoint)

    def assembler(self, line: InputLine) -> ChatCompletionAssembler:
        """A new assembler for the response to a line."""
        return ChatCompletionAssembler(str(line.body.get("model", "")), int(self.store.now()))

    def request(
        self,
        batch: Batch,
        line: InputLine,
        response: ResponseWriter,
        remaining_seconds: float,
        runs: LineRuns,
    ) -> ClientRequest:
        """The request for a line, whose first token must arrive within `remaining_seconds`.

        Replicas always stream, whether or not the line requests a stream. `runs` are the earlier attempts.
        """
        prompt = measure_prompt(line.body)
        prefix = format(key_identifier(prompt.shared_prefix), "016x") if prompt.shared_prefix else ""
        body = {**line.body, "stream": True, "stream_options": {"include_usage": True}}
        return ClientRequest(
            response=response,
            request_class=self.request_class,
            time_remaining=max(1, min(self.first_token_timeout, int(remaining_seconds * SECOND))),
            request_id=runs.next_request_id(self.request_class),
            method="POST",
            target=batch.endpoint,
            forwarded_fields=encode_fields(
                {
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "Req-Kind": self.class_name,
                    "Req-Extra": _request_extra(prompt, prefix),
                }
            ),
            body=encode_json(body),
            prefix=key_identifier(prefix),
            prompt_tokens=prompt.tokens,
            prefix_tokens=prompt.prefix_tokens,
            max_tokens=prompt.max_tokens,
            background=True,
            earlier_runs=runs.possible_runs,
            send_recorder=runs.recorder(self.request_class),
        )

    def new_result(
        self, batch: Batch, offset: int, end: LineEnd, may_have_run: bool = False
    ) -> dict[str, Any]:
        """The result of the line at an offset; see `results.new_result`.

        The result's `custom_id` is empty if the input file was deleted or changed.

        Raises:
            OSError: The input file exists, but reading it failed.
        """
        try:
            custom_id = self.read(batch, offset).custom_id
        except (FileNotFoundError, LineError) as error:
            # The line must end even though its `custom_id` can no longer be read.
            self._lost_input_log.info(self.store.now(), batch=batch.id, reason=repr(error))
            custom_id = ""
        return new_result(custom_id, end, may_have_run)


def _request_extra(prompt: PromptSize, prefix: str) -> str:
    """The value of the platform's `Req-Extra` header."""
    fields = [
        f"prompt_len={prompt.tokens:.0f}",
        f"prefix_len={prompt.prefix_tokens:.0f}",
        f"max_out={prompt.max_tokens:.0f}",
    ]
    if prefix:
        fields.append(f"prefix={prefix}")
    return ",".join(fields)

"""Words of an operator to a running instance, and its answers: a line of JSON each over a local socket."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

MAX_COMMAND_BYTES = 4096  # bytes of a word
COMMAND_TIMEOUT = 2.0  # seconds for a word to come whole


class ControlServer:
    """The instance's end. `obey` gets a word and gives its answer; a ValueError is told to the operator."""

    def __init__(self, path: Path, handle: Callable[[dict[str, Any]], dict[str, Any]]) -> None:
        self.path, self.handle = path, handle
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises OSError. A socket that an ended process has left is taken over."""
        if self.path.exists():
            if not self.path.is_socket():
                raise FileExistsError(f"{self.path} is there and no socket")
            with socket.socket(socket.AF_UNIX) as probe:
                probe.settimeout(COMMAND_TIMEOUT)
                if probe.connect_ex(str(self.path)) == 0:
                    raise FileExistsError(f"{self.path}: another instance listens there")
            self.path.unlink()
        before = os.umask(0o177)  # only its own user may speak to it
        try:
            self._server = await asyncio.start_unix_server(self._serve, self.path, limit=MAX_COMMAND_BYTES)
        finally:
            os.umask(before)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT):
                line = await reader.readuntil()
            word = json.loads(line)
            if not isinstance(word, dict):
                raise ValueError("want an object")
            answer = self.handle(word)
        except ValueError as error:
            answer = {"error": str(error)}
        except (TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            answer = {"error": "want one line of JSON"}
        with contextlib.suppress(ConnectionError):
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()

    def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self.path.unlink(missing_ok=True)


def send_command(path: Path, command: dict[str, Any], timeout: float = 5.0) -> dict[str, Any]:
    """Say a word to a running instance. Raises OSError where none listens, ValueError for what it refuses."""
    with socket.socket(socket.AF_UNIX) as made:
        made.settimeout(timeout)
        made.connect(str(path))
        made.sendall(json.dumps(command).encode() + b"\n")
        data = b""
        while part := made.recv(65536):
            data += part
    answer = json.loads(data or b"{}")
    if not isinstance(answer, dict) or "error" in answer:
        raise ValueError(answer.get("error", "no answer") if isinstance(answer, dict) else "no answer")
    return answer

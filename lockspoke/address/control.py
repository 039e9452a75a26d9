"""Operators' commands to a running instance: a line of JSON as request and answer on a local socket."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

MAX_COMMAND_BYTES = 4096
COMMAND_TIMEOUT_SECONDS = 2.0  # A complete command must arrive within this time.
OWNER_ONLY_UMASK = 0o177
JsonObject = dict[str, Any]


class ControlServer:
    """Serves commands; `handle` gets a command and returns the answer, or raises ValueError."""

    def __init__(self, path: Path, handle: Callable[[JsonObject], JsonObject]) -> None:
        self.path, self.handle = path, handle
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises OSError. A socket file that an earlier process has not removed is replaced."""
        if self.path.exists():
            self._remove_stale_socket()
        previous_umask = os.umask(OWNER_ONLY_UMASK)
        try:
            self._server = await asyncio.start_unix_server(self._serve, self.path, limit=MAX_COMMAND_BYTES)
        finally:
            os.umask(previous_umask)

    def _remove_stale_socket(self) -> None:
        if not self.path.is_socket():
            raise FileExistsError(f"{self.path} exists and is not a socket")
        with socket.socket(socket.AF_UNIX) as probe:
            probe.settimeout(COMMAND_TIMEOUT_SECONDS)
            if probe.connect_ex(str(self.path)) == 0:
                raise FileExistsError(f"{self.path}: another instance listens on it")
        self.path.unlink()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = await self._answer(reader)
        with contextlib.suppress(ConnectionError):
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> JsonObject:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_SECONDS):
                line = await reader.readuntil()
            command = json.loads(line)
            if not isinstance(command, dict):
                return {"error": "want an object"}
            return self.handle(command)
        except ValueError as error:
            return {"error": str(error)}
        except (TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            return {"error": "want one line of JSON"}

    def close(self) -> None:
        """Stop listening and remove the socket."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self.path.unlink(missing_ok=True)


def send_command(path: Path, command: JsonObject, timeout: float = 5.0) -> JsonObject:
    """Send a command to a running instance and return its answer.

    Args:
        path: The control socket.
        command: The command.
        timeout: Seconds to wait for the connection and for each part of the answer.

    Raises:
        OSError: No instance listens there.
        ValueError: The instance has rejected the command.
    """
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout)
        connection.connect(str(path))
        connection.sendall(json.dumps(command).encode() + b"\n")
        data = b""
        while received := connection.recv(65536):
            data += received
    answer = json.loads(data or b"{}")
    if not isinstance(answer, dict):
        raise ValueError("the answer is not a JSON object")  # noqa: TRY004 - a fault of the peer, not of the caller
    if "error" in answer:
        raise ValueError(answer["error"])
    return answer

"""Cutting a connection that the gateway has already reset raises no error."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from bench.soak.cuts import Cut, CutWriter


@pytest.mark.parametrize("cut", list(Cut))
def test_cut_of_reset_connection_raises_nothing(cut: Cut) -> None:
    async def scenario() -> None:
        result: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            client.close()  # the reset has arrived, but the event loop has not noticed it
            try:
                CutWriter(writer, 0, cut).write(b"x")
                result.set_result(None)
            except OSError as error:
                result.set_exception(error)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = socket.create_connection(server.sockets[0].getsockname())
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await result
        server.close()

    asyncio.run(scenario())

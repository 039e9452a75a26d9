"""A fast client that uploads or downloads a large file must not block the event loop.

An `await` yields to other tasks only if it has to wait, and a read does not wait while the socket has data.
A fast upload therefore blocked streams, `GET /up` and operators' requests until it ended: for 0.2, 0.47 and
0.94 s with 64, 190 and 400 MB. Downloads caused delays of at most 25 ms, as writes wait once the socket's
send buffer is full.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from tests.standins import Program, until

from .api_client import batch_config, batch_port, connect
from .gateway_probes import GatewayProbes, TimestampReplica

SIZE_MB = 190  # just below the default limit of 200
# Runs in a separate process, so that it is as fast as the kernel allows and does not delay the probes.
UPLOAD = """
import socket, sys
port, size = int(sys.argv[1]), int(sys.argv[2])
head = b'--b\\r\\nContent-Disposition: form-data; name="purpose"\\r\\n\\r\\nbatch\\r\\n'
head += b'--b\\r\\nContent-Disposition: form-data; name="file"; filename="in.jsonl"\\r\\n\\r\\n'
tail = b'\\r\\n--b--\\r\\n'
peer = socket.create_connection(("127.0.0.1", port))
length = len(head) + size + len(tail)
peer.sendall(b"POST /v1/files HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: %d\\r\\n" % length)
peer.sendall(b"Content-Type: multipart/form-data; boundary=b\\r\\n\\r\\n" + head)
piece = b"x" * 1048576
for _ in range(size // len(piece)):
    peer.sendall(piece)
peer.sendall(tail)
answer = peer.recv(65536)
assert answer.startswith(b"HTTP/1.1 200"), answer
"""
DOWNLOAD = """
import socket, sys
port, size, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
peer = socket.create_connection(("127.0.0.1", port))
peer.sendall(b"GET %b HTTP/1.1\\r\\nHost: a\\r\\nConnection: close\\r\\n\\r\\n" % path.encode())
got = 0
while data := peer.recv(1048576):
    got += len(data)
assert got > size, got
"""


async def run_client(text: str, *arguments: object) -> None:
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", text, *map(str, arguments))
    assert await process.wait() == 0


def test_large_transfers_do_not_delay_other_requests(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path, max_file_mb=200))
    size = SIZE_MB * 1024 * 1024

    async def scenario() -> None:
        async with (
            TimestampReplica() as replica,
            Program(replica, options=options, operator=True) as program,
        ):
            api = await connect(program)
            async with GatewayProbes(program).running() as upload:
                await until(lambda: bool(upload.event_delays))
                await run_client(UPLOAD, batch_port(program), size)
            files = (await api.request("GET", "/v1/files"))[0]["data"]
            async with GatewayProbes(program).running() as download:
                await until(lambda: bool(download.event_delays))
                await run_client(DOWNLOAD, batch_port(program), size, f"/v1/files/{files[0]['id']}/content")
            assert not upload.violations(), f"upload: {upload.summary()}"
            assert not download.violations(), f"download: {download.summary()}"

    asyncio.run(scenario())

"""`python -m bench.soak.crowd PORT SIZE`: idle clients that reconnect when the gateway closes a connection.

It runs as a separate process so that it does not delay the bench's event loop. It never sends a request, and
exits when it is killed or the gateway refuses connections.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

RECONNECT_INTERVAL = 0.01  # seconds between two rounds, so that it does not occupy a whole core


def main() -> None:
    """Keep SIZE connections to PORT open."""
    port, size = int(sys.argv[1]), int(sys.argv[2])
    selector = selectors.DefaultSelector()
    missing = size
    while True:
        for _ in range(missing):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", port))
            selector.register(client, selectors.EVENT_READ)
        ended = selector.select(1.0)
        missing = len(ended)
        for key, _ in ended:
            client = key.fileobj  # type: ignore[assignment]  # only sockets are registered
            selector.unregister(client)
            if client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return  # the gateway has stopped listening
            client.close()
        time.sleep(RECONNECT_INTERVAL)


if __name__ == "__main__":
    main()

"""The check before an idle connection is reused or closed."""

from __future__ import annotations

import socket

from tornado.iostream import IOStream


def is_open_without_input(stream: IOStream) -> bool:
    """Return whether a connection is open and the kernel holds no unread input for it.

    The kernel may hold input that the event loop has not read: a request on a connection that is about to be
    closed, or, on one that is about to be reused, bytes after a response or the peer's close.
    """
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False

"""The moment in which a connection is used again or closed: what has crossed it on the way."""

from __future__ import annotations

import socket

from tornado.iostream import IOStream


def is_quiet(stream: IOStream) -> bool:
    """Whether a connection is open and nothing has come on it that the loop has yet to read.

    Guards against what the kernel holds already and the loop has not been told of: a request on a
    connection that is about to be closed, half an answer or an end on one about to be used again.
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

"""HTTP/1.1 and server-sent events as state machines fed with bytes; no I/O."""

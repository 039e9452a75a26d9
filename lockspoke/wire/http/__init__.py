"""HTTP/1.1 and server-sent events: parsers that are fed bytes, and encoders; no I/O."""

"""TCP connections: listening, dialing, writing with backpressure, closing, reading ahead."""

"""TCP connections: listening, connecting, reading, writing with backpressure, and closing."""

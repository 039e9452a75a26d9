"""TCP connections: listening, dialing, closing, reading ahead."""

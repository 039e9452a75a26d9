"""Discovery: its messages, a connection to it, the watch of the endpoint list."""

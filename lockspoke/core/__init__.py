"""What is kept: calls, attempts, the replica set and the core. Nothing here knows a wire."""

"""What is kept: calls, attempts, the registry and the core. Nothing here knows a wire."""

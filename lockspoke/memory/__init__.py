"""What is kept: calls, delegations, the registry and the core. Nothing here knows a wire."""

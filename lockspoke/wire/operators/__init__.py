"""The operator front: the listener for operators and their requests."""

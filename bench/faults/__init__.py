"""Injects system call errors that Linux documents into a gateway process, drawn from a seed."""

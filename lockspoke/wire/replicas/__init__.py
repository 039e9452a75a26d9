"""Connections to replicas."""

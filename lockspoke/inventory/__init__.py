"""Reads and checks inventory files, which list the replicas, and applies them to the replica set."""

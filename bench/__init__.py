"""Measurements that anyone can run again: `python -m bench.NAME`."""

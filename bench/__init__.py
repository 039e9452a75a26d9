"""Reproducible benchmarks and soak tests: `python -m bench.NAME`."""

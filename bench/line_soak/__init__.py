"""Soak test of batch lines across lost responses, stops and kills: `python -m bench.line_soak --help`."""

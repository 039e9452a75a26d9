"""Runs balancers for the platform's simulator, over a binary protocol on standard input and output."""

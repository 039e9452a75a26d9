"""Runs the balancer under the operators' simulator, over a binary protocol on standard input and output."""

"""Requests, their attempts, the set of replicas, and the loop that runs the balancer.

This package does not depend on any wire protocol: it accesses clients, replicas and discovery through the
protocols in `interfaces.py` and `transport.py`.
"""

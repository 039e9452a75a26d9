"""Requests, their attempts, the set of replicas, and the loop that runs the balancer.

Nothing in this package knows a wire protocol: clients, replicas and discovery are reached through the
protocols of `interfaces.py`.
"""

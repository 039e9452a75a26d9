"""Seeded soak test of several gateways on loopback, checked only by what is observed on the wire."""

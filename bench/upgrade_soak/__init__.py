"""Soak test of operators' calls during upgrades."""

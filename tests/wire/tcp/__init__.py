"""Tests of connections below HTTP."""

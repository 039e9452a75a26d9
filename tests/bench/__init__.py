"""Tests of the project's own measurements."""

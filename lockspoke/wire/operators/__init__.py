"""The operators' API and its listener."""

"""Lists of workers from files: read, checked, explained, and brought to the replica set step by step."""

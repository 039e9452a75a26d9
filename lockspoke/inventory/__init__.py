"""Lists of workers from files: read, checked, explained, and brought to the registry step by step."""

"""The network protocols: parsers that do no I/O, and the code that reads and writes their connections."""

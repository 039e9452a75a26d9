"""What is spoken: parsers that are fed bytes and know no socket, and the thin drivers beside them."""

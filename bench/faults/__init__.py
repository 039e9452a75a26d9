"""System calls of a gateway process that fail as Linux documents, drawn from a seed."""

"""A service address that moves to another instance when its holder dies, and never has two holders."""

"""A service address that moves to another instance if its holder fails, and never has two holders."""

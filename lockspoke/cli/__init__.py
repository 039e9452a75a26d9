"""Command-line tools for the service address, inventories and configuration files."""

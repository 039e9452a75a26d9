"""Runs a gateway process: command line, configuration, logging, signals, startup, reload and shutdown."""

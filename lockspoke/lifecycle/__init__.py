"""The process around a gateway: command line, configuration, logging, signals, start, reload and shutdown."""

"""Start and stop: configuration, logging, signals and the program's phases."""

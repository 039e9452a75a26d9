"""A seeded soak of several gateways on loopback, judged by what is seen on the wire alone."""

"""The client of the discovery service: its messages, its connections and the watch of the endpoint list."""

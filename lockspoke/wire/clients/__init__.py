"""The client front: the listener for the platform's clients, their connections, requests and responses."""

"""The clients of the platform: the front, its connections, and the requests and responses on them."""

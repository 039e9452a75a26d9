"""The operators: their requests, and the listener for them."""

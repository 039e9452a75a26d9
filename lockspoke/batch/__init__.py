"""The batch front: a public batch API that runs files of requests in the background."""

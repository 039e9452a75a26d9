"""The batch front: files of requests that are run in the background, over a public batch API."""

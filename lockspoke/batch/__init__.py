"""The batch front: API objects, store, runner, listener."""

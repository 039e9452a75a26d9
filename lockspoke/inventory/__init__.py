"""Lists of replicas in files: reads and checks them, and applies their changes to the replica set."""

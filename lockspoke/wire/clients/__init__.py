"""The platform's front: client connections and the fields of their requests."""

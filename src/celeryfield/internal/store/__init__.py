"""Client of the object store, and the services built on it."""

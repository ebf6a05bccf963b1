"""Routes by host and path prefix, and the version of them in force."""

"""HTTP listener for callers and for calls of the local upstream."""

"""HTTP listener for callers."""

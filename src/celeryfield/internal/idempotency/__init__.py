"""Run-once work."""

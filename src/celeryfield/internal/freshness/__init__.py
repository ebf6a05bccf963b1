"""Proof that the configuration in force is recent enough to accept keys."""

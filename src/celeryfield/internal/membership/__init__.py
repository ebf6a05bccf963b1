"""Gossip membership: failure detection, dissemination and anti-entropy."""

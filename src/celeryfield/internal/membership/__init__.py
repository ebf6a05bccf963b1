"""Gossip membership and seed leases."""

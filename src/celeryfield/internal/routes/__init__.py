"""Routing of requests by host and path prefix, and the active route table."""

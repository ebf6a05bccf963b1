"""Connections between nodes, and the calls and messages that they carry."""

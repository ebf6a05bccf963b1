"""Schemas of messages and settings, and code generated from them."""

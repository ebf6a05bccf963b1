"""Schemas of messages and settings, and the modules generated from them."""

"""Benchmarks on loopback with real nodes and stand-in upstreams."""

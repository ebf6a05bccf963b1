"""Benchmarks on loopback: real nodes, stand-in upstreams and callers."""

"""Embedded stand-ins for the demo, tests and benchmarks."""

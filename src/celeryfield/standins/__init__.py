"""Stand-ins of external systems for the demo, tests and benchmarks."""

"""Stand-ins for the systems around pollenbay, for tests, benchmarks and the demo."""

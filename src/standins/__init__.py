"""Small stand-ins for the systems that pollenbay meets, for tests, benchmarks and the demo."""

"""Benchmarks; each measures what it compares within one run."""

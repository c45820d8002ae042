"""Benchmarks: each compares two things in one run."""

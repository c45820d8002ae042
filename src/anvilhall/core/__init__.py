"""Decisions without input or output: who waits, who runs where, and when."""

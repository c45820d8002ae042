"""Scheduling and cluster state as pure logic; performs no I/O."""

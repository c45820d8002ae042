"""Replay of recorded traces on virtual time, with scores and baselines."""

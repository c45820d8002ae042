"""Feeds that keep settings, runners and instances up to date."""

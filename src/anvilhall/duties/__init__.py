"""Duties that one instance at a time performs for the whole deployment."""

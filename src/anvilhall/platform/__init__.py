"""The users' platform: names, formats and calls, translated and nothing more.

Nothing here decides. The names on the wire stand in this package alone.
"""

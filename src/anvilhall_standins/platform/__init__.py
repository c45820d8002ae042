"""Stand-ins of the users' platform, which speak its protocol."""

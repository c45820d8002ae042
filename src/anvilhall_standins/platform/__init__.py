"""Stand-ins for the services and runners of the users' platform."""

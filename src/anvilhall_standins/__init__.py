"""Stand-ins for model engines, plain services and platform services."""

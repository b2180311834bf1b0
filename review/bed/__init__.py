"""Stand-ins of the platform for the cases of the second review."""

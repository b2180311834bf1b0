"""Membership: which other instances there are, and what they say of themselves."""

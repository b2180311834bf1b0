"""Membership: discovery of the other instances, and the state that they report."""

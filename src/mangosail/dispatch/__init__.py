"""Dispatch: what is said to the targets, over which connections."""

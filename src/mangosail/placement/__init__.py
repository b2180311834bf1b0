"""Placement: which worker carries which piece of work, and how much it may carry."""

"""Operators' settings: one validated and versioned subtree for each team."""

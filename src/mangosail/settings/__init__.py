"""Operators' settings: one subtree for each team, checked, versioned, in force."""

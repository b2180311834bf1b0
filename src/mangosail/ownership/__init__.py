"""Ownership: which instance may give which worker work, by leases in the table."""

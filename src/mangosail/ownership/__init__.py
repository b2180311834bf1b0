"""Ownership: leases in the table that decide which instance may use which worker."""

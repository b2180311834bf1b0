"""Taking jobs in from callers, at any instance, and answering for them."""

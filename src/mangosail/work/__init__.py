"""Durable work: claimed before it starts, run at most once, never lost."""

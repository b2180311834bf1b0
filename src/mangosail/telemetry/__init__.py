"""Metrics and structured logs."""

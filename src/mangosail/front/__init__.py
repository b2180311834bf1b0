"""The front door: HTTP for callers and operators."""

"""Batch jobs: many tasks declared at once, run as capacity allows."""

"""Batch jobs: many tasks submitted together and run as capacity allows."""

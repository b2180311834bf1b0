"""Mangosail schedules latency-critical services and batch work on shared workers."""

__version__ = "0.1.0"

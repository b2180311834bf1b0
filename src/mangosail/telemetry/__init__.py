"""Counters, timers and logs: how the program tells what it does."""

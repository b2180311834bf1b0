"""Intake: accepts jobs from callers at any instance and answers queries about them."""

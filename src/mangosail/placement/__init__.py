"""Placement: selects workers for work and reserves capacity on them."""

"""Dispatch: requests to targets and the connections that carry them."""

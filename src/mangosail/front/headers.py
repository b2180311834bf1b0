"""Headers that answers have in common."""

import math

import falcon


def set_retry_after(resp: falcon.Response, seconds: float | None) -> None:
    """Tell the caller when to ask again: HTTP takes whole seconds only."""
    if seconds is not None:
        resp.set_header("Retry-After", str(max(math.ceil(seconds), 1)))

"""Response headers shared by several resources."""

import math

import falcon


def set_retry_after(resp: falcon.Response, seconds: float | None) -> None:
    """Set Retry-After, rounded up because HTTP allows whole seconds only."""
    if seconds is not None:
        resp.set_header("Retry-After", str(max(math.ceil(seconds), 1)))

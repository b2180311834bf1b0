"""A budget for attempts beside the first one."""


class Budget:
    """A token bucket that is filled by requests, not by time.

    Each request earns a share of one extra attempt, so extra attempts stay
    within that share of the load however many requests fail: when everything
    fails at once, retries can't multiply the load. `burst` is what a quiet
    period may save up::

        >>> retries = Budget(share=0.1, burst=1.0)
        >>> retries.spend(), retries.spend()
        (True, False)
    """

    def __init__(self, share: float, burst: float) -> None:
        self.share = share
        self.burst = burst
        self.tokens = burst

    def earn(self) -> None:
        """Enter one request."""
        self.tokens = min(self.tokens + self.share, self.burst)

    def spend(self) -> bool:
        """Take one extra attempt, and tell whether there was one left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

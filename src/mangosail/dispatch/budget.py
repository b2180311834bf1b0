"""Budget for extra attempts such as retries and hedges."""


class Budget:
    """A token bucket that is filled by requests rather than by time.

    Each request adds a fraction of a token, so extra attempts stay within that
    fraction of the load however many requests fail. Retries therefore cannot multiply
    the load when all requests fail. `burst` limits the tokens that accumulate::

        >>> retries = Budget(share=0.1, burst=1.0)
        >>> retries.spend(), retries.spend()
        (True, False)
    """

    def __init__(self, share: float, burst: float) -> None:
        self.share = share
        self.burst = burst
        self.tokens = burst

    def earn(self) -> None:
        """Add the tokens of one request."""
        self.tokens = min(self.tokens + self.share, self.burst)

    def spend(self) -> bool:
        """Take a token for one extra attempt and return whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

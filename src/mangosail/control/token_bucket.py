"""A token bucket that bounds how often something costly is done."""

from mangosail import clock as clocks


class TokenBucket:
    """`burst` at once at most, and one more every `interval` seconds."""

    def __init__(self, clock: clocks.Clock, burst: float, interval: float) -> None:
        self.clock = clock
        self.burst = burst
        self.interval = interval
        self.tokens = burst
        self.refilled_at = clock.monotonic()

    def take(self) -> bool:
        """Take one token if there is one."""
        now = self.clock.monotonic()
        earned = (now - self.refilled_at) / self.interval
        self.tokens = min(self.tokens + earned, self.burst)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

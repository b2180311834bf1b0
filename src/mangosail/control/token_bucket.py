"""A token bucket that limits the rate of an expensive operation."""

from mangosail import clock as clocks


class TokenBucket:
    """Allows bursts of up to `burst`, and one more token every `interval` seconds."""

    def __init__(self, clock: clocks.Clock, burst: float, interval: float) -> None:
        self.clock = clock
        self.burst = burst
        self.interval = interval
        self.tokens = burst
        self.refilled_at = clock.monotonic()

    def take(self) -> bool:
        """Take one token and return whether one was available."""
        now = self.clock.monotonic()
        earned = (now - self.refilled_at) / self.interval
        self.tokens = min(self.tokens + earned, self.burst)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

"""Admission by deadline, and when it is worth coming back."""

import collections.abc as cabc

from mangosail.placement import latency, messages

#: Seconds after which a kind that was only refused is let through once. An
#: estimate that nothing tests any more would refuse that kind for good.
PROBE_INTERVAL_S = 1.0
#: Bounds in seconds of the time after which callers are told to come back.
RETRY_AFTER_BOUNDS_S = (0.05, 10.0)


class Admission:
    """Tells whether a quote can make its deadline; times are monotonic."""

    def __init__(self, latencies: latency.Latencies) -> None:
        self.latencies = latencies
        self.admitted_at: dict[str, float] = {}

    def admits(self, kind: str, predicted: float, deadline: float, now: float) -> bool:
        """Tell whether a quote that takes `predicted` seconds is started."""
        tested_at = self.admitted_at.get(kind, -PROBE_INTERVAL_S)
        if now + predicted > deadline and now - tested_at < PROBE_INTERVAL_S:
            return False
        self.admitted_at[kind] = now
        return True

    def retry_after(
        self, running: cabc.Iterable[tuple[messages.Work, float]], now: float
    ) -> float:
        """Return in how many seconds the first of `running` should have ended.

        `running` gives each piece of work with the time at which it was placed.
        """
        low, high = RETRY_AFTER_BOUNDS_S
        ends = [
            placed_at + self.latencies.baseline(work.kind) - now
            for work, placed_at in running
        ]
        return min(max(min(ends, default=1.0), low), high)

"""Deadline-based admission control and retry-after estimates."""

import collections.abc as cabc

from mangosail.placement import latency, messages

#: Seconds after which one request of a kind that was only refused is admitted. Without
#: new samples, a wrong estimate would cause that kind to be refused forever.
PROBE_INTERVAL_S = 1.0
#: Lower and upper bound, in seconds, of the retry-after that callers are given.
RETRY_AFTER_BOUNDS_S = (0.05, 10.0)


class Admission:
    """Checks whether a quote can meet its deadline; times are monotonic."""

    def __init__(self, latencies: latency.Latencies) -> None:
        self.latencies = latencies
        self.admitted_at: dict[str, float] = {}

    def admits(self, kind: str, predicted: float, deadline: float, now: float) -> bool:
        """Return whether to start a quote predicted to take `predicted` seconds."""
        tested_at = self.admitted_at.get(kind, -PROBE_INTERVAL_S)
        if now + predicted > deadline and now - tested_at < PROBE_INTERVAL_S:
            return False
        self.admitted_at[kind] = now
        return True

    def retry_after(
        self, running: cabc.Iterable[tuple[messages.Work, float]], now: float
    ) -> float:
        """Return the estimated seconds until the first of `running` ends.

        `running` contains pairs of work and the time at which it was placed.
        """
        low, high = RETRY_AFTER_BOUNDS_S
        ends = [
            placed_at + self.latencies.baseline(work.kind) - now
            for work, placed_at in running
        ]
        return min(max(min(ends, default=1.0), low), high)
